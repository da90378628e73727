package cobaltseam.vrrp;

import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.vrrp.Reading.Covers;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Advertisements as bytes, by RFC 9568: version and type, virtual router id, priority, number of
 * addresses, interval in 12 bits, checksum, addresses. For IPv6 the checksum covers a pseudo-header
 * of the datagram's addresses, its length and protocol 112 as well. For IPv4 RFC 9568 leaves that
 * out where RFC 5798 could be read, and was, to take it in; both are read, and either can be
 * written.
 */
public final class AdvertCodec {
  static final int HEADER = 8;
  private static final int VERSION_AND_TYPE = 0x31;
  private static final int PROTOCOL = 112;
  private static final int CHECKSUM_AT = 6;
  private static final int WORD = 0xffff;

  private AdvertCodec() {}

  /** The bytes of an advertisement between two addresses of its family. */
  public static byte[] write(
      Advert advert, InetAddress source, InetAddress destination, Covers covers) {
    if (source instanceof Inet6Address != advert.isIpv6()
        || destination instanceof Inet6Address != advert.isIpv6()) {
      throw new IllegalArgumentException("source, destination and addresses are not of one family");
    }
    int each = advert.isIpv6() ? 16 : 4;
    ByteBuffer out = ByteBuffer.allocate(HEADER + each * advert.addresses().size());
    out.put((byte) VERSION_AND_TYPE)
        .put((byte) advert.virtualRouterId())
        .put((byte) advert.priority())
        .put((byte) advert.addresses().size())
        .putShort((short) advert.maxAdvertiseIntervalCentiseconds())
        .putShort((short) 0);
    advert.addresses().forEach(a -> out.put(a.getAddress()));
    byte[] bytes = out.array();
    long sum = sum(bytes, bytes.length);
    if (advert.isIpv6() || covers == Covers.PSEUDO_HEADER) {
      sum += pseudoHeader(source, destination, bytes.length);
    }
    out.putShort(CHECKSUM_AT, (short) ~fold(sum));
    return bytes;
  }

  /**
   * Reads a datagram as it came between two addresses; whatever its bytes are, it says what they
   * are.
   */
  public static Reading read(byte[] bytes, InetAddress source, InetAddress destination) {
    if (bytes.length < HEADER) {
      return new Reading.Refused(Refusal.TOO_SHORT);
    }
    if (bytes[0] >> 4 != VERSION_AND_TYPE >> 4) {
      return new Reading.Refused(Refusal.VERSION);
    }
    if ((bytes[0] & 0xf) != (VERSION_AND_TYPE & 0xf)) {
      return new Reading.Refused(Refusal.TYPE);
    }
    boolean six = source instanceof Inet6Address;
    if (six != destination instanceof Inet6Address) {
      return new Reading.Refused(Refusal.FAMILY);
    }
    int number = bytes[3] & 0xff;
    if (number == 0) {
      return new Reading.Refused(Refusal.NO_ADDRESS);
    }
    int each = six ? 16 : 4;
    int length = HEADER + each * number;
    boolean sealed =
        bytes.length == length + MessageAuthenticator.LENGTH
            && MessageAuthenticator.hasTrailer(bytes, length);
    if (bytes.length != length && !sealed) {
      return new Reading.Refused(Refusal.LENGTH);
    }
    long sum = sum(bytes, length);
    Covers covers =
        fold(sum + pseudoHeader(source, destination, length)) == WORD
            ? Covers.PSEUDO_HEADER
            : !six && fold(sum) == WORD ? Covers.MESSAGE : null;
    if (covers == null) {
      return new Reading.Refused(Refusal.CHECKSUM);
    }
    int router = bytes[1] & 0xff;
    if (router == 0) {
      return new Reading.Refused(Refusal.ROUTER_ZERO);
    }
    // The four bits before the interval are reserved, and ignored when read.
    int interval = (bytes[4] & 0xf) << 8 | bytes[5] & 0xff;
    if (interval == 0) {
      return new Reading.Refused(Refusal.INTERVAL_ZERO);
    }
    List<InetAddress> addresses = new ArrayList<>(number);
    for (int at = HEADER; at < length; at += each) {
      addresses.add(Addresses.of(Arrays.copyOfRange(bytes, at, at + each)));
    }
    return new Reading.Whole(
        new Advert(router, bytes[2] & 0xff, interval, addresses), covers, length, sealed);
  }

  /**
   * Both addresses, the length in 32 bits, and the protocol: in words, for either family the same
   * sum.
   */
  private static long pseudoHeader(InetAddress source, InetAddress destination, int length) {
    byte[] from = source.getAddress();
    byte[] to = destination.getAddress();
    return sum(from, from.length) + sum(to, to.length) + length + PROTOCOL;
  }

  private static long sum(byte[] bytes, int length) {
    long sum = 0;
    for (int i = 0; i < length; i++) {
      sum += (bytes[i] & 0xff) << (i % 2 == 0 ? 8 : 0);
    }
    return sum;
  }

  private static int fold(long sum) {
    long folded = sum;
    while (folded > WORD) {
      folded = (folded & WORD) + (folded >> 16);
    }
    return (int) folded;
  }
}
