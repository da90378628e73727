package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;

/**
 * Observes how long tasks wait for the event loop. Keeps the longest wait as a counter, and logs
 * long ones together with what tells their causes apart: many tasks, much input of engines or
 * discovery, a heap that is almost full, or none of these where the process was not scheduled.
 * Confined to the event-loop thread.
 */
final class BacklogMonitor {
  /** A task that waited for longer than this is logged; in microseconds. */
  private static final TimeSpan LOG_THRESHOLD_US = new TimeSpan(250_000);

  private static final int US_PER_MS = 1000;
  private static final int BYTES_PER_MB = 1 << 20;

  private final EventLoopQueue inbox;
  private final ReadFlowControl flowControl;
  private final Counters counters;
  private final RateLimitedLog log;

  BacklogMonitor(
      EventLoopQueue inbox, ReadFlowControl flowControl, Clock clock, Counters counters) {
    this.inbox = inbox;
    this.flowControl = flowControl;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(EventLoop.class.getName()), clock);
  }

  /** Records how long a task has waited; to be called when the event loop takes it. */
  void recordWait(TimeSpan wait) {
    long waitMs = wait.us() / US_PER_MS;
    counters.raiseTo(Count.EVENT_LOOP_PEAK_DELAY_MS, waitMs);
    if (wait.compareTo(LOG_THRESHOLD_US) > 0) {
      logDelay(waitMs);
    }
  }

  private void logDelay(long waitMs) {
    Runtime runtime = Runtime.getRuntime();
    log.warn(
        "the event loop is {0} ms behind: {1} tasks and {2} bytes from engines and discovery wait, the heap"
            + " holds {3} of {4} MB",
        Field.of("delayMs", waitMs),
        Field.of("tasks", inbox.size()),
        Field.of("inputBytes", flowControl.unprocessedBytes()),
        Field.of("heapMb", (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB),
        Field.of("maxHeapMb", runtime.maxMemory() / BYTES_PER_MB),
        Field.event("event_loop.behind"));
  }
}
