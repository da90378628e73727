package cobaltseam.service;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.session.IoSession;

/**
 * The connections of which more input may be unread, since their last read filled its buffer.
 * Confined to the I/O thread unless said otherwise.
 */
final class UnreadInput {
  /** Connections that were added in the current read round. */
  private final Set<IoSession> addedInRound = new HashSet<>();

  /** Those, and until the reads of the current round have ended those of the previous round. */
  private final Set<IoSession> unread = ConcurrentHashMap.newKeySet();

  /** Adds a connection until a round has ended in which it is not added again. */
  void add(IoSession session) {
    addedInRound.add(session);
    unread.add(session);
  }

  /** Ends the reads of a round: connections that were not added in it are read. */
  void endReads() {
    unread.retainAll(addedInRound);
  }

  /** Begins the next round. */
  void beginRound() {
    addedInRound.clear();
  }

  /** Whether a connection was added in the current round. */
  boolean isAddedInRound(IoSession session) {
    return addedInRound.contains(session);
  }

  /** Whether no connection was added in the current round. */
  boolean isRoundEmpty() {
    return addedInRound.isEmpty();
  }

  /** Whether more input of a connection may be unread; thread-safe. */
  boolean contains(IoSession session) {
    return unread.contains(session);
  }
}
