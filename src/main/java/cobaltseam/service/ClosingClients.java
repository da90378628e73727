package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Clients whose output has ended and whose connection is not closed yet. Each may read the replies
 * written last until a timeout; the number of such connections is limited.
 */
final class ClosingClients {
  /** How long a client may take to read the replies written last, in microseconds. */
  static final TimeSpan CLOSE_TIMEOUT_US = new TimeSpan(1_000_000);

  /** The limit of client connections divided by this is the limit of closing ones. */
  private static final int CLIENTS_PER_CLOSING_CLIENT = 8;

  private final int maxClosing;
  private final Clock clock;
  private final Timers timers;
  private final Set<ClientSession> closing = new LinkedHashSet<>();

  ClosingClients(int maxClients, Clock clock, Timers timers) {
    maxClosing = Math.max(1, maxClients / CLIENTS_PER_CLOSING_CLIENT);
    this.clock = clock;
    this.timers = timers;
  }

  /**
   * Schedules the close of a connection for the end of the timeout. If there are too many closing
   * connections, the oldest is closed as soon as its replies are written, and at its own timeout at
   * the latest.
   */
  void add(ClientSession client) {
    client.closeTimer = timers.set(clock.now().plus(CLOSE_TIMEOUT_US), client.session::closeNow);
    closing.add(client);
    if (closing.size() > maxClosing) {
      ClientSession oldest = closing.iterator().next();
      closing.remove(oldest);
      oldest.session.closeOnFlush();
    }
  }

  /** Removes a client whose connection is closed, and cancels its timeout. */
  void remove(ClientSession client) {
    closing.remove(client);
    timers.cancel(client.closeTimer);
  }
}
