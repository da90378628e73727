package cobaltseam.repeats;

import cobaltseam.dispatch.TimeSpan;

/**
 * How further sends are capped over a fleet.
 *
 * @param ratio further sends for each first one
 * @param alone further sends in a window that each process has beside, whatever it knows
 * @param window for which what was earned may be spent
 * @param round between two looks at whom to ask
 * @param clockRates by which part the rates of two clocks differ at most
 */
public record Terms(
    double ratio, double alone, TimeSpan window, TimeSpan round, double clockRates) {
  public Terms {
    if (!(ratio >= 0)
        || !(alone >= 0)
        || !window.isPositive()
        || !round.isPositive()
        || round.compareTo(window) >= 0) {
      throw new IllegalArgumentException(
          "ratio and alone from 0, a round above 0 and below the window");
    }
  }
}
