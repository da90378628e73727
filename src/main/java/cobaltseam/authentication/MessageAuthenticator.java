package cobaltseam.authentication;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies messages with a trailer: magic bytes, a format number, the id of a key, a
 * sequence number, and an HMAC-SHA-256 (RFC 2104, FIPS 198-1) with that key over the associated
 * data, the message, and the preceding fields of the trailer. The associated data is known to both
 * sides and not transmitted: both addresses of a VRRP datagram, or the name of a fleet.
 */
public final class MessageAuthenticator {
  /** The length of a trailer, in bytes. */
  public static final int TRAILER_BYTES = 44;

  /** The length of the fields of a trailer before the HMAC, in bytes. */
  private static final int TRAILER_HEADER_BYTES = 12;

  private static final short MAGIC = (short) 0xc05e;
  private static final byte FORMAT = 1;
  private static final String ALGORITHM = "HmacSHA256";

  private MessageAuthenticator() {}

  /** Why a trailer is invalid. */
  public enum Rejection {
    /** The key ring has no key with the id in the trailer. */
    KEY_UNKNOWN,
    /** The HMAC does not match. */
    FORGED
  }

  /**
   * The key id and the sequence number of a trailer; neither is authentic until the trailer is
   * verified.
   */
  public record Trailer(int keyId, long sequence) {}

  /** Whether the bytes from this offset to the end have the form of a trailer. */
  public static boolean hasTrailer(byte[] bytes, int offset) {
    if (offset < 0 || bytes.length - offset != TRAILER_BYTES) {
      return false;
    }
    ByteBuffer trailer = ByteBuffer.wrap(bytes, offset, TRAILER_BYTES);
    return trailer.getShort() == MAGIC && trailer.get() == FORMAT;
  }

  /**
   * Returns the message followed by its trailer. The key ring must contain the key.
   *
   * @param sequence the sequence number to put into the trailer
   */
  public static byte[] sign(
      byte[] message, byte[] associatedData, KeyRing keys, int keyId, long sequence) {
    byte[] bytes = Arrays.copyOf(message, message.length + TRAILER_BYTES);
    ByteBuffer.wrap(bytes, message.length, TRAILER_BYTES)
        .putShort(MAGIC)
        .put(FORMAT)
        .put((byte) keyId)
        .putLong(sequence)
        .put(
            computeMac(
                bytes, message.length + TRAILER_HEADER_BYTES, associatedData, keys.key(keyId)));
    return bytes;
  }

  /** Reads the trailer that follows a message of this length, without verifying it. */
  public static Trailer readTrailer(byte[] bytes, int length) {
    ByteBuffer trailer = ByteBuffer.wrap(bytes, length, TRAILER_BYTES);
    trailer.position(length + 3);
    return new Trailer(trailer.get() & 0xff, trailer.getLong());
  }

  /** Why the trailer that follows a message of this length is invalid; empty if it is valid. */
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
      throw new IllegalStateException("every Java platform must support " + ALGORITHM, e);
    }
  }
}
