package cobaltseam.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.agreement.AgreementMessage;
import cobaltseam.authentication.KeyRing;
import cobaltseam.capacity.CapacityLeaseMessage;
import cobaltseam.capacity.LoadReportMessage;
import cobaltseam.capacity.LoadReports;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.Ballot;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.LeaseMessage;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberCondition;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MemberUpdate;
import cobaltseam.membership.MembershipMessage;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.PersistentState;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewDelta;
import cobaltseam.membership.ViewId;
import cobaltseam.retrybudget.RetryBudgetMessage;
import cobaltseam.sharing.FiguresUpdate;
import cobaltseam.sharing.FiguresVersion;
import cobaltseam.sharing.MemberFigures;
import cobaltseam.sharing.SharingMessage;
import cobaltseam.sharing.SharingPeerMessage;
import cobaltseam.transport.MessageCodec.RejectionReason;
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
  private static final KeyRing KEYS =
      KeyRing.parse("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
  private static final Member A =
      new Member(
          new MemberName("a"),
          new Incarnation(1_796_163_423_780L),
          new InetSocketAddress("127.0.0.1", 7946));
  private static final Member B =
      new Member(new MemberName("b"), new Incarnation(2), new InetSocketAddress("::1", 7947));
  private static final MessageHeader FROM =
      new MessageHeader(A, 3, new ViewId(1_796_163_423_780L, 12), true);
  private static final MemberUpdate NEWS =
      new MemberUpdate(B, 4, MemberCondition.SUSPECT, A.name());
  private static final Ballot BALLOT = new Ballot(5, A.name(), A.incarnation());
  private static final ViewDelta CHANGE = new ViewDelta(List.of(B), List.of(A));
  private static final ViewId OF = new ViewId(7, 8);
  private static final List<MembershipMessage> ONE_EACH =
      List.of(
          new MembershipMessage.HealthCheck(FROM, -9, B.name(), List.of(NEWS)),
          new MembershipMessage.HealthCheckRequest(FROM, 9, B, List.of()),
          new MembershipMessage.HealthCheckReply(FROM, 9, true, List.of(NEWS, NEWS)),
          new MembershipMessage.StateRequest(FROM, null),
          new MembershipMessage.StateRequest(FROM, B.name()),
          new MembershipMessage.StatePart(FROM, List.of(NEWS), true),
          new MembershipMessage.NameTaken(FROM, B),
          new MembershipMessage.BootstrapRequest(FROM, 1, List.of(A, B)),
          new MembershipMessage.BootstrapConsent(FROM, 1),
          new MembershipMessage.Prepare(FROM, OF, BALLOT, List.of(B.name())),
          new MembershipMessage.Promise(FROM, OF, BALLOT, null, null, List.of()),
          new MembershipMessage.Promise(FROM, OF, BALLOT, BALLOT, CHANGE, List.of(B.name())),
          new MembershipMessage.Reject(FROM, OF, BALLOT, BALLOT),
          new MembershipMessage.Accept(FROM, OF, BALLOT, CHANGE),
          new MembershipMessage.Accepted(FROM, OF, BALLOT),
          new MembershipMessage.Decided(FROM, OF, CHANGE),
          new MembershipMessage.ViewRequest(FROM, OF, 48),
          new MembershipMessage.ViewPart(FROM, OF, 0, 2, List.of(A, B), null));

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
    for (MembershipMessage message : ONE_EACH) {
      MessageCodec.DecodedMessage read = codec.read(codec.write(message));
      assertNull(read.rejection(), message.toString());
      assertEquals(message, read.message());
    }
    assertEquals(
        MembershipMessage.class.getPermittedSubclasses().length,
        ONE_EACH.stream().map(Object::getClass).distinct().count());
  }

  @Test
  void everyWordOfTheAgreementComesBackAsItWas() {
    ConfigurationVersion edition = new ConfigurationVersion(3, "ab".repeat(32), A.name());
    for (AgreementMessage word :
        List.of(
            new AgreementMessage.VersionOffer(FROM, edition, 99),
            new AgreementMessage.VersionCheck(FROM, edition, null),
            new AgreementMessage.VersionCheck(FROM, edition, "no"),
            new AgreementMessage.ContentRequest(FROM, edition.hash(), 4))) {
      assertEquals(word, codec.read(codec.write(word)).message());
    }
    AgreementMessage.ContentPart piece =
        (AgreementMessage.ContentPart)
            codec
                .read(
                    codec.write(
                        new AgreementMessage.ContentPart(
                            FROM, edition.hash(), 1, 3, new byte[] {7, -8})))
                .message();
    assertArrayEquals(new byte[] {7, -8}, piece.bytes());
    MembershipMessage.ViewPart part =
        new MembershipMessage.ViewPart(FROM, OF, 0, 1, List.of(A), edition);
    assertEquals(part, codec.read(codec.write(part)).message());
  }

  @Test
  void whatOtherPartsSayComesBackAsItWas() {
    FiguresVersion version = new FiguresVersion(new Incarnation(4), 1L << 41);
    SharingMessage.UpdateRequest ask =
        new SharingMessage.UpdateRequest(
            A.name(),
            -5,
            Map.of(B.name(), new SharingMessage.KnownVersion(version, new TimeSpan(7))));
    SharingMessage.UpdateReply newer =
        new SharingMessage.UpdateReply(
            A.name(),
            9,
            List.of(
                new FiguresUpdate(
                    B.name(),
                    version,
                    new MemberFigures(Map.of("spread.demand", 3L)),
                    TimeSpan.ZERO)),
            List.of(new SharingMessage.Reaffirmation(A.name(), version, new TimeSpan(1))));
    for (PeerMessage said :
        List.of(
            new LeaseMessage.LeaseRenewal(FROM, -1),
            new LeaseMessage.LeaseGrant(FROM, 1),
            SharingPeerMessage.of(FROM, ask),
            SharingPeerMessage.of(FROM, newer),
            new CapacityLeaseMessage.LeaseRequest(FROM, 4, 5),
            new CapacityLeaseMessage.LeaseGrant(FROM, 4, 5, 6))) {
      MessageCodec.DecodedMessage read = codec.read(codec.write(said));
      assertNull(read.rejection(), said.toString());
      assertEquals(said, read.message());
    }
  }

  @Test
  void whatEnginesToldComesBackAsItWas() {
    assertEquals(
        new LoadReportMessage.ReportsRequest(FROM, 8),
        codec.read(codec.write(new LoadReportMessage.ReportsRequest(FROM, 8))).message());
    LoadReportMessage.ReportsReply table =
        new LoadReportMessage.ReportsReply(
            FROM, 8, new long[] {1, Long.MAX_VALUE}, new int[] {0, 9}, new int[] {3, 4});
    LoadReportMessage.ReportsReply read =
        (LoadReportMessage.ReportsReply) codec.read(codec.write(table)).message();
    assertArrayEquals(table.engines(), read.engines());
    assertArrayEquals(table.inFlight(), read.inFlight());
    assertArrayEquals(table.agesMs(), read.agesMs());
    RetryBudgetMessage.BudgetTransfer give =
        new RetryBudgetMessage.BudgetTransfer(FROM, 3, new long[] {5, 7}, new long[] {8, 9});
    RetryBudgetMessage.BudgetTransfer given =
        (RetryBudgetMessage.BudgetTransfer) codec.read(codec.write(give)).message();
    assertArrayEquals(give.amounts(), given.amounts());
    assertArrayEquals(give.lifetimesUs(), given.lifetimesUs());
    assertEquals(
        new RetryBudgetMessage.BudgetRequest(FROM, 3, 4),
        codec.read(codec.write(new RetryBudgetMessage.BudgetRequest(FROM, 3, 4))).message());
    // As many engines as may be fit one datagram.
    long[] most = new Random(1).longs(LoadReports.MAX_ENGINES, 0, Long.MAX_VALUE).toArray();
    int[] figures = new Random(2).ints(LoadReports.MAX_ENGINES, 0, 5000).toArray();
    assertNotNull(
        codec.write(new LoadReportMessage.ReportsReply(FROM, -1, most, figures, figures)));
  }

  @Test
  void whatAMemberKeepsComesBackAsItWas() {
    View view = new View(OF, List.of(A, B), new ConfigurationVersion(1, "0f".repeat(32), B.name()));
    PersistentState kept =
        new PersistentState(
            A,
            3,
            view,
            BALLOT,
            BALLOT,
            CHANGE,
            new Incarnation(9),
            4,
            Map.of(7L, 8L),
            Map.of(1L, 2L),
            List.of());
    assertEquals(kept, PersistentStateCodec.read(PersistentStateCodec.write(kept)).orElseThrow());
    assertTrue(PersistentStateCodec.read(new byte[] {1, 2, 3}).isEmpty());
  }

  @Test
  void aRecordedMessageOfTheFirstFormIsRead() {
    MessageCodec plain = new MessageCodec("rig", null, 0);
    Object message = plain.read(HexFormat.of().parseHex(RECORDED)).message();
    MessageHeader teller =
        new MessageHeader(
            new Member(new MemberName("a"), new Incarnation(1), A.peerAddress()),
            0,
            ViewId.NONE,
            false);
    assertEquals(
        new MembershipMessage.HealthCheck(teller, 7, new MemberName("b"), List.of()), message);
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
        RejectionReason.KIND,
        plain.read(cbor.writeValueAsBytes(whole.put("k", "Later"))).rejection());
    assertEquals(
        RejectionReason.VERSION, plain.read(cbor.writeValueAsBytes(whole.put("v", 2))).rejection());
  }

  @Test
  void anotherFleetAnotherKeyAndAForgedOrCutMessageAreRefused() {
    byte[] bytes = codec.write(ONE_EACH.get(0));
    MessageCodec other = new MessageCodec("other", KEYS, 1);
    assertEquals(
        RejectionReason.FORGED,
        other.read(bytes).rejection(),
        "the fleet's name is under the seal");
    assertEquals(
        RejectionReason.OTHER_FLEET,
        new MessageCodec("other", null, 0)
            .read(new MessageCodec("rig", null, 0).write(ONE_EACH.get(0)))
            .rejection());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        new MessageCodec("rig", KeyRing.parse("3 " + "ab".repeat(16)), 3).read(bytes).rejection());
    assertEquals(
        RejectionReason.FORGED,
        new MessageCodec("rig", KeyRing.parse("1 " + "ee".repeat(16)), 1).read(bytes).rejection());
    assertEquals(
        RejectionReason.UNSEALED,
        codec.read(new MessageCodec("rig", null, 0).write(ONE_EACH.get(0))).rejection());
    assertNotNull(
        new MessageCodec("rig", KEYS, 2).read(bytes).message(),
        "both keys count while one is changed for the other");
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 4;
      assertNotNull(codec.read(changed).rejection(), "byte " + i);
      assertNotNull(codec.read(Arrays.copyOf(bytes, i)).rejection(), "cut to " + i);
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
      MessageCodec.DecodedMessage read =
          plain.read(
              chance.nextInt(4) == 0 ? Arrays.copyOf(bytes, chance.nextInt(bytes.length)) : bytes);
      assertTrue(read.message() == null != (read.rejection() == null));
      if (read.message() != null) {
        assertNotNull(read.message().from().member().peerAddress());
        taken++;
      }
    }
    assertTrue(taken > 100 && taken < 40_000, "some still read: " + taken);
  }

  @Test
  void whatIsTooLongIsNeitherWrittenNorRead() {
    List<Member> many =
        IntStream.range(0, 1000)
            .mapToObj(i -> new Member(new MemberName("x" + i), A.incarnation(), A.peerAddress()))
            .toList();
    assertNull(codec.write(new MembershipMessage.ViewPart(FROM, OF, 0, 1000, many, null)));
    assertEquals(
        RejectionReason.TOO_LONG,
        codec.read(new byte[MessageCodec.MAX_MESSAGE_BYTES + 1]).rejection());
    assertNotNull(
        codec.write(
            new MembershipMessage.Accept(
                FROM, OF, BALLOT, new ViewDelta(many.subList(0, 128), many.subList(200, 264)))),
        "the largest change of a view fits");
  }
}
