package cobaltseam.membership;

import java.util.Objects;

/**
 * The ballot number of one proposal for the successor of a view. The name and incarnation of the
 * proposer make it unique.
 *
 * @param round from 1; ballots are ordered by round, then proposer, then incarnation
 * @param proposer the name of the proposer
 * @param incarnation the incarnation of the proposer
 */
public record Ballot(long round, MemberName proposer, Incarnation incarnation)
    implements Comparable<Ballot> {
  /** Throws {@link NullPointerException} if the proposer or its incarnation is null. */
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
