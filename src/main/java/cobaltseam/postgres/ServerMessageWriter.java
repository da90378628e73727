package cobaltseam.postgres;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes messages of a server in PostgreSQL's protocol 3.0. Each method appends one message, or
 * several as noted, and returns this writer. Not thread-safe.
 */
public final class ServerMessageWriter {
  /**
   * SQLSTATE system_error, for a failed request: its effect is unknown, so a retry may be unsafe.
   */
  public static final String SQLSTATE_FAILED = "58000";

  /** SQLSTATE too_many_connections, for a request that was shed: a retry is safe. */
  public static final String SQLSTATE_SHED = "53300";

  /**
   * SQLSTATE cannot_connect_now, for a request that is rejected by a backup or at shutdown: a retry
   * is safe.
   */
  public static final String SQLSTATE_CANNOT_CONNECT_NOW = "57P03";

  /** SQLSTATE syntax_error, for a statement that is rejected as invalid. */
  public static final String SQLSTATE_SYNTAX_ERROR = "42601";

  /** SQLSTATE feature_not_supported, for a message of a type that is not supported. */
  public static final String SQLSTATE_FEATURE_NOT_SUPPORTED = "0A000";

  /** SQLSTATE protocol_violation. */
  public static final String SQLSTATE_PROTOCOL_VIOLATION = "08P01";

  /** The object ID of PostgreSQL's type text. */
  private static final int TEXT_TYPE_OID = 25;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

  /** Returns the encoded messages. */
  public byte[] toByteArray() {
    return out.toByteArray();
  }

  /**
   * Appends the response to a start-up: AuthenticationOk, ParameterStatus messages, BackendKeyData
   * and ReadyForQuery.
   *
   * @param sessionId the process ID in BackendKeyData, which a CancelRequest has to repeat
   * @param secretKey the secret key in BackendKeyData, which a CancelRequest has to repeat
   */
  public ServerMessageWriter startupResponse(int sessionId, int secretKey) {
    write('R', ByteBuffer.allocate(4).putInt(0).array());
    String[] parameters = {
      "server_version",
      "15.0",
      "server_encoding",
      "UTF8",
      "client_encoding",
      "UTF8",
      "DateStyle",
      "ISO, MDY",
      "integer_datetimes",
      "on",
      "standard_conforming_strings",
      "on"
    };
    for (int i = 0; i < parameters.length; i += 2) {
      write(
          'S', (parameters[i] + '\0' + parameters[i + 1] + '\0').getBytes(StandardCharsets.UTF_8));
    }
    write('K', ByteBuffer.allocate(8).putInt(sessionId).putInt(secretKey).array());
    return readyForQuery();
  }

  /** Appends ReadyForQuery with the status idle: not in a transaction. */
  public ServerMessageWriter readyForQuery() {
    return write('Z', new byte[] {'I'});
  }

  /** Appends EmptyQueryResponse. */
  public ServerMessageWriter emptyQueryResponse() {
    return write('I', new byte[0]);
  }

  /** Appends ErrorResponse with a severity such as ERROR or FATAL and an SQLSTATE. */
  public ServerMessageWriter errorResponse(String severity, String sqlState, String text) {
    String body =
        'S'
            + severity
            + "\0V"
            + severity
            + "\0C"
            + sqlState
            + "\0M"
            + text.replace('\0', ' ')
            + "\0\0";
    return write('E', body.getBytes(StandardCharsets.UTF_8));
  }

  /** Appends CommandComplete with a tag such as SELECT 1. */
  public ServerMessageWriter commandComplete(String tag) {
    return write('C', (tag + '\0').getBytes(StandardCharsets.UTF_8));
  }

  /** Appends RowDescription of columns of type text. */
  public ServerMessageWriter rowDescription(List<String> names) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes(ByteBuffer.allocate(2).putShort((short) names.size()).array());
    for (String name : names) {
      body.writeBytes((name + '\0').getBytes(StandardCharsets.UTF_8));
      body.writeBytes(
          ByteBuffer.allocate(18)
              .putInt(0)
              .putShort((short) 0)
              .putInt(TEXT_TYPE_OID)
              .putShort((short) -1)
              .putInt(-1)
              .putShort((short) 0)
              .array());
    }
    return write('T', body.toByteArray());
  }

  /**
   * Appends DataRow.
   *
   * @param text contains the row, with a tab between columns
   * @param from the offset of the row in the text
   * @param to the offset of the end of the row, exclusive
   */
  public ServerMessageWriter dataRow(byte[] text, int from, int to) {
    int columns = 1;
    for (int i = from; i < to; i++) {
      columns += text[i] == '\t' ? 1 : 0;
    }
    writeHeader('D', 2 + 4 * columns + to - from - (columns - 1));
    out.writeBytes(ByteBuffer.allocate(2).putShort((short) columns).array());
    int start = from;
    for (int i = from; i <= to; i++) {
      if (i == to || text[i] == '\t') {
        out.writeBytes(ByteBuffer.allocate(4).putInt(i - start).array());
        out.write(text, start, i - start);
        start = i + 1;
      }
    }
    return this;
  }

  private ServerMessageWriter write(char type, byte[] body) {
    writeHeader(type, body.length);
    out.writeBytes(body);
    return this;
  }

  private void writeHeader(char type, int bodyLength) {
    out.write(type);
    out.writeBytes(ByteBuffer.allocate(4).putInt(bodyLength + 4).array());
  }
}
