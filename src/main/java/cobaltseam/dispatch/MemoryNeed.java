package cobaltseam.dispatch;

/** How much memory a class of requests needs in proportion to its estimates, at a high quantile. */
final class MemoryNeed {
  private static final double QUANTILE = 0.9;

  private double ratio = PolicyConstants.NEAR_RATIO;
  private long samples;

  /** The grant for an estimate, in megabytes; 0 leaves it to the engine. */
  double grantMb(double estimateMb) {
    return samples == 0 ? 0 : ratio * estimateMb;
  }

  /**
   * Learns from an attempt.
   *
   * @param grantedMb what the attempt was granted; 0 if the engine chose
   * @param missingMb what it was reported to lack; 0 if nothing
   * @param usedMb what it used; zero or less if unknown
   */
  void learn(double estimateMb, double grantedMb, double missingMb, double usedMb) {
    if (estimateMb <= 0) {
      return;
    }
    // A lower bound on the ratio guards against an estimate near zero, as the upper bound does.
    double neededMb = neededMb(estimateMb, grantedMb, missingMb, usedMb);
    double sample =
        Math.max(
            1 / PolicyConstants.MAX_RATIO,
            Math.min(PolicyConstants.MAX_RATIO, neededMb / estimateMb));
    double step =
        Math.max(PolicyConstants.SAMPLE_WEIGHT / 4, 1.0 / (PolicyConstants.NEAR_RATIO + ++samples))
            * Math.max(ratio, sample);
    double moved = ratio + step * (sample > ratio ? QUANTILE : QUANTILE - 1);
    ratio = Math.max(0, Math.min(PolicyConstants.MAX_RATIO, moved));
  }

  /** Without a report, a spill needed its shortfall as well, and any other less than its grant. */
  private double neededMb(double estimateMb, double grantedMb, double missingMb, double usedMb) {
    if (usedMb > 0) {
      return usedMb;
    }
    double granted = grantedMb > 0 ? grantedMb : estimateMb;
    if (missingMb > 0) {
      return granted + missingMb;
    }
    return grantedMb > 0
        ? Math.min(granted, ratio * estimateMb) * (1 - PolicyConstants.SAMPLE_WEIGHT)
        : granted;
  }
}
