package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The system's Unix clock as it stood at the start, carried on by the clock that no one sets. */
final class Clock {
  private static final int NANOS_PER_MICRO = 1000;

  private final long startUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  private final long startNanos = System.nanoTime();

  Timestamp now() {
    return new Timestamp(us());
  }

  /** The same as a number, for a path that allocates nothing. */
  long us() {
    return startUs + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }
}
