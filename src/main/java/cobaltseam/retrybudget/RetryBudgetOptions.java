package cobaltseam.retrybudget;

import cobaltseam.dispatch.TimeSpan;

/**
 * The options for limiting retries over a fleet.
 *
 * @param retryRatio the retries that each first attempt earns
 * @param standaloneRetriesPerWindow the retries that each process earns in addition in each window
 * @param window the time within which an earned retry may be spent
 * @param exchangeInterval the time between two requests to other members
 * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
 */
public record RetryBudgetOptions(
    double retryRatio,
    double standaloneRetriesPerWindow,
    TimeSpan window,
    TimeSpan exchangeInterval,
    double maxClockRateRatio) {
  public RetryBudgetOptions {
    if (!(retryRatio >= 0)
        || !(standaloneRetriesPerWindow >= 0)
        || !window.isPositive()
        || !exchangeInterval.isPositive()
        || exchangeInterval.compareTo(window) >= 0) {
      throw new IllegalArgumentException(
          "the retry ratio and the standalone retries must be at least 0, the window above 0, and the"
              + " exchange interval above 0 and below the window");
    }
  }
}
