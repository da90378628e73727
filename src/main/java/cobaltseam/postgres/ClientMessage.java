package cobaltseam.postgres;

/** One message of a client, with the parts that the service uses. */
public sealed interface ClientMessage {
  /** StartupMessage of protocol 3.0. */
  record Startup() implements ClientMessage {}

  /** SSLRequest or GSSENCRequest: expects a reply of one byte before the start-up. */
  record EncryptionRequest() implements ClientMessage {}

  /** CancelRequest: names the session whose request is to be cancelled. */
  record Cancel(int session, int secret) implements ClientMessage {}

  /** Query: a simple query with its statement, without the terminating zero. */
  record Query(byte[] text) implements ClientMessage {}

  /** Terminate: the client ends the session. */
  record Terminate() implements ClientMessage {}

  /** Sync: ends a series of messages of the extended protocol, which is not supported. */
  record Sync() implements ClientMessage {}

  /** A valid message of a type that is not supported. */
  record Unsupported(char type) implements ClientMessage {}

  /** Bytes that are not a valid message, or too many; nothing after them can be parsed. */
  record Malformed(String reason) implements ClientMessage {}
}
