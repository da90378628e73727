package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The installed view of a process and its votes on the successor. A process with a folder persists
 * all but {@code round} before it sends messages that depend on it. Without a folder the state is
 * lost with the process, and the next process has another incarnation and no view.
 *
 * @param view the installed view, or null
 * @param promised the highest ballot promised for the view's successor, or null
 * @param accepted the ballot under which {@code value} was accepted, or null
 * @param value the accepted change, or null
 * @param round the current proposal of this process, or null
 */
public record ViewState(
    View view, Ballot promised, Ballot accepted, ViewDelta value, ProposalRound round) {
  /** No view. */
  static final ViewState NONE = new ViewState(null, null, null, null, null);

  /** A newly installed view, without votes or a proposal. */
  static ViewState of(View view) {
    return new ViewState(view, null, null, null, null);
  }

  /** This state with another proposal of this process; null for none. */
  ViewState withRound(ProposalRound ownRound) {
    return new ViewState(view, promised, accepted, value, ownRound);
  }

  /**
   * A promise of one voter.
   *
   * @param accepted the ballot under which the voter had accepted a change, or null
   * @param value the change that the voter had accepted, or null
   * @param retained of the members to be removed, the ones whose removal the voter votes against
   */
  record ReceivedPromise(Ballot accepted, ViewDelta value, List<MemberName> retained) {}

  /**
   * A proposal of this process.
   *
   * @param ballot the ballot of the proposal
   * @param proposed the change that this process wants to make
   * @param promises the promises received in phase one, by voter
   * @param chosen the change that voters are asked to accept in phase two; null in phase one
   * @param acceptedBy the voters that accepted {@code chosen}
   */
  public record ProposalRound(
      Ballot ballot,
      ViewDelta proposed,
      Map<MemberName, ReceivedPromise> promises,
      ViewDelta chosen,
      Set<MemberName> acceptedBy) {
    /** Copies the promises and the acceptances. */
    public ProposalRound {
      promises = Map.copyOf(promises);
      acceptedBy = Set.copyOf(acceptedBy);
    }
  }
}
