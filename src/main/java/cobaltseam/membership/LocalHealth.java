package cobaltseam.membership;

/**
 * The health score of this process, from 0 for healthy to {@link #MAX_SCORE}. Late timers, failed
 * health checks for which not all relays acknowledged the request, and refutations by this process
 * raise the score. The higher it is, the longer this process waits before it suspects others
 * (Dadgar et al., "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
 */
final class LocalHealth {
  static final int MAX_SCORE = 6;

  private int score;

  /** Raises the score by one, up to {@link #MAX_SCORE}. */
  void worsen() {
    score = Math.min(MAX_SCORE, score + 1);
  }

  /** Lowers the score by one, down to 0. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  /** The factor, at least 1, by which timeouts exceed those of a healthy process. */
  int timeoutMultiplier() {
    return 1 + score;
  }
}
