package cobaltseam.postgres;

import java.util.Set;

/**
 * Finds the data set that an SQL text uses. Its number is the numeric suffix of the first schema
 * with such a suffix that the text reads or writes, such as 17 for {@code sales_17.orders}. Only
 * table names are considered: those after FROM, JOIN and similar keywords, and after a comma in a
 * list of tables.
 */
final class DataSetFinder {
  /** The result if the text uses no schema with a number. */
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

  /** Schemas that belong to no data set. */
  private static final Set<String> IGNORED_SCHEMAS = Set.of("staging");

  private final SqlCursor cursor;

  /** Whether the next name is the name of a table. */
  private boolean expectsTable;

  /** Whether a comma at {@link #listDepth} is followed by another table name. */
  private boolean isInTableList;

  /** The current nesting depth of parentheses. */
  private int depth;

  /** The nesting depth of the current list of tables. */
  private int listDepth;

  private DataSetFinder(SqlCursor cursor) {
    this.cursor = cursor;
  }

  /**
   * Returns the number of the data set that the text from the cursor on uses, or {@link
   * #NO_DATA_SET}.
   */
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

  /** Reads a name or keyword; returns the data set if it is a table name in one. */
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

  /**
   * Reads the rest of a qualified table name and returns the number of its schema, or {@link
   * #NO_DATA_SET}.
   *
   * @param first the first part of the name, which has been read
   */
  private long readDataSet(String first) {
    String schema = null;
    String last = first;
    while (true) {
      int afterName = cursor.position();
      cursor.skipSpaceAndComments();
      if (!cursor.isAt('.')) {
        cursor.moveTo(afterName);
        return schemaNumber(schema);
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

  /** Returns the number after the last underscore of a schema name, or {@link #NO_DATA_SET}. */
  private static long schemaNumber(String schema) {
    int underscore =
        schema == null || IGNORED_SCHEMAS.contains(schema) ? -1 : schema.lastIndexOf('_');
    String number = underscore < 0 ? "" : schema.substring(underscore + 1);
    return number.matches("[0-9]{1,18}") ? Long.parseLong(number) : NO_DATA_SET;
  }
}
