package cobaltseam.membership;

import java.util.Objects;

/**
 * One try to choose the successor of a view: a round, and the process that tries, so that no two
 * are the same.
 */
public record Ballot(long round, MemberName proposer, Incarnation incarnation)
    implements Comparable<Ballot> {
  public Ballot {
    Objects.requireNonNull(proposer);
    Objects.requireNonNull(incarnation);
  }

  @Override
  public int compareTo(Ballot other) {
    int order = Long.compare(round, other.round);
    order = order != 0 ? order : proposer.compareTo(other.proposer);
    return order != 0 ? order : incarnation.compareTo(other.incarnation);
  }
}
