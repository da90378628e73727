package cobaltseam.service;

import cobaltseam.service.Counters.Count;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The number of bytes that the I/O thread has received from all engines and that the event loop has
 * not processed. Thread-safe.
 */
final class UnprocessedInput {
  private final AtomicLong bytes = new AtomicLong();
  private final Counters counters;

  UnprocessedInput(Counters counters) {
    this.counters = counters;
  }

  /** Records received bytes. */
  void add(int received) {
    counters.raiseTo(Count.ENGINE_INPUT_PEAK_BYTES, bytes.addAndGet(received));
  }

  /** Records that received bytes were processed. */
  void release(int processed) {
    bytes.addAndGet(-processed);
  }

  /** Returns the number of bytes that are not processed. */
  long bytes() {
    return bytes.get();
  }
}
