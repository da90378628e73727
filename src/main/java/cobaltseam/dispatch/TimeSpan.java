package cobaltseam.dispatch;

/** A length of time, in microseconds; may be below zero. */
public record TimeSpan(long us) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  /** The sum of both; overflows silently. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(us + other.us);
  }

  /** The difference of both; overflows silently. */
  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(us - other.us);
  }

  /** This span times a factor, rounded to the nearest microsecond. */
  public TimeSpan times(double factor) {
    return new TimeSpan(Math.round(us * factor));
  }

  /** This span as a multiple of another. */
  public double dividedBy(TimeSpan other) {
    return (double) us / other.us;
  }

  /** The shorter one. */
  public TimeSpan min(TimeSpan other) {
    return us <= other.us ? this : other;
  }

  /** The longer one. */
  public TimeSpan max(TimeSpan other) {
    return us >= other.us ? this : other;
  }

  /** Whether it is above zero. */
  public boolean isPositive() {
    return us > 0;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(us, other.us);
  }
}
