package cobaltseam.deployment;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fully parsed JSON object that gives access to its fields by name and type.
 *
 * <p>Every method that reads a field throws {@link InvalidInputException} if the field has another
 * type. It does so too if the field is missing, unless the method documents what it returns in that
 * case. A field whose value is null counts as missing.
 */
public final class JsonObjectReader {
  private final String context;
  private final Map<String, Object> values;

  private JsonObjectReader(String context, Map<String, Object> values) {
    this.context = context;
    this.values = values;
  }

  /**
   * Parses a line that consists of exactly one JSON object.
   *
   * @throws InvalidInputException if the line contains any other JSON
   * @throws IOException if the line is not JSON
   */
  public static JsonObjectReader of(JsonParser line) throws IOException {
    if (line.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidInputException("a line is not a JSON object");
    }
    JsonObjectReader reader = new JsonObjectReader("batch", object(line));
    if (line.nextToken() != null) {
      throw new InvalidInputException("a line contains more than one JSON value");
    }
    return reader;
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
        // Unsigned 64-bit numbers, such as tokens and seeds, may exceed the range of long.
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

  /** Returns whether the object has this field with a value other than null. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /**
   * Returns the name of the only field.
   *
   * @throws InvalidInputException if the object does not have exactly one field
   */
  public String singleFieldName() {
    if (values.size() != 1) {
      throw new InvalidInputException(
          context + ": expected an object with exactly one field, not " + values.keySet());
    }
    return values.keySet().iterator().next();
  }

  private Object required(String name) {
    Object value = values.get(name);
    if (value == null) {
      throw new InvalidInputException(context + ": '" + name + "' is missing");
    }
    return value;
  }

  private <T> T as(Class<T> type, String name, String expected) {
    Object value = required(name);
    if (!type.isInstance(value)) {
      throw new InvalidInputException(context + ": '" + name + "' is not " + expected);
    }
    return type.cast(value);
  }

  /** Returns the string in a field. */
  public String text(String name) {
    return as(String.class, name, "a string");
  }

  /** Returns the value of a field as a string, or a default if the field is missing. */
  public String text(String name, String defaultValue) {
    return has(name) ? String.valueOf(values.get(name)) : defaultValue;
  }

  /** Returns the number in a field as an integer; a fraction is truncated. */
  public long integer(String name) {
    return as(Number.class, name, "a number").longValue();
  }

  /** Returns the number in a field as an integer, or a default if the field is missing. */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** Returns the number in a field. */
  public double number(String name) {
    return as(Number.class, name, "a number").doubleValue();
  }

  /** Returns the number in a field, or a default if the field is missing. */
  public double number(String name, double defaultValue) {
    return has(name) ? number(name) : defaultValue;
  }

  /** Returns the boolean in a field; false if the field is missing. */
  public boolean flag(String name) {
    return has(name) && as(Boolean.class, name, "true or false");
  }

  /** Returns the object in a field. */
  public JsonObjectReader object(String name) {
    Map<String, Object> fields = new LinkedHashMap<>();
    Map<?, ?> object = as(Map.class, name, "an object");
    object.forEach((key, value) -> fields.put((String) key, value));
    return new JsonObjectReader(name, fields);
  }

  /** Returns the objects of an array. */
  public List<JsonObjectReader> objects(String name) {
    List<JsonObjectReader> objects = new ArrayList<>();
    for (Object item : as(List.class, name, "an array")) {
      if (!(item instanceof Map<?, ?> map)) {
        throw new InvalidInputException(
            context + ": '" + name + "' contains an element that is not an object");
      }
      Map<String, Object> fields = new LinkedHashMap<>();
      map.forEach((key, value) -> fields.put((String) key, value));
      objects.add(new JsonObjectReader(name, fields));
    }
    return objects;
  }

  /** Returns the elements of an array as strings. */
  public List<String> texts(String name) {
    List<String> texts = new ArrayList<>();
    for (Object item : as(List.class, name, "an array")) {
      texts.add(String.valueOf(item));
    }
    return texts;
  }

  /** Returns the numbers of an array; an empty list if the field is missing. */
  public List<Double> numbers(String name) {
    List<Double> numbers = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Number number)) {
          throw new InvalidInputException(
              context + ": '" + name + "' contains an element that is not a number");
        }
        numbers.add(number.doubleValue());
      }
    }
    return numbers;
  }

  /** Returns the booleans of an array; an empty list if the field is missing. */
  public List<Boolean> flags(String name) {
    List<Boolean> flags = new ArrayList<>();
    if (has(name)) {
      for (Object item : as(List.class, name, "an array")) {
        if (!(item instanceof Boolean flag)) {
          throw new InvalidInputException(
              context + ": '" + name + "' contains an element that is not true or false");
        }
        flags.add(flag);
      }
    }
    return flags;
  }
}
