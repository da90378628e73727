package cobaltseam.mastership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.Mastership.ReceivedAdvertisement;
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

/**
 * Tracks which senders advertise each virtual router, for an observer that never becomes active
 * itself. Not thread-safe.
 */
public final class ActiveRouterObserver {
  /**
   * The senders that advertise a router from now on, in order of their addresses: none if all are
   * silent, two or more in a split.
   */
  public record ActiveRouterChange(
      VirtualRouterId router, List<InetAddress> activeRouters, Timestamp since) {}

  private final Map<VirtualRouterId, Map<InetAddress, ReceivedAdvertisement>> claims =
      new TreeMap<>();
  private final Map<VirtualRouterId, List<InetAddress>> reported = new HashMap<>();

  /** Records an accepted advertisement, and returns what has changed by now. */
  public List<ActiveRouterChange> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    VirtualRouterId router =
        new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
    claims
        .computeIfAbsent(router, r -> new HashMap<>())
        .put(
            sender,
            new ReceivedAdvertisement(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    return expireAdvertisements(now);
  }

  /** Drops expired claims, and returns what has changed since the last call. */
  public List<ActiveRouterChange> expireAdvertisements(Timestamp now) {
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

  /** When the next claim expires, or null if there is none. */
  public Timestamp nextExpiry() {
    return claims.values().stream()
        .flatMap(m -> m.values().stream())
        .map(ReceivedAdvertisement::expiresAt)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }
}
