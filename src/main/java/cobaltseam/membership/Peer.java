package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.HashSet;
import java.util.Set;

/**
 * The status of another process as this process knows it. Other classes of the failure detector
 * change it; the classes above the failure detector only read it.
 */
final class Peer {
  private Member member;
  private long statusVersion;
  private MemberCondition condition = MemberCondition.ALIVE;
  private Timestamp conditionSince;
  private Timestamp lastReceivedAt;
  private Timestamp suspectedAt;
  private Timestamp suspicionExpiresAt;
  private final Set<MemberName> suspectedBy = new HashSet<>();
  private TimeSpan roundTrip;
  private ViewId viewId = ViewId.NONE;

  Peer(Member member, long statusVersion, Timestamp now) {
    this.member = member;
    this.statusVersion = statusVersion;
    conditionSince = now;
  }

  Member member() {
    return member;
  }

  /** Whether the peer has the incarnation of {@code other}, not an earlier or later one. */
  boolean isSameProcess(Member other) {
    return member.incarnation().equals(other.incarnation());
  }

  long statusVersion() {
    return statusVersion;
  }

  MemberCondition condition() {
    return condition;
  }

  boolean isAlive() {
    return condition == MemberCondition.ALIVE;
  }

  boolean isSuspect() {
    return condition == MemberCondition.SUSPECT;
  }

  /** Whether the peer is considered dead or has left. */
  boolean isDeadOrLeft() {
    return condition.compareTo(MemberCondition.DEAD) >= 0;
  }

  /** When the condition last changed, or the process was first known. */
  Timestamp conditionSince() {
    return conditionSince;
  }

  /** When this process last received a message from the peer; null if never. */
  Timestamp lastReceivedAt() {
    return lastReceivedAt;
  }

  /** When the last suspicion began; null if the peer was never suspected. */
  Timestamp suspectedAt() {
    return suspectedAt;
  }

  /** The deadline for refuting the last suspicion; null if the peer was never suspected. */
  Timestamp suspicionExpiresAt() {
    return suspicionExpiresAt;
  }

  /** The members that suspect the peer; empty unless it is suspected. */
  Set<MemberName> suspectedBy() {
    return suspectedBy;
  }

  /** The round-trip time of the last answered health check; null before the first. */
  TimeSpan roundTrip() {
    return roundTrip;
  }

  /** The installed view that the peer last reported; {@link ViewId#NONE} if none. */
  ViewId viewId() {
    return viewId;
  }

  /**
   * Its status as an update to send.
   *
   * @param self the name of this process, which is the reporter if no member suspects the peer
   */
  MemberUpdate toUpdate(MemberName self) {
    return new MemberUpdate(
        member,
        statusVersion,
        condition,
        suspectedBy.isEmpty() ? self : suspectedBy.iterator().next());
  }

  void setStatusVersion(long version) {
    statusVersion = version;
  }

  /** Sets the condition; a change to any but {@code SUSPECT} clears the suspecting members. */
  void setCondition(MemberCondition to, Timestamp now) {
    if (condition != to) {
      conditionSince = now;
    }
    condition = to;
    if (to != MemberCondition.SUSPECT) {
      suspectedBy.clear();
    }
  }

  /** Records that a suspicion begins, as reported by one member. */
  void beginSuspicion(MemberName by, Timestamp now) {
    suspectedBy.clear();
    suspectedBy.add(by);
    suspectedAt = now;
  }

  void setSuspicionExpiry(Timestamp at) {
    suspicionExpiresAt = at;
  }

  void setMember(Member current) {
    member = current;
  }

  /** Replaces the process by a later one of the same name; the caller sets its condition. */
  void replaceProcess(Member successor, long version, Timestamp now) {
    member = successor;
    statusVersion = version;
    lastReceivedAt = null;
    viewId = ViewId.NONE;
    conditionSince = now;
  }

  /** Records that a message of the peer was received, with the view that it reported. */
  void recordMessage(ViewId reportedView, Timestamp now) {
    lastReceivedAt = now;
    viewId = reportedView;
  }

  void setRoundTrip(TimeSpan time) {
    roundTrip = time;
  }
}
