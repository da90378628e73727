package cobaltseam.authentication;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What may follow a message to show who wrote it: a mark, a form, the id of a key, a sequence, and
 * an HMAC-SHA-256 (RFC 2104, FIPS 198-1) with that key over what goes without saying, the message,
 * and the seal up to there. What goes without saying is known to both sides and not sent: both
 * addresses of an advert's datagram, the name of a fleet.
 */
public final class MessageAuthenticator {
  /** Bytes of a seal. */
  public static final int LENGTH = 44;

  private static final int TRAILER_HEADER_BYTES = 12;
  private static final short MAGIC = (short) 0xc05e;
  private static final byte FORMAT = 1;
  private static final String ALGORITHM = "HmacSHA256";

  private MessageAuthenticator() {}

  /** Why a seal does not hold. */
  public enum Rejection {
    KEY_UNKNOWN,
    FORGED
  }

  /** The sequence and the key that a seal tells of; believed only once it is checked. */
  public record Trailer(int keyId, long sequence) {}

  /** Whether a seal stands from this index on, as far as its form tells. */
  public static boolean hasTrailer(byte[] bytes, int offset) {
    if (offset < 0 || bytes.length - offset != LENGTH) {
      return false;
    }
    ByteBuffer trailer = ByteBuffer.wrap(bytes, offset, LENGTH);
    return trailer.getShort() == MAGIC && trailer.get() == FORMAT;
  }

  /** A message with its seal behind it. */
  public static byte[] sign(
      byte[] message, byte[] associatedData, KeyRing keys, int keyId, long sequence) {
    byte[] bytes = Arrays.copyOf(message, message.length + LENGTH);
    ByteBuffer.wrap(bytes, message.length, LENGTH)
        .putShort(MAGIC)
        .put(FORMAT)
        .put((byte) keyId)
        .putLong(sequence)
        .put(
            computeMac(
                bytes, message.length + TRAILER_HEADER_BYTES, associatedData, keys.key(keyId)));
    return bytes;
  }

  /** What the seal behind a message of this length tells. */
  public static Trailer readTrailer(byte[] bytes, int length) {
    ByteBuffer trailer = ByteBuffer.wrap(bytes, length, LENGTH);
    trailer.position(length + 3);
    return new Trailer(trailer.get() & 0xff, trailer.getLong());
  }

  /** Why the seal behind a message of this length does not hold, or nothing if it does. */
  public static Optional<Rejection> verify(
      byte[] bytes, int length, byte[] associatedData, KeyRing keys) {
    byte[] key = keys.key(readTrailer(bytes, length).keyId());
    if (key == null) {
      return Optional.of(Rejection.KEY_UNKNOWN);
    }
    byte[] expected = computeMac(bytes, length + TRAILER_HEADER_BYTES, associatedData, key);
    byte[] received = Arrays.copyOfRange(bytes, length + TRAILER_HEADER_BYTES, bytes.length);
    return MessageDigest.isEqual(expected, received)
        ? Optional.empty()
        : Optional.of(Rejection.FORGED);
  }

  private static byte[] computeMac(byte[] bytes, int length, byte[] associatedData, byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      mac.update(associatedData);
      mac.update(bytes, 0, length);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
