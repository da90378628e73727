package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.MessageHeader;

/**
 * Decides when this process leaves its lineage: when the lineage has ended, when it can have no
 * further view, when another lineage takes precedence, or when the state folder is an old copy.
 */
final class LineageGuard {
  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final QuorumTracker quorum;
  private final ActionBuffer actions;

  LineageGuard(
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
   * Leaves the lineage if so many members of the view have restarted without their state that no
   * majority remains. Restarted members have lost their promises and have no vote in the view, so
   * it can have no successor.
   */
  void leaveUnrecoverableLineage(Timestamp now) {
    View view = localView.view();
    if (view == null) {
      View removedBy = localView.removedBy();
      if (removedBy != null && isUnrecoverable(removedBy)) {
        lineages.recordEnded(removedBy.id());
        localView.clearRemovedBy();
      }
    } else if (!localView.containsSelf(view)) {
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT,
          "view " + view.id() + " contains another incarnation of this member",
          now);
    } else if (!quorum.areAllPeersAliveMembers() && isUnrecoverable(view)) {
      lineages.recordEnded(view.id());
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT,
          "too few members of view " + view.id() + " have kept their state for a majority",
          now);
    }
  }

  /** Whether too few of the view's processes remain for a majority of it. */
  private boolean isUnrecoverable(View view) {
    int replaced = 0;
    for (Member member : view.members()) {
      replaced += isReplaced(member) ? 1 : 0;
    }
    return view.members().size() - replaced < view.majority();
  }

  /** Whether the member has another incarnation now, which has no vote in the view. */
  private boolean isReplaced(Member member) {
    Member self = detector.self();
    if (member.name().equals(self.name())) {
      return !member.incarnation().equals(self.incarnation());
    }
    Peer peer = detector.peer(member.name());
    return peer != null && peer.member().incarnation().compareTo(member.incarnation()) > 0;
  }

  /**
   * Leaves a lineage that has ended. This process may have missed the last views of the lineage and
   * would wait for members that have left it.
   */
  void leaveEndedLineage(Timestamp now) {
    View view = localView.view();
    if (view != null
        && lineages.hasEnded(view.id())
        && (lineages.hasEndedLater(view.id()) || quorum.state() == QuorumState.MINORITY)) {
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT, "the lineage of view " + view.id() + " has ended", now);
    }
  }

  /**
   * Leaves the lineage for that of a peer. Two lineages can exist if all bootstrap members lost
   * their state while partitioned from the other members, or after a re-bootstrap. Of two lineages
   * with a majority the older one takes precedence; a lineage with a majority takes precedence over
   * one without.
   */
  void leaveForOtherLineage(MessageHeader peer, Timestamp now) {
    View view = localView.view();
    if (view == null || !peer.seesMajority()) {
      return;
    }
    long own = view.id().lineage();
    long other = peer.view().lineage();
    if (other != 0
        && other != own
        && lineages.canJoin(peer.view())
        && (other < own || quorum.isMajorityPresumedLost(now))) {
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT,
          "the lineage of view " + peer.view() + " takes precedence",
          now);
    }
  }

  /**
   * Starts a new incarnation and leaves the lineage if the view that a peer reports shows that the
   * folder was restored from an old copy, which lacks later promises. A peer that is one view ahead
   * does not show that if this process has accepted a successor: its last state may have been
   * written just before the successor was decided.
   */
  void abandonOutdatedFolder(MessageHeader peer, Timestamp now) {
    if (!quorum.isRestoredViewUnconfirmed() || !peer.view().isAfter(localView.view().id())) {
      return;
    }
    ViewId own = localView.view().id();
    long viewsAhead = peer.view().number() - own.number();
    if (viewsAhead > 1 || localView.state().accepted() == null) {
      actions.recordEvent(
          MembershipEvent.FOLDER_OLD,
          detector.self().name(),
          "the folder has view " + own + ", a peer reports view " + peer.view());
      detector.startNewIncarnation();
      localView.leaveLineage(MembershipEvent.LINE_LEFT, "the folder may be an old copy", now);
    }
  }

  /**
   * Whether a view may still be installed at another process: at one that reported a view, even if
   * that process is considered dead, or at the members that removed this process. That is ruled out
   * only by a later incarnation of the reporting member, or by the end of the lineage.
   */
  boolean isExistingViewKnown() {
    View removedBy = localView.removedBy();
    return removedBy != null && !lineages.hasEnded(removedBy.id())
        || detector.peers().stream()
            .anyMatch(p -> !p.viewId().equals(ViewId.NONE) && !lineages.hasEnded(p.viewId()));
  }
}
