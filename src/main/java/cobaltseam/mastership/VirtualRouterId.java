package cobaltseam.mastership;

/** Names one virtual router: its number, 1 to 255, which IPv4 and IPv6 count each for itself. */
public record VirtualRouterId(int value, boolean ipv6) implements Comparable<VirtualRouterId> {
  @Override
  public int compareTo(VirtualRouterId other) {
    return value != other.value
        ? Integer.compare(value, other.value)
        : Boolean.compare(ipv6, other.ipv6);
  }

  @Override
  public String toString() {
    return value + (ipv6 ? "/ipv6" : "/ipv4");
  }
}
