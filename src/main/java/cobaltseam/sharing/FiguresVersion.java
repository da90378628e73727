package cobaltseam.sharing;

import cobaltseam.membership.Incarnation;
import java.util.Objects;

/**
 * The version of a member's statement: that of a later incarnation is newer, and within one
 * incarnation that of the higher number.
 */
public record FiguresVersion(Incarnation incarnation, long number)
    implements Comparable<FiguresVersion> {
  public FiguresVersion {
    Objects.requireNonNull(incarnation);
  }

  @Override
  public int compareTo(FiguresVersion other) {
    int by = incarnation.compareTo(other.incarnation);
    return by != 0 ? by : Long.compare(number, other.number);
  }
}
