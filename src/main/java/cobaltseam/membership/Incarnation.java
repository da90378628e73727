package cobaltseam.membership;

/**
 * Which process of a name is meant: a later one has a higher birth. It starts from the wall clock,
 * but hangs on it in nothing: a process that hears of a birth of its name that is not below its own
 * takes the next one above.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  private static final long MOST = 1L << 60;

  public Incarnation {
    // Guards against one that leaves nothing above it.
    if (value < 0 || value > MOST) {
      throw new IllegalArgumentException("a birth is from 0 to 2^60");
    }
  }

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
