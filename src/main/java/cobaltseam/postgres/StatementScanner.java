package cobaltseam.postgres;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Reads a statement's leading comment and the schema that it names; what it passes on stays as it
 * came.
 */
public final class StatementScanner {
  /** A statement that can't be used, and why. */
  public static final class Unusable extends Exception {
    private static final long serialVersionUID = 1;

    Unusable(String why) {
      super(why, null, false, false);
    }
  }

  private static final Set<String> KEYWORDS_BEFORE_TABLE =
      Set.of("from", "join", "into", "update", "table", "only", "using");
  private static final Set<String> KEYWORDS_AFTER_TABLES =
      Set.of(
          "where",
          "group",
          "order",
          "set",
          "on",
          "select",
          "values",
          "having",
          "limit",
          "union",
          "returning");
  private static final Set<String> KEYWORDS_BEFORE_TABLE_NAME =
      Set.of("as", "lateral", "if", "not", "exists");
  private static final Set<String> IGNORED_SCHEMAS = Set.of("staging");
  private static final int NO_DATA_SET = -1;

  /** Characters of an idempotency key. */
  private static final int MAX_IDEMPOTENCY_KEY_CHARS = 128;

  private final byte[] text;
  private int position;

  private StatementScanner(byte[] text) {
    this.text = text;
  }

  /** Whether nothing but white space and semicolons is there. */
  public static boolean isEmpty(byte[] text) {
    for (byte b : text) {
      if (!isSpace(b) && b != ';') {
        return false;
      }
    }
    return true;
  }

  public static Statement scan(byte[] text) throws Unusable {
    return new StatementScanner(text).parse();
  }

