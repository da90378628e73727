package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/**
 * How knowledge is spread: between two rounds of one member, how many it asks in one, how old a
 * figure may be before it is unknown, the bytes of one message, and by how much clocks' rates may
 * differ (0.001 is one part in a thousand).
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
