package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A monotonic clock of microseconds since the Unix epoch. Reads the system's wall clock once, at
 * construction, and advances by {@link System#nanoTime}, so that its time never goes back, even if
 * the wall clock is set.
 */
final class Clock {
  private static final int NANOS_PER_MICRO = 1000;

  private final long startUs = wallNow().us();
  private final long startNanos = System.nanoTime();

  /**
   * Returns the time of the wall clock, which may be stepped at any moment; to be compared only
   * with times that another process read from a wall clock.
   */
  static Timestamp wallNow() {
    return new Timestamp(ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
  }

  /**
   * Translates a time to the machine's monotonic clock in microseconds, which all processes of one
   * machine share.
   */
  long machineUs(Timestamp time) {
    return startNanos / NANOS_PER_MICRO + time.us() - startUs;
  }

  /** Returns the current time. */
  Timestamp now() {
    return new Timestamp(us());
  }

  /** Returns the current time in microseconds, for code that must not allocate. */
  long us() {
    return startUs + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }
}
