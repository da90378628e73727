package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.RejectionReason;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Rejects replayed authenticated advertisements. The sequence of an advertisement is the clock of
 * its sender in microseconds and rises with each advertisement of a virtual router. A sequence is
 * accepted only if it is above the last accepted one and can't have been sent before this process
 * started; otherwise a recorded advertisement would be accepted once after each restart. Clocks may
 * differ by a configured maximum. For twice that difference after the start, advertisements of a
 * correct peer may be rejected, so no virtual router may become active here until then. Not
 * thread-safe.
 */
public final class ReplayGuard {
  private record SenderStream(InetAddress sender, VirtualRouterId router) {}

  private final Timestamp startedAt;
  private final TimeSpan maxClockDifference;
  private final Map<SenderStream, Long> lastSequences = new HashMap<>();

  /**
   * @param startedAt when this process started, by its own clock
   * @param maxClockDifference the maximum difference between the clocks of two dispatchers
   */
  public ReplayGuard(Timestamp startedAt, TimeSpan maxClockDifference) {
    this.startedAt = startedAt;
    this.maxClockDifference = maxClockDifference;
  }

  /**
   * The time after the start during which valid advertisements may be rejected, so that their
   * absence doesn't prove that there is no active router.
   */
  public TimeSpan minListenPeriod() {
    return maxClockDifference.times(2);
  }

  /**
   * Checks the sequence of an advertisement whose authentication is valid, and records it if it is
   * accepted.
   *
   * @return why the advertisement is rejected, or empty if it is accepted
   */
  public Optional<RejectionReason> check(
      InetAddress sender, VirtualRouterId router, long sequence, Timestamp now) {
    Timestamp sentAt = new Timestamp(sequence);
    if (!startedAt.plus(maxClockDifference).isBefore(sentAt)
        || sentAt.isBefore(now.minus(maxClockDifference.times(2)))) {
      return Optional.of(RejectionReason.STALE);
    }
    if (now.plus(maxClockDifference).isBefore(sentAt)) {
      return Optional.of(RejectionReason.EARLY);
    }
    SenderStream stream = new SenderStream(sender, router);
    if (sequence <= lastSequences.getOrDefault(stream, Long.MIN_VALUE)) {
      return Optional.of(RejectionReason.REPLAYED);
    }
    lastSequences.put(stream, sequence);
    return Optional.empty();
  }

  /** Drops the sequences of all other senders and virtual routers. */
  public void retainOnly(Set<InetAddress> peers, Set<VirtualRouterId> routers) {
    lastSequences
        .keySet()
        .removeIf(s -> !peers.contains(s.sender()) || !routers.contains(s.router()));
  }
}
