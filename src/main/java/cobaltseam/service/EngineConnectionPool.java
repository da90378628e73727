package cobaltseam.service;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.service.Counters.Count;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * The engines of the endpoint list and the connections to them, on the event-loop thread: opens
 * connections, picks one for an attempt, and drops those that are of no more use.
 */
final class EngineConnectionPool {
  /** Is notified at once when a connection is usable or gone. */
  interface Listener {
    void connected(EngineConnection connection, Timestamp now);

    /**
     * A connection was removed from the pool.
     *
     * @param writtenMessages how many messages were written to it completely
     */
    void removed(EngineConnection connection, long writtenMessages);
  }

  /**
   * A connection that was idle for more than this part of the time after which engines close it is
   * not used.
   */
  private static final double USED_IDLE_PART = 0.9;

  /** One of this many of the process's descriptors may be a connection to an engine. */
  private static final int SOCKETS_PER_CONNECTION = 3;

  /** One engine of the endpoint list. */
  private static final class EngineState {
    InetSocketAddress address;
    EndpointState state;

    /** When its process started, by the endpoint list. */
    Timestamp startedAt;

    /** Whether the last connection to it, or attempt on one, failed. */
    boolean hasFailed;

    final List<EngineConnection> connections = new ArrayList<>();
  }

  private final SocketConnector connector;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final Listener listener;
  private final Map<EngineId, EngineState> engines = new HashMap<>();
  private final SlotTable<EngineConnection> connections;
  private TimeSpan connectTimeout;
  private TimeSpan maxIdle;
  private int maxAttemptsPerConnection;

  EngineConnectionPool(
      ServiceConfiguration configuration,
      SocketConnector connector,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters,
      Listener listener) {
    this.connector = connector;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.listener = listener;
    applyConfiguration(configuration);
    connections = new SlotTable<>(configuration.maxSockets() / SOCKETS_PER_CONNECTION);
  }

  /** Applies the timeouts and limits of connections; those of open ones stay. */
  void applyConfiguration(ServiceConfiguration configuration) {
    connectTimeout = configuration.connectTimeout();
    maxIdle = configuration.maxConnectionIdle().times(USED_IDLE_PART);
    maxAttemptsPerConnection = configuration.attemptsPerConnection();
  }

  // ---- the endpoint list

  /** Applies a change of the endpoint list, or the complete list. */
  void updateEndpoints(WatchEvent event) {
    if (event.isComplete()) {
      Set<EngineId> listed =
          event.endpoints().stream().map(EndpointStatus::engine).collect(Collectors.toSet());
      engines.forEach(
          (engine, known) ->
              known.state = listed.contains(engine) ? known.state : EndpointState.REMOVED);
    }
    for (EndpointStatus status : event.endpoints()) {
      updateEndpoint(status, event.addresses().get(status.engine()));
    }
    for (EngineState known : List.copyOf(engines.values())) {
      if (known.state == EndpointState.REMOVED) {
        List.copyOf(known.connections).stream()
            .filter(connection -> connection.attempts.isEmpty() || connection.session == null)
            .forEach(this::drop);
      }
    }
    engines
        .values()
        .removeIf(known -> known.state == EndpointState.REMOVED && known.connections.isEmpty());
  }

  private void updateEndpoint(EndpointStatus status, InetSocketAddress address) {
    EngineState known = engines.computeIfAbsent(status.engine(), engine -> new EngineState());
    boolean hasChanged =
        status.state() != known.state || !status.startedAt().equals(known.startedAt);
    known.state = status.state();
    known.startedAt = status.startedAt();
    if (address != null) {
      known.address = address;
    }
    for (EngineConnection connection : List.copyOf(known.connections)) {
      // Connections to an earlier incarnation of the process may stay open and silent.
      boolean isOutdated =
          status.state() == EndpointState.UP && connection.openedAt.isBefore(status.startedAt());
      // What waits for a connection was decided on while the engine was not draining or warming up.
      boolean isDecidedBeforeChange = hasChanged && connection.session == null;
      if (isOutdated || isDecidedBeforeChange) {
        drop(connection);
      }
    }
  }

  /** How many engines may be sent to by the endpoint list. */
  int inServiceCount() {
    return (int) engines.values().stream().filter(known -> known.state == EndpointState.UP).count();
  }

  /** The part of those to which the last connection or attempt failed, from 0 to 1. */
  double failingFraction() {
    int up = inServiceCount();
    return up == 0
        ? 0
        : (double)
                engines.values().stream()
                    .filter(known -> known.state == EndpointState.UP && known.hasFailed)
                    .count()
            / up;
  }

