package cobaltseam.vrrp;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import java.net.InetAddress;
import java.util.Optional;

/**
 * Seals behind advertisements: they cover both addresses of the datagram. A decoder that knows only
 * the RFC may refuse them.
 */
public final class AdvertisementAuthenticator {
  private AdvertisementAuthenticator() {}

  /** An advertisement with its seal behind it. */
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

  /** Why the seal behind an advertisement of this length does not hold, or nothing if it does. */
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
