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

  private static final Set<String> BEFORE_TABLE =
      Set.of("from", "join", "into", "update", "table", "only", "using");
  private static final Set<String> AFTER_TABLES =
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
  private static final Set<String> IN_NAME = Set.of("as", "lateral", "if", "not", "exists");
  private static final Set<String> NOT_COUNTED = Set.of("staging");
  private static final int NONE = -1;

  /** Characters of an idempotency key. */
  private static final int LONGEST_KEY = 128;

  private final byte[] text;
  private int at;

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
    return new StatementScanner(text).statement();
  }

  private Statement statement() throws Unusable {
    int from = 0;
    Map<String, String> fields = Map.of();
    while (!fields.containsKey("op")) {
      skipSpace();
      from = at;
      if (isAt("--")) {
        skipLine();
      } else if (isAt("/*") && skipComment()) {
        fields = fields(new String(text, from + 2, at - from - 4, StandardCharsets.UTF_8));
      } else {
        throw new Unusable("no comment with fields ahead of the statement");
      }
    }
    skipSpace();
    byte[] passed = Arrays.copyOf(text, from + text.length - at);
    System.arraycopy(text, at, passed, from, text.length - at);
    if (isEmpty(passed)) {
      throw new Unusable("no statement behind the comment");
    }
    String call = required(fields, "call");
    if (!call.matches("[0-9a-fA-F]{16}")) {
      throw new Unusable("'call' is not 16 hex digits");
    }
    double ttl = number(fields, "ttl", required(fields, "ttl"));
    return new Statement(
        required(fields, "op"),
        call,
        (long) ttl,
        fields.get("org"),
        number(fields, "work", "0"),
        number(fields, "space", "0"),
        dataSet(),
        idempotencyKey(fields),
        passed);
  }

  private static Map<String, String> fields(String comment) {
    Map<String, String> fields = new HashMap<>();
    for (String field : comment.split(",")) {
      int is = field.indexOf('=');
      if (is > 0) {
        fields.put(field.substring(0, is).strip(), field.substring(is + 1).strip());
      }
    }
    return fields;
  }

  private static String required(Map<String, String> fields, String name) throws Unusable {
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
    if (key != null && !key.matches("[!-~&&[^,=]]{1," + LONGEST_KEY + "}")) {
      throw new Unusable(
          "'dedupe' is not 1 to "
              + LONGEST_KEY
              + " printable characters without comma, equals sign and space");
    }
    return key;
  }

  private static double number(Map<String, String> fields, String name, String absent)
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
  private long dataSet() {
    boolean expected = false;
    boolean inList = false;
    int depth = 0;
    int listDepth = 0;
    while (at < text.length) {
      skipSpace();
      if (at >= text.length) {
        break;
      }
      byte b = text[at];
      if (isAt("/*")) {
        skipComment();
      } else if (isAt("--")) {
        skipLine();
      } else if (b == '\'') {
        skipString(false);
        expected = false;
      } else if (b == '$' && skipDollar()) {
        expected = false;
      } else if (b == '"' || isNameStart(b)) {
        boolean quoted = b == '"';
        String name = name();
        if (!quoted && name.length() == 1 && at < text.length && text[at] == '\'') {
          skipString(name.equals("e"));
          expected = false;
        } else if (!quoted && BEFORE_TABLE.contains(name)) {
          expected = true;
          inList = true;
          listDepth = depth;
        } else if (expected && (quoted || !IN_NAME.contains(name))) {
          long set = schema(name);
          if (set != NONE) {
            return set;
          }
          expected = false;
        } else if (!quoted && AFTER_TABLES.contains(name)) {
          inList = false;
          expected = false;
        }
      } else {
        at++;
        if (b == '(') {
          depth++;
        } else if (b == ')') {
          depth--;
        } else if (b == ',' && inList && depth == listDepth) {
          expected = true;
        } else if (b != ',') {
          expected = false;
        }
      }
    }
    return NONE;
  }

  /** The number of the schema of a name with dots, whose first part was read. */
  private long schema(String first) {
    String before = null;
    String last = first;
    while (true) {
      int back = at;
      skipBlank();
      if (at >= text.length || text[at] != '.') {
        at = back;
        break;
      }
      at++;
      skipBlank();
      if (at >= text.length || text[at] != '"' && !isNameStart(text[at])) {
        return NONE;
      }
      before = last;
      last = name();
    }
    int under = before == null || NOT_COUNTED.contains(before) ? -1 : before.lastIndexOf('_');
    String number = under < 0 ? "" : before.substring(under + 1);
    return number.matches("[0-9]{1,18}") ? Long.parseLong(number) : NONE;
  }

  private void skipBlank() {
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
  private String name() {
    int from = at;
    if (text[at] != '"') {
      while (at < text.length && isNamePart(text[at])) {
        at++;
      }
      return new String(text, from, at - from, StandardCharsets.UTF_8).toLowerCase(Locale.ROOT);
    }
    at++;
    while (at < text.length && (text[at] != '"' || isAt("\"\""))) {
      at += text[at] == '"' ? 2 : 1;
    }
    String name =
        new String(text, from + 1, Math.min(at, text.length) - from - 1, StandardCharsets.UTF_8);
    at++;
    return name.replace("\"\"", "\"");
  }

  private void skipString(boolean backslashes) {
    at++;
    while (at < text.length) {
      if (backslashes && text[at] == '\\' || isAt("''")) {
        at += 2;
      } else if (text[at++] == '\'') {
        return;
      }
    }
    at = text.length;
  }

  /** Skips a string in dollar quotes, if one starts here. */
  private boolean skipDollar() {
    int tag = at + 1;
    while (tag < text.length && isNamePart(text[tag]) && text[tag] != '$') {
      tag++;
    }
    boolean digit = at + 1 < tag && text[at + 1] >= '0' && text[at + 1] <= '9';
    if (tag >= text.length || text[tag] != '$' || digit) {
      return false;
    }
    String quote = new String(text, at, tag + 1 - at, StandardCharsets.ISO_8859_1);
    at = tag + 1;
    while (at < text.length && !isAt(quote)) {
      at++;
    }
    at = Math.min(text.length, at + quote.length());
    return true;
  }

  /** Skips a comment, which may hold others; false if it has no end. */
  private boolean skipComment() {
    int depth = 0;
    while (at < text.length) {
      if (isAt("/*")) {
        depth++;
        at += 2;
      } else if (isAt("*/")) {
        depth--;
        at += 2;
        if (depth == 0) {
          return true;
        }
      } else {
        at++;
      }
    }
    return false;
  }

  private void skipLine() {
    while (at < text.length && text[at] != '\n') {
      at++;
    }
  }

  private void skipSpace() {
    while (at < text.length && isSpace(text[at])) {
      at++;
    }
  }

  private boolean isAt(String word) {
    if (text.length - at < word.length()) {
      return false;
    }
    for (int i = 0; i < word.length(); i++) {
      if ((text[at + i] & 0xff) != word.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isSpace(byte b) {
    return b == ' ' || b >= '\t' && b <= '\r';
  }

  private static boolean isNameStart(byte b) {
    return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b < 0;
  }

  private static boolean isNamePart(byte b) {
    return isNameStart(b) || b >= '0' && b <= '9' || b == '$';
  }
}
