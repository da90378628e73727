package cobaltseam.sharing;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one member says of itself, by name of figure. A figure that is not there is unknown, never
 * zero. Names that this build does not know are passed on as they came.
 */
public record MemberFigures(Map<String, Long> byName) {
  /** No member says more than this many figures: what a peer makes others hold is bounded. */
  public static final int MAX_FIGURES = 256;

  public static final int MAX_NAME_LENGTH = 64;

  public MemberFigures {
    if (byName.size() > MAX_FIGURES
        || byName.keySet().stream().anyMatch(n -> n.isEmpty() || n.length() > MAX_NAME_LENGTH)) {
      throw new IllegalArgumentException(
          "at most "
              + MAX_FIGURES
              + " figures, with names of 1 to "
              + MAX_NAME_LENGTH
              + " characters");
    }
    byName = Map.copyOf(new TreeMap<>(byName));
  }
}
