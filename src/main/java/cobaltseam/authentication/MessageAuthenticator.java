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

  private static final int HEAD = 12;
  private static final short MARK = (short) 0xc05e;
  private static final byte FORM = 1;
  private static final String ALGORITHM = "HmacSHA256";

  private MessageAuthenticator() {}

  /** Why a seal does not hold. */
  public enum Rejection {
    KEY_UNKNOWN,
    FORGED
  }

  /** The sequence and the key that a seal tells of; believed only once it is checked. */
  public record Trailer(int key, long sequence) {}

  /** Whether a seal stands from this index on, as far as its form tells. */
  public static boolean hasTrailer(byte[] bytes, int at) {
    if (at < 0 || bytes.length - at != LENGTH) {
      return false;
    }
    ByteBuffer seal = ByteBuffer.wrap(bytes, at, LENGTH);
    return seal.getShort() == MARK && seal.get() == FORM;
  }

  /** A message with its seal behind it. */
  public static byte[] sign(
      byte[] message, byte[] associatedData, KeyRing keys, int key, long sequence) {
    byte[] bytes = Arrays.copyOf(message, message.length + LENGTH);
    ByteBuffer.wrap(bytes, message.length, LENGTH)
        .putShort(MARK)
        .put(FORM)
        .put((byte) key)
        .putLong(sequence)
        .put(code(bytes, message.length + HEAD, associatedData, keys.of(key)));
    return bytes;
  }

  /** What the seal behind a message of this length tells. */
  public static Trailer readTrailer(byte[] bytes, int length) {
    ByteBuffer seal = ByteBuffer.wrap(bytes, length, LENGTH);
    seal.position(length + 3);
    return new Trailer(seal.get() & 0xff, seal.getLong());
  }

  /** Why the seal behind a message of this length does not hold, or nothing if it does. */
  public static Optional<Rejection> verify(
      byte[] bytes, int length, byte[] associatedData, KeyRing keys) {
    byte[] key = keys.of(readTrailer(bytes, length).key());
    if (key == null) {
      return Optional.of(Rejection.KEY_UNKNOWN);
    }
    byte[] right = code(bytes, length + HEAD, associatedData, key);
    byte[] there = Arrays.copyOfRange(bytes, length + HEAD, bytes.length);
    return MessageDigest.isEqual(right, there) ? Optional.empty() : Optional.of(Rejection.FORGED);
  }

  private static byte[] code(byte[] bytes, int length, byte[] associatedData, byte[] key) {
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
