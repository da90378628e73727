package cobaltseam.service;

import cobaltseam.postgres.ServerMessageWriter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** Answers {@code SHOW cobaltseam.NAME} from the tables that are registered here. */
final class ShowStatements {
  private static final String PREFIX = "show cobaltseam.";
  private static final int MAX_LENGTH_BYTES = 64;

  private final Map<String, Supplier<List<String[]>>> tables = new HashMap<>();

  /** From now on {@code SHOW cobaltseam.NAME} returns these rows, each a name and a value. */
  void register(String name, Supplier<List<String[]>> rows) {
    tables.put(name, rows);
  }

  /** The reply to a statement that shows a registered table, or null for any other statement. */
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

  /** The name behind the prefix, or an empty string if the statement is no such SHOW. */
  private static String tableName(byte[] text) {
    if (text.length > MAX_LENGTH_BYTES) {
      return "";
    }
    String plain = new String(text, StandardCharsets.UTF_8).strip().toLowerCase(Locale.ROOT);
    return plain.startsWith(PREFIX)
        ? plain.substring(PREFIX.length()).replaceAll(";$", "").strip()
        : "";
  }
}
