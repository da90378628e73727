package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/** What is known of a member now: its figures, and how old they are at the most. */
public record KnownFigures(Version version, MemberFigures figures, TimeSpan age) {}
