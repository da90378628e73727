package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Tracks whether a majority of the installed view is alive according to the failure detector. After
 * this process was suspended, or restarted from its folder, a majority must confirm the view first.
 */
final class QuorumTracker implements ViewListener {
  /** A loss of the majority that lasts longer than this counts as a partition. */
  private static final double PARTITION_AFTER_PERIODS = 3;

  /** Suspicion timeouts without a majority after which the majority is presumed lost. */
  private static final double LOST_AFTER_SUSPICION_TIMEOUTS = 3;

  /** Periods after the end of a partition in which no member is removed for being dead. */
  private static final double HEALING_PERIODS = 8;

  private final MembershipOptions options;
  private final FailureDetector detector;
  private final LocalView localView;
  private boolean isRestoredViewUnconfirmed;
  private boolean isIsolated;

  /** Since when a confirmation by a majority is awaited; null if none is required. */
  private Timestamp confirmationRequiredSince;

  /** Whether a majority had enough time to confirm the view and did not. */
  private boolean isConfirmationOverdue;

  private Timestamp minoritySince;
  private Timestamp healedAt;

  /** The view for which {@link #aliveCount} was counted. */
  private View countedView;

  /** The version of the failure detector for which {@link #aliveCount} was counted. */
  private long countedVersion = -1;

  private int aliveCount;

  /**
   * @param isRestoredViewUnconfirmed whether the view comes from the folder; then this process does
   *     not vote before it has received messages from a majority, one of which may show that the
   *     folder is an old copy
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
      confirmationRequiredSince = null;
    }
  }

  QuorumState state() {
    View view = localView.view();
    if (view == null) {
      return QuorumState.NONE;
    }
    boolean isIsolatedFromOthers = isIsolated && view.members().size() > 1;
    boolean seesMajority = aliveCount() >= view.majority() && !isIsolatedFromOthers;
    if (confirmationRequiredSince != null) {
      return isConfirmationOverdue && !seesMajority
          ? QuorumState.MINORITY
          : QuorumState.UNCONFIRMED;
    }
    return seesMajority ? QuorumState.MAJORITY : QuorumState.MINORITY;
  }

  boolean hasMajority() {
    return state() == QuorumState.MAJORITY;
  }

  /** Whether the view was restored from the folder and no majority has confirmed it yet. */
  boolean isRestoredViewUnconfirmed() {
    return isRestoredViewUnconfirmed;
  }

  /** Since when this process has seen no majority; null with a majority or without a view. */
  Timestamp minoritySince() {
    return minoritySince;
  }

  /** Whether a partition ended so recently that members may still become reachable again. */
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

  /** Whether all members of the view are alive and no peer outside the view is known. */
  boolean areAllPeersAliveMembers() {
    int members = localView.view().members().size();
    return aliveCount() == members && detector.peers().size() == members - 1;
  }

  /**
   * Sends a health check to all members. The quorum state is {@link QuorumState#UNCONFIRMED} until
   * a majority has answered. If no majority is alive to answer, the state becomes {@link
   * QuorumState#MINORITY} after {@link #majorityLossTimeout}; it never becomes {@link
   * QuorumState#MAJORITY} without the answers.
   */
  void requireConfirmation(Timestamp now) {
    confirmationRequiredSince = now;
    isConfirmationOverdue = false;
    detector.checkAll(localView.view().members(), now);
  }

  /**
   * Completes the confirmation once a majority has sent messages since it was required and has
   * reported no later view.
   */
  void updateConfirmation(Timestamp now) {
    View view = localView.view();
    if (confirmationRequiredSince == null || view == null) {
      confirmationRequiredSince = null;
      return;
    }
    int confirmations = 1;
    for (Member member : view.members()) {
      Peer peer = detector.peer(member.name());
      boolean hasAnswered =
          peer != null
              && peer.lastReceivedAt() != null
              && !peer.lastReceivedAt().isBefore(confirmationRequiredSince)
              && peer.isSameProcess(member);
      confirmations += hasAnswered && !peer.viewId().isAfter(view.id()) ? 1 : 0;
    }
    if (confirmations >= view.majority()) {
      confirmationRequiredSince = null;
      if (isRestoredViewUnconfirmed) {
        isRestoredViewUnconfirmed = false;
        localView.confirmRestored(now);
      }
    }
  }

  /** How long this process must have seen no majority before the majority is presumed lost. */
  TimeSpan majorityLossTimeout() {
    return detector.minSuspicionTimeout().times(LOST_AFTER_SUSPICION_TIMEOUTS);
  }

  /** Whether this process has seen no majority for {@link #majorityLossTimeout}. */
  boolean isMajorityPresumedLost(Timestamp now) {
    return state() == QuorumState.MINORITY
        && minoritySince != null
        && now.since(minoritySince).compareTo(majorityLossTimeout()) >= 0;
  }

  /** Updates the start and the end of a loss of the majority, and reports the view to peers. */
  void update(Timestamp now) {
    isConfirmationOverdue =
        confirmationRequiredSince != null
            && now.since(confirmationRequiredSince).compareTo(majorityLossTimeout()) >= 0;
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
