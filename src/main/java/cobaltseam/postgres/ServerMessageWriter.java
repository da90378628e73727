package cobaltseam.postgres;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes the messages of a server in PostgreSQL's protocol 3.0, one after the other. */
public final class ServerMessageWriter {
  /** SQLSTATE of a failed request, whose effect is unknown: a retry may not be harmless. */
  public static final String SQLSTATE_FAILED = "58000";

  /** SQLSTATE of a request that was shed: a retry is harmless. */
  public static final String SQLSTATE_SHED = "53300";

  /** SQLSTATE of a request that is rejected by a backup or at shutdown: a retry is harmless. */
  public static final String SQLSTATE_CANNOT_CONNECT_NOW = "57P03";

  /** SQLSTATE of a statement that can't be used. */
  public static final String SQLSTATE_SYNTAX_ERROR = "42601";

  /** SQLSTATE of a message that is not supported. */
  public static final String SQLSTATE_FEATURE_NOT_SUPPORTED = "0A000";

  /** SQLSTATE of a protocol violation. */
  public static final String SQLSTATE_PROTOCOL_VIOLATION = "08P01";

  private static final int TEXT_TYPE_OID = 25;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

  /** The encoded messages. */
  public byte[] toByteArray() {
    return out.toByteArray();
  }

  /** AuthenticationOk, ParameterStatus, BackendKeyData and ReadyForQuery after a start-up. */
  public ServerMessageWriter startupResponse(int session, int secret) {
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
    write('K', ByteBuffer.allocate(8).putInt(session).putInt(secret).array());
    return readyForQuery();
  }

  /** ReadyForQuery. */
  public ServerMessageWriter readyForQuery() {
    return write('Z', new byte[] {'I'});
  }

  /** EmptyQueryResponse. */
  public ServerMessageWriter emptyQueryResponse() {
    return write('I', new byte[0]);
  }

  /** ErrorResponse with a severity such as ERROR or FATAL and an SQLSTATE. */
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

  /** CommandComplete with a tag such as SELECT 1. */
  public ServerMessageWriter commandComplete(String tag) {
    return write('C', (tag + '\0').getBytes(StandardCharsets.UTF_8));
  }

  /** RowDescription of text columns. */
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

  /** DataRow, from text with a tab between its columns, from an offset to another, exclusive. */
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
