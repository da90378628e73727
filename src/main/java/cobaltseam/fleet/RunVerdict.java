package cobaltseam.fleet;

import java.util.List;

/** What one run came to. */
record RunVerdict(List<String> broken, boolean lostMajority, double settledS) {
  /**
   * Without a majority of its last view a fleet waits for its operator: then only what must never
   * be counts.
   */
  boolean isBroken() {
    return broken.stream().anyMatch(b -> !lostMajority || isNever(b));
  }

  private static boolean isNever(String broken) {
    return broken.startsWith("one number")
        || broken.startsWith("numbers fall")
        || broken.startsWith("no predecessor")
        || broken.startsWith("a view of others");
  }
}
