package cobaltseam.vrrp;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import java.net.InetAddress;
import java.util.Optional;

/**
 * Signs and verifies advertisements by a trailer behind them, which also covers both addresses of
 * the datagram. A router that implements only the RFC may reject advertisements with a trailer.
 */
public final class AdvertisementAuthenticator {
  private AdvertisementAuthenticator() {}

  /**
   * Returns the advertisement followed by its authentication trailer.
   *
   * @param keyId the id of a key in the key ring
   * @param sequence must rise with each advertisement of a sender
   */
  public static byte[] sign(
      byte[] advertisement,
      InetAddress source,
      InetAddress destination,
      KeyRing keys,
      int keyId,
      long sequence) {
    return MessageAuthenticator.sign(
        advertisement, concatenate(source, destination), keys, keyId, sequence);
  }

  /** Why the trailer behind an advertisement of this length is not valid, or nothing if it is. */
  public static Optional<RejectionReason> verify(
      byte[] bytes, int length, InetAddress source, InetAddress destination, KeyRing keys) {
    return MessageAuthenticator.verify(bytes, length, concatenate(source, destination), keys)
        .map(
            b ->
                b == MessageAuthenticator.Rejection.KEY_UNKNOWN
                    ? RejectionReason.KEY_UNKNOWN
                    : RejectionReason.FORGED);
  }

  private static byte[] concatenate(InetAddress source, InetAddress destination) {
    byte[] sourceBytes = source.getAddress();
    byte[] destinationBytes = destination.getAddress();
    byte[] both =
        java.util.Arrays.copyOf(sourceBytes, sourceBytes.length + destinationBytes.length);
    System.arraycopy(destinationBytes, 0, both, sourceBytes.length, destinationBytes.length);
    return both;
  }
}
