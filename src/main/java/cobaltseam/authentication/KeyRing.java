package cobaltseam.authentication;

import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys of seals by their ids, 1 to 255; two and more are valid at once, so that they can be
 * changed one by one.
 */
public final class KeyRing {
  private static final int SHORTEST = 16;
  private static final int MOST = 16;

  private final Map<Integer, byte[]> keys;

  private KeyRing(Map<Integer, byte[]> keys) {
    this.keys = keys;
  }

  /**
   * Reads a key file: a line a key, its id, a space, and at least 32 hex digits; lines that are
   * empty or begin with # are passed over.
   *
   * @throws IllegalArgumentException with the line that can't be used, never with what stands there
   */
  public static KeyRing read(String text) {
    Map<Integer, byte[]> keys = new TreeMap<>();
    int number = 0;
    for (String line : text.split("\\R")) {
      number++;
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String[] words = line.strip().split("\\s+");
      boolean fits =
          words.length == 2
              && words[0].matches("[1-9][0-9]{0,2}")
              && Integer.parseInt(words[0]) <= 255
              && words[1].matches("([0-9a-fA-F]{2})+")
              && words[1].length() >= 2 * SHORTEST;
      if (!fits
          || keys.put(Integer.parseInt(words[0]), HexFormat.of().parseHex(words[1])) != null) {
        throw new IllegalArgumentException(
            "line "
                + number
                + " is not an id of its own from 1 to 255 and a key of "
                + SHORTEST
                + " bytes or more in hex");
      }
    }
    if (keys.isEmpty() || keys.size() > MOST) {
      throw new IllegalArgumentException("there are not 1 to " + MOST + " keys");
    }
    return new KeyRing(keys);
  }

  public boolean has(int id) {
    return keys.containsKey(id);
  }

  byte[] of(int id) {
    return keys.get(id);
  }

  @Override
  public String toString() {
    return "keys " + keys.keySet();
  }
}
