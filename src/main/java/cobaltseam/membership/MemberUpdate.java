package cobaltseam.membership;

import java.util.Objects;

/**
 * A report about the condition of a process, which members disseminate as gossip.
 *
 * @param statusVersion from 0 to 2^60; only the reported process raises it, to refute a suspicion
 * @param reportedBy the member that detected the condition
 */
public record MemberUpdate(
    Member member, long statusVersion, MemberCondition condition, MemberName reportedBy) {
  private static final long MAX_STATUS_VERSION = 1L << 60;

  /** Throws {@link IllegalArgumentException} if the status version is out of bounds. */
  public MemberUpdate {
    if (statusVersion < 0 || statusVersion > MAX_STATUS_VERSION) {
      throw new IllegalArgumentException(
          "status version " + statusVersion + " is not between 0 and 2^60");
    }
    Objects.requireNonNull(member);
    Objects.requireNonNull(condition);
    Objects.requireNonNull(reportedBy);
  }
}
