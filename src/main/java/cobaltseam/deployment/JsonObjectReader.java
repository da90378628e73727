package cobaltseam.deployment;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One JSON object, read completely; its fields are read by name and type.
 *
 * <p>Every method that reads a field throws {@link InvalidInputException} if the field is missing,
 * unless it says what is returned then, or if it has another type. A field that is null counts as
 * missing.
 */
public final class JsonObjectReader {
  private final String where;
  private final Map<String, Object> values;

  private JsonObjectReader(String where, Map<String, Object> values) {
    this.where = where;
    this.values = values;
  }

  /**
   * Reads a line, which has to hold exactly one object.
   *
   * @throws InvalidInputException if it holds anything else
   * @throws IOException if it is not JSON
   */
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
        // Unsigned numbers of 64 bits, such as tokens and seeds, keep all their bits.
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

  /** Whether the object has this field, with a value that is not null. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** The name of the only field; an object with more or fewer fields can't be used. */
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

  private <T> T as(Class<T> type, String name, String expected) {
    Object value = required(name);
    if (!type.isInstance(value)) {
      throw new InvalidInputException(where + ": '" + name + "' is not " + expected);
    }
    return type.cast(value);
  }

  /** The text in a field. */
  public String text(String name) {
    return as(String.class, name, "text");
  }

  /** The value of a field as text, or a default if the field is missing. */
  public String text(String name, String defaultValue) {
    return has(name) ? String.valueOf(values.get(name)) : defaultValue;
  }

  /** The number in a field as an integer; a fraction is cut off. */
  public long integer(String name) {
    return as(Number.class, name, "a number").longValue();
  }

  /** The number in a field as an integer, or a default if the field is missing. */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** The number in a field. */
  public double number(String name) {
    return as(Number.class, name, "a number").doubleValue();
  }

  /** The number in a field, or a default if the field is missing. */
  public double number(String name, double defaultValue) {
    return has(name) ? number(name) : defaultValue;
  }

  /** The boolean in a field; false if the field is missing. */
  public boolean flag(String name) {
    return has(name) && as(Boolean.class, name, "true or false");
  }

  /** The object in a field. */
  public JsonObjectReader object(String name) {
    Map<String, Object> read = new LinkedHashMap<>();
    Map<?, ?> object = as(Map.class, name, "an object");
    object.forEach((k, v) -> read.put((String) k, v));
    return new JsonObjectReader(name, read);
  }

  /** The objects of an array. */
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

  /** The items of an array as text. */
  public List<String> texts(String name) {
    List<String> read = new ArrayList<>();
    for (Object item : as(List.class, name, "an array")) {
      read.add(String.valueOf(item));
    }
    return read;
  }

  /** The numbers of an array; none if the field is missing. */
  public List<Double> numbers(String name) {
    List<Double> read = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Number number)) {
          throw new InvalidInputException(
              where + ": '" + name + "' holds something that is not a number");
        }
        read.add(number.doubleValue());
      }
    }
    return read;
  }

  /** The booleans of an array; none if the field is missing. */
  public List<Boolean> flags(String name) {
    List<Boolean> read = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Boolean flag)) {
          throw new InvalidInputException(
              where + ": '" + name + "' holds something that is not true or false");
        }
        read.add(flag);
      }
    }
    return read;
  }
}
