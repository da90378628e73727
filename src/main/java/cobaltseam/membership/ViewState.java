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
public record ViewState(
    View view, Ballot promised, Ballot accepted, ViewDelta value, ProposalRound round) {
  /** No view. */
  static final ViewState NONE = new ViewState(null, null, null, null, null);

  static ViewState of(View view) {
    return new ViewState(view, null, null, null, null);
  }

  ViewState with(ProposalRound now) {
    return new ViewState(view, promised, accepted, value, now);
  }

  /** What a voter promised: what it had accepted by then, and whom it would not take out. */
  record ReceivedPromise(Ballot accepted, ViewDelta value, List<MemberName> stay) {}

  /**
   * One own try.
   *
   * @param chosen what is being accepted, or null in the first phase
   */
  public record ProposalRound(
      Ballot ballot,
      ViewDelta wanted,
      Map<MemberName, ReceivedPromise> promises,
      ViewDelta chosen,
      Set<MemberName> accepts) {
    public ProposalRound {
      promises = Map.copyOf(promises);
      accepts = Set.copyOf(accepts);
    }
  }
}
