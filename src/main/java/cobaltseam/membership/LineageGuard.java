package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.MessageHeader;

/**
 * Leaves a lineage of views that has ended, is dead, or has to give way to another; and an
 * incarnation whose folder turns out to be an old copy.
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
   * Gives up a view whose majority has restarted without memory: their promises are forgotten, so
   * it can have no successor.
   */
  void leaveUnrecoverableLineage(Timestamp now) {
    View view = localView.view();
    if (view == null) {
      View removedBy = localView.removedBy();
      if (removedBy != null && isDead(removedBy)) {
        lineages.recordEnded(removedBy.id());
        localView.clearRemovedBy();
      }
    } else if (!localView.containsSelf(view)) {
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT,
          "view " + view.id() + " contains a former process of this name",
          now);
    } else if (!quorum.areAllPeersAliveMembers() && isDead(view)) {
      lineages.recordEnded(view.id());
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT,
          "most members of view " + view.id() + " have restarted without their state",
          now);
    }
  }

  private boolean isDead(View view) {
    int replaced = 0;
    for (Member member : view.members()) {
      replaced += isReplaced(member) ? 1 : 0;
    }
    return view.members().size() - replaced < view.majority();
  }

  private boolean isReplaced(Member member) {
    Member self = detector.self();
    if (member.name().equals(self.name())) {
      return !member.incarnation().equals(self.incarnation());
    }
    Peer peer = detector.peer(member.name());
    return peer != null && peer.member().incarnation().compareTo(member.incarnation()) > 0;
  }

  /**
   * Leaves an ended lineage: this process may have missed its last views, and would wait for
   * members that have left it.
   */
  void leaveEndedLineage(Timestamp now) {
    View view = localView.view();
    if (view != null
        && lineages.hasEnded(view.id())
        && (lineages.hasEndedLater(view.id()) || quorum.state() == QuorumState.MINORITY)) {
      localView.leaveLineage(MembershipEvent.LINE_LEFT, "the lineage has ended", now);
    }
  }

  /**
   * Leaves the lineage for that of a peer. Two lineages can live if all bootstrap members forgot
   * theirs while cut off from the rest, or after a re-bootstrap. Of two with a majority the elder
   * wins; one with a majority wins against one without.
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
        && (other < own || quorum.isLastingMinority(now))) {
      localView.leaveLineage(
          MembershipEvent.LINE_LEFT, "for the lineage of view " + peer.view(), now);
    }
  }

  /**
   * Becomes another process if a peer shows that the folder was restored from an old copy, which
   * lacks later promises. One view ahead is no sign of that if a successor was accepted: then the
   * folder is from the last moment before it.
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
          "view " + own + ", a peer holds " + peer.view());
      detector.startNewIncarnation();
      localView.leaveLineage(MembershipEvent.LINE_LEFT, "its folder may be an old copy", now);
    }
  }

  /**
   * Whether a view may be held somewhere: by a process that reported one, however dead it seems, or
   * by those that removed this process. Only a later process of that name, or the end of the
   * lineage, shows that it is gone.
   */
  boolean isViewReported() {
    View removedBy = localView.removedBy();
    return removedBy != null && !lineages.hasEnded(removedBy.id())
        || detector.peers().stream()
            .anyMatch(p -> !p.viewId().equals(ViewId.NONE) && !lineages.hasEnded(p.viewId()));
  }
}
