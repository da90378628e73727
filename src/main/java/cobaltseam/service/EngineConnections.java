package cobaltseam.service;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.EngineResponse;
import cobaltseam.service.Counters.Count;
import java.util.List;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * The attempts on engines, on the event-loop thread: starts, cancels and times out each, and
 * notifies a listener of its one outcome.
 */
final class EngineConnections
    implements EngineInput.Listener, EngineConnectionPool.Listener, EngineAnswers.Listener {
  /** Is notified of the progress of attempts, and of the one outcome of each. */
  interface Listener {
    void progressReported(Attempt attempt, double progress, Timestamp now);

    /** An attempt spills to disk, for want of so many megabytes. */
    void memoryShortfallReported(Attempt attempt, double missingMb);

    /** An attempt is blocked by a load of the table that it reads. */
    void blockedByLoad(Attempt attempt, Timestamp now);

    /** Whether a client still waits for the answer, as far as the I/O thread has read. */
    boolean isAwaited(Attempt attempt);

    void ended(Attempt attempt, AttemptResult result, Timestamp now);
  }

  private static final int US_PER_MS = 1000;

  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final EngineConnectionPool pool;
  private final EngineAnswers answers;
  private Listener listener;

  EngineConnections(
      ServiceConfiguration configuration,
      SocketConnector connector,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    RateLimitedLog log =
        new RateLimitedLog(System.getLogger(EngineConnections.class.getName()), clock);
    pool = new EngineConnectionPool(configuration, connector, inbox, clock, timers, counters, this);
    answers = new EngineAnswers(pool, this, clock, counters, log);
    connector.setHandler(new EngineInput(this, sockets, inbox));
  }

  /** To be called once, before the first attempt. */
  void setListener(Listener attemptListener) {
    listener = attemptListener;
  }

  /** Applies the timeouts and limits of connections; those of open ones stay. */
  void applyConfiguration(ServiceConfiguration configuration) {
    pool.applyConfiguration(configuration);
  }

  /** Applies a change of the endpoint list, or the complete list. */
  void updateEndpoints(WatchEvent event) {
    pool.updateEndpoints(event);
  }

  /** How many engines may be sent to by the endpoint list. */
  int inServiceCount() {
    return pool.inServiceCount();
  }

  /** The part of those to which the last connection or attempt failed, from 0 to 1. */
  double failingFraction() {
    return pool.failingFraction();
  }

  /** How many connections to engines are open or being opened. */
  int connectionCount() {
    return pool.connectionCount();
  }

  // ---- attempts

  /** Starts an attempt; the listener is notified of its one outcome later, never at once. */
  Attempt startAttempt(
      RequestId requestId, int number, Placement placement, Statement statement, Timestamp now) {
    EngineId engine = placement.engine();
    Attempt attempt =
        new Attempt(
            requestId, number, engine, statement, now, now.plus(placement.attemptTimeout()));
    attempt.startBy =
        placement.maxStartDelay() == null ? null : now.plus(placement.maxStartDelay());
    counters.add(Count.SENDS);
    EngineConnection connection = pool.pick(engine, attempt.callId(), now);
    if (connection == null) {
      attempt.timeout = timers.set(now, () -> endAttempt(attempt, AttemptResult.UNREACHABLE));
      return attempt;
    }
    attempt.timeout = timers.set(attempt.deadline, () -> abandon(attempt, AttemptResult.TIMED_OUT));
    attempt.connection = connection;
    connection.attempts.put(attempt.callId(), attempt);
    if (connection.session != null) {
      write(attempt, now);
    }
    return attempt;
  }

  /** An attempt that must not be sent after all; its outcome, never sent, comes later. */
  Attempt createUnsentAttempt(
      RequestId requestId, int number, EngineId engine, Statement statement, Timestamp now) {
    Attempt attempt = new Attempt(requestId, number, engine, statement, now, now);
    counters.add(Count.SENDS);
    attempt.timeout = timers.set(now, () -> endAttempt(attempt, AttemptResult.NEVER_SENT));
    return attempt;
  }

  /** Moves the timeout of an attempt to this time, if that is later than its first deadline. */
  void extendTimeout(Attempt attempt, Timestamp deadline) {
    if (!attempt.hasEnded && attempt.deadline.isBefore(deadline) && attempt.connection != null) {
      timers.cancel(attempt.timeout);
      attempt.timeout = timers.set(deadline, () -> abandon(attempt, AttemptResult.TIMED_OUT));
    }
  }

  /** Cancels an attempt: the listener is notified at once, and its engine is asked to stop. */
  void cancel(Attempt attempt) {
    abandon(attempt, AttemptResult.CANCELLED);
  }

  private void abandon(Attempt attempt, AttemptResult result) {
    if (attempt.hasEnded) {
      return;
    }
    EngineConnection connection = attempt.connection;
    if (connection == null || attempt.writePosition == 0) {
      endAttempt(attempt, AttemptResult.UNREACHABLE);
      return;
    }
    if (connection.attempts.size() == 1) {
      connection.attempts.clear();
      pool.drop(connection);
    } else {
      connection.addAbandoned(attempt.callId());
      connection.write(
          attempt.result == null
              ? EngineCommands.kill(attempt.callId())
              : EngineCommands.discard(attempt.callId()));
    }
    endAttempt(attempt, result);
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
      if (connection.attempts.isEmpty()) {
        pool.becameIdle(connection, now);
      }
    }
    counters.add(counterOf(result));
    if (connection != null
        && (result == AttemptResult.TIMED_OUT || result == AttemptResult.CONNECTION_LOST)) {
      pool.setFailed(connection, true);
    }
    listener.ended(attempt, result, now);
  }

  private void write(Attempt attempt, Timestamp now) {
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

  /** Asks an engine whether a connection to it works. */
  void checkHealth(EngineId engine, Timestamp now) {
    EngineConnection connection = pool.pick(engine, "", now);
    if (connection != null && connection.session != null) {
      connection.write(EngineCommands.echo("probe"));
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
    };
  }

  // ---- connections

  @Override
  public void connected(EngineConnection connection, Timestamp now) {
    for (Attempt attempt : List.copyOf(connection.attempts.values())) {
      // It may have waited too long for this connection: engines may have forgotten the attempt
      // before, and would not recognize this one as a repetition.
      boolean isInTime = attempt.startBy == null || now.isBefore(attempt.startBy);
      if (isInTime && listener.isAwaited(attempt)) {
        write(attempt, now);
      } else {
        endAttempt(attempt, AttemptResult.UNREACHABLE);
      }
    }
  }

  /** An attempt that was not written completely never ran; any other may have run. */
  @Override
  public void removed(EngineConnection connection, long writtenMessages) {
    for (Attempt attempt : List.copyOf(connection.attempts.values())) {
      boolean neverRan = attempt.writePosition == 0 || attempt.writePosition > writtenMessages;
      endAttempt(attempt, neverRan ? AttemptResult.UNREACHABLE : AttemptResult.CONNECTION_LOST);
    }
  }

  @Override
  public void closed(EngineConnection connection, long writtenMessages) {
    pool.closed(connection, writtenMessages);
  }

  // ---- answers

  @Override
  public void received(
      EngineConnection connection, List<EngineResponse> received, String protocolError) {
    answers.process(connection, received, protocolError);
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
