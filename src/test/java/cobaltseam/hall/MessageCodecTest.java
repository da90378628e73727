package cobaltseam.hall;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.agreement.Word;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.hall.MessageCodec.Refusal;
import cobaltseam.membership.Ballot;
import cobaltseam.membership.Birth;
import cobaltseam.membership.Change;
import cobaltseam.membership.Condition;
import cobaltseam.membership.Edition;
import cobaltseam.membership.Kept;
import cobaltseam.membership.LeaseWord;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Message;
import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.News;
import cobaltseam.membership.Spoken;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.repeats.PurseWord;
import cobaltseam.seal.SealKeys;
import cobaltseam.sharing.Figures;
import cobaltseam.sharing.Shared;
import cobaltseam.sharing.Statement;
import cobaltseam.sharing.Told;
import cobaltseam.sharing.Version;
import cobaltseam.spread.LoanWord;
import cobaltseam.spread.ReportWord;
import cobaltseam.spread.Reports;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What members tell each other, as bytes. */
class MessageCodecTest {
  private static final SealKeys KEYS =
      SealKeys.read("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
  private static final Member A =
      new Member(
          new MemberName("a"),
          new Birth(1_796_163_423_780L),
          new InetSocketAddress("127.0.0.1", 7946));
  private static final Member B =
      new Member(new MemberName("b"), new Birth(2), new InetSocketAddress("::1", 7947));
  private static final Teller FROM = new Teller(A, 3, new ViewId(1_796_163_423_780L, 12), true);
  private static final News NEWS = new News(B, 4, Condition.SUSPECT, A.name());
  private static final Ballot BALLOT = new Ballot(5, A.name(), A.birth());
  private static final Change CHANGE = new Change(List.of(B), List.of(A));
  private static final ViewId OF = new ViewId(7, 8);
  private static final List<Message> ONE_EACH =
      List.of(
          new Message.Probe(FROM, -9, B.name(), List.of(NEWS)),
          new Message.Relay(FROM, 9, B, List.of()),
          new Message.Answer(FROM, 9, true, List.of(NEWS, NEWS)),
          new Message.Ask(FROM, null),
          new Message.Ask(FROM, B.name()),
          new Message.Part(FROM, List.of(NEWS), true),
          new Message.NameTaken(FROM, B),
          new Message.Found(FROM, 1, List.of(A, B)),
          new Message.Consent(FROM, 1),
          new Message.Prepare(FROM, OF, BALLOT, List.of(B.name())),
          new Message.Promise(FROM, OF, BALLOT, null, null, List.of()),
          new Message.Promise(FROM, OF, BALLOT, BALLOT, CHANGE, List.of(B.name())),
          new Message.Refuse(FROM, OF, BALLOT, BALLOT),
          new Message.Accept(FROM, OF, BALLOT, CHANGE),
          new Message.Accepted(FROM, OF, BALLOT),
          new Message.Decided(FROM, OF, CHANGE),
          new Message.AskView(FROM, OF, 48),
          new Message.ViewPart(FROM, OF, 0, 2, List.of(A, B), null));

  /** A probe as version 1 of the form wrote it, on the day that it was made. */
  private static final String RECORDED =
      "bf61760161666372696761"
          + "6b6550726f6265616dbf6466726f6dbf666d656d626572bf646e616d656161656269727468016761646472657373"
          + "6e3132372e302e302e317c37393436ff6b696e6361726e6174696f6e006476696577bf646c696e6500666e756d62657200ff686d616a6f72697479f4ff"
          + "6269640762746f6162646e6577738"
          + "0ffff";

  private final MessageCodec codec = new MessageCodec("rig", KEYS, 1);

  @Test
  void everyKindOfMessageComesBackAsItWas() {
    for (Message message : ONE_EACH) {
      MessageCodec.Reading read = codec.read(codec.write(message));
      assertNull(read.refusal(), message.toString());
      assertEquals(message, read.message());
    }
    assertEquals(
        Message.class.getPermittedSubclasses().length,
        ONE_EACH.stream().map(Object::getClass).distinct().count());
  }

  @Test
  void everyWordOfTheAgreementComesBackAsItWas() {
    Edition edition = new Edition(3, "ab".repeat(32), A.name());
    for (Word word :
        List.of(
            new Word.Offer(FROM, edition, 99),
            new Word.Checked(FROM, edition, null),
            new Word.Checked(FROM, edition, "no"),
            new Word.Want(FROM, edition.hash(), 4))) {
      assertEquals(word, codec.read(codec.write(word)).message());
    }
    Word.Piece piece =
        (Word.Piece)
            codec
                .read(codec.write(new Word.Piece(FROM, edition.hash(), 1, 3, new byte[] {7, -8})))
                .message();
    assertArrayEquals(new byte[] {7, -8}, piece.bytes());
    Message.ViewPart part = new Message.ViewPart(FROM, OF, 0, 1, List.of(A), edition);
    assertEquals(part, codec.read(codec.write(part)).message());
  }

  @Test
  void whatOtherPartsSayComesBackAsItWas() {
    Version version = new Version(new Birth(4), 1L << 41);
    Told.Ask ask =
        new Told.Ask(A.name(), -5, Map.of(B.name(), new Told.Have(version, new TimeSpan(7))));
    Told.Newer newer =
        new Told.Newer(
            A.name(),
            9,
            List.of(
                new Statement(
                    B.name(), version, new Figures(Map.of("spread.demand", 3L)), TimeSpan.ZERO)),
            List.of(new Told.Stands(A.name(), version, new TimeSpan(1))));
    for (Spoken said :
        List.of(
            new LeaseWord.Renew(FROM, -1),
            new LeaseWord.Granted(FROM, 1),
            Shared.of(FROM, ask),
            Shared.of(FROM, newer),
            new LoanWord.Borrow(FROM, 4, 5),
            new LoanWord.Lent(FROM, 4, 5, 6))) {
      MessageCodec.Reading read = codec.read(codec.write(said));
      assertNull(read.refusal(), said.toString());
      assertEquals(said, read.message());
    }
  }

  @Test
  void whatEnginesToldComesBackAsItWas() {
    assertEquals(
        new ReportWord.AskReports(FROM, 8),
        codec.read(codec.write(new ReportWord.AskReports(FROM, 8))).message());
    ReportWord.Table table =
        new ReportWord.Table(
            FROM, 8, new long[] {1, Long.MAX_VALUE}, new int[] {0, 9}, new int[] {3, 4});
    ReportWord.Table read = (ReportWord.Table) codec.read(codec.write(table)).message();
    assertArrayEquals(table.engines(), read.engines());
    assertArrayEquals(table.inHand(), read.inHand());
    assertArrayEquals(table.agesMs(), read.agesMs());
    PurseWord.Give give = new PurseWord.Give(FROM, 3, new long[] {5, 7}, new long[] {8, 9});
    PurseWord.Give given = (PurseWord.Give) codec.read(codec.write(give)).message();
    assertArrayEquals(give.amounts(), given.amounts());
    assertArrayEquals(give.lastsUs(), given.lastsUs());
    assertEquals(
        new PurseWord.Beg(FROM, 3, 4),
        codec.read(codec.write(new PurseWord.Beg(FROM, 3, 4))).message());
    // As many engines as may be fit one datagram.
    long[] most = new Random(1).longs(Reports.MOST, 0, Long.MAX_VALUE).toArray();
    int[] figures = new Random(2).ints(Reports.MOST, 0, 5000).toArray();
    assertNotNull(codec.write(new ReportWord.Table(FROM, -1, most, figures, figures)));
  }

  @Test
  void whatAMemberKeepsComesBackAsItWas() {
    View view = new View(OF, List.of(A, B), new Edition(1, "0f".repeat(32), B.name()));
    Kept kept =
        new Kept(
            A,
            3,
            view,
            BALLOT,
            BALLOT,
            CHANGE,
            new Birth(9),
            4,
            Map.of(7L, 8L),
            Map.of(1L, 2L),
            List.of());
    assertEquals(kept, KeptCodec.read(KeptCodec.write(kept)).orElseThrow());
    assertTrue(KeptCodec.read(new byte[] {1, 2, 3}).isEmpty());
  }

  @Test
  void aRecordedMessageOfTheFirstFormIsRead() {
    MessageCodec plain = new MessageCodec("rig", null, 0);
    Object message = plain.read(HexFormat.of().parseHex(RECORDED)).message();
    Teller teller =
        new Teller(
            new Member(new MemberName("a"), new Birth(1), A.address()), 0, ViewId.NONE, false);
    assertEquals(new Message.Probe(teller, 7, new MemberName("b"), List.of()), message);
  }

  @Test
  void fieldsAndKindsOfALaterProgramHarmNothing() throws Exception {
    CBORMapper cbor = new CBORMapper();
    MessageCodec plain = new MessageCodec("rig", null, 0);
    ObjectNode whole = (ObjectNode) cbor.readTree(plain.write(ONE_EACH.get(0)));
    whole.put("new", "field");
    ((ObjectNode) whole.path("m")).putArray("more").add(1);
    ((ObjectNode) whole.path("m").path("from").path("member")).put("rack", "r1");
    assertEquals(ONE_EACH.get(0), plain.read(cbor.writeValueAsBytes(whole)).message());
    assertEquals(
        Refusal.KIND, plain.read(cbor.writeValueAsBytes(whole.put("k", "Later"))).refusal());
    assertEquals(Refusal.VERSION, plain.read(cbor.writeValueAsBytes(whole.put("v", 2))).refusal());
  }

  @Test
  void anotherFleetAnotherKeyAndAForgedOrCutMessageAreRefused() {
    byte[] bytes = codec.write(ONE_EACH.get(0));
    MessageCodec other = new MessageCodec("other", KEYS, 1);
    assertEquals(Refusal.FORGED, other.read(bytes).refusal(), "the fleet's name is under the seal");
    assertEquals(
        Refusal.OTHER_FLEET,
        new MessageCodec("other", null, 0)
            .read(new MessageCodec("rig", null, 0).write(ONE_EACH.get(0)))
            .refusal());
    assertEquals(
        Refusal.KEY_UNKNOWN,
        new MessageCodec("rig", SealKeys.read("3 " + "ab".repeat(16)), 3).read(bytes).refusal());
    assertEquals(
        Refusal.FORGED,
        new MessageCodec("rig", SealKeys.read("1 " + "ee".repeat(16)), 1).read(bytes).refusal());
    assertEquals(
        Refusal.UNSEALED,
        codec.read(new MessageCodec("rig", null, 0).write(ONE_EACH.get(0))).refusal());
    assertNotNull(
        new MessageCodec("rig", KEYS, 2).read(bytes).message(),
        "both keys count while one is changed for the other");
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 4;
      assertNotNull(codec.read(changed).refusal(), "byte " + i);
      assertNotNull(codec.read(Arrays.copyOf(bytes, i)).refusal(), "cut to " + i);
    }
  }

