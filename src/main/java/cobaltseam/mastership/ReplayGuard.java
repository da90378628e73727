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
 * Rejects authenticated advertisements that were sent before. A sequence is its sender's clock in
 * microseconds and rises with each advertisement of a virtual router. A sequence is accepted only
 * above the last one, and only if it can't have been sent before this process started: a recorded
 * advertisement would otherwise be accepted once after a restart. Clocks may differ by a configured
 * span; for twice that span after the start advertisements of a correct peer may be rejected, so
 * that no router may become active here until then. Not thread-safe.
 */
public final class ReplayGuard {
  private record SenderStream(InetAddress sender, VirtualRouterId router) {}

  private final Timestamp startedAt;
  private final TimeSpan maxClockDifference;
  private final Map<SenderStream, Long> lastSequences = new HashMap<>();

  /**
   * @param startedAt when this process started, by its clock
   * @param maxClockDifference how much the clocks of two dispatchers may differ
   */
  public ReplayGuard(Timestamp startedAt, TimeSpan maxClockDifference) {
    this.startedAt = startedAt;
    this.maxClockDifference = maxClockDifference;
  }

  /** How long to listen after the start before the absence of advertisements means anything. */
  public TimeSpan minListenPeriod() {
    return maxClockDifference.times(2);
  }

  /**
   * Checks the sequence of an advertisement whose authentication is valid, and remembers it if it
   * is accepted.
   *
   * @return why the advertisement is rejected, or nothing
   */
  public Optional<RejectionReason> check(
      InetAddress sender, VirtualRouterId router, long sequence, Timestamp now) {
    Timestamp sent = new Timestamp(sequence);
    if (!startedAt.plus(maxClockDifference).isBefore(sent)
        || sent.isBefore(now.minus(maxClockDifference.times(2)))) {
      return Optional.of(RejectionReason.STALE);
    }
    if (now.plus(maxClockDifference).isBefore(sent)) {
      return Optional.of(RejectionReason.EARLY);
    }
    SenderStream stream = new SenderStream(sender, router);
    if (sequence <= lastSequences.getOrDefault(stream, Long.MIN_VALUE)) {
      return Optional.of(RejectionReason.REPLAYED);
    }
    lastSequences.put(stream, sequence);
    return Optional.empty();
  }

  /** Forgets the sequences of all other senders and routers. */
  public void retainOnly(Set<InetAddress> peers, Set<VirtualRouterId> routers) {
    lastSequences
        .keySet()
        .removeIf(s -> !peers.contains(s.sender()) || !routers.contains(s.router()));
  }
}
