package cobaltseam.vrrp;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.util.List;

/**
 * One advertisement of VRRP version 3.
 *
 * @param virtualRouterId the VRID, 1 to 255
 * @param priority 0 to 255; 0 resigns, 255 owns the addresses
 * @param maxAdvertiseIntervalCentiseconds 1 to 4095
 * @param addresses 1 to 255 virtual addresses of one family
 */
public record Advertisement(
    int virtualRouterId,
    int priority,
    int maxAdvertiseIntervalCentiseconds,
    List<InetAddress> addresses) {
  public static final int MAX_INTERVAL_CENTISECONDS = 0xfff;
  public static final int MAX_ADDRESSES = 0xff;
  public static final int OWNER_PRIORITY = 255;
  public static final int RESIGNATION_PRIORITY = 0;

  /**
   * @throws IllegalArgumentException with what is out of its bounds
   */
  public Advertisement {
    addresses = List.copyOf(addresses);
    require(
        virtualRouterId >= 1 && virtualRouterId <= 255,
        "the virtual router id is not from 1 to 255");
    require(
        priority >= RESIGNATION_PRIORITY && priority <= OWNER_PRIORITY,
        "the priority is not from 0 to 255");
    require(
        maxAdvertiseIntervalCentiseconds >= 1
            && maxAdvertiseIntervalCentiseconds <= MAX_INTERVAL_CENTISECONDS,
        "the interval is not from 1 to 4095 centiseconds");
    require(
        !addresses.isEmpty() && addresses.size() <= MAX_ADDRESSES,
        "there are not 1 to 255 addresses");
    boolean ipv6 = addresses.get(0) instanceof Inet6Address;
    require(
        addresses.stream().allMatch(a -> a instanceof Inet6Address == ipv6),
        "the addresses mix families");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }

  /** Whether its addresses are IPv6. */
  public boolean isIpv6() {
    return addresses.get(0) instanceof Inet6Address;
  }
}
