package cobaltseam.dispatch;

/**
 * The slow start of one engine: its capacity while it warms up, and a limit on the work that it may
 * be sent meanwhile.
 */
final class EngineWarmup {
  private Timestamp startedAt;
  private SlowStart slowStart;
  private Timestamp sampledAt;

  /**
   * The current random sample, from 0 to 1; it decides whether a request is sent that fits only
   * with some probability.
   */
  private double sample;

  /**
   * Work that the engine may be sent until the next sample, in microseconds; negative after work
   * was sent in advance.
   */
  private double allowanceUs;

  EngineWarmup(double sample, Timestamp now) {
    this.sample = sample;
    sampledAt = now;
  }

  /** Returns whether this start is later than the last known one. */
  boolean isRestart(Timestamp start) {
    return startedAt != null && startedAt.isBefore(start);
  }

  boolean isStartedBefore(Timestamp when) {
    return startedAt.isBefore(when);
  }

  /** Begins a slow start at the first known start of the engine and at each later one. */
  void start(Timestamp start, SlowStart newSlowStart, Timestamp now) {
    if (startedAt == null || isRestart(start)) {
      startedAt = start;
      slowStart = newSlowStart;
      allowanceUs = 0;
      sampledAt = now;
    }
  }

  /**
   * Applies changed settings. An engine that is warming up under either settings complies with both
   * until it is warm under both.
   */
  void applySettings(SlowStart newSlowStart, Timestamp now) {
    boolean wasWarmingUp = isWarmingUp(now);
    SlowStart both = slowStart.stricterOf(newSlowStart);
    slowStart = newSlowStart;
    if (wasWarmingUp || isWarmingUp(now)) {
      slowStart = both;
    }
    allowanceUs = Math.min(0, allowanceUs);
  }

  boolean isWarmingUp(Timestamp now) {
    return startedAt.us() > 0 && now.since(startedAt).compareTo(slowStart.duration()) < 0;
  }

  /** Returns the current fraction of its full capacity that the engine has, from 0 to 1. */
  double capacityFraction(Timestamp now) {
    if (!isWarmingUp(now)) {
      return 1;
    }
    double progress = Math.max(0, now.since(startedAt).dividedBy(slowStart.duration()));
    return slowStart.startFraction() + (1 - slowStart.startFraction()) * progress;
  }

  /**
   * Renews the random sample and the allowance. The limit prevents a single dispatcher, and
   * hundreds of them together, from overloading an engine that has just started: the engine may be
   * sent the work that was allowed since the last sample, and with some probability one request
   * beyond that. Unused allowance is not saved up, and work sent in advance is deducted. The
   * allowance of an interval is credited at its end, the latest possible time.
   */
  void resample(double newSample, double cores, Timestamp now) {
    if (isWarmingUp(now)) {
      double newAllowanceUs =
          cores * slowStart.allowanceFactor() * capacityFraction(now) * now.since(sampledAt).us();
      allowanceUs = Math.min(0, allowanceUs) + newAllowanceUs;
    }
    sample = newSample;
    sampledAt = now;
  }

  TimeSpan sinceSample(Timestamp now) {
    return now.since(sampledAt);
  }

  /** Returns whether an event of this probability happens under the current random sample. */
  boolean isSampleBelow(double probability) {
    return sample < probability;
  }

  /**
   * Returns whether the allowance, under the current random sample, admits a request with this
   * work.
   */
  boolean allows(double workUs, Timestamp now) {
    return !isWarmingUp(now) || allowanceUs > 0 && sample * workUs <= allowanceUs;
  }

  void spend(double workUs, Timestamp now) {
    if (isWarmingUp(now)) {
      allowanceUs -= workUs;
    }
  }
}
