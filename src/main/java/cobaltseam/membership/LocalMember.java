package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.MessageHeader;

/**
 * This process as its peers see it: identity, status version, what it reports of its view, its
 * health score, and whether it is silent because another process holds its name.
 */
final class LocalMember {
  private static final int QUIET_PERIODS = 10;

  /** Bits of the status version for refutations within one start from a folder. */
  private static final int REFUTATION_BITS = 20;

  private final MembershipOptions options;
  private final DetectorOutput output;
  private final LocalHealth health = new LocalHealth();
  private Member member;
  private long statusVersion;
  private ViewId viewId = ViewId.NONE;
  private boolean seesMajority;
  private ViewId endedView = ViewId.NONE;
  private Timestamp quietUntil;

  LocalMember(MembershipOptions options, Member member, DetectorOutput output) {
    this.options = options;
    this.member = member;
    this.output = output;
  }

  Member member() {
    return member;
  }

  MemberName name() {
    return member.name();
  }

  LocalHealth health() {
    return health;
  }

  long statusVersion() {
    return statusVersion;
  }

  ViewId viewId() {
    return viewId;
  }

  boolean seesMajority() {
    return seesMajority;
  }

  /** The header of every message that this process sends now. */
  MessageHeader header() {
    return new MessageHeader(member, statusVersion, viewId, seesMajority, endedView);
  }

  /** This process as alive, under its current status version. */
  MemberUpdate aliveUpdate() {
    return update(MemberCondition.ALIVE);
  }

  MemberUpdate update(MemberCondition condition) {
    return new MemberUpdate(member, statusVersion, condition, member.name());
  }

  /** What this process reports of its view from now on. */
  void reportView(ViewId held, boolean hasMajority) {
    viewId = held;
    seesMajority = hasMajority;
  }

  /** What this process reports of lineages that have ended. */
  void reportEndedView(ViewId last) {
    endedView = last;
  }

  /** Counts the starts of this member from one folder, this one included. */
  void resume(long starts) {
    statusVersion = starts << REFUTATION_BITS;
  }

  /** Which start of a member with a folder a status version belongs to; zero without a folder. */
  static long startNumber(long statusVersion) {
    return statusVersion >>> REFUTATION_BITS;
  }

  /** Takes an incarnation above that one and above its own. */
  void takeIncarnationAbove(Incarnation other) {
    member = new Member(member.name(), member.incarnation().above(other), member.peerAddress());
    statusVersion = 0;
  }

  /** Refutes what was said under that status version. */
  void refute(long refuted) {
    statusVersion = refuted + 1;
    health.worsen();
  }

  boolean isSilenced(Timestamp now) {
    return quietUntil != null && now.isBefore(quietUntil);
  }

  /** Stays silent for some periods, since another live process holds the name. */
  void silence(Member nameHolder, Timestamp now) {
    if (!isSilenced(now)) {
      output.recordEvent(
          MembershipEvent.NAME_TAKEN,
          member.name(),
          "held by the process at " + nameHolder.peerAddress());
    }
    TimeSpan quiet = options.healthCheckInterval().times(QUIET_PERIODS);
    quietUntil = now.plus(quiet);
  }
}
