package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetAddress;
import java.util.List;

/**
 * What is set for one virtual router: the configured priority (1 to 255; 255 owns the addresses),
 * the interval of its adverts, whether and after how long it takes over from a router of lower
 * priority, and its addresses.
 */
public record RouterOptions(
    VirtualRouterId router,
    int priority,
    TimeSpan advertisementInterval,
    boolean preempts,
    TimeSpan preemptDelay,
    List<InetAddress> addresses) {
  public RouterOptions {
    addresses = List.copyOf(addresses);
  }
}
