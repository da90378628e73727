package cobaltseam.dispatch;

/**
 * The mean of a series of samples. The weight of a sample decays with time and with each newer
 * sample.
 */
final class DecayingAverage {
  /** The weight of a prior value, in samples. */
  static final double PRIOR_WEIGHT = 1.0;

  private double sum;
  private double weight;

  /**
   * Adds a sample with a weight of 1; the weight of all older samples falls by {@code
   * decayFraction}, from 0 to 1.
   */
  void add(double sample, double decayFraction) {
    sum += sample - sum * decayFraction;
    weight += 1 - weight * decayFraction;
  }

  /** Multiplies the weight of all earlier samples by {@code keep}, a fraction from 0 to 1. */
  void decay(double keep) {
    sum *= keep;
    weight *= keep;
  }

  boolean isEmpty() {
    return weight == 0;
  }

  double weight() {
    return weight;
  }

  /** Returns the mean of the samples alone; not a number without samples. */
  double mean() {
    return sum / weight;
  }

  /**
   * Returns the mean of the samples and of a prior value, which dominates while the weight of the
   * samples is small.
   */
  double mean(double prior) {
    return (sum + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
  }
}