  /** Notes whether the last connection to an engine, or attempt on one, failed. */
  void setFailed(EngineConnection connection, boolean hasFailed) {
    EngineState known = engines.get(connection.engine);
    if (known != null) {
      known.hasFailed = hasFailed;
    }
  }

  // ---- connections

  /** How many connections to engines are open or being opened. */
  int connectionCount() {
    return connections.size();
  }

  /** Whether a connection has not been removed. */
  boolean isOpen(EngineConnection connection) {
    return connections.get(connection.key) == connection;
  }

  /**
   * The connection for one more attempt: an idle one, the last used first, or a new one; only where
   * no more can be opened is one shared. An attempt that is alone on its connection is cancelled by
   * closing it, which works also where an engine has gone silent, and breaks no other attempt.
   *
   * @return null if the engine is unknown, or no connection can be had
   */
  EngineConnection pick(EngineId engine, String callId, Timestamp now) {
    EngineState known = engines.get(engine);
    if (known == null || known.address == null) {
      return null;
    }
    EngineConnection idle = null;
    for (EngineConnection connection : List.copyOf(known.connections)) {
      if (isIdleTooLong(connection, now)) {
        drop(connection);
      } else if (connection.attempts.isEmpty()
          && connection.canTake(callId, maxAttemptsPerConnection)
          && (idle == null || idle.idleSince.isBefore(connection.idleSince))) {
        idle = connection;
      }
    }
    EngineConnection unshared = idle == null ? open(known, engine, now) : idle;
    return unshared != null
        ? unshared
        : known.connections.stream()
            .filter(connection -> connection.canTake(callId, maxAttemptsPerConnection))
            .min(Comparator.comparingInt(connection -> connection.attempts.size()))
            .orElse(null);
  }

  private boolean isIdleTooLong(EngineConnection connection, Timestamp now) {
    return connection.attempts.isEmpty()
        && maxIdle.isPositive()
        && now.since(connection.idleSince).compareTo(maxIdle) > 0;
  }

  private EngineConnection open(EngineState known, EngineId engine, Timestamp now) {
    EngineConnection connection = new EngineConnection(engine, now);
    connection.key = connections.add(connection);
    if (connection.key == SlotTable.NONE) {
      return null;
    }
    known.connections.add(connection);
    connection.future =
        connector.connect(
            known.address, (session, future) -> EngineInput.attach(session, connection));
    connection.connectTimeout =
        timers.set(
            now.plus(connectTimeout),
            () -> {
              connection.future.cancel();
              connectFailed(connection);
            });
    connection.future.addListener(
        (ConnectFuture done) -> inbox.post(null, () -> connectEnded(connection)));
    return connection;
  }

  private void connectEnded(EngineConnection connection) {
    if (!isOpen(connection)) {
      if (connection.future.isConnected()) {
        connection.future.getSession().closeNow();
      }
    } else if (!connection.future.isConnected()) {
      connectFailed(connection);
    } else {
      counters.add(Count.ENGINE_CONNECTIONS);
      timers.cancel(connection.connectTimeout);
      connection.session = connection.future.getSession();
      Timestamp now = clock.now();
      connection.receivedAt = now;
      listener.connected(connection, now);
    }
  }

  private void connectFailed(EngineConnection connection) {
    if (isOpen(connection)) {
      counters.add(Count.ENGINE_CONNECTIONS_FAILED);
      setFailed(connection, true);
      remove(connection, 0);
    }
  }

  /** The other side or an error has closed a connection. */
  void closed(EngineConnection connection, long writtenMessages) {
    if (isOpen(connection)) {
      counters.add(Count.ENGINE_CONNECTIONS_CLOSED);
      remove(connection, writtenMessages);
    }
  }

  /** A connection has no more attempts; it is dropped if its engine is gone. */
  void becameIdle(EngineConnection connection, Timestamp now) {
    connection.idleSince = now;
    EngineState known = engines.get(connection.engine);
    if (known != null && known.state == EndpointState.REMOVED) {
      drop(connection);
    }
  }

  /** Closes a connection from this side; what was written to it may have run. */
  void drop(EngineConnection connection) {
    if (!isOpen(connection)) {
      return;
    }
    if (connection.session != null) {
      connection.session.closeNow();
    } else {
      connection.future.cancel();
    }
    remove(connection, Long.MAX_VALUE);
  }

  private void remove(EngineConnection connection, long writtenMessages) {
    timers.cancel(connection.connectTimeout);
    connections.free(connection.key);
    EngineState known = engines.get(connection.engine);
    if (known != null) {
      known.connections.remove(connection);
    }
    listener.removed(connection, writtenMessages);
  }
}
