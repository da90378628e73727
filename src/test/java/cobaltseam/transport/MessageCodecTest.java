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

/** Encoding, decoding and authentication of messages between members. */
class MessageCodecTest {
  private static final KeyRing KEYS =
      KeyRing.parse("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
  private static final Member FIRST =
      new Member(
          new MemberName("a"),
          new Incarnation(1_796_163_423_780L),
          new InetSocketAddress("127.0.0.1", 7946));
  private static final Member SECOND =
      new Member(new MemberName("b"), new Incarnation(2), new InetSocketAddress("::1", 7947));
  private static final MessageHeader HEADER =
      new MessageHeader(FIRST, 3, new ViewId(1_796_163_423_780L, 12), true);
  private static final MemberUpdate UPDATE =
      new MemberUpdate(SECOND, 4, MemberCondition.SUSPECT, FIRST.name());
  private static final Ballot BALLOT = new Ballot(5, FIRST.name(), FIRST.incarnation());
  private static final ViewDelta DELTA = new ViewDelta(List.of(SECOND), List.of(FIRST));
  private static final ViewId VIEW_ID = new ViewId(7, 8);
  private static final List<MembershipMessage> MEMBERSHIP_MESSAGES =
      List.of(
          new MembershipMessage.HealthCheck(HEADER, -9, SECOND.name(), List.of(UPDATE)),
          new MembershipMessage.HealthCheckRequest(HEADER, 9, SECOND, List.of()),
          new MembershipMessage.HealthCheckReply(HEADER, 9, true, List.of(UPDATE, UPDATE)),
          new MembershipMessage.StateRequest(HEADER, null),
          new MembershipMessage.StateRequest(HEADER, SECOND.name()),
          new MembershipMessage.StatePart(HEADER, List.of(UPDATE), true),
          new MembershipMessage.NameTaken(HEADER, SECOND),
          new MembershipMessage.BootstrapRequest(HEADER, 1, List.of(FIRST, SECOND)),
          new MembershipMessage.BootstrapConsent(HEADER, 1),
          new MembershipMessage.Prepare(HEADER, VIEW_ID, BALLOT, List.of(SECOND.name())),
          new MembershipMessage.Promise(HEADER, VIEW_ID, BALLOT, null, null, List.of()),
          new MembershipMessage.Promise(
              HEADER, VIEW_ID, BALLOT, BALLOT, DELTA, List.of(SECOND.name())),
          new MembershipMessage.Reject(HEADER, VIEW_ID, BALLOT, BALLOT),
          new MembershipMessage.Accept(HEADER, VIEW_ID, BALLOT, DELTA),
          new MembershipMessage.Accepted(HEADER, VIEW_ID, BALLOT),
          new MembershipMessage.Decided(HEADER, VIEW_ID, DELTA),
          new MembershipMessage.ViewRequest(HEADER, VIEW_ID, 48),
          new MembershipMessage.ViewPart(HEADER, VIEW_ID, 0, 2, List.of(FIRST, SECOND), null));

  /** A health check (kind {@code Probe}) as originally encoded with wire version 1. */
  private static final String RECORDED_HEALTH_CHECK =
      "bf61760161666372696761"
          + "6b6550726f6265616dbf6466726f6dbf666d656d626572bf646e616d656161656269727468016761646472657373"
          + "6e3132372e302e302e317c37393436ff6b696e6361726e6174696f6e006476696577bf646c696e6500666e756d62657200ff686d616a6f72697479f4ff"
          + "6269640762746f6162646e6577738"
          + "0ffff";

  private final MessageCodec codec = new MessageCodec("rig", KEYS, 1);

  @Test
  void membershipMessagesRoundTrip() {
    for (MembershipMessage message : MEMBERSHIP_MESSAGES) {
      MessageCodec.DecodedMessage decoded = codec.read(codec.write(message));
      assertNull(decoded.rejection(), message.toString());
      assertEquals(message, decoded.message());
    }
    assertEquals(
        MembershipMessage.class.getPermittedSubclasses().length,
        MEMBERSHIP_MESSAGES.stream().map(Object::getClass).distinct().count());
  }

  @Test
  void agreementMessagesRoundTrip() {
    ConfigurationVersion configuration = new ConfigurationVersion(3, "ab".repeat(32), FIRST.name());
    for (AgreementMessage message :
        List.of(
            new AgreementMessage.VersionOffer(HEADER, configuration, 99),
            new AgreementMessage.VersionCheck(HEADER, configuration, null),
            new AgreementMessage.VersionCheck(HEADER, configuration, "no"),
            new AgreementMessage.ContentRequest(HEADER, configuration.hash(), 4))) {
      assertEquals(message, codec.read(codec.write(message)).message());
    }
    AgreementMessage.ContentPart contentPart =
        (AgreementMessage.ContentPart)
            codec
                .read(
                    codec.write(
                        new AgreementMessage.ContentPart(
                            HEADER, configuration.hash(), 1, 3, new byte[] {7, -8})))
                .message();
    assertArrayEquals(new byte[] {7, -8}, contentPart.bytes());
    MembershipMessage.ViewPart viewPart =
        new MembershipMessage.ViewPart(HEADER, VIEW_ID, 0, 1, List.of(FIRST), configuration);
    assertEquals(viewPart, codec.read(codec.write(viewPart)).message());
  }

  @Test
  void leaseSharingAndCapacityMessagesRoundTrip() {
    FiguresVersion version = new FiguresVersion(new Incarnation(4), 1L << 41);
    SharingMessage.UpdateRequest request =
        new SharingMessage.UpdateRequest(
            FIRST.name(),
            -5,
            Map.of(SECOND.name(), new SharingMessage.KnownVersion(version, new TimeSpan(7))));
    SharingMessage.UpdateReply reply =
        new SharingMessage.UpdateReply(
            FIRST.name(),
            9,
            List.of(
                new FiguresUpdate(
                    SECOND.name(),
                    version,
                    new MemberFigures(Map.of("spread.demand", 3L)),
                    TimeSpan.ZERO)),
            List.of(new SharingMessage.Reaffirmation(FIRST.name(), version, new TimeSpan(1))));
    for (PeerMessage message :
        List.of(
            new LeaseMessage.LeaseRenewal(HEADER, -1),
            new LeaseMessage.LeaseGrant(HEADER, 1),
            SharingPeerMessage.of(HEADER, request),
            SharingPeerMessage.of(HEADER, reply),
            new CapacityLeaseMessage.LeaseRequest(HEADER, 4, 5),
            new CapacityLeaseMessage.LeaseGrant(HEADER, 4, 5, 6))) {
      MessageCodec.DecodedMessage decoded = codec.read(codec.write(message));
      assertNull(decoded.rejection(), message.toString());
      assertEquals(message, decoded.message());
    }
  }

  @Test
  void loadReportAndRetryBudgetMessagesRoundTrip() {
    assertEquals(
        new LoadReportMessage.ReportsRequest(HEADER, 8),
        codec.read(codec.write(new LoadReportMessage.ReportsRequest(HEADER, 8))).message());
    LoadReportMessage.ReportsReply reports =
        new LoadReportMessage.ReportsReply(
            HEADER, 8, new long[] {1, Long.MAX_VALUE}, new int[] {0, 9}, new int[] {3, 4});
    LoadReportMessage.ReportsReply decodedReports =
        (LoadReportMessage.ReportsReply) codec.read(codec.write(reports)).message();
    assertArrayEquals(reports.engines(), decodedReports.engines());
    assertArrayEquals(reports.inFlight(), decodedReports.inFlight());
    assertArrayEquals(reports.agesMs(), decodedReports.agesMs());
    RetryBudgetMessage.BudgetTransfer transfer =
        new RetryBudgetMessage.BudgetTransfer(HEADER, 3, new long[] {5, 7}, new long[] {8, 9});
    RetryBudgetMessage.BudgetTransfer decodedTransfer =
        (RetryBudgetMessage.BudgetTransfer) codec.read(codec.write(transfer)).message();
    assertArrayEquals(transfer.amounts(), decodedTransfer.amounts());
    assertArrayEquals(transfer.lifetimesUs(), decodedTransfer.lifetimesUs());
    assertEquals(
        new RetryBudgetMessage.BudgetRequest(HEADER, 3, 4),
        codec.read(codec.write(new RetryBudgetMessage.BudgetRequest(HEADER, 3, 4))).message());
    // A reply with the maximum number of engines fits into one datagram.
    long[] engines = new Random(1).longs(LoadReports.MAX_ENGINES, 0, Long.MAX_VALUE).toArray();
    int[] loads = new Random(2).ints(LoadReports.MAX_ENGINES, 0, 5000).toArray();
    assertNotNull(
        codec.write(new LoadReportMessage.ReportsReply(HEADER, -1, engines, loads, loads)));
  }

  @Test
  void persistentStateRoundTrips() {
    View view =
        new View(
            VIEW_ID,
            List.of(FIRST, SECOND),
            new ConfigurationVersion(1, "0f".repeat(32), SECOND.name()));
    PersistentState state =
        new PersistentState(
            FIRST,
            3,
            view,
            BALLOT,
            BALLOT,
            DELTA,
            new Incarnation(9),
            4,
            Map.of(7L, 8L),
            Map.of(1L, 2L),
            List.of());
    assertEquals(state, PersistentStateCodec.read(PersistentStateCodec.write(state)).orElseThrow());
    assertTrue(PersistentStateCodec.read(new byte[] {1, 2, 3}).isEmpty());
  }

  @Test
  void recordedMessageOfVersionOneIsRead() {
    MessageCodec plain = new MessageCodec("rig", null, 0);
    Object message = plain.read(HexFormat.of().parseHex(RECORDED_HEALTH_CHECK)).message();
    MessageHeader header =
        new MessageHeader(
            new Member(new MemberName("a"), new Incarnation(1), FIRST.peerAddress()),
            0,
            ViewId.NONE,
            false);
    assertEquals(
        new MembershipMessage.HealthCheck(header, 7, new MemberName("b"), List.of()), message);
  }

  @Test
  void unknownFieldsAreIgnoredAndUnknownKindsAndVersionsAreRejected() throws Exception {
    CBORMapper cbor = new CBORMapper();
    MessageCodec plain = new MessageCodec("rig", null, 0);
    ObjectNode envelope = (ObjectNode) cbor.readTree(plain.write(MEMBERSHIP_MESSAGES.get(0)));
    envelope.put("new", "field");
    ((ObjectNode) envelope.path("m")).putArray("more").add(1);
    ((ObjectNode) envelope.path("m").path("from").path("member")).put("rack", "r1");
    assertEquals(
        MEMBERSHIP_MESSAGES.get(0), plain.read(cbor.writeValueAsBytes(envelope)).message());
    assertEquals(
        RejectionReason.KIND,
        plain.read(cbor.writeValueAsBytes(envelope.put("k", "Later"))).rejection());
    assertEquals(
        RejectionReason.VERSION,
        plain.read(cbor.writeValueAsBytes(envelope.put("v", 2))).rejection());
  }

  @Test
  void messagesOfOtherFleetsUnknownKeysAndForgedOrTruncatedMessagesAreRejected() {
    byte[] bytes = codec.write(MEMBERSHIP_MESSAGES.get(0));
    MessageCodec other = new MessageCodec("other", KEYS, 1);
    assertEquals(
        RejectionReason.FORGED,
        other.read(bytes).rejection(),
        "the HMAC covers the name of the fleet");
    assertEquals(
        RejectionReason.OTHER_FLEET,
        new MessageCodec("other", null, 0)
            .read(new MessageCodec("rig", null, 0).write(MEMBERSHIP_MESSAGES.get(0)))
            .rejection());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        new MessageCodec("rig", KeyRing.parse("3 " + "ab".repeat(16)), 3).read(bytes).rejection());
    assertEquals(
        RejectionReason.FORGED,
        new MessageCodec("rig", KeyRing.parse("1 " + "ee".repeat(16)), 1).read(bytes).rejection());
    assertEquals(
        RejectionReason.UNSEALED,
        codec.read(new MessageCodec("rig", null, 0).write(MEMBERSHIP_MESSAGES.get(0))).rejection());
    assertNotNull(
        new MessageCodec("rig", KEYS, 2).read(bytes).message(),
        "all keys of the ring are valid during a key rotation");
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 4;
      assertNotNull(codec.read(changed).rejection(), "byte " + i);
      assertNotNull(codec.read(Arrays.copyOf(bytes, i)).rejection(), "cut to " + i);
    }
  }

  @Test
  void arbitraryBytesYieldEitherAMessageOrARejection() {
    MessageCodec plain = new MessageCodec("rig", null, 0);
    SplittableRandom random = new SplittableRandom(3);
    int accepted = 0;
    for (int i = 0; i < 40_000; i++) {
      byte[] bytes =
          plain.write(MEMBERSHIP_MESSAGES.get(random.nextInt(MEMBERSHIP_MESSAGES.size())));
      for (int n = random.nextInt(4); n >= 0; n--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      MessageCodec.DecodedMessage decoded =
          plain.read(
              random.nextInt(4) == 0 ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes);
      assertTrue(decoded.message() == null != (decoded.rejection() == null));
      if (decoded.message() != null) {
        assertNotNull(decoded.message().from().member().peerAddress());
        accepted++;
      }
    }
    assertTrue(accepted > 100 && accepted < 40_000, "accepted: " + accepted);
  }

  @Test
  void tooLongMessagesAreNeitherWrittenNorRead() {
    List<Member> members =
        IntStream.range(0, 1000)
            .mapToObj(
                i -> new Member(new MemberName("x" + i), FIRST.incarnation(), FIRST.peerAddress()))
            .toList();
    assertNull(
        codec.write(new MembershipMessage.ViewPart(HEADER, VIEW_ID, 0, 1000, members, null)));
    assertEquals(
        RejectionReason.TOO_LONG,
        codec.read(new byte[MessageCodec.MAX_MESSAGE_BYTES + 1]).rejection());
    assertNotNull(
        codec.write(
            new MembershipMessage.Accept(
                HEADER,
                VIEW_ID,
                BALLOT,
                new ViewDelta(members.subList(0, 128), members.subList(200, 264)))),
        "the largest view delta fits");
  }
}
