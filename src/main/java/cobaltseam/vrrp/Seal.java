package cobaltseam.vrrp;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What may follow an advertisement to show who wrote it: a mark, a form, the id of a key, a sequence, and an
 * HMAC-SHA-256 with that key over both addresses of the datagram, the advertisement, and the seal up to there.
 * A decoder that knows only the RFC sees bytes beyond the addresses, and may refuse those.
 */
public final class Seal {
    static final int LENGTH = 44;
    private static final int HEAD = 12;
    private static final short MARK = (short) 0xc05e;
    private static final byte FORM = 1;
    private static final String ALGORITHM = "HmacSHA256";

    private Seal() {
    }

    /** The sequence and the key that a seal tells of; believed only once it is checked. */
    public record Told(int key, long sequence) {
    }

    static boolean isAt(byte[] bytes, int at) {
        ByteBuffer seal = ByteBuffer.wrap(bytes, at, LENGTH);
        return seal.getShort() == MARK && seal.get() == FORM;
    }

    /** An advertisement with its seal behind it. */
    public static byte[] write(byte[] advert, InetAddress source, InetAddress destination, SealKeys keys, int key,
                               long sequence) {
        byte[] bytes = Arrays.copyOf(advert, advert.length + LENGTH);
        ByteBuffer.wrap(bytes, advert.length, LENGTH).putShort(MARK).put(FORM).put((byte) key).putLong(sequence)
                .put(code(bytes, advert.length + HEAD, source, destination, keys.of(key)));
        return bytes;
    }

    /** What the seal behind an advertisement of this length tells. */
    public static Told told(byte[] bytes, int length) {
        ByteBuffer seal = ByteBuffer.wrap(bytes, length, LENGTH);
        seal.position(length + 3);
        return new Told(seal.get() & 0xff, seal.getLong());
    }

    /** Why the seal behind an advertisement of this length does not hold, or nothing if it does. */
    public static Optional<Refusal> check(byte[] bytes, int length, InetAddress source, InetAddress destination,
                                          SealKeys keys) {
        byte[] key = keys.of(told(bytes, length).key());
        if (key == null) {
            return Optional.of(Refusal.KEY_UNKNOWN);
        }
        byte[] right = code(bytes, length + HEAD, source, destination, key);
        byte[] there = Arrays.copyOfRange(bytes, length + HEAD, bytes.length);
        return MessageDigest.isEqual(right, there) ? Optional.empty() : Optional.of(Refusal.FORGED);
    }

    private static byte[] code(byte[] bytes, int length, InetAddress source, InetAddress destination, byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            mac.update(source.getAddress());
            mac.update(destination.getAddress());
            mac.update(bytes, 0, length);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
