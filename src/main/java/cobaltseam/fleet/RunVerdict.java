package cobaltseam.fleet;

import java.util.List;

/**
 * The result of one run.
 *
 * @param violations the violated invariants, as {@link InvariantChecker} reports them
 * @param settledS seconds after the script until the fleet settled; if it did not, the limit in
 *     virtual time, or a negative number for real processes
 */
record RunVerdict(List<String> violations, boolean lostMajority, double settledS) {
  /**
   * Whether the run failed. A fleet that has lost its majority waits for its operator, so that only
   * violations of safety count then.
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
