package cobaltseam.settings;

import cobaltseam.deployment.InvalidInputException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Collects everything that is wrong with a settings file, a line each. */
final class SettingErrors {
  private final Path file;
  private final List<String> lines = new ArrayList<>();

  SettingErrors(Path file) {
    this.file = file;
  }

  /**
   * Adds an error.
   *
   * @param key the dotted name of the setting
   * @param actual its value, or null or a missing node if there is none
   * @param allowed what is allowed instead, as a sentence
   */
  void add(String key, JsonNode actual, String allowed) {
    add(key, actual == null || actual.isMissingNode() ? "nothing" : actual.toString(), allowed);
  }

  /** Like {@link #add(String, JsonNode, String)}, with the value as text. */
  void add(String key, String actual, String allowed) {
    lines.add(file + ": " + key + ": " + actual + " stands there; " + allowed.strip());
  }

  /**
   * Ends the reading if there are errors.
   *
   * @throws InvalidInputException with all lines added so far
   */
  void throwIfAny() {
    if (!lines.isEmpty()) {
      throw new InvalidInputException(String.join("\n", lines));
    }
  }
}
