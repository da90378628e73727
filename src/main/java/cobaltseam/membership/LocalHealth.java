package cobaltseam.membership;

/**
 * The health score of this process, from 0 for healthy to {@link #MAX_SCORE}. Late timers, health
 * checks that nobody answers, and being suspected raise it. The higher it is, the longer this
 * process waits before it suspects others (Dadgar et al., "Lifeguard: Local Health Awareness for
 * More Accurate Failure Detection", 2018).
 */
final class LocalHealth {
  static final int MAX_SCORE = 6;
  private int score;

  void worsen() {
    score = Math.min(MAX_SCORE, score + 1);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  /** The factor by which timeouts are longer than those of a healthy process. */
  int timeoutMultiplier() {
    return 1 + score;
  }
}
