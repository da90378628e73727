package cobaltseam.dispatch;

/**
 * The mean of a series of samples, in which old samples lose weight with time and with new ones.
 */
final class DecayingAverage {
  /** A prior belief counts as this many samples. */
  static final double PRIOR_WEIGHT = 1.0;

  private double sum;
  private double weight;

  void add(double sample, double sampleWeight) {
    sum += sample - sum * sampleWeight;
    weight += 1 - weight * sampleWeight;
  }

  /** Keeps this part of the weight of all earlier samples, from 0 to 1. */
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

  /** The mean of the samples alone; not a number without samples. */
  double mean() {
    return sum / weight;
  }

  /** The mean of the samples, drawn towards a prior value where their weight is small. */
  double mean(double prior) {
    return (sum + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
  }
}
