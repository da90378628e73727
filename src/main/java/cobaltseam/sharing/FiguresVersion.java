package cobaltseam.sharing;

import cobaltseam.membership.Incarnation;
import java.util.Objects;

/**
 * The version of a member's figures. The version of a later incarnation is newer, and within one
 * incarnation that of the higher number.
 */
public record FiguresVersion(Incarnation incarnation, long number)
    implements Comparable<FiguresVersion> {
  public FiguresVersion {
    Objects.requireNonNull(incarnation);
  }

  @Override
  public int compareTo(FiguresVersion other) {
    int byIncarnation = incarnation.compareTo(other.incarnation);
    return byIncarnation != 0 ? byIncarnation : Long.compare(number, other.number);
  }
}
