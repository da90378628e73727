package cobaltseam.emulator;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The mean difference of paired results with a 95% confidence interval, by the percentile bootstrap
 * over the pairs. The seed of the resampling is fixed, so the same pairs give the same interval.
 */
record Paired(int pairs, double mean, double low, double high) {
  private static final int RESAMPLES = 4000;
  private static final long SEED = 95;

  /** The statistics of differences; all 0 if there are none. */
  static Paired of(List<Double> differences) {
    double[] values = differences.stream().mapToDouble(d -> d).toArray();
    if (values.length == 0) {
      return new Paired(0, 0, 0, 0);
    }
    SplittableRandom random = new SplittableRandom(SEED);
    double[] means = new double[RESAMPLES];
    for (int r = 0; r < RESAMPLES; r++) {
      double sum = 0;
      for (int i = 0; i < values.length; i++) {
        sum += values[random.nextInt(values.length)];
      }
      means[r] = sum / values.length;
    }
    Arrays.sort(means);
    return new Paired(
        values.length,
        Arrays.stream(values).average().orElse(0),
        means[(int) (RESAMPLES * 0.025)],
        means[(int) (RESAMPLES * 0.975)]);
  }

  /** Whether the interval excludes zero; never with fewer than five pairs. */
  boolean isSignificant() {
    return pairs >= 5 && (low > 0 || high < 0);
  }

  /** The verdict as tables show it. */
  String verdict() {
    return isSignificant() ? mean > 0 ? "better" : "worse" : "no difference shown";
  }
}
