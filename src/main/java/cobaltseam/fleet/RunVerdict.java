package cobaltseam.fleet;

import java.util.List;

/** What one run came to. */
record RunVerdict(List<String> violations, boolean lostMajority, double settledS) {
  /**
   * Without a majority of its last view a fleet waits for its operator: then only what must never
   * be counts.
   */
  boolean isFailed() {
    return violations.stream().anyMatch(violation -> !lostMajority || isSafetyViolation(violation));
  }

  private static boolean isSafetyViolation(String violation) {
    return violation.startsWith("one number")
        || violation.startsWith("numbers fall")
        || violation.startsWith("no predecessor")
        || violation.startsWith("a view of others");
  }
}
