package cobaltseam.sharing;

import cobaltseam.membership.Incarnation;
import java.util.Objects;

/**
 * The version of a member's statement: that of a later incarnation is newer, and within one
 * incarnation that of the higher number.
 */
public record Version(Incarnation incarnation, long number) implements Comparable<Version> {
  public Version {
    Objects.requireNonNull(incarnation);
  }

  @Override
  public int compareTo(Version other) {
    int by = incarnation.compareTo(other.incarnation);
    return by != 0 ? by : Long.compare(number, other.number);
  }
}
