package cobaltseam.settings;

import cobaltseam.deployment.InvalidInputException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Collects the errors of a settings file, one line per error. */
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
   * @param actual the value of the setting, or null or a missing node if it is not set
   * @param explanation what is expected or wrong, as the rest of a sentence
   */
  void add(String key, JsonNode actual, String explanation) {
    add(key, actual == null || actual.isMissingNode() ? "nothing" : actual.toString(), explanation);
  }

  /** Like {@link #add(String, JsonNode, String)}, with the value as text. */
  void add(String key, String actual, String explanation) {
    lines.add(file + ": " + key + ": found " + actual + "; " + explanation.strip());
  }

  /**
   * Throws an exception if errors were added.
   *
   * @throws InvalidInputException with the lines of all errors added so far
   */
  void throwIfAny() {
    if (!lines.isEmpty()) {
      throw new InvalidInputException(String.join("\n", lines));
    }
  }
}
