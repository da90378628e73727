package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/**
 * The figures that are known of another member.
 *
 * @param version the version under which the member published the figures
 * @param age the largest age that they can have
 */
public record KnownFigures(FiguresVersion version, MemberFigures figures, TimeSpan age) {}
