package cobaltseam.service;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.service.Counters.Count;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * The engines of the endpoint list and the connections to them. Opens connections, selects one for
 * each attempt, and closes those that can no longer be used. Confined to the event-loop thread.
 */
final class EngineConnectionPool {
  /** Is notified synchronously when a connection becomes usable and when it is removed. */
  interface Listener {
    /** Called when a connection is established. */
    void connected(EngineConnection connection, Timestamp now);

    /**
     * Called when the state of an engine has changed, for each established connection to it:
     * attempts that are not written were placed by the earlier state.
     */
    void engineChanged(EngineConnection connection);

    /**
     * Called when a connection was removed from the pool.
     *
     * @param writtenMessages the number of messages that may have been written to it completely
     */
    void removed(EngineConnection connection, long writtenMessages);
  }

  /**
   * A connection that was idle for more than this fraction of the time after which engines close
   * idle connections is closed instead of reused.
   */
  private static final double MAX_IDLE_FRACTION = 0.9;

  /**
   * The first and the longest pause after a connect that failed on this machine; each one in a row
   * is twice as long as the last.
   */
  private static final TimeSpan MIN_CONNECT_BACKOFF_US = new TimeSpan(5_000);

  private static final TimeSpan MAX_CONNECT_BACKOFF_US = new TimeSpan(100_000);

  /** At most one in this many of the configured sockets may be a connection to an engine. */
  private static final int SOCKETS_PER_CONNECTION = 3;

  /** One engine of the endpoint list. */
  private static final class EngineEntry {
    InetSocketAddress address;
    EndpointState state;

    /** When the engine's process started, according to the endpoint list. */
    Timestamp startedAt;

    /** Whether the last connection to the engine, or the last attempt on it, failed. */
    boolean hasFailed;

    final List<EngineConnection> connections = new ArrayList<>();
  }

  private final SocketConnector connector;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final AttemptLog log;
  private final Listener listener;
  private final Map<EngineId, EngineEntry> engines = new HashMap<>();
  private final SlotTable<EngineConnection> connections;
  private TimeSpan connectTimeout;
  private TimeSpan maxIdle;
  private int maxAttemptsPerConnection;

  EngineConnectionPool(
      ServiceConfiguration configuration,
      SocketConnector connector,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters,
      AttemptLog log,
      Listener listener) {
    this.connector = connector;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    this.listener = listener;
    applyConfiguration(configuration);
    connections = new SlotTable<>(configuration.maxSockets() / SOCKETS_PER_CONNECTION);
  }

  /**
   * Applies the timeouts and limits of connections. Connect timers that are already set keep their
   * time, and the maximum number of connections does not change.
   */
  void applyConfiguration(ServiceConfiguration configuration) {
    connectTimeout = configuration.connectTimeout();
    maxIdle = configuration.maxConnectionIdle().times(MAX_IDLE_FRACTION);
    maxAttemptsPerConnection = configuration.attemptsPerConnection();
  }

  // ---- the endpoint list

  /** Applies an event that holds changes of the endpoint list or the complete list. */
  void updateEndpoints(WatchEvent event) {
    if (event.isComplete()) {
      Set<EngineId> listed =
          event.endpoints().stream().map(EndpointStatus::engine).collect(Collectors.toSet());
      engines.forEach(
          (engine, entry) ->
              entry.state = listed.contains(engine) ? entry.state : EndpointState.REMOVED);
    }
    for (EndpointStatus status : event.endpoints()) {
      updateEndpoint(status, event.addresses().get(status.engine()));
    }
    for (EngineEntry entry : List.copyOf(engines.values())) {
      if (entry.state == EndpointState.REMOVED) {
        List.copyOf(entry.connections).stream()
            .filter(connection -> connection.attempts.isEmpty() || connection.session == null)
            .forEach(connection -> drop(connection, CloseReason.ENDPOINT_REMOVED));
        List.copyOf(entry.connections).forEach(listener::engineChanged);
      }
    }
    engines
        .values()
        .removeIf(entry -> entry.state == EndpointState.REMOVED && entry.connections.isEmpty());
  }

  private void updateEndpoint(EndpointStatus status, InetSocketAddress address) {
    EngineEntry entry = engines.computeIfAbsent(status.engine(), engine -> new EngineEntry());
    boolean hasChanged =
        status.state() != entry.state || !status.startedAt().equals(entry.startedAt);
    entry.state = status.state();
    entry.startedAt = status.startedAt();
    if (address != null) {
      entry.address = address;
    }
    closeIdleToEarlierAddress(entry);
    for (EngineConnection connection : List.copyOf(entry.connections)) {
      // A connection to an earlier incarnation of the engine may stay open without any answer.
      boolean isOutdated =
          status.state() == EndpointState.UP && connection.openedAt.isBefore(status.startedAt());
      // Attempts that wait for this connection were placed by the engine's earlier state, for
      // example before it drained or restarted, and have to be placed again.
      boolean isPlacedBeforeChange = hasChanged && connection.session == null;
      if (isOutdated || isPlacedBeforeChange) {
        drop(connection, CloseReason.ENDPOINT_CHANGED);
      } else if (hasChanged) {
        listener.engineChanged(connection);
      }
    }
  }

