package cobaltseam.service;

import cobaltseam.dispatch.RequestId;
import cobaltseam.postgres.Statement;

/**
 * One request, until it has its final answer and no attempt of it runs; the event-loop thread's
 * own.
 */
final class InFlightRequest {
  final RequestId id;
  final Statement statement;
  long key;

  /** Null once the request has its final answer or its client has left. */
  ResponseHandle responseHandle;

  int attemptCount;

  /** The attempt that runs, or null. */
  Attempt attempt;

  InFlightRequest(Statement statement, ResponseHandle responseHandle) {
    id = new RequestId(statement.callId());
    this.statement = statement;
    this.responseHandle = responseHandle;
  }

  /** Whether the client has left, though the event loop has not processed that yet. */
  boolean isClientDisconnected() {
    return responseHandle != null && responseHandle.isClientDisconnected();
  }
}
