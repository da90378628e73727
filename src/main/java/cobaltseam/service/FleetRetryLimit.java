package cobaltseam.service;

import cobaltseam.dispatch.Dispatcher;
import cobaltseam.service.Counters.Count;

/**
 * The limit that the fleet sets on retries, on the event-loop thread. Without a fleet it allows
 * every attempt.
 */
final class FleetRetryLimit {
  private final Dispatcher dispatcher;
  private final Counters counters;

  /** Null where no fleet limits retries. */
  private FleetBridge fleet;

  FleetRetryLimit(Dispatcher dispatcher, Counters counters) {
    this.dispatcher = dispatcher;
    this.counters = counters;
  }

  /** From now on this fleet limits retries. */
  void setFleet(FleetBridge bridge) {
    fleet = bridge;
  }

  /** Passes the number of retries that are left to the decision module, before it decides. */
  void updateDispatcher() {
    if (fleet != null) {
      dispatcher.setRemainingRetries(fleet.remainingRetries());
    }
  }

  /**
   * Counts an attempt that is about to start.
   *
   * @param earlierAttempts how many attempts of its request there were before
   * @return whether it is allowed; a first attempt always is
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
   * Counts a request that ends without a result, after an attempt, while no retry is left: it may
   * have ended because of that.
   *
   * @param attempts how many attempts of the request there were
   */
  void recordIfRetryDenied(int attempts) {
    if (fleet != null && attempts > 0 && fleet.remainingRetries() < 1) {
      counters.add(Count.REPEATS_DENIED);
      fleet.countDeniedRetry();
    }
  }
}
