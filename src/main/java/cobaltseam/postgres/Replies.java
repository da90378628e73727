package cobaltseam.postgres;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes the messages of PostgreSQL's protocol 3.0 that a server sends. */
public final class Replies {
  /** The state that must not be told as a refusal: nothing is said of what ran. */
  public static final String FAILED = "58000";

  /** The refusal after which trying again is harmless. */
  public static final String SHED = "53300";

  /** The server can't take it now: as class 53, trying again is harmless. */
  public static final String STANDS_BY = "57P03";

  public static final String BAD_STATEMENT = "42601";
  public static final String NOT_SPOKEN = "0A000";
  public static final String BAD_PROTOCOL = "08P01";
  private static final int TEXT_TYPE_OID = 25;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

  public byte[] bytes() {
    return out.toByteArray();
  }

  /** What a started session is told before its first statement. */
  public Replies welcome(int session, int secret) {
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
    return ready();
  }

  public Replies ready() {
    return write('Z', new byte[] {'I'});
  }

  public Replies emptyStatement() {
    return write('I', new byte[0]);
  }

  public Replies error(String severity, String sqlState, String text) {
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

  public Replies complete(String tag) {
    return write('C', (tag + '\0').getBytes(StandardCharsets.UTF_8));
  }

  /** Names the columns, all of them text. */
  public Replies columns(List<String> names) {
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

  /** One row, from text with a tab between its columns. */
  public Replies row(byte[] text, int from, int to) {
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

  private Replies write(char type, byte[] body) {
    writeHeader(type, body.length);
    out.writeBytes(body);
    return this;
  }

  private void writeHeader(char type, int bodyLength) {
    out.write(type);
    out.writeBytes(ByteBuffer.allocate(4).putInt(bodyLength + 4).array());
  }
}
