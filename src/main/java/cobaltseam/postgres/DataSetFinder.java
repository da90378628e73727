package cobaltseam.postgres;

import java.util.Set;

/**
 * Finds the data set that an SQL text uses: the number in the first schema with a number that it
 * reads or writes. Only names of tables are considered: after FROM, JOIN and the like, and after a
 * comma there.
 */
final class DataSetFinder {
  /** There is no schema with a number. */
  static final long NO_DATA_SET = -1;

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

  private final SqlCursor cursor;

  /** Whether a name that follows is that of a table. */
  private boolean expectsTable;

  /** Whether a comma at {@link #listDepth} is followed by another table. */
  private boolean isInTableList;

  /** The depth of parentheses. */
  private int depth;

  private int listDepth;

  private DataSetFinder(SqlCursor cursor) {
    this.cursor = cursor;
  }

  /** The number of the data set that the text behind the cursor uses, or {@link #NO_DATA_SET}. */
  static long find(SqlCursor cursor) {
    return new DataSetFinder(cursor).find();
  }

  private long find() {
    cursor.skipSpaceAndComments();
    while (!cursor.isAtEnd()) {
      long dataSet = NO_DATA_SET;
      if (cursor.isAt('\'')) {
        cursor.skipString(false);
        expectsTable = false;
      } else if (cursor.isAt('$') && cursor.skipDollarQuotedString()) {
        expectsTable = false;
      } else if (cursor.isAtName()) {
        dataSet = readNameOrKeyword();
      } else {
        readPunctuation();
      }
      if (dataSet != NO_DATA_SET) {
        return dataSet;
      }
      cursor.skipSpaceAndComments();
    }
    return NO_DATA_SET;
  }

  private long readNameOrKeyword() {
    boolean isQuoted = cursor.isAt('"');
    String name = cursor.readName();
    if (!isQuoted && name.length() == 1 && cursor.isAt('\'')) {
      cursor.skipString(name.equals("e"));
      expectsTable = false;
    } else if (!isQuoted && KEYWORDS_BEFORE_TABLE.contains(name)) {
      expectsTable = true;
      isInTableList = true;
      listDepth = depth;
    } else if (expectsTable && (isQuoted || !KEYWORDS_BEFORE_TABLE_NAME.contains(name))) {
      expectsTable = false;
      return readDataSet(name);
    } else if (!isQuoted && KEYWORDS_AFTER_TABLES.contains(name)) {
      isInTableList = false;
      expectsTable = false;
    }
    return NO_DATA_SET;
  }

  private void readPunctuation() {
    byte character = cursor.next();
    cursor.skip();
    if (character == '(') {
      depth++;
    } else if (character == ')') {
      depth--;
    } else if (character != ',') {
      expectsTable = false;
    } else if (isInTableList && depth == listDepth) {
      expectsTable = true;
    }
  }

  /** The number of the schema of a qualified name, whose first part was read already, or -1. */
  private long readDataSet(String first) {
    String schema = null;
    String last = first;
    while (true) {
      int afterName = cursor.position();
      cursor.skipSpaceAndComments();
      if (!cursor.isAt('.')) {
        cursor.moveTo(afterName);
        return numberOf(schema);
      }
      cursor.skip();
      cursor.skipSpaceAndComments();
      if (!cursor.isAtName()) {
        return NO_DATA_SET;
      }
      schema = last;
      last = cursor.readName();
    }
  }

  /** The number behind the last underscore of a schema, or -1. */
  private static long numberOf(String schema) {
    int underscore =
        schema == null || IGNORED_SCHEMAS.contains(schema) ? -1 : schema.lastIndexOf('_');
    String number = underscore < 0 ? "" : schema.substring(underscore + 1);
    return number.matches("[0-9]{1,18}") ? Long.parseLong(number) : NO_DATA_SET;
  }
}
