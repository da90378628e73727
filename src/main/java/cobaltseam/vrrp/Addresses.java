package cobaltseam.vrrp;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.Optional;

/** Converts IP addresses to and from text and bytes without name lookups. */
public final class Addresses {
  private static final int IPV6_GROUPS = 8;
  private static final int MAX_TEXT_LENGTH = 45;

  private Addresses() {}

  /**
   * Parses an IPv4 address in dotted decimal notation or an IPv6 address without a zone.
   *
   * @return the address, or empty if the text is not a valid address
   */
  public static Optional<InetAddress> parse(String text) {
    if (text == null || text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      return Optional.empty();
    }
    if (text.matches("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}")) {
      byte[] bytes = new byte[4];
      String[] octets = text.split("\\.");
      for (int i = 0; i < bytes.length; i++) {
        int octet = Integer.parseInt(octets[i]);
        if (octet > 255) {
          return Optional.empty();
        }
        bytes[i] = (byte) octet;
      }
      return Optional.of(fromBytes(bytes));
    }
    if (text.indexOf(':') < 0 || !text.matches("[0-9a-fA-F:.]+")) {
      return Optional.empty();
    }
    try {
      // A text with a colon is parsed by the JDK as an IPv6 literal and never resolved.
      InetAddress parsed = InetAddress.getByName(text);
      return Optional.of(
          parsed instanceof Inet6Address ? fromBytes(parsed.getAddress()) : toIpv4Mapped(parsed));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  /** Restores the IPv6 address ::ffff:a.b.c.d, which the parser of the JDK returns as IPv4. */
  private static InetAddress toIpv4Mapped(InetAddress v4) {
    byte[] bytes = new byte[16];
    bytes[10] = (byte) 0xff;
    bytes[11] = (byte) 0xff;
    System.arraycopy(v4.getAddress(), 0, bytes, 12, 4);
    return fromBytes(bytes);
  }

  /**
   * Creates an address from 4 or 16 bytes; 16 bytes always give an IPv6 address.
   *
   * @throws IllegalArgumentException for any other number of bytes
   */
  static InetAddress fromBytes(byte[] bytes) {
    try {
      return bytes.length == 4
          ? InetAddress.getByAddress(bytes)
          : Inet6Address.getByAddress(null, bytes, -1);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("an IP address has 4 or 16 bytes, not " + bytes.length, e);
    }
  }

  /** Formats an address; IPv6 addresses in the canonical form of RFC 5952. */
  public static String format(InetAddress address) {
    byte[] bytes = address.getAddress();
    if (bytes.length == 4) {
      return address.getHostAddress();
    }
    int[] groups = new int[IPV6_GROUPS];
    for (int i = 0; i < IPV6_GROUPS; i++) {
      groups[i] = (bytes[2 * i] & 0xff) << 8 | bytes[2 * i + 1] & 0xff;
    }
    int longestZeroRunStart = -1;
    int longestZeroRun = 1;
    for (int i = 0; i < IPV6_GROUPS; i++) {
      int zeroRun = 0;
      while (i + zeroRun < IPV6_GROUPS && groups[i + zeroRun] == 0) {
        zeroRun++;
      }
      if (zeroRun > longestZeroRun) {
        longestZeroRunStart = i;
        longestZeroRun = zeroRun;
      }
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < IPV6_GROUPS; i++) {
      if (i == longestZeroRunStart) {
        text.append("::");
        i += longestZeroRun - 1;
      } else {
        text.append(text.length() == 0 || text.charAt(text.length() - 1) == ':' ? "" : ":")
            .append(Integer.toHexString(groups[i]));
      }
    }
    return text.toString();
  }

  /** Compares addresses as unsigned numbers in network byte order. */
  public static int compare(InetAddress one, InetAddress other) {
    return Arrays.compareUnsigned(one.getAddress(), other.getAddress());
  }
}
