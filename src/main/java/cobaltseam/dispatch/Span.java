package cobaltseam.dispatch;

/** A length of time, in microseconds. */
public record Span(long us) implements Comparable<Span> {
  public static final Span ZERO = new Span(0);

  public Span plus(Span other) {
    return new Span(us + other.us);
  }

  public Span minus(Span other) {
    return new Span(us - other.us);
  }

  public Span times(double factor) {
    return new Span(Math.round(us * factor));
  }

  /** This span as a multiple of another. */
  public double over(Span other) {
    return (double) us / other.us;
  }

  public Span min(Span other) {
    return us <= other.us ? this : other;
  }

  public Span max(Span other) {
    return us >= other.us ? this : other;
  }

  public boolean isPositive() {
    return us > 0;
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(us, other.us);
  }
}