  /** Closes connections to an earlier address of an engine, at which another one may be by now. */
  private void closeIdleToEarlierAddress(EngineEntry entry) {
    for (EngineConnection connection : List.copyOf(entry.connections)) {
      boolean isUnused = connection.attempts.isEmpty() || connection.session == null;
      if (isUnused && !connection.address.equals(entry.address)) {
        drop(connection, CloseReason.ENDPOINT_CHANGED);
      }
    }
  }

  /** Returns the number of engines that the endpoint list shows as in service. */
  int inServiceCount() {
    return (int) engines.values().stream().filter(entry -> entry.state == EndpointState.UP).count();
  }

  /**
   * Returns the fraction of engines in service whose last connection or attempt failed, from 0 to
   * 1; 0 if no engine is in service.
   */
  double failingFraction() {
    int up = inServiceCount();
    return up == 0
        ? 0
        : (double)
                engines.values().stream()
                    .filter(entry -> entry.state == EndpointState.UP && entry.hasFailed)
                    .count()
            / up;
  }

  /** Records whether the last connection to an engine, or the last attempt on it, failed. */
  void setFailed(EngineConnection connection, boolean hasFailed) {
    EngineEntry entry = engines.get(connection.engine);
    if (entry != null) {
      entry.hasFailed = hasFailed;
    }
  }

  // ---- connections

  /** Returns the number of connections to engines that are open or being opened. */
  int connectionCount() {
    return connections.size();
  }

  /** Calls an action with each connection that is open or being opened; it may remove any. */
  void forEachConnection(Consumer<EngineConnection> action) {
    connections.forEach(action);
  }

  /** Whether a connection is still in the pool. */
  boolean isOpen(EngineConnection connection) {
    return connections.get(connection.key) == connection;
  }

  /**
   * Selects the connection for one more attempt: the most recently used idle one, else a new one. A
   * connection is shared only if no more can be opened, and then the one with the fewest attempts.
   * If none can be shared either, a new one replaces the connection that has been idle longest. An
   * attempt that is alone on its connection is cancelled by closing it, which also works if the
   * engine no longer responds, and interrupts no other attempt.
   *
   * @param excluded the connections that carried earlier attempts of the same request; answers to
   *     those may still arrive, and have the same call id
   * @return null if the engine is unknown or no connection is available
   */
  EngineConnection select(
      EngineId engine, String callId, Collection<EngineConnection> excluded, Timestamp now) {
    EngineEntry entry = engines.get(engine);
    if (entry == null || entry.address == null) {
      return null;
    }
    closeIdleTooLong(entry, now);
    List<EngineConnection> candidates =
        entry.connections.stream()
            .filter(connection -> !excluded.contains(connection))
            .filter(connection -> connection.address.equals(entry.address))
            .filter(connection -> connection.canAccept(callId, maxAttemptsPerConnection))
            .toList();
    EngineConnection idle = mostRecentlyUsedIdle(candidates);
    if (idle != null) {
      return idle;
    }
    EngineConnection opened = open(entry, engine, now);
    if (opened != null) {
      return opened;
    }
    EngineConnection shared =
        candidates.stream()
            .min(Comparator.comparingInt(connection -> connection.attempts.size()))
            .orElse(null);
    if (shared != null || !evictLongestIdle()) {
      return shared;
    }
    return open(entry, engine, now);
  }

  private void closeIdleTooLong(EngineEntry entry, Timestamp now) {
    for (EngineConnection connection : List.copyOf(entry.connections)) {
      if (isIdleTooLong(connection, now)) {
        drop(connection, CloseReason.IDLE_TOO_LONG);
      }
    }
  }

  private static EngineConnection mostRecentlyUsedIdle(List<EngineConnection> candidates) {
    EngineConnection idle = null;
    for (EngineConnection connection : candidates) {
      if (connection.attempts.isEmpty()
          && (idle == null || idle.idleSince.isBefore(connection.idleSince))) {
        idle = connection;
      }
    }
    return idle;
  }

  /** Closes the connection that has been idle longest; returns whether there was an idle one. */
  private boolean evictLongestIdle() {
    EngineConnection longestIdle =
        engines.values().stream()
            .flatMap(entry -> entry.connections.stream())
            .filter(connection -> connection.attempts.isEmpty())
            .min(Comparator.comparing(connection -> connection.idleSince))
            .orElse(null);
    if (longestIdle != null) {
      drop(longestIdle, CloseReason.EVICTED);
    }
    return longestIdle != null;
  }

