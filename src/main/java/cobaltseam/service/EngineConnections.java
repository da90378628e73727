package cobaltseam.service;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.resp.EngineCommands;
import cobaltseam.service.Counters.Count;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * The attempts on engines: starts, cancels and times out each attempt, and notifies a listener of
 * its single outcome. Confined to the event-loop thread.
 */
final class EngineConnections
    implements EngineInput.Listener, EngineConnectionPool.Listener, EngineAnswers.Listener {
  /** Is notified of the progress of attempts and of the single outcome of each. */
  interface Listener {
    /** Called when an attempt reports progress, from 0 to 1. */
    void progressReported(Attempt attempt, double progress, Timestamp now);

    /** Called when an attempt spills to disk because it lacks {@code missingMb} of memory. */
    void memoryShortfallReported(Attempt attempt, double missingMb);

    /** Called when an attempt waits for a load of the table that it reads. */
    void blockedByLoad(Attempt attempt, Timestamp now);

    /** Whether this dispatcher may start attempts now. */
    boolean isSendPermitted();

    /** Whether a client still waits for the answer, as far as the I/O thread has read. */
    boolean isAwaited(Attempt attempt);

    /**
     * If input of the client is known to be unread, behind which it may have disconnected, runs a
     * task when it is read.
     *
     * @return whether there is such input; if not, the task is not run
     */
    boolean runIfUnread(Attempt attempt, Runnable task);

    /** Called once for each attempt, with its outcome. */
    void ended(Attempt attempt, AttemptResult result, Timestamp now);
  }

  private static final int US_PER_MS = 1000;

  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final AttemptLog log;
  private final EngineConnectionPool pool;
  private final EngineAnswers answers;
  private Listener listener;

  EngineConnections(
      ServiceConfiguration configuration,
      SocketConnector connector,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      ReadFlowControl flowControl,
      Clock clock,
      Timers timers,
      Counters counters,
      AttemptLog log) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    pool =
        new EngineConnectionPool(
            configuration, connector, sockets, inbox, clock, timers, counters, log, this);
    answers = new EngineAnswers(pool, this, clock, counters, log);
    answers.applyConfiguration(configuration);
    connector.setHandler(new EngineInput(this, sockets, inbox, flowControl));
  }

  /** Sets the listener; to be called once, before the first attempt. */
  void setListener(Listener attemptListener) {
    listener = attemptListener;
  }

  /**
   * Applies the timeouts and limits of connections. Connect timers that are already set keep their
   * time, and the maximum number of connections does not change.
   */
  void applyConfiguration(ServiceConfiguration configuration) {
    pool.applyConfiguration(configuration);
    answers.applyConfiguration(configuration);
  }

  /** Applies an event that holds changes of the endpoint list or the complete list. */
  void updateEndpoints(WatchEvent event) {
    pool.updateEndpoints(event);
  }

  /** Returns the number of engines that the endpoint list shows as in service. */
  int inServiceCount() {
    return pool.inServiceCount();
  }

  /**
   * Returns the fraction of engines in service whose last connection or attempt failed, from 0 to
   * 1; 0 if no engine is in service.
   */
  double failingFraction() {
    return pool.failingFraction();
  }

  /** Returns the number of connections to engines that are open or being opened. */
  int connectionCount() {
    return pool.connectionCount();
  }

  // ---- attempts

  /**
   * Starts an attempt. The listener is notified of its outcome after this method has returned,
   * never during the call.
   */
  Attempt startAttempt(InFlightRequest request, int number, Placement placement, Timestamp now) {
    EngineId engine = placement.engine();
    Timestamp deadline = now.plus(placement.attemptTimeout());
    Attempt attempt = new Attempt(request.id, number, engine, request.statement, now, deadline);
    attempt.startBy =
        placement.maxStartDelay() == null ? null : now.plus(placement.maxStartDelay());
    counters.add(Count.SENDS);
    EngineConnection connection =
        pool.select(engine, attempt.callId(), request.usedConnections, now);
    if (connection == null) {
      attempt.timeout = timers.set(now, () -> endAttempt(attempt, AttemptResult.LOCAL_FAILURE));
      return attempt;
    }
    attempt.timeout = timers.set(attempt.deadline, () -> abandon(attempt, AttemptResult.TIMED_OUT));
    attempt.connection = connection;
    connection.attempts.put(attempt.callId(), attempt);
    if (connection.session != null && !isDeferred(attempt)) {
      write(attempt, now);
    }
    return attempt;
  }

  /**
   * Creates an attempt that is not allowed to be sent. Its outcome, {@link
   * AttemptResult#NEVER_SENT}, follows after this method has returned.
   */
  Attempt createUnsentAttempt(InFlightRequest request, int number, EngineId engine, Timestamp now) {
    Attempt attempt = new Attempt(request.id, number, engine, request.statement, now, now);
    counters.add(Count.SENDS);
    attempt.timeout = timers.set(now, () -> endAttempt(attempt, AttemptResult.NEVER_SENT));
    return attempt;
  }

  /** Moves the timeout of an attempt to {@code deadline} if that is later than its own deadline. */
  void extendTimeout(Attempt attempt, Timestamp deadline) {
    if (!attempt.hasEnded && attempt.deadline.isBefore(deadline) && attempt.connection != null) {
      timers.cancel(attempt.timeout);
      attempt.timeout = timers.set(deadline, () -> abandon(attempt, AttemptResult.TIMED_OUT));
    }
  }

  /**
   * Cancels an attempt. The listener is notified before this method returns, and the engine is
   * asked to stop.
   */
  void cancel(Attempt attempt) {
    abandon(attempt, AttemptResult.CANCELLED);
  }

  /**
   * Ends an attempt without an answer. If it is alone on its connection, the connection is closed;
   * otherwise the engine gets a message that cancels it or discards its result.
   */
  private void abandon(Attempt attempt, AttemptResult result) {
    if (attempt.hasEnded) {
      return;
    }
    EngineConnection connection = attempt.connection;
    if (connection == null || attempt.writePosition == 0) {
      boolean isDeferred = connection != null && connection.session != null;
      endAttempt(attempt, isDeferred ? AttemptResult.LOCAL_FAILURE : unsentResult(connection));
      return;
    }
    if (connection.attempts.size() == 1) {
      connection.attempts.clear();
      pool.drop(connection, CloseReason.ATTEMPT_ABANDONED);
    } else {
      connection.resetUnsolicitedAnswers();
      connection.write(
          attempt.result == null
              ? EngineCommands.kill(attempt.callId())
              : EngineCommands.discard(attempt.callId()));
    }
    endAttempt(attempt, result);
  }

  /** Returns the result of an attempt that was not written to its connection. */
  private static AttemptResult unsentResult(EngineConnection connection) {
    boolean isLocal = connection != null && connection.hasLocalFailure();
    return isLocal ? AttemptResult.LOCAL_FAILURE : AttemptResult.UNREACHABLE;
  }

  @Override
  public void endAttempt(Attempt attempt, AttemptResult result) {
    if (attempt.hasEnded) {
      return;
    }
    attempt.hasEnded = true;
    timers.cancel(attempt.timeout);
    EngineConnection connection = attempt.connection;
    Timestamp now = clock.now();
    if (connection != null) {
      connection.attempts.remove(attempt.callId());
      if (attempt.writePosition > 0) {
        connection.addEnded(attempt.callId());
      }
      if (connection.attempts.isEmpty()) {
        pool.becameIdle(connection, now);
      }
    }
    counters.add(counterOf(result));
    if (result != AttemptResult.COMPLETED) {
      log.attemptEnded(attempt, result, now);
    }
    if (connection != null
        && (result == AttemptResult.TIMED_OUT || result == AttemptResult.CONNECTION_LOST)) {
      pool.setFailed(connection, true);
    }
    listener.ended(attempt, result, now);
  }

  /**
   * Whether the input of the client has to be read before an attempt may be written; if so, it is
   * written then.
   */
  private boolean isDeferred(Attempt attempt) {
    return listener.runIfUnread(attempt, () -> writeIfAwaited(attempt));
  }

  /**
   * Writes an attempt that has waited, unless this dispatcher may not send any more, the client
   * does not wait for the answer, or the time for it is over.
   */
  private void writeIfAwaited(Attempt attempt) {
    if (attempt.hasEnded || attempt.connection.session == null) {
      return;
    }
    Timestamp now = clock.now();
    // From startBy on, engines may have forgotten the earlier attempt of this request and would
    // not recognize this one as a repetition.
    boolean isInTime = attempt.startBy == null || now.isBefore(attempt.startBy);
    if (!listener.isSendPermitted()) {
      endAttempt(attempt, AttemptResult.NEVER_SENT);
    } else if (!listener.isAwaited(attempt)) {
      endAttempt(attempt, AttemptResult.LOCAL_FAILURE);
    } else if (!isInTime) {
      endAttempt(attempt, AttemptResult.UNREACHABLE);
    } else if (!isDeferred(attempt)) {
      write(attempt, now);
    }
  }

  private void write(Attempt attempt, Timestamp now) {
    attempt.connection.resetUnsolicitedAnswers();
    long timeoutMs = Math.max(1, (attempt.deadline.since(now).us() + US_PER_MS - 1) / US_PER_MS);
    attempt.writePosition =
        attempt.connection.write(
            EngineCommands.pull(
                attempt.callId(),
                attempt.statement.requestClass(),
                timeoutMs,
                attempt.statement.idempotencyKey(),
                attempt.statement.text()));
  }

  /**
   * Sends a health check to an engine if a connection to it is established, or else begins to open
   * a connection.
   */
  void checkHealth(EngineId engine, Timestamp now) {
    EngineConnection connection = pool.select(engine, "", List.of(), now);
    if (connection != null && connection.session != null) {
      connection.writeHealthCheck();
    }
  }

  private static Count counterOf(AttemptResult result) {
    return switch (result) {
      case COMPLETED -> Count.SENDS_ANSWERED;
      case ERROR -> Count.SENDS_ERROR;
      case CAPACITY_EXCEEDED -> Count.SENDS_NO_ROOM;
      case TIMED_OUT -> Count.SENDS_TIMED_OUT;
      case UNREACHABLE -> Count.SENDS_UNREACHABLE;
      case CONNECTION_LOST -> Count.SENDS_CUT;
      case CANCELLED -> Count.SENDS_CANCELLED;
      case NEVER_SENT -> Count.SENDS_NEVER_SENT;
      case LOCAL_FAILURE -> Count.SENDS_LOCAL_FAILURE;
    };
  }

  // ---- connections

  @Override
  public void connected(EngineConnection connection, Timestamp now) {
    List.copyOf(connection.attempts.values()).forEach(this::writeIfAwaited);
  }

  /** Ends all attempts that were not written, so that they are placed again. */
  void endUnwritten() {
    pool.forEachConnection(this::engineChanged);
  }

  /** Ends the attempts that were not written, so that they are placed again. */
  @Override
  public void engineChanged(EngineConnection connection) {
    for (Attempt attempt : List.copyOf(connection.attempts.values())) {
      if (attempt.writePosition == 0) {
        endAttempt(attempt, AttemptResult.LOCAL_FAILURE);
      }
    }
  }

  /**
   * Ends the attempts on a removed connection: one that was not written completely never ran and is
   * unreachable; any other may have run, and its connection counts as lost.
   */
  @Override
  public void removed(EngineConnection connection, long writtenMessages) {
    for (Attempt attempt : List.copyOf(connection.attempts.values())) {
      boolean neverRan = attempt.writePosition == 0 || attempt.writePosition > writtenMessages;
      endAttempt(attempt, neverRan ? unsentResult(connection) : AttemptResult.CONNECTION_LOST);
    }
  }

  @Override
  public void closed(EngineConnection connection, long writtenMessages) {
    pool.closed(connection, writtenMessages);
  }

  // ---- answers

  @Override
  public void received(EngineConnection connection, ByteBuffer input) {
    answers.process(connection, input);
  }

  @Override
  public void progressReported(Attempt attempt, double progress, Timestamp now) {
    listener.progressReported(attempt, progress, now);
  }

  @Override
  public void memoryShortfallReported(Attempt attempt, double missingMb) {
    listener.memoryShortfallReported(attempt, missingMb);
  }

  @Override
  public void blockedByLoad(Attempt attempt, Timestamp now) {
    listener.blockedByLoad(attempt, now);
  }
}
