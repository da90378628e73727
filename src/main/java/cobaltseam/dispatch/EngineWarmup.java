package cobaltseam.dispatch;

/**
 * The slow start of one engine: how far it has warmed up, and how much work it may be sent until it
 * has.
 */
final class EngineWarmup {
  private Timestamp startedAt;
  private SlowStart slowStart;
  private Timestamp drawnAt;

  /** The present random draw, from 0 to 1: decides on what fits only by chance. */
  private double draw;

  /** Work that it may be sent until the next draw, in microseconds; below zero if sent ahead. */
  private double allowanceUs;

  EngineWarmup(double draw, Timestamp now) {
    this.draw = draw;
    drawnAt = now;
  }

  /** Whether this start is later than the last one known. */
  boolean isRestart(Timestamp start) {
    return startedAt != null && startedAt.isBefore(start);
  }

  boolean isStartedBefore(Timestamp when) {
    return startedAt.isBefore(when);
  }

  /** Begins a slow start at the first start known and at each later one. */
  void start(Timestamp start, SlowStart by, Timestamp now) {
    if (startedAt == null || isRestart(start)) {
      startedAt = start;
      slowStart = by;
      allowanceUs = 0;
      drawnAt = now;
    }
  }

  /** An engine that is warming up by either settings keeps to both until it is warm by both. */
  void applySettings(SlowStart by, Timestamp now) {
    boolean wasWarming = isWarmingUp(now);
    SlowStart both = slowStart.stricterOf(by);
    slowStart = by;
    if (wasWarming || isWarmingUp(now)) {
      slowStart = both;
    }
    allowanceUs = Math.min(0, allowanceUs);
  }

  boolean isWarmingUp(Timestamp now) {
    return startedAt.us() > 0 && now.since(startedAt).compareTo(slowStart.duration()) < 0;
  }

  /** The part of its work that the engine can do now, from 0 to 1. */
  double capacityFraction(Timestamp now) {
    if (!isWarmingUp(now)) {
      return 1;
    }
    double progress = Math.max(0, now.since(startedAt).dividedBy(slowStart.duration()));
    return slowStart.startFraction() + (1 - slowStart.startFraction()) * progress;
  }

  /**
   * Renews the draw and the allowance. Guards against overloading an engine that has just started,
   * by one dispatcher or by hundreds: it may be sent what became allowed since the last draw, or a
   * request beyond that by its chance. None is saved up, and what was sent ahead is owed. Growth is
   * taken to be as late as it may be.
   */
  void redraw(double newDraw, double cores, Timestamp now) {
    if (isWarmingUp(now)) {
      double grown =
          cores * slowStart.workFactor() * capacityFraction(now) * now.since(drawnAt).us();
      allowanceUs = Math.min(0, allowanceUs) + grown;
    }
    draw = newDraw;
    drawnAt = now;
  }

  TimeSpan sinceDraw(Timestamp now) {
    return now.since(drawnAt);
  }

  /** Whether the present draw lets an event of this probability happen. */
  boolean isDrawnBelow(double probability) {
    return draw < probability;
  }

  boolean allows(double workUs, Timestamp now) {
    return !isWarmingUp(now) || allowanceUs > 0 && draw * workUs <= allowanceUs;
  }

  void spend(double workUs, Timestamp now) {
    if (isWarmingUp(now)) {
      allowanceUs -= workUs;
    }
  }
}
