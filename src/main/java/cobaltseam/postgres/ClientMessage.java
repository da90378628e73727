package cobaltseam.postgres;

/** One message of a client, as far as the service needs it. */
public sealed interface ClientMessage {
  /** Start-up with protocol 3.0. */
  record Startup() implements ClientMessage {}

  /** SSLRequest or GSSENCRequest: asks for a reply of one byte before the start-up. */
  record EncryptionRequest() implements ClientMessage {}

  /** CancelRequest: names the session whose command is no longer wanted. */
  record Cancel(int session, int secret) implements ClientMessage {}

  /** A simple query: its statement, without the zero behind it. */
  record Query(byte[] text) implements ClientMessage {}

  record Terminate() implements ClientMessage {}

  /** Ends a row of messages of the extended protocol, which is not spoken here. */
  record Sync() implements ClientMessage {}

  /** A well-formed message that is not spoken here. */
  record Unspoken(char type) implements ClientMessage {}

  /**
   * What came is no PostgreSQL protocol, or is longer than allowed; nothing after it can be read.
   */
  record Malformed(String reason) implements ClientMessage {}
}
