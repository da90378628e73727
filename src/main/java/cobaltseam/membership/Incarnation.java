package cobaltseam.membership;

/**
 * Distinguishes successive processes with the same name: a later process has a higher incarnation.
 * The first value comes from the wall clock, but correctness does not depend on the clock: a
 * process that receives an incarnation of its name that is not below its own continues with a
 * higher one.
 *
 * @param value from 0 to 2^60
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  private static final long MAX_VALUE = 1L << 60;

  /** Throws {@link IllegalArgumentException} if the value is out of bounds. */
  public Incarnation {
    // The bound is far below the maximum of a long, so that arithmetic on incarnations cannot
    // overflow.
    if (value < 0 || value > MAX_VALUE) {
      throw new IllegalArgumentException("incarnation " + value + " is not between 0 and 2^60");
    }
  }

  /** Returns the lowest incarnation that is above {@code other} and not below this one. */
  Incarnation above(Incarnation other) {
    return new Incarnation(Math.max(value, other.value + 1));
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
