package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.List;

/**
 * Begins another lineage on an operator's order, after the majority of a view is lost for good. It
 * refuses while that majority may live.
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

  /** Ends the lineage of this view and begins another one alone, or records why not. */
  void run(ViewId lost, Timestamp now) {
    String refusal = refusal(lost, now);
    if (refusal != null) {
      actions.recordEvent(
          MembershipEvent.NOT_FOUNDED_ANEW,
          detector.self().name(),
          "view " + lost + ": " + refusal);
      return;
    }
    actions.recordEvent(
        MembershipEvent.FOUNDED_ANEW, detector.self().name(), "in place of view " + lost);
    long lineage = nextLineage(localView.view());
    lineages.recordEnded(lost);
    localView.leaveLineage(MembershipEvent.LINE_LEFT, "an operator ended the lineage", now);
    detector.startIncarnationAbove(new Incarnation(lineage - 1));
    Member self = detector.self();
    View first = View.of(new ViewId(self.incarnation().value(), 1), List.of(self));
    localView.setState(ViewState.of(first), now);
  }

  /**
   * A lineage is numbered by the incarnation that began it, and of two the lower number is the
   * elder. This number is above all that are known here, and no other member of the lost view
   * chooses the same: each takes the next one with its own remainder.
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

  /** Why this process must not re-bootstrap now; null if it may. */
  private String refusal(ViewId lost, Timestamp now) {
    View view = localView.view();
    if (view == null || !view.id().equals(lost)) {
      return "it holds view " + (view == null ? "none" : view.id());
    }
    if (quorum.state() != QuorumState.MINORITY) {
      return "its quorum state is " + quorum.state().label();
    }
    TimeSpan silent = quorum.silenceOfLostMajority();
    Timestamp since = quorum.minoritySince();
    if (since == null || now.since(since).compareTo(silent) < 0) {
      return "a majority was alive less than " + silent.us() / 1000 + " ms ago";
    }
    for (Member member : view.members()) {
      if (!isPresent(member) && !isSurelyGone(member, silent, now)) {
        return member.name() + " may be alive";
      }
    }
    return null;
  }

  private boolean isPresent(Member member) {
    return member.name().equals(detector.self().name()) || detector.isAlive(member);
  }

  /** Whether another process has its name, or it is gone and has been silent for that long. */
  private boolean isSurelyGone(Member member, TimeSpan silent, Timestamp now) {
    Peer peer = detector.peer(member.name());
    if (peer == null) {
      return false;
    }
    boolean isSilent =
        peer.lastReceivedAt() == null || now.since(peer.lastReceivedAt()).compareTo(silent) >= 0;
    return !peer.isSameProcess(member) || peer.isDeadOrLeft() && isSilent;
  }
}
