package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.HashSet;
import java.util.Set;

/**
 * What this process knows of another process. {@link PeerTable} and {@link UpdateProcessor} change
 * it; everything else reads it.
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

  /** Whether this is the process with that incarnation, and not an earlier or later one. */
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

  /** Whether it is dead or has left. */
  boolean isDeadOrLeft() {
    return condition.compareTo(MemberCondition.DEAD) >= 0;
  }

  Timestamp conditionSince() {
    return conditionSince;
  }

  /** When this process last received a message from it; null if never. */
  Timestamp lastReceivedAt() {
    return lastReceivedAt;
  }

  /** When the current suspicion began; null if it was never suspected. */
  Timestamp suspectedAt() {
    return suspectedAt;
  }

  /** Until when it can refute the current suspicion. */
  Timestamp suspicionExpiresAt() {
    return suspicionExpiresAt;
  }

  /** The members that suspect it; empty unless it is suspected. */
  Set<MemberName> suspectedBy() {
    return suspectedBy;
  }

  /** The round trip of its last answered health check; null before the first. */
  TimeSpan roundTrip() {
    return roundTrip;
  }

  /** The view that it last reported to hold. */
  ViewId viewId() {
    return viewId;
  }

  /** Its condition as an update to send; {@code self} is the reporter if nobody suspects it. */
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

  void setCondition(MemberCondition to, Timestamp now) {
    if (condition != to) {
      conditionSince = now;
    }
    condition = to;
    if (to != MemberCondition.SUSPECT) {
      suspectedBy.clear();
    }
  }

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

  /** A later process of the same name takes its place; the caller sets its condition. */
  void replaceProcess(Member later, long version, Timestamp now) {
    member = later;
    statusVersion = version;
    lastReceivedAt = null;
    viewId = ViewId.NONE;
    conditionSince = now;
  }

  void recordMessage(ViewId heldView, Timestamp now) {
    lastReceivedAt = now;
    viewId = heldView;
  }

  void setRoundTrip(TimeSpan time) {
    roundTrip = time;
  }
}
