package cobaltseam.service;

import cobaltseam.dispatch.Dispatcher;
import cobaltseam.service.Counters.Count;

/**
 * The fleet-wide limit on retries. Called on the event-loop thread alone. Without a fleet it admits
 * every attempt.
 */
final class FleetRetryLimit {
  private final Dispatcher dispatcher;
  private final Counters counters;

  /** Null if no fleet limits retries. */
  private FleetBridge fleet;

  FleetRetryLimit(Dispatcher dispatcher, Counters counters) {
    this.dispatcher = dispatcher;
    this.counters = counters;
  }

  /** Has retries limited by this fleet. */
  void setFleet(FleetBridge bridge) {
    fleet = bridge;
  }

  /**
   * Passes the number of retries that are left to the dispatcher; to be called before it decides.
   */
  void updateDispatcher() {
    if (fleet != null) {
      dispatcher.setRemainingRetries(fleet.remainingRetries());
    }
  }

  /**
   * Counts an attempt that is about to start and, if it is a retry, takes it from the retry budget.
   *
   * @param earlierAttempts the number of earlier attempts of the same request
   * @return whether the attempt may be made; always true for a first attempt
   */
  boolean admitAttempt(int earlierAttempts) {
    if (fleet == null) {
      return true;
    }
    if (earlierAttempts == 0) {
      fleet.countFirstAttempt();
      return true;
    }
    return fleet.takeRetry();
  }

  /**
   * Counts a denied retry if a request ends without a result after at least one attempt while no
   * retry is left, since the request may have ended for that reason.
   *
   * @param attempts the number of attempts of the request
   */
  void recordIfRetryDenied(int attempts) {
    if (fleet != null && attempts > 0 && fleet.remainingRetries() < 1) {
      counters.add(Count.REPEATS_DENIED);
      fleet.countDeniedRetry();
    }
  }
}