  private Statement parse() throws Unusable {
    int start = 0;
    Map<String, String> fields = Map.of();
    while (!fields.containsKey("op")) {
      skipSpace();
      start = position;
      if (isAt("--")) {
        skipLine();
      } else if (isAt("/*") && skipComment()) {
        fields =
            parseFields(new String(text, start + 2, position - start - 4, StandardCharsets.UTF_8));
      } else {
        throw new Unusable("no comment with fields ahead of the statement");
      }
    }
    skipSpace();
    byte[] forwarded = Arrays.copyOf(text, start + text.length - position);
    System.arraycopy(text, position, forwarded, start, text.length - position);
    if (isEmpty(forwarded)) {
      throw new Unusable("no statement behind the comment");
    }
    String call = requireField(fields, "call");
    if (!call.matches("[0-9a-fA-F]{16}")) {
      throw new Unusable("'call' is not 16 hex digits");
    }
    double timeToLiveMs = parseNumber(fields, "ttl", requireField(fields, "ttl"));
    return new Statement(
        requireField(fields, "op"),
        call,
        (long) timeToLiveMs,
        fields.get("org"),
        parseNumber(fields, "work", "0"),
        parseNumber(fields, "space", "0"),
        findDataSet(),
        idempotencyKey(fields),
        forwarded);
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

  private static String requireField(Map<String, String> fields, String name) throws Unusable {
    String value = fields.get(name);
    if (value == null || value.isEmpty()) {
      throw new Unusable("'" + name + "' is missing");
    }
    return value;
  }

  /**
   * Passed on as it came, in a list of fields; so it may hold nothing that would end a field or a
   * line there.
   */
  private static String idempotencyKey(Map<String, String> fields) throws Unusable {
    String key = fields.get("dedupe");
    if (key != null && !key.matches("[!-~&&[^,=]]{1," + MAX_IDEMPOTENCY_KEY_CHARS + "}")) {
      throw new Unusable(
          "'dedupe' is not 1 to "
              + MAX_IDEMPOTENCY_KEY_CHARS
              + " printable characters without comma, equals sign and space");
    }
    return key;
  }

  private static double parseNumber(Map<String, String> fields, String name, String absent)
      throws Unusable {
    String value = fields.getOrDefault(name, absent);
    if (value.matches("[0-9]{1,12}([.][0-9]{0,12})?")) {
      return Double.parseDouble(value);
    }
    throw new Unusable("'" + name + "' is not a number");
  }

  /**
   * The number in the first schema that is read or written, or -1. A name counts where a table may
   * stand: behind FROM, JOIN and their like, and behind a comma there.
   */
  private long findDataSet() {
    boolean expected = false;
    boolean inList = false;
    int depth = 0;
    int listDepth = 0;
    while (position < text.length) {
      skipSpace();
      if (position >= text.length) {
        break;
      }
      byte next = text[position];
      if (isAt("/*")) {
        skipComment();
      } else if (isAt("--")) {
        skipLine();
      } else if (next == '\'') {
        skipString(false);
        expected = false;
      } else if (next == '$' && skipDollarQuotedString()) {
        expected = false;
      } else if (next == '"' || isNameStart(next)) {
        boolean quoted = next == '"';
        String name = readName();
        if (!quoted && name.length() == 1 && position < text.length && text[position] == '\'') {
          skipString(name.equals("e"));
          expected = false;
        } else if (!quoted && KEYWORDS_BEFORE_TABLE.contains(name)) {
          expected = true;
          inList = true;
          listDepth = depth;
        } else if (expected && (quoted || !KEYWORDS_BEFORE_TABLE_NAME.contains(name))) {
          long dataSet = readDataSet(name);
          if (dataSet != NO_DATA_SET) {
            return dataSet;
          }
          expected = false;
        } else if (!quoted && KEYWORDS_AFTER_TABLES.contains(name)) {
          inList = false;
          expected = false;
        }
      } else {
        position++;
        if (next == '(') {
          depth++;
        } else if (next == ')') {
          depth--;
        } else if (next == ',' && inList && depth == listDepth) {
          expected = true;
        } else if (next != ',') {
          expected = false;
        }
      }
    }
    return NO_DATA_SET;
  }

  /** The number of the schema of a name with dots, whose first part was read. */
  private long readDataSet(String first) {
    String schema = null;
    String last = first;
    while (true) {
      int afterName = position;
      skipSpaceAndComments();
      if (position >= text.length || text[position] != '.') {
        position = afterName;
        break;
      }
      position++;
      skipSpaceAndComments();
      if (position >= text.length || text[position] != '"' && !isNameStart(text[position])) {
        return NO_DATA_SET;
      }
      schema = last;
      last = readName();
    }
    int underscore =
        schema == null || IGNORED_SCHEMAS.contains(schema) ? -1 : schema.lastIndexOf('_');
    String number = underscore < 0 ? "" : schema.substring(underscore + 1);
    return number.matches("[0-9]{1,18}") ? Long.parseLong(number) : NO_DATA_SET;
  }

  private void skipSpaceAndComments() {
    while (true) {
      skipSpace();
      if (isAt("/*")) {
        skipComment();
      } else if (isAt("--")) {
        skipLine();
      } else {
        return;
      }
    }
  }

  /** A name at this place: a plain one in lower case, a quoted one as it is. */
  private String readName() {
    int start = position;
    if (text[position] != '"') {
      while (position < text.length && isNamePart(text[position])) {
        position++;
      }
      return new String(text, start, position - start, StandardCharsets.UTF_8)
          .toLowerCase(Locale.ROOT);
    }
    position++;
    while (position < text.length && (text[position] != '"' || isAt("\"\""))) {
      position += text[position] == '"' ? 2 : 1;
    }
    String name =
        new String(
            text, start + 1, Math.min(position, text.length) - start - 1, StandardCharsets.UTF_8);
    position++;
    return name.replace("\"\"", "\"");
  }

  private void skipString(boolean backslashes) {
    position++;
    while (position < text.length) {
      if (backslashes && text[position] == '\\' || isAt("''")) {
        position += 2;
      } else if (text[position++] == '\'') {
        return;
      }
    }
    position = text.length;
  }

  /** Skips a string in dollar quotes, if one starts here. */
  private boolean skipDollarQuotedString() {
    int tagEnd = position + 1;
    while (tagEnd < text.length && isNamePart(text[tagEnd]) && text[tagEnd] != '$') {
      tagEnd++;
    }
    boolean digit = position + 1 < tagEnd && text[position + 1] >= '0' && text[position + 1] <= '9';
    if (tagEnd >= text.length || text[tagEnd] != '$' || digit) {
      return false;
    }
    String quote = new String(text, position, tagEnd + 1 - position, StandardCharsets.ISO_8859_1);
    position = tagEnd + 1;
    while (position < text.length && !isAt(quote)) {
      position++;
    }
    position = Math.min(text.length, position + quote.length());
    return true;
  }

  /** Skips a comment, which may hold others; false if it has no end. */
  private boolean skipComment() {
    int depth = 0;
    while (position < text.length) {
      if (isAt("/*")) {
        depth++;
        position += 2;
      } else if (isAt("*/")) {
        depth--;
        position += 2;
        if (depth == 0) {
          return true;
        }
      } else {
        position++;
      }
    }
    return false;
  }

  private void skipLine() {
    while (position < text.length && text[position] != '\n') {
      position++;
    }
  }

  private void skipSpace() {
    while (position < text.length && isSpace(text[position])) {
      position++;
    }
  }

  private boolean isAt(String expected) {
    if (text.length - position < expected.length()) {
      return false;
    }
    for (int i = 0; i < expected.length(); i++) {
      if ((text[position + i] & 0xff) != expected.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isSpace(byte character) {
    return character == ' ' || character >= '\t' && character <= '\r';
  }

  private static boolean isNameStart(byte character) {
    return character >= 'a' && character <= 'z'
        || character >= 'A' && character <= 'Z'
        || character == '_'
        || character < 0;
  }

  private static boolean isNamePart(byte character) {
    return isNameStart(character) || character >= '0' && character <= '9' || character == '$';
  }
}