  private boolean isIdleTooLong(EngineConnection connection, Timestamp now) {
    return connection.attempts.isEmpty()
        && maxIdle.isPositive()
        && now.since(connection.idleSince).compareTo(maxIdle) > 0;
  }

  /** Opens a connection; returns null if no more connections may be open. */
  private EngineConnection open(EngineEntry entry, EngineId engine, Timestamp now) {
    EngineConnection connection = new EngineConnection(engine, entry.address, now);
    connection.key = connections.add(connection);
    if (connection.key == SlotTable.NONE) {
      return null;
    }
    entry.connections.add(connection);
    connection.connectTimer =
        timers.set(
            now.plus(connectTimeout),
            () -> {
              connection.future.cancel();
              connectFailed(connection);
            });
    connect(connection);
    return connection;
  }

  private void connect(EngineConnection connection) {
    connection.future =
        connector.connect(
            connection.address, (session, future) -> EngineInput.attach(session, connection));
    connection.future.addListener(
        // The end of a client's connection may be unread: no attempt of its request may start then.
        (ConnectFuture future) ->
            sockets.runAfterReading(() -> inbox.post(null, () -> connectEnded(connection))));
  }

  private void connectEnded(EngineConnection connection) {
    if (!isOpen(connection)) {
      if (connection.future.isConnected()) {
        connection.future.getSession().closeNow();
      }
    } else if (isLocalFailure(connection.future.getException())) {
      connectAgain(connection);
    } else if (!connection.future.isConnected()) {
      connection.connectBackoff = null;
      connectFailed(connection);
    } else {
      counters.add(Count.ENGINE_CONNECTIONS);
      timers.cancel(connection.connectTimer);
      connection.connectBackoff = null;
      connection.session = connection.future.getSession();
      Timestamp now = clock.now();
      connection.receivedAt = now;
      listener.connected(connection, now);
    }
  }

  /**
   * Returns whether a connect failed for a reason on this machine, such as a lack of descriptors,
   * ports or buffers, or a missing route. The peer is responsible for a refused connection, a
   * timeout, and a host that can't be reached.
   */
  private static boolean isLocalFailure(Throwable failure) {
    return failure instanceof IOException
        && !(failure instanceof ConnectException)
        && !(failure instanceof NoRouteToHostException);
  }

  /** Connects again after a pause, unless the connect timeout ends the connection before. */
  private void connectAgain(EngineConnection connection) {
    counters.add(Count.ENGINE_CONNECTS_REPEATED);
    TimeSpan last = connection.connectBackoff;
    connection.connectBackoff =
        last == null ? MIN_CONNECT_BACKOFF_US : last.times(2).min(MAX_CONNECT_BACKOFF_US);
    connection.connectRetryTimer =
        timers.set(clock.now().plus(connection.connectBackoff), () -> connect(connection));
  }

  private void connectFailed(EngineConnection connection) {
    if (isOpen(connection)) {
      counters.add(Count.ENGINE_CONNECTIONS_FAILED);
      if (!connection.hasLocalFailure()) {
        setFailed(connection, true);
      }
      remove(connection, 0, CloseReason.CONNECT_FAILED);
    }
  }

  /** Removes a connection that the engine or an I/O error has closed. */
  void closed(EngineConnection connection, long writtenMessages) {
    if (isOpen(connection)) {
      counters.add(Count.ENGINE_CONNECTIONS_CLOSED);
      remove(connection, writtenMessages, CloseReason.CLOSED_BY_ENGINE);
    }
  }

  /**
   * Records that a connection has no more attempts, and closes it if its engine was removed from
   * the endpoint list or has got another address.
   */
  void becameIdle(EngineConnection connection, Timestamp now) {
    connection.idleSince = now;
    EngineEntry entry = engines.get(connection.engine);
    if (entry != null && entry.state == EndpointState.REMOVED) {
      drop(connection, CloseReason.ENDPOINT_REMOVED);
    } else if (entry != null && !connection.address.equals(entry.address)) {
      drop(connection, CloseReason.ENDPOINT_CHANGED);
    }
  }

  /**
   * Closes a connection from this side. All messages written to it count as written completely,
   * since the engine may have run them.
   */
  void drop(EngineConnection connection, CloseReason reason) {
    if (!isOpen(connection)) {
      return;
    }
    if (connection.session != null) {
      connection.session.closeNow();
    } else {
      connection.future.cancel();
    }
    remove(connection, Long.MAX_VALUE, reason);
  }

  private void remove(EngineConnection connection, long writtenMessages, CloseReason reason) {
    if (!connection.attempts.isEmpty() || reason == CloseReason.CONNECT_FAILED) {
      log.connectionRemoved(connection, reason);
    }
    timers.cancel(connection.connectTimer);
    timers.cancel(connection.connectRetryTimer);
    connections.free(connection.key);
    EngineEntry entry = engines.get(connection.engine);
    if (entry != null) {
      entry.connections.remove(connection);
    }
    listener.removed(connection, writtenMessages);
  }
}
