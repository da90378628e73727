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
 * Whether a sealed advert is a new one. A sequence is its sender's clock, in microseconds, and
 * rises with each advert of a virtual router. Only what is above the last one counts, and nothing
 * that may have been sent before this process started: what was recorded earlier would otherwise
 * pass once after a restart. Clocks may differ by a span that is told; for twice that span after
 * the start an honest peer may go unheard, and nobody here may claim.
 */
public final class ReplayGuard {
  private record SenderStream(InetAddress sender, VirtualRouterId router) {}

  private final Timestamp startedAt;
  private final TimeSpan maxClockDifference;
  private final Map<SenderStream, Long> lastSequences = new HashMap<>();

  public ReplayGuard(Timestamp startedAt, TimeSpan maxClockDifference) {
    this.startedAt = startedAt;
    this.maxClockDifference = maxClockDifference;
  }

  /** How long to listen after the start before a silence tells anything. */
  public TimeSpan minListenPeriod() {
    return maxClockDifference.times(2);
  }

  /** Judges an advert whose seal holds; one that is new is remembered. */
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

  /** Forgets who is no longer a peer, or no longer set. */
  public void retainOnly(Set<InetAddress> peers, Set<VirtualRouterId> routers) {
    lastSequences
        .keySet()
        .removeIf(s -> !peers.contains(s.sender()) || !routers.contains(s.router()));
  }
}
