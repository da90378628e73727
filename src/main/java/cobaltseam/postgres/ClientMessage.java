package cobaltseam.postgres;

/** One message from a client, with only the contents that the service uses. */
public sealed interface ClientMessage {
  /** StartupMessage of protocol 3.0. */
  record Startup() implements ClientMessage {}

  /** SSLRequest or GSSENCRequest: the client expects a one-byte reply before it starts up. */
  record EncryptionRequest() implements ClientMessage {}

  /**
   * CancelRequest: asks to cancel the request of another session.
   *
   * @param session the process ID from the BackendKeyData message of that session
   * @param secret the secret key from the same message
   */
  record Cancel(int session, int secret) implements ClientMessage {}

  /** Query: a simple query; the text is its statement without the terminating zero byte. */
  record Query(byte[] text) implements ClientMessage {}

  /** Terminate: the client ends the session. */
  record Terminate() implements ClientMessage {}

  /** Sync: ends a series of messages of the extended query protocol, which is not supported. */
  record Sync() implements ClientMessage {}

  /** A valid message of a type that the service does not support. */
  record Unsupported(char type) implements ClientMessage {}

  /**
   * Bytes that are not a valid message, or exceed a limit; parsing stops at them.
   *
   * @param isOverload whether the limit is one of all clients together, so that the client did
   *     nothing wrong and may try again
   */
  record Malformed(String reason, boolean isOverload) implements ClientMessage {}
}
