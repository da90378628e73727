package cobaltseam.dispatch;

/**
 * How an engine warms up.
 *
 * @param startFraction the fraction of its full capacity that an engine has when it starts
 * @param duration the time after which it has its full capacity
 * @param allowanceFactor the work that this dispatcher may send to the engine meanwhile, as a
 *     multiple of the work that the engine can do
 */
record SlowStart(double startFraction, TimeSpan duration, double allowanceFactor) {
  /** Returns the slow start that meets the bounds of both. */
  SlowStart stricterOf(SlowStart other) {
    return new SlowStart(
        Math.min(startFraction, other.startFraction),
        duration.max(other.duration),
        Math.min(allowanceFactor, other.allowanceFactor));
  }
}
