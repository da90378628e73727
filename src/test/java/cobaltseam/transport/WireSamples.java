package cobaltseam.transport;

import cobaltseam.agreement.AgreementMessage;
import cobaltseam.capacity.CapacityLeaseMessage;
import cobaltseam.capacity.LoadReportMessage;
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
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One message of each kind and the persistent state of a member, with the values of the recorded
 * files in {@code cobaltseam/wire}. Maps have one entry, since their order is not fixed.
 */
final class WireSamples {
  private static final Member FIRST =
      new Member(
          new MemberName("a"),
          new Incarnation(1_796_163_423_780L),
          new InetSocketAddress("127.0.0.1", 1));
  private static final Member SECOND =
      new Member(new MemberName("b"), new Incarnation(2), new InetSocketAddress("::1", 7947));
  private static final ViewId VIEW_ID = new ViewId(7, 8);
  private static final MembershipMessage.MessageHeader HEADER =
      new MembershipMessage.MessageHeader(
          FIRST, 3, new ViewId(1_796_163_423_780L, 12), true, VIEW_ID);
  private static final Ballot BALLOT = new Ballot(5, FIRST.name(), FIRST.incarnation());
  private static final Ballot LOWER_BALLOT = new Ballot(4, SECOND.name(), SECOND.incarnation());
  private static final ConfigurationVersion CONFIGURATION =
      new ConfigurationVersion(3, "ab".repeat(32), FIRST.name());
  private static final ViewDelta DELTA =
      new ViewDelta(List.of(SECOND), List.of(FIRST), CONFIGURATION);
  private static final List<MemberName> NAMES = List.of(FIRST.name(), SECOND.name());
  private static final FiguresVersion VERSION = new FiguresVersion(new Incarnation(4), 1L << 41);

  private WireSamples() {}

  /** The samples by the name of the file with their bytes, which is the kind on the wire. */
  static Map<String, PeerMessage> messages() {
    Map<String, PeerMessage> samples = new LinkedHashMap<>();
    addMembershipMessages(samples);
    addViewChangeMessages(samples);
    addLeaseAgreementAndSharing(samples);
    return samples;
  }

  private static void addMembershipMessages(Map<String, PeerMessage> samples) {
    List<MemberUpdate> updates = new java.util.ArrayList<>();
    for (MemberCondition condition : MemberCondition.values()) {
      updates.add(new MemberUpdate(SECOND, 4, condition, FIRST.name()));
    }
    samples.put("Probe", new MembershipMessage.HealthCheck(HEADER, -9, SECOND.name(), updates));
    samples.put("Relay", new MembershipMessage.HealthCheckRequest(HEADER, 9, SECOND, updates));
    samples.put("Answer", new MembershipMessage.HealthCheckReply(HEADER, 9, true, updates));
    samples.put("Ask", new MembershipMessage.StateRequest(HEADER, SECOND.name()));
    samples.put("Part", new MembershipMessage.StatePart(HEADER, updates, true));
    samples.put("NameTaken", new MembershipMessage.NameTaken(HEADER, SECOND));
    samples.put("Found", new MembershipMessage.BootstrapRequest(HEADER, 1, List.of(FIRST, SECOND)));
    samples.put("Consent", new MembershipMessage.BootstrapConsent(HEADER, 1));
  }

  private static void addViewChangeMessages(Map<String, PeerMessage> samples) {
    samples.put("Prepare", new MembershipMessage.Prepare(HEADER, VIEW_ID, BALLOT, NAMES));
    samples.put(
        "Promise",
        new MembershipMessage.Promise(HEADER, VIEW_ID, BALLOT, LOWER_BALLOT, DELTA, NAMES));
    samples.put("Refuse", new MembershipMessage.Reject(HEADER, VIEW_ID, LOWER_BALLOT, BALLOT));
    samples.put("Accept", new MembershipMessage.Accept(HEADER, VIEW_ID, BALLOT, DELTA));
    samples.put("Accepted", new MembershipMessage.Accepted(HEADER, VIEW_ID, BALLOT));
    samples.put("Decided", new MembershipMessage.Decided(HEADER, VIEW_ID, DELTA));
    samples.put("AskView", new MembershipMessage.ViewRequest(HEADER, VIEW_ID, 48));
    samples.put(
        "ViewPart",
        new MembershipMessage.ViewPart(HEADER, VIEW_ID, 1, 2, List.of(SECOND), CONFIGURATION));
  }

  private static void addLeaseAgreementAndSharing(Map<String, PeerMessage> samples) {
    samples.put("Renew", new LeaseMessage.LeaseRenewal(HEADER, -1));
    samples.put("Granted", new LeaseMessage.LeaseGrant(HEADER, 1));
    samples.put("Offer", new AgreementMessage.VersionOffer(HEADER, CONFIGURATION, 99));
    samples.put("Checked", new AgreementMessage.VersionCheck(HEADER, CONFIGURATION, "no"));
    samples.put("Want", new AgreementMessage.ContentRequest(HEADER, CONFIGURATION.hash(), 4));
    samples.put(
        "Piece",
        new AgreementMessage.ContentPart(HEADER, CONFIGURATION.hash(), 1, 3, new byte[] {7, -8}));
    Map<MemberName, SharingMessage.KnownVersion> known =
        Map.of(SECOND.name(), new SharingMessage.KnownVersion(VERSION, new TimeSpan(7)));
    samples.put(
        "ShareAsk",
        new SharingPeerMessage.SharingRequest(
            HEADER, new SharingMessage.UpdateRequest(FIRST.name(), -5, known)));
    FiguresUpdate update =
        new FiguresUpdate(
            SECOND.name(),
            VERSION,
            new MemberFigures(Map.of("spread.demand", 3L)),
            new TimeSpan(11));
    SharingMessage.Reaffirmation reaffirmation =
        new SharingMessage.Reaffirmation(FIRST.name(), VERSION, new TimeSpan(1));
    samples.put(
        "ShareNewer",
        new SharingPeerMessage.SharingReply(
            HEADER,
            new SharingMessage.UpdateReply(
                FIRST.name(), 9, List.of(update), List.of(reaffirmation))));
    samples.put("Borrow", new CapacityLeaseMessage.LeaseRequest(HEADER, 4, 5));
    samples.put("Lent", new CapacityLeaseMessage.LeaseGrant(HEADER, 4, 5, 6));
    samples.put("AskReports", new LoadReportMessage.ReportsRequest(HEADER, 8));
    samples.put(
        "Table",
        new LoadReportMessage.ReportsReply(
            HEADER, 8, new long[] {1, Long.MAX_VALUE}, new int[] {0, 9}, new int[] {3, 4}));
    samples.put("Beg", new RetryBudgetMessage.BudgetRequest(HEADER, 3, 4));
    samples.put(
        "Give",
        new RetryBudgetMessage.BudgetTransfer(HEADER, 3, new long[] {5, 7}, new long[] {8, 9}));
  }

  /** The persistent state of a member in the middle of a view change. */
  static PersistentState persistentState() {
    return new PersistentState(
        FIRST,
        3,
        new View(VIEW_ID, List.of(FIRST, SECOND), CONFIGURATION),
        BALLOT,
        LOWER_BALLOT,
        DELTA,
        new Incarnation(9),
        4,
        Map.of(7L, 8L),
        Map.of(1L, 2L),
        List.of(new byte[] {1, 2, 3}));
  }
}
