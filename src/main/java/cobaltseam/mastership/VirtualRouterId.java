package cobaltseam.mastership;

/**
 * Identifies one virtual router.
 *
 * @param value the VRID, 1 to 255; unique within one address family
 * @param isIpv6 whether the virtual addresses are IPv6
 */
public record VirtualRouterId(int value, boolean isIpv6) implements Comparable<VirtualRouterId> {
  @Override
  public int compareTo(VirtualRouterId other) {
    return value != other.value
        ? Integer.compare(value, other.value)
        : Boolean.compare(isIpv6, other.isIpv6);
  }

  @Override
  public String toString() {
    return value + (isIpv6 ? "/ipv6" : "/ipv4");
  }
}
