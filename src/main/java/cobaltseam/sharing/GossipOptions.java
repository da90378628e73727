package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/**
 * The options of {@link StateGossip}.
 *
 * @param round the time between two rounds of requests
 * @param requestsPerRound the largest number of members that are asked in one round
 * @param maxAge the age at which a figure becomes unknown
 * @param maxMessageBytes the approximate upper bound of the size of a message; at least 512
 * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio; from
 *     0 to below 0.1
 */
public record GossipOptions(
    TimeSpan round,
    int requestsPerRound,
    TimeSpan maxAge,
    int maxMessageBytes,
    double maxClockRateRatio) {
  public GossipOptions {
    if (!round.isPositive()
        || requestsPerRound < 1
        || maxAge.compareTo(round) <= 0
        || maxMessageBytes < 512
        || !(maxClockRateRatio >= 0 && maxClockRateRatio < 0.1)) {
      throw new IllegalArgumentException(
          "the round must be above 0, the requests per round at least 1, the maximum age above the"
              + " round, the message size at least 512 bytes, and the clock rate ratio from 0 to"
              + " below 0.1");
    }
  }
}
