package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/**
 * The options of gossip.
 *
 * @param round the time between two rounds of requests
 * @param requestsPerRound how many members are asked in one round
 * @param maxAge the age at which a figure is unknown
 * @param maxMessageBytes about how many bytes one message may have; at least 512
 * @param maxClockRateRatio the largest difference between the rates of two clocks; 0.001 is one
 *     part in a thousand
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
          "round above 0, asked at least 1, end above round, at least 512 bytes, drift from 0 to below 0.1");
    }
  }
}
