package cobaltseam.service;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.EngineResponse;
import cobaltseam.resp.Result;
import cobaltseam.service.Counters.Count;
import java.util.List;

/**
 * Processes what engines answer, on the event-loop thread: collects the pages of results, passes
 * progress reports on, and ends attempts that have their answer.
 */
final class EngineAnswers {
  /** Is notified at once. */
  interface Listener {
    /** An attempt reports progress, from 0 to 1. */
    void progressReported(Attempt attempt, double progress, Timestamp now);

    /** An attempt spills to disk, for want of so many megabytes. */
    void memoryShortfallReported(Attempt attempt, double missingMb);

    /** An attempt is blocked by a load of the table that it reads. */
    void blockedByLoad(Attempt attempt, Timestamp now);

    /** An attempt has its answer. */
    void endAttempt(Attempt attempt, AttemptResult result);
  }

  /** The value of a progress report "blocked" of an attempt that waits for a load. */
  private static final double BLOCKED_BY_LOAD = 2;

  private final EngineConnectionPool pool;
  private final Listener listener;
  private final Clock clock;
  private final Counters counters;
  private final RateLimitedLog log;

  EngineAnswers(
      EngineConnectionPool pool,
      Listener listener,
      Clock clock,
      Counters counters,
      RateLimitedLog log) {
    this.pool = pool;
    this.listener = listener;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Processes the answers that came on a connection in one round of reading.
   *
   * @param protocolError what is wrong with what came behind them, or null
   */
  void process(EngineConnection connection, List<EngineResponse> answers, String protocolError) {
    connection.receivedAt = clock.now();
    pool.setFailed(connection, false);
    for (EngineResponse answer : answers) {
      if (!pool.isOpen(connection)) {
        return;
      }
      if (answer == null) {
        protocolError(connection, "an array that is no answer");
      } else if (!answer.code().equals(EngineResponse.ALIVE)) {
        process(connection, answer);
      }
    }
    if (protocolError != null && pool.isOpen(connection)) {
      protocolError(connection, protocolError);
    }
  }

  private void process(EngineConnection connection, EngineResponse answer) {
    Attempt attempt = connection.attempts.get(answer.id());
    if (attempt == null) {
      processUnknown(connection, answer);
      return;
    }
    double inFlight = answer.loadReportValue(DeploymentReader.IN_FLIGHT_REPORT_FIELD);
    double queue = answer.loadReportValue(DeploymentReader.QUEUED_REPORT_FIELD);
    attempt.reportedInFlight = inFlight >= 0 ? inFlight : attempt.reportedInFlight;
    attempt.reportedQueueLength = queue >= 0 ? queue : attempt.reportedQueueLength;
    switch (answer.code()) {
      case EngineResponse.STATUS -> processStatus(connection, attempt, answer);
      case EngineResponse.OK -> addFirstPage(connection, attempt, answer);
      case EngineResponse.CHUNK ->
          addPage(connection, attempt, answer.integerField("page"), answer.body());
      case EngineResponse.CAPACITY_EXCEEDED, EngineResponse.DEADLINE_EXCEEDED ->
          listener.endAttempt(attempt, AttemptResult.CAPACITY_EXCEEDED);
      case EngineResponse.ERROR -> listener.endAttempt(attempt, AttemptResult.ERROR);
      default -> protocolError(connection, "an answer '" + answer.code() + "'");
    }
  }

  private void processStatus(EngineConnection connection, Attempt attempt, EngineResponse answer) {
    counters.add(Count.NOTES);
    String subject = answer.fields().getOrDefault("why", "");
    double value = answer.numberField("v");
    switch (subject) {
      case "progress" -> listener.progressReported(attempt, value, connection.receivedAt);
      case "spill_mb" -> listener.memoryShortfallReported(attempt, value);
      case "blocked" -> {
        if (value == BLOCKED_BY_LOAD) {
          listener.blockedByLoad(attempt, connection.receivedAt);
        }
      }
      default -> {}
    }
  }

  /** An answer to an attempt that is not on this connection: cancelled, or never sent. */
  private void processUnknown(EngineConnection connection, EngineResponse answer) {
    if (!connection.isAbandoned(answer.id())) {
      counters.add(Count.UNKNOWN_ANSWERS);
      log.warn(
          "engine {0}: an answer for unknown id {1}",
          Field.of("engine", Long.toHexString(connection.engine.value())),
          Field.of("command", answer.id()),
          Field.event("engine.unknown_answer"));
      if (connection.isFloodedByAnswer()) {
        protocolError(connection, "answers without end that nobody asked for");
      }
      return;
    }
    counters.add(Count.LATE_ANSWERS);
    if (answer.code().equals(EngineResponse.OK) && answer.integerField("pages") > 1) {
      connection.write(EngineCommands.discard(answer.id()));
    }
  }

  private void addFirstPage(EngineConnection connection, Attempt attempt, EngineResponse answer) {
    if (attempt.result != null) {
      counters.add(Count.SECOND_COPIES);
      return;
    }
    int pages = answer.integerField("pages");
    if (!Result.isValidPageCount(pages)) {
      rejectResult(connection, attempt, "a result of " + pages + " pages");
      return;
    }
    attempt.result = new Result(pages);
    for (int page = 1; page < pages; page++) {
      counters.add(Count.PAGES_ASKED);
      connection.write(EngineCommands.scroll(attempt.callId(), page));
    }
    addPage(connection, attempt, 0, answer.body());
  }

  private void addPage(EngineConnection connection, Attempt attempt, int page, byte[] body) {
    if (attempt.result != null && attempt.result.hasPage(page)) {
      counters.add(Count.SECOND_COPIES);
      return;
    }
    String error =
        attempt.result == null ? "a page before the first" : attempt.result.addPage(page, body);
    if (error != null) {
      rejectResult(connection, attempt, error);
    } else if (attempt.result.isComplete()) {
      listener.endAttempt(attempt, AttemptResult.COMPLETED);
    }
  }

  /** A result that can't be passed on counts as the engine's error; its connection is dropped. */
  private void rejectResult(EngineConnection connection, Attempt attempt, String reason) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.warn(
        "engine {0}: {1}",
        Field.of("engine", Long.toHexString(attempt.engine.value())),
        Field.of("reason", reason),
        Field.of("command", attempt.callId()),
        Field.event("engine.bad_result"));
    connection.attempts.remove(attempt.callId());
    pool.drop(connection);
    listener.endAttempt(attempt, AttemptResult.ERROR);
  }

  private void protocolError(EngineConnection connection, String reason) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.warn(
        "engine {0} closed: {1}",
        Field.of("engine", Long.toHexString(connection.engine.value())),
        Field.of("reason", reason),
        Field.event("engine.closed"));
    pool.drop(connection);
  }
}
