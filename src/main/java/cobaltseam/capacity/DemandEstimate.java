package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * What a process needs, from a running sum of what it was asked for: its mean rate, of which news
 * counts by half after a stated span. Thin traffic comes in clumps; the span is to hold several
 * commands, or parts would follow chance.
 */
public final class DemandEstimate {
  private final TimeSpan halfLife;
  private Timestamp updatedAt;
  private double total;
  private double rate;

  /**
   * How much of the mean is news yet, from 0 to 1: a process that began a moment ago knows its rate
   * by that alone.
   */
  private double confidence;

  public DemandEstimate(TimeSpan halfLife) {
    this.halfLife = halfLife;
  }

  /** The rate a second, after the sum has come to this. */
  public double told(double sum, Timestamp now) {
    if (updatedAt != null && updatedAt.isBefore(now)) {
      TimeSpan since = now.since(updatedAt);
      double decay = Math.pow(0.5, since.over(halfLife));
      rate = rate * decay + (sum - total) / since.us() * 1e6 * (1 - decay);
      confidence = confidence * decay + 1 - decay;
    }
    updatedAt = now;
    total = sum;
    return confidence > 0 ? rate / confidence : 0;
  }
}
