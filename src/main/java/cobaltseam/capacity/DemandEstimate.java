package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * The demand of a process: a decaying average of the rate at which a running sum rises. The
 * half-life must cover several requests, as sparse traffic comes in bursts and the average would
 * otherwise follow chance.
 */
public final class DemandEstimate {
  private final TimeSpan halfLife;
  private Timestamp updatedAt;
  private double total;
  private double rate;

  /**
   * The weight of all samples so far, from 0 to 1. Dividing by it removes the bias of the average
   * towards its start at zero.
   */
  private double confidence;

  /**
   * @param halfLife after which a sample counts by half
   */
  public DemandEstimate(TimeSpan halfLife) {
    this.halfLife = halfLife;
  }

  /** Adds a sample of the running sum, and returns the average rate per second. */
  public double update(double sum, Timestamp now) {
    if (updatedAt != null && updatedAt.isBefore(now)) {
      TimeSpan since = now.since(updatedAt);
      double decay = Math.pow(0.5, since.dividedBy(halfLife));
      rate = rate * decay + (sum - total) / since.us() * 1e6 * (1 - decay);
      confidence = confidence * decay + 1 - decay;
    }
    updatedAt = now;
    total = sum;
    return confidence > 0 ? rate / confidence : 0;
  }
}
