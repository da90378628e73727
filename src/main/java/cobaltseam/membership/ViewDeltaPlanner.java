package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.List;

/**
 * Plans which members the next view should remove and add, and decides which proposed removals this
 * process votes against.
 */
final class ViewDeltaPlanner {
  /** The most members that one change removes, so that the change fits a datagram. */
  private static final int MAX_REMOVED = 128;

  /** The most members that one change adds, so that the change fits a datagram. */
  private static final int MAX_ADDED = 64;

  /**
   * The number of probe periods within which a message received from a process retains it, whatever
   * its condition according to other members.
   */
  private static final double RETAIN_IF_RECEIVED_WITHIN_PERIODS = 1.5;

  private final MembershipOptions options;
  private final FailureDetector detector;
  private final LocalView localView;
  private final QuorumTracker quorum;
  private final RemovedMembers removedMembers;

  ViewDeltaPlanner(
      MembershipOptions options,
      FailureDetector detector,
      LocalView localView,
      QuorumTracker quorum,
      RemovedMembers removedMembers) {
    this.options = options;
    this.detector = detector;
    this.localView = localView;
    this.quorum = quorum;
    this.removedMembers = removedMembers;
  }

  /** The change of members that this process would propose now; empty if none is needed. */
  ViewDelta plan(Timestamp now) {
    if (quorum.areAllPeersAliveMembers()) {
      return ViewDelta.NONE;
    }
    List<Member> removed = planRemovals(now);
    return new ViewDelta(removed, planAdditions(removed, now));
  }

  private List<Member> planRemovals(Timestamp now) {
    List<Member> removed = new ArrayList<>();
    // After a partition, members that become reachable last need time to refute their death.
    boolean isHealing = quorum.isHealing(now);
    for (Member member : localView.view().members()) {
      Peer peer = detector.peer(member.name());
      if (peer == null || isSelf(member.name())) {
        continue;
      }
      boolean isLost = peer.isDeadOrLeft() && !isHealing || !peer.isSameProcess(member);
      if (isLost && removed.size() < MAX_REMOVED) {
        removed.add(member);
      }
    }
    return removed;
  }

  private List<Member> planAdditions(List<Member> removed, Timestamp now) {
    View view = localView.view();
    List<Member> added = new ArrayList<>();
    for (Peer peer : detector.peers()) {
      Member current = view.memberNamed(peer.member().name());
      boolean isNameFree =
          current == null || removed.contains(current) && !peer.isSameProcess(current);
      if (isNameFree
          && peer.isAlive()
          && isAdmissible(peer, now)
          && added.size() < MAX_ADDED
          && view.members().size() - removed.size() + added.size()
              < ViewTransfer.MAX_VIEW_MEMBERS) {
        added.add(peer.member());
      }
    }
    return added;
  }

  private boolean isAdmissible(Peer peer, Timestamp now) {
    long lineage = peer.viewId().lineage();
    // A process with a view of another lineage installs this one only after it has left its own.
    boolean isOfOtherLineage = lineage != 0 && lineage != localView.view().id().lineage();
    return !isOfOtherLineage
        && now.since(peer.conditionSince()).compareTo(removedMembers.admissionDelay(peer.member()))
            >= 0;
  }

  private boolean isSelf(MemberName name) {
    return name.equals(detector.self().name());
  }

  /** Of the members to be removed, the ones whose removal this process votes against. */
  List<MemberName> retained(List<MemberName> removed, Timestamp now) {
    List<MemberName> retained = new ArrayList<>();
    for (MemberName name : removed) {
      Member member = localView.view().memberNamed(name);
      if (member != null && (isSelf(name) || isRetained(member, now))) {
        retained.add(name);
      }
    }
    return retained;
  }

  private boolean isRetained(Member member, Timestamp now) {
    Peer peer = detector.peer(member.name());
    if (peer == null || !peer.isSameProcess(member) || peer.condition() == MemberCondition.LEFT) {
      return false;
    }
    boolean hasRecentMessage =
        peer.lastReceivedAt() != null
            && now.since(peer.lastReceivedAt())
                    .compareTo(
                        options.healthCheckInterval().times(RETAIN_IF_RECEIVED_WITHIN_PERIODS))
                < 0;
    return peer.isAlive() || hasRecentMessage;
  }

  /**
   * Whether more than one member suspects the same member, so that it may have to be removed soon.
   */
  boolean hasConfirmedSuspect() {
    return localView.view().members().stream().anyMatch(this::isConfirmedSuspect);
  }

  private boolean isConfirmedSuspect(Member member) {
    Peer peer = detector.peer(member.name());
    return peer != null
        && peer.isSuspect()
        && peer.suspectedBy().size() > 1
        && peer.isSameProcess(member);
  }

  /**
   * The number of alive members that propose before this process. The order of proposers starts at
   * the next member with each view.
   */
  int proposerRank() {
    int rank = 0;
    View view = localView.view();
    int size = view.members().size();
    for (int i = 0; i < size; i++) {
      Member member = view.members().get((int) ((i + view.id().number()) % size));
      if (isSelf(member.name())) {
        return rank;
      }
      rank += detector.isAlive(member) ? 1 : 0;
    }
    return rank;
  }
}
