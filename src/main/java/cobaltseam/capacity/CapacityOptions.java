package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;

/**
 * The options for dividing the capacity of all engines between the members.
 *
 * @param totalCapacity the capacity of all engines, in indivisible units
 * @param standaloneRatio the ratio of the total capacity that is set aside for use without a lease;
 *     each process always has one part in {@code maxProcesses} of it
 * @param maxProcesses the largest number of processes that ever run at once
 * @param minRetainedRatio the ratio of its equal share that a member retains even without demand
 * @param round the time between two rounds of requests
 * @param maxRequestsPerRound the largest number of requests in one round
 */
public record CapacityOptions(
    long totalCapacity,
    double standaloneRatio,
    int maxProcesses,
    double minRetainedRatio,
    TimeSpan round,
    int maxRequestsPerRound) {
  public CapacityOptions {
    if (totalCapacity < 1
        || !(standaloneRatio >= 0 && standaloneRatio <= 1)
        || maxProcesses < 1
        || !(minRetainedRatio >= 0 && minRetainedRatio <= 1)
        || !round.isPositive()
        || maxRequestsPerRound < 1) {
      throw new IllegalArgumentException(
          "total capacity, processes and requests per round must be at least 1, the standalone"
              + " and retained ratios from 0 to 1, and the round above 0");
    }
  }

  /** The amount that each process may use without a lease. */
  public long standaloneAmount() {
    return (long) (totalCapacity * standaloneRatio) / maxProcesses;
  }

  /** The amount that the members of a view divide between them. */
  long sharedAmount() {
    return totalCapacity - standaloneAmount() * maxProcesses;
  }
}
