package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The timers of one thread, ordered by due time; timers with the same due time are ordered by when
 * they were set. Not thread-safe.
 */
final class Timers {
  /** A timer, which may be cancelled by {@link #cancel}. */
  static final class Timer {
    private final Timestamp dueAt;
    private final long number;
    private final Runnable task;

    private Timer(Timestamp dueAt, long number, Runnable task) {
      this.dueAt = dueAt;
      this.number = number;
      this.task = task;
    }
  }

  private final TreeSet<Timer> timers =
      new TreeSet<>(
          Comparator.comparing((Timer timer) -> timer.dueAt)
              .thenComparingLong(timer -> timer.number));
  private long nextNumber;

  /** Sets a timer; a timer set for a time in the past is due immediately. */
  Timer set(Timestamp dueAt, Runnable task) {
    Timer timer = new Timer(dueAt, nextNumber++, task);
    timers.add(timer);
    return timer;
  }

  /** Cancels a timer; does nothing if it is null or was already removed. */
  void cancel(Timer timer) {
    if (timer != null) {
      timers.remove(timer);
    }
  }

  /** Removes the first timer that is due and returns its task; returns null if none is due. */
  Runnable pollDue(Timestamp now) {
    return timers.isEmpty() || now.isBefore(timers.first().dueAt) ? null : timers.pollFirst().task;
  }

  /** Returns by how much the first timer is overdue; zero if none is due. */
  TimeSpan overdue(Timestamp now) {
    return timers.isEmpty() ? TimeSpan.ZERO : now.since(timers.first().dueAt).max(TimeSpan.ZERO);
  }

  /** Returns the time until the next timer is due, from zero to {@code maxWait}. */
  TimeSpan untilNext(Timestamp now, TimeSpan maxWait) {
    return timers.isEmpty()
        ? maxWait
        : timers.first().dueAt.since(now).max(TimeSpan.ZERO).min(maxWait);
  }

  /** Returns the number of timers that are set. */
  int size() {
    return timers.size();
  }
}
