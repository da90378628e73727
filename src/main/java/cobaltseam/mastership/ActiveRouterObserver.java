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
 * Tracks which senders advertise as the active router of each virtual router, for an observer that
 * takes no part in the election. Not thread-safe.
 */
public final class ActiveRouterObserver {
  /**
   * A change of the set of active routers of a virtual router.
   *
   * @param activeRouters the senders of unexpired advertisements, ordered by address: empty if
   *     there are none, two or more in a split
   * @param since when the change was detected
   */
  public record ActiveRouterChange(
      VirtualRouterId router, List<InetAddress> activeRouters, Timestamp since) {}

  private final Map<VirtualRouterId, Map<InetAddress, ReceivedAdvertisement>> advertisements =
      new TreeMap<>();
  private final Map<VirtualRouterId, List<InetAddress>> lastReported = new HashMap<>();

  /**
   * Records an accepted advertisement.
   *
   * @return the changes since the last call, including those by expiry
   */
  public List<ActiveRouterChange> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    VirtualRouterId router =
        new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
    advertisements
        .computeIfAbsent(router, id -> new HashMap<>())
        .put(
            sender,
            new ReceivedAdvertisement(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    return expireAdvertisements(now);
  }

  /**
   * Removes expired advertisements.
   *
   * @return the changes since the last call
   */
  public List<ActiveRouterChange> expireAdvertisements(Timestamp now) {
    List<ActiveRouterChange> changed = new ArrayList<>();
    advertisements.forEach(
        (router, bySender) -> {
          bySender.values().removeIf(a -> !now.isBefore(a.expiresAt()));
          TreeSet<InetAddress> senders = new TreeSet<>(Addresses::compare);
          senders.addAll(bySender.keySet());
          List<InetAddress> activeRouters = List.copyOf(senders);
          if (!activeRouters.equals(lastReported.put(router, activeRouters))) {
            changed.add(new ActiveRouterChange(router, activeRouters, now));
          }
        });
    return changed;
  }

  /** When the next advertisement expires, or null if there is none. */
  public Timestamp nextExpiry() {
    return advertisements.values().stream()
        .flatMap(bySender -> bySender.values().stream())
        .map(ReceivedAdvertisement::expiresAt)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }
}
