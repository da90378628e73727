package cobaltseam.capacity;

import cobaltseam.dispatch.TimeSpan;

/**
 * How a whole is divided.
 *
 * @param whole in parts that are not divided further
 * @param standaloneShare the share of it that every process holds a part of whatever it knows, each
 *     one in {@code processes}
 * @param processes at most so many ever run at once
 * @param floor the share of its even part that a member keeps, though it needs nothing
 * @param round between two looks at what to ask for
 * @param maxRequestsPerRound how many are asked in one at the most
 */
public record CapacityOptions(
    long whole,
    double standaloneShare,
    int processes,
    double floor,
    TimeSpan round,
    int maxRequestsPerRound) {
  public CapacityOptions {
    if (whole < 1
        || !(standaloneShare >= 0 && standaloneShare <= 1)
        || processes < 1
        || !(floor >= 0 && floor <= 1)
        || !round.isPositive()
        || maxRequestsPerRound < 1) {
      throw new IllegalArgumentException(
          "whole from 1, alone and floor from 0 to 1, processes from 1, a round above 0, asks from 1");
    }
  }

  /** What each process holds whatever it knows. */
  public long alonePart() {
    return (long) (whole * standaloneShare) / processes;
  }

  /** What the members of a view divide among them. */
  long dividedAmount() {
    return whole - alonePart() * processes;
  }
}
