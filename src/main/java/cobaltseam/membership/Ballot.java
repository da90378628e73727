package cobaltseam.membership;

import java.util.Objects;

/**
 * The ballot of one proposal for the successor of a view, unique by its proposer.
 *
 * @param round from 1; compared first
 * @param proposer the name of the proposer
 * @param incarnation the incarnation of the proposer
 */
public record Ballot(long round, MemberName proposer, Incarnation incarnation)
    implements Comparable<Ballot> {
  /** Checks that the proposer is set. */
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
