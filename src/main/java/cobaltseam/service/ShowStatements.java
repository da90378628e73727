package cobaltseam.service;

import cobaltseam.postgres.ServerMessageWriter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** Answers {@code SHOW cobaltseam.NAME} statements from registered tables. */
final class ShowStatements {
  private static final String PREFIX = "show cobaltseam.";
  private static final int MAX_LENGTH_BYTES = 64;

  private final Map<String, Supplier<List<String[]>>> tables = new HashMap<>();

  /** Registers the rows that {@code SHOW cobaltseam.NAME} returns, each a name and a value. */
  void register(String name, Supplier<List<String[]>> rows) {
    tables.put(name, rows);
  }

  /** Returns the reply to a SHOW of a registered table, or null for any other statement. */
  ServerMessageWriter replyTo(byte[] text) {
    Supplier<List<String[]>> rows = tables.get(tableName(text));
    if (rows == null) {
      return null;
    }
    ServerMessageWriter replies =
        new ServerMessageWriter().rowDescription(List.of("name", "value"));
    for (String[] nameAndValue : rows.get()) {
      byte[] row = (nameAndValue[0] + '\t' + nameAndValue[1]).getBytes(StandardCharsets.UTF_8);
      replies.dataRow(row, 0, row.length);
    }
    return replies.commandComplete("SHOW");
  }

  /** Returns the lower-case name after the prefix, or an empty string if there is none. */
  private static String tableName(byte[] text) {
    if (text.length > MAX_LENGTH_BYTES) {
      return "";
    }
    String normalizedText =
        new String(text, StandardCharsets.UTF_8).strip().toLowerCase(Locale.ROOT);
    return normalizedText.startsWith(PREFIX)
        ? normalizedText.substring(PREFIX.length()).replaceAll(";$", "").strip()
        : "";
  }
}
