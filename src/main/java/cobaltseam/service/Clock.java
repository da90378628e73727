package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The system's time at the start, continued by a monotonic clock: microseconds since the Unix epoch
 * that never go back, even if the system's time is set.
 */
final class Clock {
  private static final int NANOS_PER_MICRO = 1000;

  private final long startUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  private final long startNanos = System.nanoTime();

  Timestamp now() {
    return new Timestamp(us());
  }

  /** The same in microseconds, for code that must not allocate. */
  long us() {
    return startUs + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }
}
