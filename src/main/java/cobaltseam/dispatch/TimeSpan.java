package cobaltseam.dispatch;

/** A length of time in microseconds; may be negative. */
public record TimeSpan(long us) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  /** Returns the sum of both spans; overflows silently. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(us + other.us);
  }

  /** Returns this span minus another; overflows silently. */
  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(us - other.us);
  }

  /** Returns this span times a factor, rounded to the nearest microsecond. */
  public TimeSpan times(double factor) {
    return new TimeSpan(Math.round(us * factor));
  }

  /**
   * Returns this span as a multiple of another; infinite or not a number if the other one is zero.
   */
  public double dividedBy(TimeSpan other) {
    return (double) us / other.us;
  }

  /** Returns the shorter of both spans. */
  public TimeSpan min(TimeSpan other) {
    return us <= other.us ? this : other;
  }

  /** Returns the longer of both spans. */
  public TimeSpan max(TimeSpan other) {
    return us >= other.us ? this : other;
  }

  /** Returns whether this span is longer than zero. */
  public boolean isPositive() {
    return us > 0;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(us, other.us);
  }
}
