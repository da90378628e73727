package cobaltseam.dispatch;

/** Estimates the ratio of needed to estimated memory of a request class, at a high quantile. */
final class MemoryNeed {
  private static final double QUANTILE = 0.9;

  private double needRatio = PolicyConstants.TOLERANCE_FACTOR;
  private long sampleCount;

  /** Returns the memory grant for an estimate, in megabytes; 0 leaves it to the engine. */
  double grantMb(double estimateMb) {
    return sampleCount == 0 ? 0 : needRatio * estimateMb;
  }

  /**
   * Updates the ratio from an attempt.
   *
   * @param grantedMb the memory that the attempt was granted; 0 if the engine chose
   * @param missingMb the memory that it was reported to lack; 0 if none
   * @param usedMb the memory that it used; zero or less if unknown
   */
  void update(double estimateMb, double grantedMb, double missingMb, double usedMb) {
    if (estimateMb <= 0) {
      return;
    }
    // Both bounds on the sample guard against estimates near zero.
    double neededMb = neededMb(estimateMb, grantedMb, missingMb, usedMb);
    double sample =
        Math.max(
            1 / PolicyConstants.MAX_OBSERVATION_RATIO,
            Math.min(PolicyConstants.MAX_OBSERVATION_RATIO, neededMb / estimateMb));
    double step =
        Math.max(
                PolicyConstants.SMOOTHING_FACTOR / 4,
                1.0 / (PolicyConstants.TOLERANCE_FACTOR + ++sampleCount))
            * Math.max(needRatio, sample);
    double newRatio = needRatio + step * (sample > needRatio ? QUANTILE : QUANTILE - 1);
    needRatio = Math.max(0, Math.min(PolicyConstants.MAX_OBSERVATION_RATIO, newRatio));
  }

  /**
   * Returns the memory that an attempt needed. Without a report of its use, an attempt that spilled
   * needed its grant plus the shortfall, and any other attempt is assumed to have needed less than
   * its grant.
   */
  private double neededMb(double estimateMb, double grantedMb, double missingMb, double usedMb) {
    if (usedMb > 0) {
      return usedMb;
    }
    double granted = grantedMb > 0 ? grantedMb : estimateMb;
    if (missingMb > 0) {
      return granted + missingMb;
    }
    return grantedMb > 0
        ? Math.min(granted, needRatio * estimateMb) * (1 - PolicyConstants.SMOOTHING_FACTOR)
        : granted;
  }
}
