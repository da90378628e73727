package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * The connections of the endpoint watch. While the event bus is silent, events are requested again
 * on a further connection, and the earlier ones stay open, since a slow event bus may still answer
 * them. The first connection on which a line arrives replaces all others. Confined to the
 * event-loop thread.
 */
final class WatchConnections implements WatchInput.Listener {
  /** The owner of the watch; called on the event-loop thread. */
  interface Listener {
    /** Returns the offset after which events are requested. */
    long requestOffset();

    /** Called when events were requested on a connection. */
    void requested();

    /** Processes a line. */
    void lineReceived(WatchConnection connection, String line);
  }

  /**
   * The event bus writes at least once in this period. In microseconds, as are the constants below.
   */
  private static final TimeSpan HEARTBEAT_PERIOD_US = new TimeSpan(1_000_000);

  private static final TimeSpan CONNECT_TIMEOUT_US = HEARTBEAT_PERIOD_US;
  private static final TimeSpan SILENCE_TIMEOUT_US = HEARTBEAT_PERIOD_US.times(2.5);
  static final TimeSpan RECONNECT_BACKOFF_US = HEARTBEAT_PERIOD_US.times(0.25);

  /**
   * The maximum number of connections that wait for a line. One more replaces the oldest, which has
   * then waited for 20 s or more.
   */
  static final int MAX_WAITING = 4;

  /** With more connections than this, each further one waits for twice as long as the last. */
  private static final int UNDELAYED_CONNECTIONS = 2;

  private static final int US_PER_MS = 1000;

  private final SocketConnector connector;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final Listener listener;

  private InetSocketAddress address;

  /** The connections on which events were requested, oldest first. */
  private final List<WatchConnection> open = new ArrayList<>();

  /** The connection that is being established, or null. */
  private WatchConnection connecting;

  /** Ends the connect, requests events again after a silence, or begins the next connect. */
  private Timers.Timer timer;

  WatchConnections(
      InetSocketAddress address,
      SocketConnector connector,
      EventLoopQueue inbox,
      ReadFlowControl flowControl,
      Clock clock,
      Timers timers,
      Counters counters,
      RateLimitedLog log,
      Listener listener) {
    this.address = address;
    this.connector = connector;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    this.listener = listener;
    connector.setHandler(new WatchInput(this, inbox, flowControl));
  }

  /** Moves to an event bus at another address; does nothing if the address is the same. */
  void moveTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      closeAll();
      connect();
    }
  }

  /** Begins to open a connection beside those that are open. */
  void connect() {
    WatchConnection connection = new WatchConnection(clock.now());
    connecting = connection;
    connection.future =
        connector.connect(address, (session, future) -> WatchInput.attach(session, connection));
    connection.future.addListener(
        (ConnectFuture future) -> inbox.post(null, () -> connectEnded(connection)));
    restartTimer(CONNECT_TIMEOUT_US, () -> connectFailed(connection));
  }

  /** Requests events on a new connection in place of all others, after a pause. */
  void reconnect(WatchConnection connection, String reason) {
    logLost(connection, reason);
    closeAll();
    restartTimer(RECONNECT_BACKOFF_US, this::connect);
  }

  /** Whether a connection is open; what is still received on any other is ignored. */
  boolean isOpen(WatchConnection connection) {
    return open.contains(connection);
  }

  private void connectEnded(WatchConnection connection) {
    if (connection != connecting) {
      connection.close();
    } else if (!connection.future.isConnected()) {
      connectFailed(connection);
    } else {
      connecting = null;
      counters.add(Count.BUS_CONNECTIONS);
      open.add(connection);
      if (open.size() > MAX_WAITING) {
        open.remove(0).close();
      }
      connection.requestEventsAfter(listener.requestOffset());
      restartTimer(silenceTimeout(), this::requestAgain);
      listener.requested();
    }
  }

  private void connectFailed(WatchConnection connection) {
    connecting = null;
    connection.close();
    logLost(connection, "no connection");
    restartTimer(RECONNECT_BACKOFF_US, this::connect);
  }

  /**
   * Returns how long to wait for a line before events are requested once more. The time grows with
   * the number of requests that are not answered, since each is one more for a slow event bus.
   */
  private TimeSpan silenceTimeout() {
    int doublings = Math.max(0, open.size() - UNDELAYED_CONNECTIONS);
    return SILENCE_TIMEOUT_US.times(1 << doublings);
  }

  private void requestAgain() {
    logLost(open.get(open.size() - 1), "silent");
    connect();
  }

  @Override
  public void received(WatchConnection connection, byte[] bytes) {
    for (byte next : bytes) {
      if (!isOpen(connection)) {
        return;
      }
      String line = connection.add(next);
      if (line != null && !line.isEmpty()) {
        lineReceived(connection, line);
      } else if (connection.isLineTooLong()) {
        connection.close();
        closed(connection);
      }
    }
  }

  private void lineReceived(WatchConnection connection, String line) {
    if (connection.receivedLines++ == 0) {
      long waitMs = clock.now().since(connection.openedAt).us() / US_PER_MS;
      counters.raiseTo(Count.BUS_FIRST_LINE_PEAK_MS, waitMs);
    }
    if (open.size() > 1 || connecting != null) {
      closeAll(connection);
    }
    restartTimer(silenceTimeout(), this::requestAgain);
    listener.lineReceived(connection, line);
  }

  @Override
  public void closed(WatchConnection connection) {
    if (open.remove(connection) && open.isEmpty() && connecting == null) {
      reconnect(connection, "closed");
    }
  }

  private void closeAll() {
    closeAll(null);
  }

  /** Closes all connections but one, and ends the connect. */
  private void closeAll(WatchConnection kept) {
    if (connecting != null) {
      connecting.close();
      connecting = null;
    }
    open.stream().filter(connection -> connection != kept).forEach(WatchConnection::close);
    open.removeIf(connection -> connection != kept);
  }

  private void restartTimer(TimeSpan delay, Runnable task) {
    timers.cancel(timer);
    timer = timers.set(clock.now().plus(delay), task);
  }

  private void logLost(WatchConnection connection, String reason) {
    Timestamp now = clock.now();
    log.warn(
        "endpoint watch connection lost: {0}; requesting events again from offset {1}; it lasted"
            + " {2} ms with {3} lines",
        Field.of("reason", reason),
        Field.of("offset", listener.requestOffset()),
        Field.of("ageMs", now.since(connection.openedAt).us() / US_PER_MS),
        Field.of("lines", connection.receivedLines),
        Field.event("bus.lost"));
  }
}
