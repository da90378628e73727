package cobaltseam.postgres;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Scans a statement for the fields in its leading comment and for the data set that it uses. The
 * statement that is forwarded to an engine is the received one without that comment, otherwise
 * unchanged.
 */
public final class StatementScanner {
  /** Thrown if a statement is invalid; the message is the reason, and is sent to the client. */
  public static final class InvalidStatementException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidStatementException(String reason) {
      super(reason, null, false, false);
    }
  }

  /** The combined length of the opening and the closing mark of a comment. */
  private static final int COMMENT_MARKS_LENGTH = 4;

  /** The maximum length of an idempotency key. */
  private static final int MAX_IDEMPOTENCY_KEY_CHARS = 128;

  private StatementScanner() {}

  /** Returns whether a text consists only of white space and semicolons. */
  public static boolean isEmpty(byte[] text) {
    for (byte b : text) {
      if (!SqlCursor.isSpace(b) && b != ';') {
        return false;
      }
    }
    return true;
  }

  /**
   * Scans a statement.
   *
   * @throws InvalidStatementException if there is no leading comment with valid fields, or no
   *     statement after it
   */
  public static Statement scan(byte[] text) throws InvalidStatementException {
    SqlCursor cursor = new SqlCursor(text);
    int start = 0;
    Map<String, String> fields = Map.of();
    while (!fields.containsKey("op")) {
      cursor.skipSpace();
      start = cursor.position();
      if (cursor.isAt("--")) {
        cursor.skipLine();
      } else if (cursor.isAt("/*") && cursor.skipComment()) {
        int length = cursor.position() - start - COMMENT_MARKS_LENGTH;
        fields = parseFields(new String(text, start + 2, length, StandardCharsets.UTF_8));
      } else {
        throw new InvalidStatementException("no comment with fields ahead of the statement");
      }
    }
    cursor.skipSpace();
    byte[] forwarded = withoutRange(text, start, cursor.position());
    if (isEmpty(forwarded)) {
      throw new InvalidStatementException("no statement behind the comment");
    }
    String call = requireField(fields, "call");
    if (!call.matches("[0-9a-fA-F]{16}")) {
      throw new InvalidStatementException("'call' is not 16 hex digits");
    }
    double timeToLiveMs = parseNumber(fields, "ttl", requireField(fields, "ttl"));
    return new Statement(
        requireField(fields, "op"),
        call,
        (long) timeToLiveMs,
        fields.get("org"),
        parseNumber(fields, "work", "0"),
        parseNumber(fields, "space", "0"),
        DataSetFinder.find(cursor),
        idempotencyKey(fields),
        forwarded);
  }

  /** Returns a text without the bytes from start to end, exclusive. */
  private static byte[] withoutRange(byte[] text, int start, int end) {
    byte[] rest = Arrays.copyOf(text, start + text.length - end);
    System.arraycopy(text, end, rest, start, text.length - end);
    return rest;
  }

  private static Map<String, String> parseFields(String comment) {
    Map<String, String> fields = new HashMap<>();
    for (String field : comment.split(",")) {
      int separator = field.indexOf('=');
      if (separator > 0) {
        fields.put(field.substring(0, separator).strip(), field.substring(separator + 1).strip());
      }
    }
    return fields;
  }

  private static String requireField(Map<String, String> fields, String name)
      throws InvalidStatementException {
    String value = fields.get(name);
    if (value == null || value.isEmpty()) {
      throw new InvalidStatementException("'" + name + "' is missing");
    }
    return value;
  }

  /**
   * Returns the idempotency key, or null. It is forwarded unchanged in a list of fields, so it must
   * not contain characters that end a field or a line there.
   */
  private static String idempotencyKey(Map<String, String> fields)
      throws InvalidStatementException {
    String key = fields.get("dedupe");
    if (key != null && !key.matches("[!-~&&[^,=]]{1," + MAX_IDEMPOTENCY_KEY_CHARS + "}")) {
      throw new InvalidStatementException(
          "'dedupe' is not 1 to "
              + MAX_IDEMPOTENCY_KEY_CHARS
              + " printable characters without comma, equals sign and space");
    }
    return key;
  }

  private static double parseNumber(Map<String, String> fields, String name, String defaultValue)
      throws InvalidStatementException {
    String value = fields.getOrDefault(name, defaultValue);
    if (value.matches("[0-9]{1,12}([.][0-9]{0,12})?")) {
      return Double.parseDouble(value);
    }
    throw new InvalidStatementException("'" + name + "' is not a number");
  }
}
