package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The state that a process with a folder writes before it sends anything that depends on it, so
 * that the next process is the same member and keeps its promises.
 *
 * @param starts how many processes have been this member, which shows when the folder is an old
 *     copy
 * @param view the view, or null
 * @param promised the highest ballot promised for its successor, or null
 * @param accepted the ballot under which {@code acceptedDelta} was accepted, or null
 * @param consentedTo the process that a bootstrap consent was last given to, or null
 * @param consentedAttempt its attempt
 * @param leftLineages by lineage that this member left, the number of its last view there
 * @param endedLineages by lineage known to have ended, the number of its last view
 * @param documents of the configuration versions of the view and of the accepted change, as far as
 *     they are here
 */
public record PersistentState(
    Member self,
    long starts,
    View view,
    Ballot promised,
    Ballot accepted,
    ViewDelta acceptedDelta,
    Incarnation consentedTo,
    long consentedAttempt,
    Map<Long, Long> leftLineages,
    Map<Long, Long> endedLineages,
    List<byte[]> documents) {
  /** Replaces missing collections by empty ones. */
  public PersistentState {
    Objects.requireNonNull(self);
    leftLineages = leftLineages == null ? Map.of() : Map.copyOf(leftLineages);
    endedLineages = endedLineages == null ? Map.of() : Map.copyOf(endedLineages);
    documents = documents == null ? List.of() : List.copyOf(documents);
  }

  /** The view and the votes, without a proposal. */
  ViewState viewState() {
    return new ViewState(view, promised, accepted, acceptedDelta, null);
  }
}
