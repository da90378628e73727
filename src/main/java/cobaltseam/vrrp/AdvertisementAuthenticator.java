package cobaltseam.vrrp;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import java.net.InetAddress;
import java.util.Optional;

/**
 * Signs and verifies advertisements with an authentication trailer, which also covers the source
 * and destination address of the datagram. The trailer is an extension: a router that implements
 * only the RFC may reject advertisements with a trailer.
 */
public final class AdvertisementAuthenticator {
  private AdvertisementAuthenticator() {}

  /**
   * Returns the advertisement followed by its authentication trailer.
   *
   * @param keyId the ID of a key in the key ring
   * @param sequence a number that rises with each advertisement of a sender
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

  /**
   * Verifies the trailer of an advertisement.
   *
   * @param length the length of the advertisement without the trailer
   * @return why the trailer is invalid, or empty if it is valid
   */
  public static Optional<RejectionReason> verify(
      byte[] bytes, int length, InetAddress source, InetAddress destination, KeyRing keys) {
    return MessageAuthenticator.verify(bytes, length, concatenate(source, destination), keys)
        .map(
            rejection ->
                rejection == MessageAuthenticator.Rejection.KEY_UNKNOWN
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
