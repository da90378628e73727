package cobaltseam.vrrp;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.Optional;

/** Converts IP addresses from and to text and bytes, without any name lookup. */
public final class Addresses {
  private static final int IPV6_GROUPS = 8;
  private static final int MAX_TEXT_LENGTH = 45;

  private Addresses() {}

  /**
   * Parses an IPv4 address in four decimal parts or an IPv6 address without a zone.
   *
   * @return the address, or nothing if the text is not one
   */
  public static Optional<InetAddress> parse(String text) {
    if (text == null || text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      return Optional.empty();
    }
    if (text.matches("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}")) {
      byte[] bytes = new byte[4];
      String[] parts = text.split("\\.");
      for (int i = 0; i < bytes.length; i++) {
        int part = Integer.parseInt(parts[i]);
        if (part > 255) {
          return Optional.empty();
        }
        bytes[i] = (byte) part;
      }
      return Optional.of(fromBytes(bytes));
    }
    if (text.indexOf(':') < 0 || !text.matches("[0-9a-fA-F:.]+")) {
      return Optional.empty();
    }
    try {
      // The JDK only parses a text with a colon, it never looks it up.
      InetAddress parsed = InetAddress.getByName(text);
      return Optional.of(
          parsed instanceof Inet6Address ? fromBytes(parsed.getAddress()) : toIpv4Mapped(parsed));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  /** The IPv6 address ::ffff:a.b.c.d, which the JDK's parser returns as IPv4. */
  private static InetAddress toIpv4Mapped(InetAddress v4) {
    byte[] bytes = new byte[16];
    bytes[10] = (byte) 0xff;
    bytes[11] = (byte) 0xff;
    System.arraycopy(v4.getAddress(), 0, bytes, 12, 4);
    return fromBytes(bytes);
  }

  /** The address of 4 or 16 bytes; 16 bytes are always an IPv6 address. */
  static InetAddress fromBytes(byte[] bytes) {
    try {
      return bytes.length == 4
          ? InetAddress.getByAddress(bytes)
          : Inet6Address.getByAddress(null, bytes, -1);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no address has " + bytes.length + " bytes", e);
    }
  }

  /** Formats an address; IPv6 in the canonical form of RFC 5952. */
  public static String format(InetAddress address) {
    byte[] bytes = address.getAddress();
    if (bytes.length == 4) {
      return address.getHostAddress();
    }
    int[] groups = new int[IPV6_GROUPS];
    for (int i = 0; i < IPV6_GROUPS; i++) {
      groups[i] = (bytes[2 * i] & 0xff) << 8 | bytes[2 * i + 1] & 0xff;
    }
    int longestRunStart = -1;
    int longestRun = 1;
    for (int i = 0; i < IPV6_GROUPS; i++) {
      int run = 0;
      while (i + run < IPV6_GROUPS && groups[i + run] == 0) {
        run++;
      }
      if (run > longestRun) {
        longestRunStart = i;
        longestRun = run;
      }
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < IPV6_GROUPS; i++) {
      if (i == longestRunStart) {
        text.append("::");
        i += longestRun - 1;
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
