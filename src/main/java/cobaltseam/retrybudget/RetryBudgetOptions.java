package cobaltseam.retrybudget;

import cobaltseam.dispatch.TimeSpan;

/**
 * How retries are limited over a fleet.
 *
 * @param retryRatio retries for each first attempt
 * @param standaloneRetriesPerWindow retries in a window that each process earns in addition
 * @param window the time for which an earned retry may be spent
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
          "ratio and alone from 0, a round above 0 and below the window");
    }
  }
}
