package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.List;
import java.util.Set;

/** Times, addresses and virtual routers shared by the tests of this package. */
final class MastershipFixture {
  static final TimeSpan SECOND = new TimeSpan(1_000_000);
  static final TimeSpan MAX_ATTEMPT_DURATION = SECOND.times(10);
  static final Timestamp START = new Timestamp(1_000_000_000_000L);
  static final InetAddress SELF = ip("10.0.0.5");
  static final InetAddress LOWER = ip("10.0.0.4");
  static final InetAddress HIGHER = ip("10.0.0.6");
  static final List<InetAddress> ADDRESSES = List.of(ip("192.0.2.10"));

  private MastershipFixture() {}

  private static InetAddress ip(String text) {
    return Addresses.parse(text).orElseThrow();
  }

  static RouterOptions options(int router, int priority, boolean preempts, TimeSpan delay) {
    return new RouterOptions(
        new VirtualRouterId(router, false), priority, SECOND, preempts, delay, ADDRESSES);
  }

  /** Creates a dispatcher with two peers in its group and three dispatchers outside of it. */
  static Mastership newMastership(RouterOptions... options) {
    return new Mastership(
        SELF,
        List.of(options),
        Set.of(LOWER, HIGHER),
        3,
        MAX_ATTEMPT_DURATION,
        TimeSpan.ZERO,
        true);
  }

  static Advertisement advertisement(int priority) {
    return advertisement(priority, 100);
  }

  static Advertisement advertisement(int priority, int centiseconds) {
    return new Advertisement(1, priority, centiseconds, ADDRESSES);
  }
}
