package cobaltseam.service;

/** Why a connection to an engine was removed from the pool. */
enum CloseReason {
  CLOSED_BY_ENGINE("closed by the engine or by an I/O error"),
  CONNECT_FAILED("it could not be established"),
  IDLE_TOO_LONG("idle for too long to be used again"),
  EVICTED("replaced while no more connections may be open"),
  ATTEMPT_ABANDONED("closed to end the only attempt on it"),
  PROTOCOL_ERROR("closed after a protocol error or an unusable result"),
  ENDPOINT_CHANGED("the endpoint list shows a new state or incarnation of the engine"),
  ENDPOINT_REMOVED("the endpoint list no longer shows the engine");

  private final String description;

  CloseReason(String description) {
    this.description = description;
  }

  /** Returns the reason as it is logged. */
  String description() {
    return description;
  }
}
