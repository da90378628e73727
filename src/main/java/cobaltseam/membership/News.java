package cobaltseam.membership;

import java.util.Objects;

/**
 * What is told of a process.
 *
 * @param incarnation raised by the process itself alone, to refute what was said of it
 * @param by who found it so
 */
public record News(Member member, long incarnation, Condition condition, MemberName by) {
  private static final long MOST = 1L << 60;

  public News {
    if (incarnation < 0 || incarnation > MOST) {
      throw new IllegalArgumentException("an incarnation is from 0 to 2^60");
    }
    Objects.requireNonNull(member);
    Objects.requireNonNull(condition);
    Objects.requireNonNull(by);
  }
}
