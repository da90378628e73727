package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.postgres.ServerMessageWriter;
import cobaltseam.resp.Result;
import java.nio.charset.StandardCharsets;
import java.util.Collections;

/** Builds the replies that clients get to their statements. */
final class ClientReplies {
  private static final int MIN_COLUMNS = 3;
  private static final String INSERT = "insert";
  private static final int US_PER_MS = 1000;
  private static final String SHUTTING_DOWN =
      "this dispatcher shuts down, trying again elsewhere is harmless";

  private ClientReplies() {}

  /** Returns a result's rows, one for each line of its pages, and the command tag. */
  static ServerMessageWriter rows(Result result, byte[] statement) {
    ServerMessageWriter replies =
        new ServerMessageWriter()
            .rowDescription(Collections.nCopies(result.columnCountOr(MIN_COLUMNS), "column"));
    for (byte[] page : result.pages()) {
      int rowStart = 0;
      for (int i = 0; i < page.length; i++) {
        if (page[i] == '\n') {
          replies.dataRow(page, rowStart, i);
          rowStart = i + 1;
        }
      }
    }
    int length = Math.min(statement.length, INSERT.length());
    boolean isInsert =
        new String(statement, 0, length, StandardCharsets.US_ASCII).equalsIgnoreCase(INSERT);
    return replies.commandComplete((isInsert ? "INSERT 0 " : "SELECT ") + result.rowCount());
  }

  /** Returns the error for a shed request, with the delay of a retry unless that is zero. */
  static ServerMessageWriter shed(TimeSpan retryAfter) {
    return new ServerMessageWriter()
        .errorResponse(
            "ERROR",
            ServerMessageWriter.SQLSTATE_SHED,
            "shed, trying again is harmless" + retryAdvice(retryAfter));
  }

  static ServerMessageWriter failed() {
    return new ServerMessageWriter()
        .errorResponse("ERROR", ServerMessageWriter.SQLSTATE_FAILED, "failed");
  }

  /** Rejects a statement during a shutdown, or with severity FATAL a connection. */
  static ServerMessageWriter shuttingDown(String severity) {
    return new ServerMessageWriter()
        .errorResponse(severity, ServerMessageWriter.SQLSTATE_CANNOT_CONNECT_NOW, SHUTTING_DOWN);
  }

  /**
   * Rejects a statement, or with severity FATAL a connection, at an address where another
   * dispatcher is active.
   */
  static ServerMessageWriter notActive(String severity, TimeSpan retryAfter) {
    return new ServerMessageWriter()
        .errorResponse(
            severity,
            ServerMessageWriter.SQLSTATE_CANNOT_CONNECT_NOW,
            "another dispatcher is active here, trying again is harmless"
                + retryAdvice(retryAfter));
  }

  /** Rejects a message of the extended query protocol. */
  static ServerMessageWriter unsupportedMessage(char type) {
    return new ServerMessageWriter()
        .errorResponse(
            "ERROR",
            ServerMessageWriter.SQLSTATE_FEATURE_NOT_SUPPORTED,
            "only simple queries are spoken here, not message '" + type + "'");
  }

  private static String retryAdvice(TimeSpan retryAfter) {
    return retryAfter.isPositive() ? ", pushback=" + retryAfter.us() / US_PER_MS : "";
  }
}
