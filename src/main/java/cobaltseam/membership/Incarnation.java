package cobaltseam.membership;

/**
 * Tells processes of one name apart: a later process has a higher incarnation. It is taken from the
 * wall clock but does not depend on it: a process that learns of an incarnation of its name that is
 * not below its own takes the next one above.
 *
 * @param value from 0 to 2^60
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  private static final long MAX_VALUE = 1L << 60;

  /** Throws {@link IllegalArgumentException} if the value is out of bounds. */
  public Incarnation {
    // The bound leaves room for higher incarnations.
    if (value < 0 || value > MAX_VALUE) {
      throw new IllegalArgumentException("an incarnation is from 0 to 2^60");
    }
  }

  /** The lowest incarnation that is above the other and not below this one. */
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
