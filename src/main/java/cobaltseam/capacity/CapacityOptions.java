package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;

/**
 * How the capacity of all engines is divided.
 *
 * @param whole the capacity of all engines, in indivisible units
 * @param standaloneShare the share of it that every process holds a part of whatever it knows, each
 *     one in {@code processes}
 * @param maxProcesses the largest number of processes that ever run at once
 * @param minEvenShare the share of its even part that a member keeps even without demand
 * @param round the time between two rounds of requests
 * @param maxRequestsPerRound the largest number of requests in one round
 */
public record CapacityOptions(
    long whole,
    double standaloneShare,
    int maxProcesses,
    double minEvenShare,
    TimeSpan round,
    int maxRequestsPerRound) {
  public CapacityOptions {
    if (whole < 1
        || !(standaloneShare >= 0 && standaloneShare <= 1)
        || maxProcesses < 1
        || !(minEvenShare >= 0 && minEvenShare <= 1)
        || !round.isPositive()
        || maxRequestsPerRound < 1) {
      throw new IllegalArgumentException(
          "whole from 1, alone and floor from 0 to 1, processes from 1, a round above 0, asks from 1");
    }
  }

  /** The amount that each process may use without a lease. */
  public long standalonePart() {
    return (long) (whole * standaloneShare) / maxProcesses;
  }

  /** The amount that the members of a view divide between them. */
  long dividedAmount() {
    return whole - standalonePart() * maxProcesses;
  }
}
