package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The clients that have sent a large part of a message and not its end, ordered by when some of it
 * was received last. Confined to the I/O thread.
 */
final class IncompleteMessages {
  /** A client that sends no more of its message for this long has stopped; in microseconds. */
  private static final TimeSpan STALL_THRESHOLD_US = new TimeSpan(1_000_000);

  private final Set<ClientSession> clients = new LinkedHashSet<>();

  /** Records that input of a client was received, or that its connection was closed. */
  void update(ClientSession client, boolean isIncomplete) {
    clients.remove(client);
    if (isIncomplete) {
      clients.add(client);
    }
  }

  /** Returns the client that has stopped longest ago in the middle of its message, or null. */
  ClientSession longestStalled(Timestamp now) {
    if (clients.isEmpty()) {
      return null;
    }
    ClientSession first = clients.iterator().next();
    boolean isStalled = now.since(first.lastReceivedAt).compareTo(STALL_THRESHOLD_US) >= 0;
    return isStalled ? first : null;
  }
}
