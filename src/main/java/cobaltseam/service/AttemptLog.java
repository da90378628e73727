package cobaltseam.service;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.resp.EngineResponse;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;

/**
 * Logs what is not part of normal operation in the life of requests: attempts without a complete
 * result, requests without one, ignored answers, and lost connections to engines. Each kind of line
 * has a rate limit of its own. Confined to the event-loop thread.
 */
final class AttemptLog {
  private static final int US_PER_MS = 1000;

  private final Clock clock;
  private final RateLimitedLog attempts;
  private final RateLimitedLog requests;
  private final RateLimitedLog connections;
  private final RateLimitedLog answers;

  AttemptLog(Clock clock) {
    Logger logger = System.getLogger(EngineConnections.class.getName());
    this.clock = clock;
    attempts = new RateLimitedLog(logger, Level.INFO, clock);
    requests = new RateLimitedLog(logger, Level.INFO, clock);
    connections = new RateLimitedLog(logger, Level.INFO, clock);
    answers = new RateLimitedLog(logger, Level.WARNING, clock);
  }

  /** Logs an attempt that ended with anything but a complete result. */
  void attemptEnded(Attempt attempt, AttemptResult result, Timestamp now) {
    attempts.log(
        "attempt {0} of call {1} on engine {2}, connection {3}, ended after {4} ms: {5}",
        Field.of("attempt", attempt.number),
        Field.of("command", attempt.callId()),
        engineField(attempt.engine),
        connectionField(attempt.connection),
        Field.of("elapsedMs", now.since(attempt.startedAt).us() / US_PER_MS),
        Field.of("result", label(result)),
        Field.event("attempt.ended"));
  }

  /** Logs a request whose final answer is not a result. */
  void requestEnded(InFlightRequest request, String outcome) {
    requests.log(
        "call {0} is {1} after {2} attempts",
        Field.of("command", request.statement.callId()),
        Field.of("outcome", outcome),
        Field.of("attempts", request.attemptCount),
        Field.event("request.ended"));
  }

  /** Logs a connection that was removed while attempts were on it or before it was established. */
  void connectionRemoved(EngineConnection connection, CloseReason reason) {
    connections.log(
        "connection {0} to engine {1} with {2} attempts on it is gone after {3} ms: {4}",
        connectionField(connection),
        engineField(connection.engine),
        Field.of("attempts", connection.attempts.size()),
        Field.of("ageMs", clock.now().since(connection.openedAt).us() / US_PER_MS),
        Field.of("reason", reason.description()),
        Field.event("engine.connection_gone"));
  }

  /** Logs an answer that belongs to no attempt on its connection. */
  void answerIgnored(EngineConnection connection, EngineResponse answer) {
    answers.log(
        "engine {0}: ignored an answer to unknown call id {1}, code {2}, page {3}, connection {4}",
        engineField(connection.engine),
        Field.of("command", answer.id()),
        Field.of("code", answer.code()),
        Field.of("page", answer.integerField("page")),
        connectionField(connection),
        Field.event("engine.unknown_answer"));
  }

  /** Logs a result that can't be forwarded. */
  void resultRejected(Attempt attempt, String reason) {
    answers.log(
        "engine {0}: unusable result, attempt failed and connection closed: {1}",
        engineField(attempt.engine),
        Field.of("reason", reason),
        Field.of("command", attempt.callId()),
        Field.event("engine.bad_result"));
  }

  /** Logs input from an engine that violates the protocol. */
  void protocolError(EngineConnection connection, String reason) {
    answers.log(
        "connection to engine {0} closed after a protocol error, its attempts end as lost: {1}",
        engineField(connection.engine), Field.of("reason", reason), Field.event("engine.closed"));
  }

  private static Field engineField(EngineId engine) {
    return Field.of("engine", Long.toHexString(engine.value()));
  }

  private static Field connectionField(EngineConnection connection) {
    return Field.of("connection", connection == null ? "none" : Long.toHexString(connection.key));
  }

  private static String label(AttemptResult result) {
    return result.name().toLowerCase(Locale.ROOT);
  }
}
