package cobaltseam.sharing;

import cobaltseam.membership.Birth;
import java.util.Objects;

/**
 * Which statement of a member: of a later birth is newer, and within one birth that of the higher
 * number.
 */
public record Version(Birth birth, long number) implements Comparable<Version> {
  public Version {
    Objects.requireNonNull(birth);
  }

  @Override
  public int compareTo(Version other) {
    int by = birth.compareTo(other.birth);
    return by != 0 ? by : Long.compare(number, other.number);
  }
}
