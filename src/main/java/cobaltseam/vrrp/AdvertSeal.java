package cobaltseam.vrrp;

import cobaltseam.seal.Seal;
import cobaltseam.seal.SealKeys;
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
      SealKeys keys,
      int key,
      long sequence) {
    return Seal.write(advert, addresses(source, destination), keys, key, sequence);
  }

  /** Why the seal behind an advertisement of this length does not hold, or nothing if it does. */
  public static Optional<Refusal> check(
      byte[] bytes, int length, InetAddress source, InetAddress destination, SealKeys keys) {
    return Seal.check(bytes, length, addresses(source, destination), keys)
        .map(b -> b == Seal.Broken.KEY_UNKNOWN ? Refusal.KEY_UNKNOWN : Refusal.FORGED);
  }

  private static byte[] addresses(InetAddress source, InetAddress destination) {
    byte[] one = source.getAddress();
    byte[] other = destination.getAddress();
    byte[] both = java.util.Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, both, one.length, other.length);
    return both;
  }
}
