package cobaltseam.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One answer of an engine: the id that it is for, its word, its fields, and its body as it came.
 */
public record EngineAnswer(String id, String word, Map<String, String> fields, byte[] body) {
  public static final String OK = "200";
  public static final String FULL = "503";
  public static final String ERROR = "500";
  public static final String OVER = "504";
  public static final String STATUS = "status";
  public static final String CHUNK = "chunk";
  public static final String ALIVE = "alive";
  private static final int ITEM_COUNT = 4;

  /** Reads an array of the wire, or null if it is no answer. */
  public static EngineAnswer of(List<byte[]> items) {
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
    return new EngineAnswer(text(items.get(0)), text(items.get(1)), fields, items.get(3));
  }

  /** A whole number that is not negative, or -1 where it is absent or something else. */
  public int whole(String name) {
    String value = fields.getOrDefault(name, "");
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : -1;
  }

  /** A number that is not negative, or -1. */
  public double number(String name) {
    return number(fields, name);
  }

  /** One value of the load report, or -1 where it is not told. */
  public double reported(String name) {
    Map<String, String> report = new HashMap<>();
    for (String value : fields.getOrDefault("rep", "").split(";")) {
      int separator = value.indexOf(':');
      if (separator > 0) {
        report.put(value.substring(0, separator), value.substring(separator + 1));
      }
    }
    return number(report, name);
  }

  private static double number(Map<String, String> from, String name) {
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
