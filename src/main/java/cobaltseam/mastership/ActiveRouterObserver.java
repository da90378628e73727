package cobaltseam.mastership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.Mastership.ObservedClaim;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Who is heard as active for each virtual router, for one that only listens and never claims. */
public final class ActiveRouterObserver {
  /**
   * The claimants of a router as they are from now on: none in a silence, two and more in a split.
   */
  public record ActiveRouterChange(
      VirtualRouterId router, List<InetAddress> active, Timestamp since) {}

  private final Map<VirtualRouterId, Map<InetAddress, ObservedClaim>> claims = new TreeMap<>();
  private final Map<VirtualRouterId, List<InetAddress>> reported = new HashMap<>();

  /** An advert that counts; what has changed by it. */
  public List<ActiveRouterChange> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    VirtualRouterId router =
        new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
    claims
        .computeIfAbsent(router, r -> new HashMap<>())
        .put(
            sender,
            new ObservedClaim(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    return expireClaims(now);
  }

  /** What has changed by now, claims that ran out included. */
  public List<ActiveRouterChange> expireClaims(Timestamp now) {
    List<ActiveRouterChange> changed = new ArrayList<>();
    claims.forEach(
        (router, claimants) -> {
          claimants.values().removeIf(c -> !now.isBefore(c.expiresAt()));
          TreeSet<InetAddress> active = new TreeSet<>(Addresses::compare);
          active.addAll(claimants.keySet());
          List<InetAddress> list = List.copyOf(active);
          if (!list.equals(reported.put(router, list))) {
            changed.add(new ActiveRouterChange(router, list, now));
          }
        });
    return changed;
  }

  /** When a claim runs out next, or null. */
  public Timestamp nextExpiry() {
    return claims.values().stream()
        .flatMap(m -> m.values().stream())
        .map(ObservedClaim::expiresAt)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }
}
