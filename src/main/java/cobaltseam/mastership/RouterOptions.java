package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetAddress;
import java.util.List;

/**
 * The configuration of one virtual router.
 *
 * @param priority 1 to 255; 255 is the address owner
 * @param advertisementInterval 10 ms to 40.95 s, in whole centiseconds
 * @param preempts whether a backup preempts an active router of lower priority (Preempt_Mode)
 * @param preemptDelay how long preemption is suppressed after a start or an increase of the
 *     priority
 * @param addresses the virtual addresses, all of one address family
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
