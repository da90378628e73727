package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Estimates the demand of a process: a decaying average of the rate at which a running sum rises.
 * The half-life must cover several requests; otherwise the average follows the random bursts of
 * sparse traffic.
 */
public final class DemandEstimate {
  private final TimeSpan halfLife;
  private Timestamp updatedAt;
  private double previousSum;
  private double rate;

  /**
   * The weight of all samples so far, from 0 to 1. Dividing by it removes the bias of the average
   * towards its start at zero.
   */
  private double confidence;

  /**
   * @param halfLife the time after which the weight of a sample has halved
   */
  public DemandEstimate(TimeSpan halfLife) {
    this.halfLife = halfLife;
  }

  /**
   * Adds a sample of the running sum.
   *
   * @return the average rate per second; 0 after the first sample
   */
  public double update(double sum, Timestamp now) {
    if (updatedAt != null && updatedAt.isBefore(now)) {
      TimeSpan elapsed = now.since(updatedAt);
      double decay = Math.pow(0.5, elapsed.dividedBy(halfLife));
      rate = rate * decay + (sum - previousSum) / elapsed.us() * 1e6 * (1 - decay);
      confidence = confidence * decay + 1 - decay;
    }
    updatedAt = now;
    previousSum = sum;
    return confidence > 0 ? rate / confidence : 0;
  }
}
