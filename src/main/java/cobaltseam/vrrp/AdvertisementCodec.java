package cobaltseam.vrrp;

import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Encodes and decodes advertisements in the packet format of RFC 9568: version and type, virtual
 * router ID, priority, number of addresses, 12-bit interval, checksum, addresses.
 *
 * <p>For IPv6 the checksum also covers a pseudo-header of the source and destination address, the
 * length and the protocol number 112. For IPv4 RFC 9568 omits the pseudo-header, but some
 * implementations of RFC 5798 include it. Therefore both forms are decoded, and either can be
 * encoded.
 */
public final class AdvertisementCodec {
  static final int HEADER_BYTES = 8;
  private static final int VERSION_AND_TYPE = 0x31;
  private static final int VRRP_PROTOCOL_NUMBER = 112;
  private static final int CHECKSUM_OFFSET = 6;
  private static final int ALL_ONES_16_BITS = 0xffff;

  private AdvertisementCodec() {}

  /**
   * Encodes an advertisement for a datagram between two addresses.
   *
   * @param coverage the checksum coverage for IPv4; for IPv6 the pseudo-header is always included
   * @throws IllegalArgumentException if the addresses are not of the advertisement's address family
   */
  public static byte[] encode(
      Advertisement advertisement,
      InetAddress source,
      InetAddress destination,
      ChecksumCoverage coverage) {
    if (source instanceof Inet6Address != advertisement.isIpv6()
        || destination instanceof Inet6Address != advertisement.isIpv6()) {
      throw new IllegalArgumentException(
          "source, destination and virtual addresses must be of one address family");
    }
    int addressBytes = advertisement.isIpv6() ? 16 : 4;
    ByteBuffer out =
        ByteBuffer.allocate(HEADER_BYTES + addressBytes * advertisement.addresses().size());
    out.put((byte) VERSION_AND_TYPE)
        .put((byte) advertisement.virtualRouterId())
        .put((byte) advertisement.priority())
        .put((byte) advertisement.addresses().size())
        .putShort((short) advertisement.maxAdvertiseIntervalCentiseconds())
        .putShort((short) 0);
    advertisement.addresses().forEach(a -> out.put(a.getAddress()));
    byte[] bytes = out.array();
    long sum = sumOfWords(bytes, bytes.length);
    if (advertisement.isIpv6() || coverage == ChecksumCoverage.PSEUDO_HEADER) {
      sum += sumOfPseudoHeader(source, destination, bytes.length);
    }
    out.putShort(CHECKSUM_OFFSET, (short) ~foldTo16Bits(sum));
    return bytes;
  }

  /** Decodes the payload of a datagram. Invalid input gives a rejection, never an exception. */
  public static DecodeResult decode(byte[] bytes, InetAddress source, InetAddress destination) {
    if (bytes.length < HEADER_BYTES) {
      return new DecodeResult.Rejected(RejectionReason.TOO_SHORT);
    }
    if (bytes[0] >> 4 != VERSION_AND_TYPE >> 4) {
      return new DecodeResult.Rejected(RejectionReason.VERSION);
    }
    if ((bytes[0] & 0xf) != (VERSION_AND_TYPE & 0xf)) {
      return new DecodeResult.Rejected(RejectionReason.TYPE);
    }
    boolean ipv6 = source instanceof Inet6Address;
    if (ipv6 != destination instanceof Inet6Address) {
      return new DecodeResult.Rejected(RejectionReason.FAMILY);
    }
    int addressCount = bytes[3] & 0xff;
    if (addressCount == 0) {
      return new DecodeResult.Rejected(RejectionReason.NO_ADDRESS);
    }
    int addressBytes = ipv6 ? 16 : 4;
    int length = HEADER_BYTES + addressBytes * addressCount;
    boolean hasTrailer =
        bytes.length == length + MessageAuthenticator.TRAILER_BYTES
            && MessageAuthenticator.hasTrailer(bytes, length);
    if (bytes.length != length && !hasTrailer) {
      return new DecodeResult.Rejected(RejectionReason.LENGTH);
    }
    long sum = sumOfWords(bytes, length);
    ChecksumCoverage coverage =
        foldTo16Bits(sum + sumOfPseudoHeader(source, destination, length)) == ALL_ONES_16_BITS
            ? ChecksumCoverage.PSEUDO_HEADER
            : !ipv6 && foldTo16Bits(sum) == ALL_ONES_16_BITS ? ChecksumCoverage.MESSAGE : null;
    if (coverage == null) {
      return new DecodeResult.Rejected(RejectionReason.CHECKSUM);
    }
    int virtualRouterId = bytes[1] & 0xff;
    if (virtualRouterId == 0) {
      return new DecodeResult.Rejected(RejectionReason.ROUTER_ZERO);
    }
    // The four bits before the interval are reserved and ignored on receipt.
    int interval = (bytes[4] & 0xf) << 8 | bytes[5] & 0xff;
    if (interval == 0) {
      return new DecodeResult.Rejected(RejectionReason.INTERVAL_ZERO);
    }
    List<InetAddress> addresses = new ArrayList<>(addressCount);
    for (int offset = HEADER_BYTES; offset < length; offset += addressBytes) {
      addresses.add(Addresses.fromBytes(Arrays.copyOfRange(bytes, offset, offset + addressBytes)));
    }
    return new DecodeResult.Decoded(
        new Advertisement(virtualRouterId, bytes[2] & 0xff, interval, addresses),
        coverage,
        length,
        hasTrailer);
  }

  /** The sum of the 16-bit words of both addresses, the length and the protocol number. */
  private static long sumOfPseudoHeader(InetAddress source, InetAddress destination, int length) {
    byte[] sourceBytes = source.getAddress();
    byte[] destinationBytes = destination.getAddress();
    return sumOfWords(sourceBytes, sourceBytes.length)
        + sumOfWords(destinationBytes, destinationBytes.length)
        + length
        + VRRP_PROTOCOL_NUMBER;
  }

  private static long sumOfWords(byte[] bytes, int length) {
    long sum = 0;
    for (int i = 0; i < length; i++) {
      sum += (bytes[i] & 0xff) << (i % 2 == 0 ? 8 : 0);
    }
    return sum;
  }

  private static int foldTo16Bits(long sum) {
    long folded = sum;
    while (folded > ALL_ONES_16_BITS) {
      folded = (folded & ALL_ONES_16_BITS) + (folded >> 16);
    }
    return (int) folded;
  }
}
