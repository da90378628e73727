package cobaltseam.dispatch;

/** A point in time, in microseconds of the caller's clock. */
public record Timestamp(long us) implements Comparable<Timestamp> {
  /** The point this span later. */
  public Timestamp plus(TimeSpan span) {
    return new Timestamp(us + span.us());
  }

  /** The point this span earlier. */
  public Timestamp minus(TimeSpan span) {
    return new Timestamp(us - span.us());
  }

  /** The span from another point to this one; below zero if that one is later. */
  public TimeSpan since(Timestamp earlier) {
    return new TimeSpan(us - earlier.us);
  }

  /** Whether it is earlier than another point, and not the same. */
  public boolean isBefore(Timestamp other) {
    return us < other.us;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Long.compare(us, other.us);
  }
}
