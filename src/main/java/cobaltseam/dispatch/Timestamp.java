package cobaltseam.dispatch;

/** A point in time, in microseconds of the caller's clock. */
public record Timestamp(long us) implements Comparable<Timestamp> {
  /** Returns the point in time that is later by a span. */
  public Timestamp plus(TimeSpan span) {
    return new Timestamp(us + span.us());
  }

  /** Returns the point in time that is earlier by a span. */
  public Timestamp minus(TimeSpan span) {
    return new Timestamp(us - span.us());
  }

  /**
   * Returns the span from another point in time to this one; negative if the other one is later.
   */
  public TimeSpan since(Timestamp earlier) {
    return new TimeSpan(us - earlier.us);
  }

  /** Returns whether this point in time is strictly earlier than another. */
  public boolean isBefore(Timestamp other) {
    return us < other.us;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Long.compare(us, other.us);
  }
}
