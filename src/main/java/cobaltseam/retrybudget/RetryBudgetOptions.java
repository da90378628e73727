package cobaltseam.retrybudget;

import cobaltseam.dispatch.TimeSpan;

/**
 * How further sends are capped over a fleet.
 *
 * @param ratio further sends for each first one
 * @param standaloneRate further sends in a window that each process has beside, whatever it knows
 * @param window for which what was earned may be spent
 * @param exchangeInterval between two looks at whom to ask
 * @param maxClockRateRatio by which part the rates of two clocks differ at most
 */
public record RetryBudgetOptions(
    double ratio,
    double standaloneRate,
    TimeSpan window,
    TimeSpan exchangeInterval,
    double maxClockRateRatio) {
  public RetryBudgetOptions {
    if (!(ratio >= 0)
        || !(standaloneRate >= 0)
        || !window.isPositive()
        || !exchangeInterval.isPositive()
        || exchangeInterval.compareTo(window) >= 0) {
      throw new IllegalArgumentException(
          "ratio and alone from 0, a round above 0 and below the window");
    }
  }
}
