package cobaltseam.membership;

/**
 * How well this process itself seems to run, from 0 for well to {@link #MOST}: late timers, probes
 * without an answer of anybody, and being suspected raise it. The worse it is, the longer it waits
 * before it judges others (Dadgar et al., "Lifeguard: Local Health Awareness for More Accurate
 * Failure Detection", 2018).
 */
final class OwnHealth {
  static final int MOST = 6;
  private int score;

  void worse() {
    score = Math.min(MOST, score + 1);
  }

  void better() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  /** By how much spans are to be longer. */
  int slower() {
    return 1 + score;
  }
}
