package cobaltseam.dispatch;

/** A length of time, in microseconds. */
public record TimeSpan(long us) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(us + other.us);
  }

  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(us - other.us);
  }

  public TimeSpan times(double factor) {
    return new TimeSpan(Math.round(us * factor));
  }

  /** This span as a multiple of another. */
  public double over(TimeSpan other) {
    return (double) us / other.us;
  }

  public TimeSpan min(TimeSpan other) {
    return us <= other.us ? this : other;
  }

  public TimeSpan max(TimeSpan other) {
    return us >= other.us ? this : other;
  }

  public boolean isPositive() {
    return us > 0;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(us, other.us);
  }
}
