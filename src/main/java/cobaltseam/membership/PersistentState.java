package cobaltseam.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What a process with a lasting folder has on disk before it says anything that follows from it, so
 * that the process started next is the same member and keeps to what was promised.
 *
 * @param starts how many processes have been this member, so that a copy of the folder from an
 *     earlier time is known as one
 * @param consentedTo the founder that consent was last given to, or null
 * @param leftLineages of each line given up, the number of its view then
 * @param documents those of the editions that the view and the value hold, as far as they are here
 * @param endedLineages of each line known to have no successor, the number of the view that has
 *     none
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
  public PersistentState {
    Objects.requireNonNull(self);
    leftLineages = leftLineages == null ? Map.of() : Map.copyOf(leftLineages);
    endedLineages = endedLineages == null ? Map.of() : Map.copyOf(endedLineages);
    documents = documents == null ? List.of() : List.copyOf(documents);
  }

  ViewState seat() {
    return new ViewState(view, promised, accepted, acceptedDelta, null);
  }
}
