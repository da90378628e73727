package cobaltseam.postgres;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Scans a statement for the fields in its leading comment and for the data set that it uses. The
 * statement that is forwarded to an engine stays as received, without that comment.
 */
public final class StatementScanner {
  /** A statement is not valid; the message says why. */
  public static final class InvalidStatementException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidStatementException(String why) {
      super(why, null, false, false);
    }
  }

  /** The length of the marks around a comment, together. */
  private static final int COMMENT_MARKS_LENGTH = 4;

  /** The longest idempotency key. */
  private static final int MAX_IDEMPOTENCY_KEY_CHARS = 128;

  private StatementScanner() {}

  /** Whether a text has nothing but white space and semicolons. */
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
   * @throws InvalidStatementException if it has no comment with valid fields, or no statement
   *     behind it
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
   * The idempotency key, which is forwarded unchanged in a list of fields: so it must not contain
   * what ends a field or a line there.
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

  private static double parseNumber(Map<String, String> fields, String name, String absent)
      throws InvalidStatementException {
    String value = fields.getOrDefault(name, absent);
    if (value.matches("[0-9]{1,12}([.][0-9]{0,12})?")) {
      return Double.parseDouble(value);
    }
    throw new InvalidStatementException("'" + name + "' is not a number");
  }
}
