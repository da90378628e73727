package cobaltseam.dispatch;

/** A point in time, in microseconds of the caller's clock. */
public record Moment(long us) implements Comparable<Moment> {
  public Moment plus(Span span) {
    return new Moment(us + span.us());
  }

  public Moment minus(Span span) {
    return new Moment(us - span.us());
  }

  /** The span from an earlier moment to this one; below zero if that one is later. */
  public Span since(Moment earlier) {
    return new Span(us - earlier.us);
  }

  public boolean before(Moment other) {
    return us < other.us;
  }

  @Override
  public int compareTo(Moment other) {
    return Long.compare(us, other.us);
  }
}
