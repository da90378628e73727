package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.Comparator;
import java.util.TreeSet;

/** All deadlines of the service in one order: by their moment, then by when they were set. */
final class Timers {
  /** One deadline, to be cancelled by who set it. */
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

  private final TreeSet<Timer> set =
      new TreeSet<>(Comparator.comparing((Timer d) -> d.at).thenComparingLong(d -> d.number));
  private long numbers;

  Timer set(Timestamp at, Runnable due) {
    Timer deadline = new Timer(at, numbers++, due);
    set.add(deadline);
    return deadline;
  }

  /** Takes a deadline back; null and what is past are passed over. */
  void cancel(Timer deadline) {
    if (deadline != null) {
      set.remove(deadline);
    }
  }

  /** The first one that is due, taken out, or null. */
  Runnable due(Timestamp now) {
    return set.isEmpty() || now.isBefore(set.first().at) ? null : set.pollFirst().due;
  }

  /** How long ago the first one was due; zero if none is. */
  TimeSpan overdue(Timestamp now) {
    return set.isEmpty() ? TimeSpan.ZERO : now.since(set.first().at).max(TimeSpan.ZERO);
  }

  /** How long until the next one, or the span given where that is shorter. */
  TimeSpan untilNext(Timestamp now, TimeSpan most) {
    return set.isEmpty() ? most : set.first().at.since(now).max(TimeSpan.ZERO).min(most);
  }

  int size() {
    return set.size();
  }
}
