package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.List;

/**
 * Bootstraps a new lineage on an operator's order after the majority of a view is permanently lost.
 * The order is rejected while that majority may still be alive.
 */
final class Rebootstrap {
  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final QuorumTracker quorum;
  private final ActionBuffer actions;

  Rebootstrap(
      FailureDetector detector,
      LocalView localView,
      LineageHistory lineages,
      QuorumTracker quorum,
      ActionBuffer actions) {
    this.detector = detector;
    this.localView = localView;
    this.lineages = lineages;
    this.quorum = quorum;
    this.actions = actions;
  }

  /**
   * Ends the lineage of a view and begins a new one with this process as the only member, or
   * records why the order is rejected.
   *
   * @param lost the view whose majority is lost
   */
  void run(ViewId lost, Timestamp now) {
    String rejectionReason = rejectionReason(lost, now);
    if (rejectionReason != null) {
      actions.recordEvent(
          MembershipEvent.NOT_FOUNDED_ANEW,
          detector.self().name(),
          "view " + lost + ": " + rejectionReason);
      return;
    }
    actions.recordEvent(
        MembershipEvent.FOUNDED_ANEW,
        detector.self().name(),
        "replaces the lineage of view " + lost);
    long lineage = nextLineage(localView.view());
    lineages.recordEnded(lost);
    localView.leaveLineage(MembershipEvent.LINE_LEFT, "an operator ended the lineage", now);
    detector.startIncarnationAbove(new Incarnation(lineage - 1));
    Member self = detector.self();
    View firstView = View.of(new ViewId(self.incarnation().value(), 1), List.of(self));
    localView.setState(ViewState.of(firstView), now);
  }

  /**
   * The number of the new lineage. A lineage is numbered by the incarnation of the process that
   * began it, and of two lineages the one with the lower number is the older. The new number is
   * higher than that of the lost lineage and than all incarnations known to this process. No other
   * member of the lost view chooses the same number: modulo the size of that view, the number
   * equals the index of the choosing member.
   */
  private long nextLineage(View lostView) {
    List<Member> members = lostView.members();
    long highest = Math.max(lostView.id().lineage(), detector.self().incarnation().value());
    for (Member member : members) {
      highest = Math.max(highest, member.incarnation().value());
    }
    for (Peer peer : detector.peers()) {
      highest = Math.max(highest, peer.member().incarnation().value());
    }
    long next = highest + 1;
    return next + Math.floorMod(members.indexOf(detector.self()) - next, members.size());
  }

  /** Why this process must not re-bootstrap now; null if re-bootstrapping is safe. */
  private String rejectionReason(ViewId lost, Timestamp now) {
    View view = localView.view();
    if (view == null || !view.id().equals(lost)) {
      return view == null ? "no view is installed" : "the installed view is " + view.id();
    }
    if (quorum.state() != QuorumState.MINORITY) {
      return "the quorum state is " + quorum.state().label();
    }
    TimeSpan requiredSilence = quorum.majorityLossTimeout();
    Timestamp since = quorum.minoritySince();
    if (since == null || now.since(since).compareTo(requiredSilence) < 0) {
      return "a majority of the view was alive less than "
          + requiredSilence.us() / 1000
          + " ms ago";
    }
    for (Member member : view.members()) {
      if (!isPresent(member) && !isConfirmedLost(member, requiredSilence, now)) {
        return "member " + member.name() + " may be alive";
      }
    }
    return null;
  }

  private boolean isPresent(Member member) {
    return member.name().equals(detector.self().name()) || detector.isAlive(member);
  }

  /**
   * Whether another incarnation has replaced the member, or the member is dead or has left and has
   * sent nothing for the required time.
   */
  private boolean isConfirmedLost(Member member, TimeSpan requiredSilence, Timestamp now) {
    Peer peer = detector.peer(member.name());
    if (peer == null) {
      return false;
    }
    boolean isSilent =
        peer.lastReceivedAt() == null
            || now.since(peer.lastReceivedAt()).compareTo(requiredSilence) >= 0;
    return !peer.isSameProcess(member) || peer.isDeadOrLeft() && isSilent;
  }
}
