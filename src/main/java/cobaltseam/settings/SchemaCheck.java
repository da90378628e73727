package cobaltseam.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.networknt.schema.Error;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.util.ArrayList;
import java.util.List;

/** Validates a settings file against the JSON schema and describes violations in plain English. */
final class SchemaCheck {
  private final JsonNode schema;
  private final SettingErrors errors;

  SchemaCheck(JsonNode schema, SettingErrors errors) {
    this.schema = schema;
    this.errors = errors;
  }

  /** Validates the settings and adds an error for each violation of the schema. */
  void check(JsonNode settings) {
    SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
        .getSchema(schema)
        .validate(settings)
        .forEach(this::add);
  }

  private void add(Error error) {
    String key = key(error.getInstanceLocation().toString());
    JsonNode actual = error.getInstanceNode();
    JsonNode violated = schemaOf(error);
    switch (error.getKeyword()) {
      case "required" ->
          errors.add(
              join(key, error.getProperty()),
              "nothing",
              expected(violated.at("/properties/" + error.getProperty())));
      case "additionalProperties" -> {
        List<String> names = new ArrayList<>();
        violated.path("properties").fieldNames().forEachRemaining(names::add);
        errors.add(
            join(key, error.getProperty()),
            actual == null ? MissingNode.getInstance() : actual.path(error.getProperty()),
            "unknown setting; expected one of " + String.join(", ", names));
      }
      default -> errors.add(key, actual, expected(violated));
    }
  }

  /** Returns the part of the schema that contains the violated keyword. */
  private JsonNode schemaOf(Error error) {
    String[] steps = error.getSchemaLocation().getFragment().toString().split("/");
    JsonNode node = schema;
    for (int i = 1; i < steps.length - 1; i++) {
      node = node.isArray() ? node.path(Integer.parseInt(steps[i])) : node.path(steps[i]);
    }
    return node;
  }

  private static String expected(JsonNode schema) {
    List<String> parts = new ArrayList<>();
    if (schema.has("enum")) {
      parts.add("one of " + schema.path("enum"));
    }
    if (schema.has("type")) {
      parts.add(typeName(schema.path("type").asText()));
    }
    if (schema.has("minimum")) {
      parts.add("from " + schema.path("minimum") + " to " + schema.path("maximum"));
    }
    if (schema.has("multipleOf")) {
      parts.add("a multiple of " + schema.path("multipleOf"));
    }
    if (schema.has("minItems")) {
      parts.add(
          "of "
              + schema.path("minItems")
              + " to "
              + schema.path("maxItems")
              + " distinct elements");
    }
    if (schema.has("pattern")) {
      parts.add("in the form address:port, with an IPv6 address in brackets");
    }
    if (schema.has("default")) {
      parts.add("default " + schema.path("default"));
    }
    return "expected " + String.join(", ", parts) + ". " + schema.path("description").asText();
  }

  private static String typeName(String type) {
    return switch (type) {
      case "integer" -> "an integer";
      case "number" -> "a number";
      case "boolean" -> "true or false";
      case "array" -> "an array";
      case "object" -> "a table";
      default -> "a string";
    };
  }

  /** Converts the JSON pointer of a setting to its dotted name. */
  private static String key(String pointer) {
    StringBuilder key = new StringBuilder();
    for (String step : pointer.split("/")) {
      if (step.matches("[0-9]+")) {
        key.append('[').append(step).append(']');
      } else if (!step.isEmpty()) {
        key.append(key.length() == 0 ? "" : ".").append(step);
      }
    }
    return key.toString();
  }

  private static String join(String key, String name) {
    return key.isEmpty() ? name : key + "." + name;
  }
}
