package cobaltseam.sharing;

import cobaltseam.membership.Incarnation;
import java.util.Objects;

/**
 * Which statement of a member: of a later birth is newer, and within one birth that of the higher
 * number.
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
