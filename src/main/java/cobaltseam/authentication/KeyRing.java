package cobaltseam.authentication;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * The secret keys for message authentication by their ids, 1 to 255. Several keys are valid at
 * once, so that keys can be rotated one dispatcher at a time. Immutable.
 */
public final class KeyRing {
  private static final int MIN_KEY_BYTES = 16;
  private static final int MAX_KEYS = 16;

  private final Map<Integer, byte[]> keys;

  private KeyRing(Map<Integer, byte[]> keys) {
    this.keys = keys;
  }

  /**
   * Parses a key file. Each line has a key: its id, a space, and at least 32 hex digits. Empty
   * lines and lines that begin with # are ignored.
   *
   * @throws IllegalArgumentException with the number of an invalid line, never with its content
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
      boolean valid =
          fields.length == 2
              && fields[0].matches("[1-9][0-9]{0,2}")
              && Integer.parseInt(fields[0]) <= 255
              && fields[1].matches("([0-9a-fA-F]{2})+")
              && fields[1].length() >= 2 * MIN_KEY_BYTES;
      if (!valid
          || keys.put(Integer.parseInt(fields[0]), HexFormat.of().parseHex(fields[1])) != null) {
        throw new IllegalArgumentException(
            "line "
                + lineNumber
                + " is not an id of its own from 1 to 255 and a key of "
                + MIN_KEY_BYTES
                + " bytes or more in hex");
      }
    }
    if (keys.isEmpty() || keys.size() > MAX_KEYS) {
      throw new IllegalArgumentException("there are not 1 to " + MAX_KEYS + " keys");
    }
    return new KeyRing(keys);
  }

  /** Whether there is a key of this id. */
  public boolean contains(int id) {
    return keys.containsKey(id);
  }

  /** The key of this id, or null. */
  byte[] key(int id) {
    return keys.get(id);
  }

  @Override
  public String toString() {
    return "keys " + keys.keySet();
  }
}
