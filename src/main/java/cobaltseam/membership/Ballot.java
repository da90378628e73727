package cobaltseam.membership;

import java.util.Objects;

/**
 * One try to choose the successor of a view: a round, and the process that tries, so that no two
 * are the same.
 */
public record Ballot(long round, MemberName by, Birth birth) implements Comparable<Ballot> {
  public Ballot {
    Objects.requireNonNull(by);
    Objects.requireNonNull(birth);
  }

  @Override
  public int compareTo(Ballot other) {
    int order = Long.compare(round, other.round);
    order = order != 0 ? order : by.compareTo(other.by);
    return order != 0 ? order : birth.compareTo(other.birth);
  }
}
