package cobaltseam.service;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.EngineResponse;
import cobaltseam.resp.Result;
import cobaltseam.service.Counters.Count;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Processes the answers of engines on the event-loop thread: collects the pages of results,
 * forwards progress reports, and ends attempts whose answer is complete.
 */
final class EngineAnswers {
  /** Receives progress reports and the ends of attempts, within the call that processes them. */
  interface Listener {
    /** Called when an attempt reports progress, from 0 to 1. */
    void progressReported(Attempt attempt, double progress, Timestamp now);

    /** Called when an attempt spills to disk because it lacks {@code missingMb} of memory. */
    void memoryShortfallReported(Attempt attempt, double missingMb);

    /** Called when an attempt waits for a load of the table that it reads. */
    void blockedByLoad(Attempt attempt, Timestamp now);

    /** Ends an attempt with this result. */
    void endAttempt(Attempt attempt, AttemptResult result);
  }

  /** The value of a progress report "blocked" from an attempt that waits for a load. */
  private static final double BLOCKED_BY_LOAD = 2;

  private final EngineConnectionPool pool;
  private final Listener listener;
  private final Clock clock;
  private final Counters counters;
  private final AttemptLog log;
  private final StatusReportLimit statusReportLimit = new StatusReportLimit();

  EngineAnswers(
      EngineConnectionPool pool,
      Listener listener,
      Clock clock,
      Counters counters,
      AttemptLog log) {
    this.pool = pool;
    this.listener = listener;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /** Applies the limits of answers. */
  void applyConfiguration(ServiceConfiguration configuration) {
    statusReportLimit.applyConfiguration(configuration);
  }

  /**
   * Processes the input that was received on a connection in one read. Ignores the rest of it once
   * an answer has caused the connection to be closed.
   */
  void process(EngineConnection connection, ByteBuffer input) {
    connection.receivedAt = clock.now();
    pool.setFailed(connection, false);
    if (!pool.isOpen(connection)) {
      return;
    }
    String protocolError = connection.parser.parse(input, items -> process(connection, items));
    if (protocolError != null && pool.isOpen(connection)) {
      protocolError(connection, protocolError);
    }
  }

  private void process(EngineConnection connection, List<byte[]> items) {
    if (!pool.isOpen(connection)) {
      return;
    }
    EngineResponse answer = EngineResponse.parse(items);
    if (answer == null) {
      protocolError(connection, "an array that is not an engine answer");
    } else if (answer.code().equals(EngineResponse.ALIVE)) {
      processAlive(connection);
    } else {
      process(connection, answer);
    }
  }

  private void processAlive(EngineConnection connection) {
    if (!connection.endHealthCheck()) {
      countUnsolicited(connection);
    }
  }

  private void process(EngineConnection connection, EngineResponse answer) {
    Attempt attempt = connection.attempts.get(answer.id());
    if (attempt == null) {
      processUnsolicited(connection, answer);
      return;
    }
    double inFlight = answer.loadReportValue(DeploymentReader.IN_FLIGHT_REPORT_FIELD);
    double queueLength = answer.loadReportValue(DeploymentReader.QUEUED_REPORT_FIELD);
    attempt.reportedInFlight = inFlight >= 0 ? inFlight : attempt.reportedInFlight;
    attempt.reportedQueueLength = queueLength >= 0 ? queueLength : attempt.reportedQueueLength;
    switch (answer.code()) {
      case EngineResponse.STATUS -> processStatus(connection, attempt, answer);
      case EngineResponse.OK -> addFirstPage(connection, attempt, answer);
      case EngineResponse.CHUNK ->
          addPage(connection, attempt, answer.integerField("page"), answer.body());
      case EngineResponse.CAPACITY_EXCEEDED, EngineResponse.DEADLINE_EXCEEDED ->
          listener.endAttempt(attempt, AttemptResult.CAPACITY_EXCEEDED);
      case EngineResponse.ERROR -> listener.endAttempt(attempt, AttemptResult.ERROR);
      default -> protocolError(connection, "unexpected answer code '" + answer.code() + "'");
    }
  }

  private void processStatus(EngineConnection connection, Attempt attempt, EngineResponse answer) {
    counters.add(Count.NOTES);
    if (statusReportLimit.isExceededBy(attempt, connection.receivedAt)) {
      protocolError(connection, "too many status reports of one attempt");
      return;
    }
    String reportType = answer.fields().getOrDefault("why", "");
    double value = answer.numberField("v");
    switch (reportType) {
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

  /**
   * Ignores an answer to an attempt that is not on this connection: it has ended, or was never sent
   * on it.
   */
  private void processUnsolicited(EngineConnection connection, EngineResponse answer) {
    boolean isLate = connection.hasEnded(answer.id());
    counters.add(isLate ? Count.LATE_ANSWERS : Count.UNKNOWN_ANSWERS);
    if (!isLate) {
      log.answerIgnored(connection, answer);
    }
    if (countUnsolicited(connection)
        && isLate
        && answer.code().equals(EngineResponse.OK)
        && answer.integerField("pages") > 1) {
      connection.write(EngineCommands.discard(answer.id()));
    }
  }

  /**
   * Counts an answer that nothing waits for, and closes the connection after too many.
   *
   * @return whether the connection stays open
   */
  private boolean countUnsolicited(EngineConnection connection) {
    boolean isExceeded = connection.countUnsolicitedAnswer();
    if (isExceeded) {
      protocolError(connection, "too many answers that nothing waits for");
    }
    return !isExceeded;
  }

  private void addFirstPage(EngineConnection connection, Attempt attempt, EngineResponse answer) {
    if (attempt.result != null) {
      processRepeated(connection);
      return;
    }
    int pages = answer.integerField("pages");
    if (!Result.isValidPageCount(pages)) {
      rejectResult(connection, attempt, "invalid page count " + pages);
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
      processRepeated(connection);
      return;
    }
    String error =
        attempt.result == null
            ? "a further page arrived before the first page"
            : attempt.result.addPage(page, body);
    if (error != null) {
      rejectResult(connection, attempt, error);
    } else if (attempt.result.isComplete()) {
      listener.endAttempt(attempt, AttemptResult.COMPLETED);
    }
  }

  private void processRepeated(EngineConnection connection) {
    counters.add(Count.SECOND_COPIES);
    countUnsolicited(connection);
  }

  /**
   * Ends an attempt whose result can't be forwarded with {@link AttemptResult#ERROR}, and closes
   * its connection.
   */
  private void rejectResult(EngineConnection connection, Attempt attempt, String reason) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.resultRejected(attempt, reason);
    connection.attempts.remove(attempt.callId());
    pool.drop(connection, CloseReason.PROTOCOL_ERROR);
    listener.endAttempt(attempt, AttemptResult.ERROR);
  }

  private void protocolError(EngineConnection connection, String reason) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.protocolError(connection, reason);
    pool.drop(connection, CloseReason.PROTOCOL_ERROR);
  }
}