  @Test
  void whateverBytesComeNothingIsThrownAndNoHalfMessageIsMade() {
    MessageCodec plain = new MessageCodec("rig", null, 0);
    SplittableRandom chance = new SplittableRandom(3);
    int taken = 0;
    for (int i = 0; i < 40_000; i++) {
      byte[] bytes = plain.write(ONE_EACH.get(chance.nextInt(ONE_EACH.size())));
      for (int n = chance.nextInt(4); n >= 0; n--) {
        bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
      }
      MessageCodec.Reading read =
          plain.read(
              chance.nextInt(4) == 0 ? Arrays.copyOf(bytes, chance.nextInt(bytes.length)) : bytes);
      assertTrue(read.message() == null != (read.refusal() == null));
      if (read.message() != null) {
        assertNotNull(read.message().from().member().address());
        taken++;
      }
    }
    assertTrue(taken > 100 && taken < 40_000, "some still read: " + taken);
  }

  @Test
  void whatIsTooLongIsNeitherWrittenNorRead() {
    List<Member> many =
        IntStream.range(0, 1000)
            .mapToObj(i -> new Member(new MemberName("x" + i), A.birth(), A.address()))
            .toList();
    assertNull(codec.write(new Message.ViewPart(FROM, OF, 0, 1000, many, null)));
    assertEquals(Refusal.TOO_LONG, codec.read(new byte[MessageCodec.LARGEST + 1]).refusal());
    assertNotNull(
        codec.write(
            new Message.Accept(
                FROM, OF, BALLOT, new Change(many.subList(0, 128), many.subList(200, 264)))),
        "the largest change of a view fits");
  }
}
