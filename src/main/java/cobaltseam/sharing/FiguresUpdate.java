package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.Objects;

/**
 * The figures that a member published about itself, as another member passes them on.
 *
 * @param member the member that published the figures
 * @param age the largest age that the figures could have when the sender sent this
 */
public record FiguresUpdate(
    MemberName member, FiguresVersion version, MemberFigures figures, TimeSpan age) {
  public FiguresUpdate {
    Objects.requireNonNull(member);
    Objects.requireNonNull(version);
    Objects.requireNonNull(figures);
    Objects.requireNonNull(age);
  }
}
