package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Clients whose output has ended and whose connection is not closed yet. They get a while to read
 * what was written last; only a bounded number may do so at a time.
 */
final class ClosingClients {
  /** How long a client may take to read what was written last, in microseconds. */
  static final TimeSpan CLOSE_TIMEOUT_US = new TimeSpan(1_000_000);

  /** One of this many of the connections that clients may hold may be closing. */
  private static final int CLIENTS_PER_CLOSING = 8;

  private final int maxClosing;
  private final Clock clock;
  private final Timers timers;
  private final Set<ClientSession> closing = new LinkedHashSet<>();

  ClosingClients(int maxClients, Clock clock, Timers timers) {
    maxClosing = Math.max(1, maxClients / CLIENTS_PER_CLOSING);
    this.clock = clock;
    this.timers = timers;
  }

  /**
   * Closes a connection after the timeout, and the first of those closing if there are too many.
   */
  void add(ClientSession client) {
    client.closeTimer = timers.set(clock.now().plus(CLOSE_TIMEOUT_US), client.session::closeNow);
    closing.add(client);
    if (closing.size() > maxClosing) {
      ClientSession first = closing.iterator().next();
      closing.remove(first);
      first.session.closeNow();
    }
  }

  /** The connection is closed. */
  void remove(ClientSession client) {
    closing.remove(client);
    timers.cancel(client.closeTimer);
  }
}
