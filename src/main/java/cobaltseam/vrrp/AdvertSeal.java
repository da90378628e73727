package cobaltseam.vrrp;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import java.net.InetAddress;
import java.util.Optional;

/**
 * Seals behind advertisements: they cover both addresses of the datagram. A decoder that knows only
 * the RFC may refuse them.
 */
public final class AdvertSeal {
  private AdvertSeal() {}

  /** An advertisement with its seal behind it. */
  public static byte[] write(
      byte[] advert,
      InetAddress source,
      InetAddress destination,
      KeyRing keys,
      int key,
      long sequence) {
    return MessageAuthenticator.sign(advert, addresses(source, destination), keys, key, sequence);
  }

  /** Why the seal behind an advertisement of this length does not hold, or nothing if it does. */
  public static Optional<Refusal> check(
      byte[] bytes, int length, InetAddress source, InetAddress destination, KeyRing keys) {
    return MessageAuthenticator.verify(bytes, length, addresses(source, destination), keys)
        .map(
            b ->
                b == MessageAuthenticator.Rejection.KEY_UNKNOWN
                    ? Refusal.KEY_UNKNOWN
                    : Refusal.FORGED);
  }

  private static byte[] addresses(InetAddress source, InetAddress destination) {
    byte[] one = source.getAddress();
    byte[] other = destination.getAddress();
    byte[] both = java.util.Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, both, one.length, other.length);
    return both;
  }
}
