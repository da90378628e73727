package cobaltseam.sharing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The figures that one member publishes about itself, by name. A missing figure is unknown, not
 * zero. Figures whose name this process doesn't know are passed on unchanged.
 */
public record MemberFigures(Map<String, Long> byName) {
  /** The largest number of figures; it bounds the memory that a peer can make others use. */
  public static final int MAX_FIGURES = 256;

  /** The longest name of a figure, in characters. */
  public static final int MAX_NAME_LENGTH = 64;

  public MemberFigures {
    if (byName.size() > MAX_FIGURES
        || byName.keySet().stream()
            .anyMatch(name -> name.isEmpty() || name.length() > MAX_NAME_LENGTH)) {
      throw new IllegalArgumentException(
          "a member publishes at most "
              + MAX_FIGURES
              + " figures, each with a name of 1 to "
              + MAX_NAME_LENGTH
              + " characters");
    }
    byName = Map.copyOf(new TreeMap<>(byName));
  }
}
