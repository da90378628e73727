package cobaltseam.emulator;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.PriorityQueue;

/**
 * Virtual time: what is to happen, in the order of its moments, and of its setting where those are
 * the same.
 */
final class Timeline {
  /** The virtual time at which every run starts, in microseconds. */
  static final long START_US = 1_000_000_000L;

  /** Something set for a moment, to be taken back by who set it. */
  static final class Entry implements Comparable<Entry> {
    private final long at;
    private final long number;
    private Runnable what;

    private Entry(long at, long number, Runnable what) {
      this.at = at;
      this.number = number;
      this.what = what;
    }

    @Override
    public int compareTo(Entry other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024);
  private long now;
  private long numbers;
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

  /** How many things have happened. */
  long executedEvents() {
    return executedEvents;
  }

  Entry at(long us, Runnable what) {
    Entry entry = new Entry(Math.max(us, now), numbers++, what);
    entries.add(entry);
    return entry;
  }

  Entry after(TimeSpan span, Runnable what) {
    return at(now + span.us(), what);
  }

  /**
   * Takes one back; null and what is past are passed over. Its place is freed when its moment
   * comes.
   */
  static void cancel(Entry entry) {
    if (entry != null) {
      entry.what = null;
    }
  }

  /** Lets everything up to a moment happen. */
  void runUntil(Timestamp until) {
    for (Entry next = entries.peek();
        next != null && next.at <= until.us();
        next = entries.peek()) {
      entries.poll();
      if (next.what != null) {
        now = next.at;
        executedEvents++;
        Runnable what = next.what;
        next.what = null;
        what.run();
      }
    }
    now = Math.max(now, until.us());
  }
}
