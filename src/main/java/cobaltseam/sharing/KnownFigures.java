package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;

/**
 * What is known of a member now.
 *
 * @param version the version under which the member stated the figures
 * @param age the largest age that they can have
 */
public record KnownFigures(FiguresVersion version, MemberFigures figures, TimeSpan age) {}
