package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.Objects;

/** What a member said of itself, and how long ago at least that was when this left its teller. */
public record Statement(MemberName member, Version version, MemberFigures figures, TimeSpan age) {
  public Statement {
    Objects.requireNonNull(member);
    Objects.requireNonNull(version);
    Objects.requireNonNull(figures);
    Objects.requireNonNull(age);
  }
}
