package cobaltseam.emulator;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.PriorityQueue;

/**
 * Virtual time, as a queue of events. Events are executed in the order of their times, and events
 * of the same time in the order in which they were scheduled.
 */
final class Timeline {
  /** The virtual time at which every run starts, in microseconds. */
  static final long START_US = 1_000_000_000L;

  /** A scheduled event, which can be cancelled. */
  static final class Entry implements Comparable<Entry> {
    private final long at;
    private final long number;
    private Runnable action;

    private Entry(long at, long number, Runnable action) {
      this.at = at;
      this.number = number;
      this.action = action;
    }

    @Override
    public int compareTo(Entry other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024);
  private long now;
  private long scheduled;
  private long executedEvents;

  Timeline(Timestamp start) {
    now = start.us();
  }

  Timestamp now() {
    return new Timestamp(now);
  }

  long nowUs() {
    return now;
  }

  /** The number of events that were executed. */
  long executedEvents() {
    return executedEvents;
  }

  /** Schedules an action for a time; for now, if the time has passed. */
  Entry at(long us, Runnable action) {
    Entry entry = new Entry(Math.max(us, now), scheduled++, action);
    entries.add(entry);
    return entry;
  }

  /** Schedules an action for the end of a time span from now. */
  Entry after(TimeSpan span, Runnable action) {
    return at(now + span.us(), action);
  }

  /**
   * Cancels an event. Does nothing for null and for an event that was executed. The entry stays in
   * the queue until its time.
   */
  static void cancel(Entry entry) {
    if (entry != null) {
      entry.action = null;
    }
  }

  /** Executes all events up to a time, including those that they schedule. */
  void runUntil(Timestamp until) {
    for (Entry next = entries.peek();
        next != null && next.at <= until.us();
        next = entries.peek()) {
      entries.poll();
      if (next.action != null) {
        now = next.at;
        executedEvents++;
        Runnable action = next.action;
        next.action = null;
        action.run();
      }
    }
    now = Math.max(now, until.us());
  }
}
