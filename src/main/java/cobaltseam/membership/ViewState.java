package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A process's view and its votes on the successor. With a folder, all but {@code round} is
 * persisted before it is sent; without one it is lost with the process, and the next process has
 * another incarnation and no view.
 *
 * @param view the view, or null
 * @param promised the highest ballot promised for the view's successor, or null
 * @param accepted the ballot under which {@code value} was accepted, or null
 * @param value the accepted change, or null
 * @param round this process's own proposal, or null
 */
public record ViewState(
    View view, Ballot promised, Ballot accepted, ViewDelta value, ProposalRound round) {
  /** No view. */
  static final ViewState NONE = new ViewState(null, null, null, null, null);

  static ViewState of(View view) {
    return new ViewState(view, null, null, null, null);
  }

  ViewState with(ProposalRound ownRound) {
    return new ViewState(view, promised, accepted, value, ownRound);
  }

  /** A promise: what the voter had accepted by then, and the members that it retains. */
  record ReceivedPromise(Ballot accepted, ViewDelta value, List<MemberName> retained) {}

  /**
   * A proposal of this process.
   *
   * @param proposed the change that it would make
   * @param promises of the voters that promised, in phase one
   * @param chosen the change that is to be accepted in phase two; null in phase one
   * @param acceptedBy the voters that accepted it
   */
  public record ProposalRound(
      Ballot ballot,
      ViewDelta proposed,
      Map<MemberName, ReceivedPromise> promises,
      ViewDelta chosen,
      Set<MemberName> acceptedBy) {
    /** Copies the votes. */
    public ProposalRound {
      promises = Map.copyOf(promises);
      acceptedBy = Set.copyOf(acceptedBy);
    }
  }
}
