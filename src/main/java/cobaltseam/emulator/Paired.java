package cobaltseam.emulator;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The mean difference of pairs, with a 95% interval by bootstrap over the pairs: resampled with
 * replacement, the mean of each resample, and of those the middle 95%. The seed of the resampling
 * is fixed, so the same pairs give the same interval.
 */
record Paired(int pairs, double mean, double low, double high) {
  private static final int RESAMPLES = 4000;
  private static final long SEED = 95;

  static Paired of(List<Double> differences) {
    double[] all = differences.stream().mapToDouble(d -> d).toArray();
    if (all.length == 0) {
      return new Paired(0, 0, 0, 0);
    }
    SplittableRandom chance = new SplittableRandom(SEED);
    double[] means = new double[RESAMPLES];
    for (int r = 0; r < RESAMPLES; r++) {
      double sum = 0;
      for (int i = 0; i < all.length; i++) {
        sum += all[chance.nextInt(all.length)];
      }
      means[r] = sum / all.length;
    }
    Arrays.sort(means);
    return new Paired(
        all.length,
        Arrays.stream(all).average().orElse(0),
        means[(int) (RESAMPLES * 0.025)],
        means[(int) (RESAMPLES * 0.975)]);
  }

  /** Whether the interval leaves out zero; fewer than five pairs show nothing. */
  boolean shown() {
    return pairs >= 5 && (low > 0 || high < 0);
  }

  String words() {
    return shown() ? mean > 0 ? "better" : "worse" : "no difference shown";
  }
}
