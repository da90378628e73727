package cobaltseam.mastership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.Mastership.ObservedClaim;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advert;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Who is heard as active for each virtual router, for one that only listens and never claims. */
public final class AdvertObserver {
  /**
   * The claimants of a router as they are from now on: none in a silence, two and more in a split.
   */
  public record ActiveRouterObserved(
      VirtualRouterId router, List<InetAddress> active, Timestamp since) {}

  private final Map<VirtualRouterId, Map<InetAddress, ObservedClaim>> claims = new TreeMap<>();
  private final Map<VirtualRouterId, List<InetAddress>> told = new HashMap<>();

  /** An advert that counts; what has changed by it. */
  public List<ActiveRouterObserved> heard(InetAddress sender, Advert advert, Timestamp now) {
    VirtualRouterId router = new VirtualRouterId(advert.virtualRouterId(), advert.isIpv6());
    claims
        .computeIfAbsent(router, r -> new HashMap<>())
        .put(sender, new ObservedClaim(advert.priority(), now, VirtualRouter.interval(advert)));
    return due(now);
  }

  /** What has changed by now, claims that ran out included. */
  public List<ActiveRouterObserved> due(Timestamp now) {
    List<ActiveRouterObserved> changed = new ArrayList<>();
    claims.forEach(
        (router, said) -> {
          said.values().removeIf(c -> !now.isBefore(c.until()));
          TreeSet<InetAddress> active = new TreeSet<>(Addresses::compare);
          active.addAll(said.keySet());
          List<InetAddress> list = List.copyOf(active);
          if (!list.equals(told.put(router, list))) {
            changed.add(new ActiveRouterObserved(router, list, now));
          }
        });
    return changed;
  }

  /** When a claim runs out next, or null. */
  public Timestamp wake() {
    return claims.values().stream()
        .flatMap(m -> m.values().stream())
        .map(ObservedClaim::until)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }
}
