package cobaltseam.service;

import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.Span;
import java.util.Comparator;
import java.util.TreeSet;

/** All deadlines of the service in one order: by their moment, then by when they were set. */
final class Deadlines {
  /** One deadline, to be cancelled by who set it. */
  static final class Deadline {
    private final Moment at;
    private final long number;
    private final Runnable due;

    private Deadline(Moment at, long number, Runnable due) {
      this.at = at;
      this.number = number;
      this.due = due;
    }
  }

  private final TreeSet<Deadline> set =
      new TreeSet<>(Comparator.comparing((Deadline d) -> d.at).thenComparingLong(d -> d.number));
  private long numbers;

  Deadline set(Moment at, Runnable due) {
    Deadline deadline = new Deadline(at, numbers++, due);
    set.add(deadline);
    return deadline;
  }

  /** Takes a deadline back; null and what is past are passed over. */
  void cancel(Deadline deadline) {
    if (deadline != null) {
      set.remove(deadline);
    }
  }

  /** The first one that is due, taken out, or null. */
  Runnable due(Moment now) {
    return set.isEmpty() || now.before(set.first().at) ? null : set.pollFirst().due;
  }

  /** How long ago the first one was due; zero if none is. */
  Span overdue(Moment now) {
    return set.isEmpty() ? Span.ZERO : now.since(set.first().at).max(Span.ZERO);
  }

  /** How long until the next one, or the span given where that is shorter. */
  Span untilNext(Moment now, Span most) {
    return set.isEmpty() ? most : set.first().at.since(now).max(Span.ZERO).min(most);
  }

  int size() {
    return set.size();
  }
}
