package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * What a process needs, from a running sum of what it was asked for: its mean rate, of which news
 * counts by half after a stated span. Thin traffic comes in clumps; the span is to hold several
 * commands, or parts would follow chance.
 */
public final class DemandEstimate {
  private final TimeSpan half;
  private Timestamp at;
  private double total;
  private double rate;

  /**
   * How much of the mean is news yet, from 0 to 1: a process that began a moment ago knows its rate
   * by that alone.
   */
  private double known;

  public DemandEstimate(TimeSpan half) {
    this.half = half;
  }

  /** The rate a second, after the sum has come to this. */
  public double told(double sum, Timestamp now) {
    if (at != null && at.isBefore(now)) {
      TimeSpan since = now.since(at);
      double keep = Math.pow(0.5, since.over(half));
      rate = rate * keep + (sum - total) / since.us() * 1e6 * (1 - keep);
      known = known * keep + 1 - keep;
    }
    at = now;
    total = sum;
    return known > 0 ? rate / known : 0;
  }
}
