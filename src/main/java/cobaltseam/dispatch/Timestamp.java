package cobaltseam.dispatch;

/** A point in time, in microseconds of the caller's clock. */
public record Timestamp(long us) implements Comparable<Timestamp> {
  public Timestamp plus(TimeSpan span) {
    return new Timestamp(us + span.us());
  }

  public Timestamp minus(TimeSpan span) {
    return new Timestamp(us - span.us());
  }

  /** The span from an earlier moment to this one; below zero if that one is later. */
  public TimeSpan since(Timestamp earlier) {
    return new TimeSpan(us - earlier.us);
  }

  public boolean isBefore(Timestamp other) {
    return us < other.us;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Long.compare(us, other.us);
  }
}
