package cobaltseam.deployment;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One JSON object of the wire, asked for its fields by name and type. */
public final class JsonObjectReader {
  private final String where;
  private final Map<String, Object> values;

  private JsonObjectReader(String where, Map<String, Object> values) {
    this.where = where;
    this.values = values;
  }

  /** Reads a whole line, which must hold one object. */
  public static JsonObjectReader of(JsonParser line) throws IOException {
    if (line.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidInputException("a line is not a JSON object");
    }
    JsonObjectReader read = new JsonObjectReader("batch", object(line));
    if (line.nextToken() != null) {
      throw new InvalidInputException("a line holds more than one JSON value");
    }
    return read;
  }

  private static Map<String, Object> object(JsonParser in) throws IOException {
    Map<String, Object> values = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      values.put(name, value(in));
    }
    return values;
  }

  private static Object value(JsonParser in) throws IOException {
    switch (in.currentToken()) {
      case START_OBJECT:
        return object(in);
      case START_ARRAY:
        List<Object> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          items.add(value(in));
        }
        return items;
      case VALUE_STRING:
        return in.getText();
      case VALUE_NUMBER_INT:
        // The whole range of a token or seed, 64 bits, kept as they are.
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) in.getBigIntegerValue()
            : (Object) in.getLongValue();
      case VALUE_NUMBER_FLOAT:
        return in.getDoubleValue();
      case VALUE_TRUE:
        return Boolean.TRUE;
      case VALUE_FALSE:
        return Boolean.FALSE;
      default:
        return null;
    }
  }

  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** The name of a message's one field. */
  public String onlyName() {
    if (values.size() != 1) {
      throw new InvalidInputException(
          where + ": a message must have one name, not " + values.keySet());
    }
    return values.keySet().iterator().next();
  }

  private Object required(String name) {
    Object value = values.get(name);
    if (value == null) {
      throw new InvalidInputException(where + ": '" + name + "' is missing");
    }
    return value;
  }

  private <T> T as(Class<T> type, String name, String what) {
    Object value = required(name);
    if (!type.isInstance(value)) {
      throw new InvalidInputException(where + ": '" + name + "' is not " + what);
    }
    return type.cast(value);
  }

  public String text(String name) {
    return as(String.class, name, "text");
  }

  public String text(String name, String absent) {
    return has(name) ? String.valueOf(values.get(name)) : absent;
  }

  public long whole(String name) {
    return as(Number.class, name, "a number").longValue();
  }

  public long whole(String name, long absent) {
    return has(name) ? whole(name) : absent;
  }

  public double number(String name) {
    return as(Number.class, name, "a number").doubleValue();
  }

  public double number(String name, double absent) {
    return has(name) ? number(name) : absent;
  }

  public boolean flag(String name) {
    return has(name) && as(Boolean.class, name, "true or false");
  }

  public JsonObjectReader object(String name) {
    Map<String, Object> read = new LinkedHashMap<>();
    Map<?, ?> object = as(Map.class, name, "an object");
    object.forEach((k, v) -> read.put((String) k, v));
    return new JsonObjectReader(name, read);
  }

  public List<JsonObjectReader> objects(String name) {
    List<JsonObjectReader> read = new ArrayList<>();
    for (Object item : as(List.class, name, "an array")) {
      if (!(item instanceof Map<?, ?> map)) {
        throw new InvalidInputException(
            where + ": '" + name + "' holds something that is not an object");
      }
      Map<String, Object> fields = new LinkedHashMap<>();
      map.forEach((k, v) -> fields.put((String) k, v));
      read.add(new JsonObjectReader(name, fields));
    }
    return read;
  }

  public List<String> texts(String name) {
    List<String> read = new ArrayList<>();
    for (Object item : as(List.class, name, "an array")) {
      read.add(String.valueOf(item));
    }
    return read;
  }

  /** The numbers of an array; none where it is absent. */
  public List<Double> numbers(String name) {
    List<Double> read = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Number n)) {
          throw new InvalidInputException(
              where + ": '" + name + "' holds something that is not a number");
        }
        read.add(n.doubleValue());
      }
    }
    return read;
  }

  public List<Boolean> flags(String name) {
    List<Boolean> read = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Boolean b)) {
          throw new InvalidInputException(
              where + ": '" + name + "' holds something that is not true or false");
        }
        read.add(b);
      }
    }
    return read;
  }
}
