package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Refusal;
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
  private record Sender(InetAddress sender, VirtualRouterId router) {}

  private final Timestamp started;
  private final TimeSpan difference;
  private final Map<Sender, Long> last = new HashMap<>();

  public ReplayGuard(Timestamp started, TimeSpan difference) {
    this.started = started;
    this.difference = difference;
  }

  /** How long to listen after the start before a silence tells anything. */
  public TimeSpan listen() {
    return difference.times(2);
  }

  /** Judges an advert whose seal holds; one that is new is remembered. */
  public Optional<Refusal> judge(
      InetAddress sender, VirtualRouterId router, long sequence, Timestamp now) {
    Timestamp sent = new Timestamp(sequence);
    if (!started.plus(difference).isBefore(sent) || sent.isBefore(now.minus(difference.times(2)))) {
      return Optional.of(Refusal.STALE);
    }
    if (now.plus(difference).isBefore(sent)) {
      return Optional.of(Refusal.EARLY);
    }
    Sender speaker = new Sender(sender, router);
    if (sequence <= last.getOrDefault(speaker, Long.MIN_VALUE)) {
      return Optional.of(Refusal.REPLAYED);
    }
    last.put(speaker, sequence);
    return Optional.empty();
  }

  /** Forgets who is no longer a peer, or no longer set. */
  public void keep(Set<InetAddress> peers, Set<VirtualRouterId> routers) {
    last.keySet().removeIf(s -> !peers.contains(s.sender()) || !routers.contains(s.router()));
  }
}
