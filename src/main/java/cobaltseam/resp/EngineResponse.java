package cobaltseam.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One response of an engine.
 *
 * @param id the id of the attempt that it answers
 * @param code its status code or kind, such as {@link #OK} or {@link #CHUNK}
 * @param fields its fields by name
 * @param body its body, unchanged
 */
public record EngineResponse(String id, String code, Map<String, String> fields, byte[] body) {
  /** The attempt has completed; the body is the first page of its result. */
  public static final String OK = "200";

  /** The engine has no capacity for the attempt. */
  public static final String CAPACITY_EXCEEDED = "503";

  /** The attempt has failed. */
  public static final String ERROR = "500";

  /** The time to live of the attempt was over before it ran. */
  public static final String DEADLINE_EXCEEDED = "504";

  /** A progress report of a running attempt. */
  public static final String STATUS = "status";

  /** A further page of a result. */
  public static final String CHUNK = "chunk";

  /** The response to a health check of the connection. */
  public static final String ALIVE = "alive";

  private static final int ITEM_COUNT = 4;

  /** Parses a RESP array; null if it is not a response. */
  public static EngineResponse parse(List<byte[]> items) {
    if (items.size() != ITEM_COUNT) {
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

  /** A field as an integer of up to nine digits, or -1 if it is absent or something else. */
  public int integerField(String name) {
    String value = fields.getOrDefault(name, "");
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : -1;
  }

  /** A field as a finite number that is not negative, or -1 if it is absent or something else. */
  public double numberField(String name) {
    return numberField(fields, name);
  }

  /** One value of the load report, or -1 if it is absent or not a number. */
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

  private static double numberField(Map<String, String> from, String name) {
    try {
      double value = Double.parseDouble(from.getOrDefault(name, "-1"));
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static String text(byte[] item) {
    return new String(item, StandardCharsets.UTF_8);
  }
}
