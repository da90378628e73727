package cobaltseam.membership;

import java.util.Objects;

/**
 * What is told of a process.
 *
 * @param statusVersion raised by the process itself alone, to refute what was said of it
 * @param reportedBy who found it so
 */
public record MemberUpdate(
    Member member, long statusVersion, MemberCondition condition, MemberName reportedBy) {
  private static final long MOST = 1L << 60;

  public MemberUpdate {
    if (statusVersion < 0 || statusVersion > MOST) {
      throw new IllegalArgumentException("an incarnation is from 0 to 2^60");
    }
    Objects.requireNonNull(member);
    Objects.requireNonNull(condition);
    Objects.requireNonNull(reportedBy);
  }
}
