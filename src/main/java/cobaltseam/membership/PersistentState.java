package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The state that a process with a folder persists before it sends any message that depends on it.
 * After a restart the next process continues as the same member and keeps the promises made.
 *
 * @param starts how many processes with this folder have run as this member, the current one
 *     included; a number below the one that peers know shows that the folder is an old copy
 * @param view the installed view, or null
 * @param promised the highest ballot promised for the view's successor, or null
 * @param accepted the ballot under which {@code acceptedDelta} was accepted, or null
 * @param acceptedDelta the accepted change of the view, or null
 * @param consentedTo the incarnation of the process that this process last consented to in a
 *     bootstrap, or null
 * @param consentedAttempt the attempt of that process that was last consented to
 * @param leftLineages by lineage that this member left, the number of its last view there
 * @param endedLineages by lineage known to have ended, the number of its last view
 * @param documents the documents of the configuration versions of the view and of the accepted
 *     change, as far as this process has them
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
  /** Copies the collections; a null collection becomes an empty one. */
  public PersistentState {
    Objects.requireNonNull(self);
    leftLineages = leftLineages == null ? Map.of() : Map.copyOf(leftLineages);
    endedLineages = endedLineages == null ? Map.of() : Map.copyOf(endedLineages);
    documents = documents == null ? List.of() : List.copyOf(documents);
  }

  /** The view and the votes on its successor, without a proposal of this process. */
  ViewState viewState() {
    return new ViewState(view, promised, accepted, acceptedDelta, null);
  }
}
