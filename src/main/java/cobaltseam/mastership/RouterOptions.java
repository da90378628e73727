package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetAddress;
import java.util.List;

/**
 * The configuration of one virtual router.
 *
 * @param priority 1 to 255; 255 owns the addresses
 * @param advertisementInterval 10 ms to 40.95 s, in whole centiseconds
 * @param preempts whether it takes over from an active router of lower priority
 * @param preemptDelay for how long it waits before that, after a start or a rise of its priority
 * @param addresses the virtual addresses, all of one family
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
