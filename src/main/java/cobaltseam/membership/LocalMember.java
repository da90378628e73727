package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.MessageHeader;

/**
 * The status of this process that it reports to its peers: identity, status version and view. Also
 * its health score, and whether it is silenced because another live process uses its name.
 */
final class LocalMember {
  /** How long a process is silenced after a peer has reported that its name is in use. */
  private static final int SILENCE_PERIODS = 10;

  /**
   * The low bits of the status version count refutations within one start of the process; the bits
   * above them contain the start number.
   */
  private static final int REFUTATION_BITS = 20;

  private final MembershipOptions options;
  private final DetectorOutput output;
  private final LocalHealth health = new LocalHealth();
  private Member member;
  private long statusVersion;
  private ViewId viewId = ViewId.NONE;
  private boolean seesMajority;
  private ViewId endedView = ViewId.NONE;
  private Timestamp silencedUntil;

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

  /** An update that reports this process as alive, with its current status version. */
  MemberUpdate aliveUpdate() {
    return statusUpdate(MemberCondition.ALIVE);
  }

  /** An update that reports this process in a condition, with its current status version. */
  MemberUpdate statusUpdate(MemberCondition condition) {
    return new MemberUpdate(member, statusVersion, condition, member.name());
  }

  /**
   * Sets the view status that the headers of subsequent messages report.
   *
   * @param installed the installed view, or {@link ViewId#NONE}
   * @param hasMajority whether this process considers a majority of that view alive
   */
  void reportView(ViewId installed, boolean hasMajority) {
    viewId = installed;
    seesMajority = hasMajority;
  }

  /**
   * Sets the ended view that the headers of subsequent messages report.
   *
   * @param lastView the last view of a lineage that has ended
   */
  void reportEndedView(ViewId lastView) {
    endedView = lastView;
  }

  /**
   * Sets how often this member has been started with the same state folder, which starts its status
   * version above those of earlier starts.
   *
   * @param starts the number of starts, including the current one
   */
  void setStartNumber(long starts) {
    statusVersion = starts << REFUTATION_BITS;
  }

  /**
   * The number of the start that a status version belongs to, counted from 1; zero for a process
   * without a state folder.
   */
  static long startNumber(long statusVersion) {
    return statusVersion >>> REFUTATION_BITS;
  }

  /** Changes to an incarnation above {@code other} and not below the current one. */
  void advanceIncarnationAbove(Incarnation other) {
    member = new Member(member.name(), member.incarnation().above(other), member.peerAddress());
    statusVersion = 0;
  }

  /**
   * Refutes an update about this process by a higher status version, and worsens the health score.
   *
   * @param refuted the status version of the update
   */
  void refute(long refuted) {
    statusVersion = refuted + 1;
    health.worsen();
  }

  /** Whether this process takes no part in the protocol because a live process uses its name. */
  boolean isSilenced(Timestamp now) {
    return silencedUntil != null && now.isBefore(silencedUntil);
  }

  /**
   * Silences this process for {@link #SILENCE_PERIODS}.
   *
   * @param nameOwner the live process that uses the same name
   */
  void silence(Member nameOwner, Timestamp now) {
    if (!isSilenced(now)) {
      output.recordEvent(
          MembershipEvent.NAME_TAKEN,
          member.name(),
          "the name is in use by the process at " + nameOwner.peerAddress());
    }
    TimeSpan duration = options.healthCheckInterval().times(SILENCE_PERIODS);
    silencedUntil = now.plus(duration);
  }
}
