package cobaltseam.dispatch;

/**
 * How an engine warms up: the fraction of its work that it can do at its start, the time until it
 * can do all of it, and how many times what it can do this dispatcher may send it meanwhile.
 */
record SlowStart(double startFraction, TimeSpan duration, double workFactor) {
  /** The bounds that keep to both. */
  SlowStart stricterOf(SlowStart other) {
    return new SlowStart(
        Math.min(startFraction, other.startFraction),
        duration.max(other.duration),
        Math.min(workFactor, other.workFactor));
  }
}
