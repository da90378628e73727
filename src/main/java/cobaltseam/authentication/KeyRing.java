package cobaltseam.authentication;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the secret keys for message authentication by their ids, 1 to 255. Several keys are valid
 * at once, so that keys can be rotated one dispatcher at a time. Immutable.
 */
public final class KeyRing {
  private static final int MIN_KEY_BYTES = 16;
  private static final int MAX_KEYS = 16;

  private final Map<Integer, byte[]> keys;

  private KeyRing(Map<Integer, byte[]> keys) {
    this.keys = keys;
  }

  /**
   * Parses a key file. Each line defines a key: its id, white space, and an even number of at least
   * 32 hexadecimal digits. Empty lines and lines that begin with # are ignored.
   *
   * @throws IllegalArgumentException if a line is invalid, an id is repeated, or there are no keys
   *     or too many; the message has the number of an invalid line, never its content
   */
  public static KeyRing parse(String text) {
    Map<Integer, byte[]> keys = new TreeMap<>();
    int lineNumber = 0;
    for (String line : text.split("\\R")) {
      lineNumber++;
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String[] fields = line.strip().split("\\s+");
      boolean isValid =
          fields.length == 2
              && fields[0].matches("[1-9][0-9]{0,2}")
              && Integer.parseInt(fields[0]) <= 255
              && fields[1].matches("([0-9a-fA-F]{2})+")
              && fields[1].length() >= 2 * MIN_KEY_BYTES;
      if (!isValid
          || keys.put(Integer.parseInt(fields[0]), HexFormat.of().parseHex(fields[1])) != null) {
        throw new IllegalArgumentException(
            "line "
                + lineNumber
                + " must have a unique id from 1 to 255 and a key of at least "
                + MIN_KEY_BYTES
                + " bytes in hexadecimal digits");
      }
    }
    if (keys.isEmpty() || keys.size() > MAX_KEYS) {
      throw new IllegalArgumentException("the file must have 1 to " + MAX_KEYS + " keys");
    }
    return new KeyRing(keys);
  }

  /** Whether the ring has a key with this id. */
  public boolean contains(int id) {
    return keys.containsKey(id);
  }

  /** The key with this id, or null. */
  byte[] key(int id) {
    return keys.get(id);
  }

  @Override
  public String toString() {
    return "keys " + keys.keySet();
  }
}
