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
 * @param vowedTo the founder that consent was last given to, or null
 * @param left of each line given up, the number of its view then
 * @param documents those of the editions that the view and the value hold, as far as they are here
 * @param ended of each line known to have no successor, the number of the view that has none
 */
public record Kept(
    Member self,
    long starts,
    View view,
    Ballot promised,
    Ballot accepted,
    Change value,
    Birth vowedTo,
    long vowedAttempt,
    Map<Long, Long> left,
    Map<Long, Long> ended,
    List<byte[]> documents) {
  public Kept {
    Objects.requireNonNull(self);
    left = left == null ? Map.of() : Map.copyOf(left);
    ended = ended == null ? Map.of() : Map.copyOf(ended);
    documents = documents == null ? List.of() : List.copyOf(documents);
  }

  Seat seat() {
    return new Seat(view, promised, accepted, value, null);
  }
}
