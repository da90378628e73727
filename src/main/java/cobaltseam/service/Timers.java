package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The timers of one thread, ordered by when they are due, and those due at the same time by when
 * they were set.
 */
final class Timers {
  /** One timer, which whoever set it may cancel. */
  static final class Timer {
    private final Timestamp at;
    private final long number;
    private final Runnable due;

    private Timer(Timestamp at, long number, Runnable due) {
      this.at = at;
      this.number = number;
      this.due = due;
    }
  }

  private final TreeSet<Timer> timers =
      new TreeSet<>(Comparator.comparing((Timer d) -> d.at).thenComparingLong(d -> d.number));
  private long nextNumber;

  /** Sets a timer; one that is set for the past is due at once. */
  Timer set(Timestamp at, Runnable due) {
    Timer timer = new Timer(at, nextNumber++, due);
    timers.add(timer);
    return timer;
  }

  /** Cancels a timer; null and timers that have run are ignored. */
  void cancel(Timer timer) {
    if (timer != null) {
      timers.remove(timer);
    }
  }

  /** Removes the first timer that is due and returns its task, or null if none is due. */
  Runnable pollDue(Timestamp now) {
    return timers.isEmpty() || now.isBefore(timers.first().at) ? null : timers.pollFirst().due;
  }

  /** How long ago the first timer was due; zero if none is. */
  TimeSpan overdue(Timestamp now) {
    return timers.isEmpty() ? TimeSpan.ZERO : now.since(timers.first().at).max(TimeSpan.ZERO);
  }

  /** How long until the next timer is due, but at most this long. */
  TimeSpan untilNext(Timestamp now, TimeSpan maxWait) {
    return timers.isEmpty()
        ? maxWait
        : timers.first().at.since(now).max(TimeSpan.ZERO).min(maxWait);
  }

  int size() {
    return timers.size();
  }
}
