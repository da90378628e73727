package cobaltseam.vrrp;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.util.List;

/**
 * A VRRP version 3 advertisement.
 *
 * @param virtualRouterId the VRID, 1 to 255
 * @param priority 0 to 255; 0 is sent by an active router that resigns, 255 by the address owner
 * @param maxAdvertiseIntervalCentiseconds the Max Advertise Interval, 1 to 4095
 * @param addresses 1 to 255 virtual addresses of one address family
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
   * @throws IllegalArgumentException if a component is out of range or the addresses are of
   *     different families
   */
  public Advertisement {
    addresses = List.copyOf(addresses);
    require(
        virtualRouterId >= 1 && virtualRouterId <= 255,
        "the virtual router ID must be from 1 to 255");
    require(
        priority >= RESIGNATION_PRIORITY && priority <= OWNER_PRIORITY,
        "the priority must be from 0 to 255");
    require(
        maxAdvertiseIntervalCentiseconds >= 1
            && maxAdvertiseIntervalCentiseconds <= MAX_INTERVAL_CENTISECONDS,
        "the advertisement interval must be from 1 to 4095 centiseconds");
    require(
        !addresses.isEmpty() && addresses.size() <= MAX_ADDRESSES,
        "the number of addresses must be from 1 to 255");
    boolean ipv6 = addresses.get(0) instanceof Inet6Address;
    require(
        addresses.stream().allMatch(a -> a instanceof Inet6Address == ipv6),
        "the addresses must be of one address family");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }

  /** Whether the virtual addresses are IPv6. */
  public boolean isIpv6() {
    return addresses.get(0) instanceof Inet6Address;
  }
}
