package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Whether a majority of the held view seems alive, and whether it has to confirm the view first:
 * after this process was stopped for a while, or has been restarted from its folder.
 */
final class QuorumTracker implements ViewListener {
  /** A minority that lasted longer than this counts as a partition. */
  private static final double PARTITION_AFTER_PERIODS = 3;

  /**
   * For so many suspicion timeouts a missing majority must be silent before it is taken for lost.
   */
  private static final double SILENT_SUSPICION_TIMEOUTS = 3;

  /** For so long after a partition healed, nobody is removed for being dead. */
  private static final double HEALING_PERIODS = 8;

  private final MembershipOptions options;
  private final FailureDetector detector;
  private final LocalView localView;
  private boolean isRestoredViewUnconfirmed;
  private boolean isIsolated;
  private Timestamp confirmFrom;

  /** Whether a majority had time to confirm the view since {@link #confirmFrom}, and did not. */
  private boolean isConfirmationOverdue;

  private Timestamp minoritySince;
  private Timestamp healedAt;

  /** The alive members are counted again only if the view or the detector's version changes. */
  private View countedView;

  private long countedVersion = -1;
  private int aliveCount;

  /**
   * @param isRestoredViewUnconfirmed whether the view comes from the folder; then this process does
   *     not vote before a majority is heard, of which one member may know that the folder is old
   */
  QuorumTracker(
      MembershipOptions options,
      FailureDetector detector,
      LocalView localView,
      boolean isRestoredViewUnconfirmed) {
    this.options = options;
    this.detector = detector;
    this.localView = localView;
    this.isRestoredViewUnconfirmed = isRestoredViewUnconfirmed;
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    isRestoredViewUnconfirmed = false;
    detector.reportView(view == null ? ViewId.NONE : view.id(), hasMajority());
    if (view == null) {
      confirmFrom = null;
    }
  }

  QuorumState state() {
    View view = localView.view();
    if (view == null) {
      return QuorumState.NONE;
    }
    boolean isCutOff = isIsolated && view.members().size() > 1;
    boolean seesMajority = aliveCount() >= view.majority() && !isCutOff;
    if (confirmFrom != null) {
      return isConfirmationOverdue && !seesMajority
          ? QuorumState.MINORITY
          : QuorumState.UNCONFIRMED;
    }
    return seesMajority ? QuorumState.MAJORITY : QuorumState.MINORITY;
  }

  boolean hasMajority() {
    return state() == QuorumState.MAJORITY;
  }

  /** Whether the view comes from the folder and no majority has confirmed it yet. */
  boolean isRestoredViewUnconfirmed() {
    return isRestoredViewUnconfirmed;
  }

  /** Since when there is no majority; null while there is one, and without a view. */
  Timestamp minoritySince() {
    return minoritySince;
  }

  /** Whether a partition healed a short while ago, so that members may still come back. */
  boolean isHealing(Timestamp now) {
    return healedAt != null && now.since(healedAt).compareTo(periods(HEALING_PERIODS)) < 0;
  }

  private TimeSpan periods(double count) {
    return options.healthCheckInterval().times(count);
  }

  private int aliveCount() {
    View view = localView.view();
    if (countedView != view || countedVersion != detector.version()) {
      countedView = view;
      countedVersion = detector.version();
      aliveCount = 0;
      for (Member member : view.members()) {
        aliveCount += detector.isAlive(member) ? 1 : 0;
      }
    }
    return aliveCount;
  }

  /** Whether all members of the view seem alive, and no other process is known. */
  boolean areAllPeersAliveMembers() {
    int members = localView.view().members().size();
    return aliveCount() == members && detector.peers().size() == members - 1;
  }

  /**
   * Asks all members, and counts as unsure until a majority has answered from now on. If none is
   * alive to answer, this process is a minority once that has lasted {@link
   * #silenceOfLostMajority}; it never counts as a majority without the answers.
   */
  void requireConfirmation(Timestamp now) {
    confirmFrom = now;
    isConfirmationOverdue = false;
    detector.checkAll(localView.view().members(), now);
  }

  /** Ends the uncertainty if a majority has been heard and none of it holds a later view. */
  void updateConfirmation(Timestamp now) {
    View view = localView.view();
    if (confirmFrom == null || view == null) {
      confirmFrom = null;
      return;
    }
    int confirmations = 1;
    for (Member member : view.members()) {
      Peer peer = detector.peer(member.name());
      boolean wasHeard =
          peer != null
              && peer.lastReceivedAt() != null
              && !peer.lastReceivedAt().isBefore(confirmFrom)
              && peer.isSameProcess(member);
      confirmations += wasHeard && !peer.viewId().isAfter(view.id()) ? 1 : 0;
    }
    if (confirmations >= view.majority()) {
      confirmFrom = null;
      if (isRestoredViewUnconfirmed) {
        isRestoredViewUnconfirmed = false;
        localView.confirmRestored(now);
      }
    }
  }

  /** How long the missing members must be silent before a majority is taken for lost. */
  TimeSpan silenceOfLostMajority() {
    return detector.minSuspicionTimeout().times(SILENT_SUSPICION_TIMEOUTS);
  }

  /** Whether the missing majority has been silent for long enough to be taken for lost. */
  boolean isLastingMinority(Timestamp now) {
    return state() == QuorumState.MINORITY
        && minoritySince != null
        && now.since(minoritySince).compareTo(silenceOfLostMajority()) >= 0;
  }

  /** Notices the begin and the end of a partition, and reports the view to the peers. */
  void update(Timestamp now) {
    isConfirmationOverdue =
        confirmFrom != null && now.since(confirmFrom).compareTo(silenceOfLostMajority()) >= 0;
    isIsolated = detector.isIsolated(now);
    if (!localView.hasView() || hasMajority()) {
      boolean wasPartitioned =
          minoritySince != null
              && now.since(minoritySince).compareTo(periods(PARTITION_AFTER_PERIODS)) > 0;
      healedAt = wasPartitioned ? now : healedAt;
      minoritySince = null;
    } else if (minoritySince == null) {
      minoritySince = now;
    }
    if (localView.hasView()) {
      detector.reportView(localView.view().id(), hasMajority());
    }
  }
}
