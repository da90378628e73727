package cobaltseam.service;

import cobaltseam.dispatch.RequestId;
import cobaltseam.postgres.Statement;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that has no final answer yet, or an attempt of which still runs. Owned by the
 * event-loop thread.
 */
final class InFlightRequest {
  final RequestId id;
  final Statement statement;

  /** The key in the {@link RequestTable}. */
  long key;

  /** Null once the request has its final answer or its client has disconnected. */
  ResponseHandle responseHandle;

  /** The number of attempts so far, including the one that runs. */
  int attemptCount;

  /** The running attempt, or null. */
  Attempt attempt;

  /** The connections that ended attempts of this request were written to. */
  final List<EngineConnection> usedConnections = new ArrayList<>();

  InFlightRequest(Statement statement, ResponseHandle responseHandle) {
    id = new RequestId(statement.callId());
    this.statement = statement;
    this.responseHandle = responseHandle;
  }

  /**
   * Whether the client has disconnected or cancelled the request, as far as the I/O thread has
   * read; the event loop may not have processed that yet.
   */
  boolean isClientDisconnected() {
    return responseHandle != null && responseHandle.isClientDisconnected();
  }

  /** Whether input of the client is known to be unread, behind which it may have disconnected. */
  boolean hasUnreadInput() {
    return responseHandle != null && responseHandle.hasUnreadInput();
  }
}
