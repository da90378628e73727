package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one process holds of a view and of the choice of its successor. With a lasting folder, all
 * but {@code round} is on disk before it is told; without one it ends with the process, whose next
 * one has another birth and holds nothing.
 *
 * @param promised the highest ballot promised for the view's successor, or null
 * @param accepted the ballot under which {@code value} was accepted, or null
 * @param round this process's own try, or null
 */
public record Seat(View view, Ballot promised, Ballot accepted, Change value, Round round) {
  static Seat of(View view) {
    return new Seat(view, null, null, null, null);
  }

  Seat with(Round now) {
    return new Seat(view, promised, accepted, value, now);
  }

  /** What a voter promised: what it had accepted by then, and whom it would not take out. */
  record Vote(Ballot accepted, Change value, List<MemberName> stay) {}

  /**
   * One own try.
   *
   * @param chosen what is being accepted, or null in the first phase
   */
  public record Round(
      Ballot ballot,
      Change wanted,
      Map<MemberName, Vote> promises,
      Change chosen,
      Set<MemberName> accepts) {
    public Round {
      promises = Map.copyOf(promises);
      accepts = Set.copyOf(accepts);
    }
  }
}
