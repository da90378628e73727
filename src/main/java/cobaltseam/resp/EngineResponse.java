package cobaltseam.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One response from an engine.
 *
 * @param id the id of the attempt that the response belongs to
 * @param code the status code or the kind of the response, such as {@link #OK} or {@link #CHUNK}
 * @param fields the fields by name
 * @param body the body as received
 */
public record EngineResponse(String id, String code, Map<String, String> fields, byte[] body) {
  /** The attempt has completed; the body is the first page of its result. */
  public static final String OK = "200";

  /** The engine has no capacity for the attempt. */
  public static final String CAPACITY_EXCEEDED = "503";

  /** The attempt has failed. */
  public static final String ERROR = "500";

  /** The time to live of the attempt ended before the engine started it. */
  public static final String DEADLINE_EXCEEDED = "504";

  /** A progress report of a running attempt. */
  public static final String STATUS = "status";

  /** A further page of a result. */
  public static final String CHUNK = "chunk";

  /** The response to a health check of the connection. */
  public static final String ALIVE = "alive";

  /** The number of items of a response: id, code, fields and body. */
  private static final int ITEM_COUNT = 4;

  /**
   * The maximum length of the fields of a response, which hold a few short values each; longer ones
   * would take much time to parse.
   */
  private static final int MAX_FIELDS_BYTES = 4096;

  /** Parses the items of a RESP array; returns null if they are not a response. */
  public static EngineResponse parse(List<byte[]> items) {
    if (items.size() != ITEM_COUNT || items.get(2).length > MAX_FIELDS_BYTES) {
      return null;
    }
    Map<String, String> fields = new HashMap<>();
    for (String field : text(items.get(2)).split(",")) {
      int separator = field.indexOf('=');
      if (separator > 0) {
        fields.put(field.substring(0, separator), field.substring(separator + 1));
      }
    }
    return new EngineResponse(text(items.get(0)), text(items.get(1)), fields, items.get(3));
  }

  /** Returns a field that is an integer of up to nine digits, or -1 if it is absent or not one. */
  public int integerField(String name) {
    String value = fields.getOrDefault(name, "");
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : -1;
  }

  /** Returns a field that is a finite number of at least 0, or -1 if it is absent or not one. */
  public double numberField(String name) {
    return numberField(fields, name);
  }

  /**
   * Returns a value of the load report that is a finite number of at least 0, or -1 if it is absent
   * or not one.
   */
  public double loadReportValue(String name) {
    Map<String, String> report = new HashMap<>();
    for (String value : fields.getOrDefault("rep", "").split(";")) {
      int separator = value.indexOf(':');
      if (separator > 0) {
        report.put(value.substring(0, separator), value.substring(separator + 1));
      }
    }
    return numberField(report, name);
  }

  private static double numberField(Map<String, String> values, String name) {
    try {
      double value = Double.parseDouble(values.getOrDefault(name, "-1"));
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static String text(byte[] item) {
    return new String(item, StandardCharsets.UTF_8);
  }
}
