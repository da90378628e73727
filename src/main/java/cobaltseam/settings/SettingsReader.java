package cobaltseam.settings;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.RetryingIo;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the dispatcher's own settings file, which is TOML. Validates it against the schema in this
 * package's resources, and then the settings against each other. All errors of a step are reported
 * at once, each with the file, the setting, its value and what is expected.
 */
public final class SettingsReader {
  private static final String SCHEMA_RESOURCE = "schema.json";
  private static final int MAX_FILE_BYTES = 1 << 20;

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @throws InvalidInputException with all errors found in the file, one line per error
   */
  public static Settings read(Path file) {
    JsonNode root = readToml(file);
    JsonNode schema = readSchema();
    SettingErrors errors = new SettingErrors(file);
    new SchemaCheck(schema, errors).check(root);
    errors.throwIfAny();

    SettingValues values = new SettingValues(file, schema, errors);
    MastershipSection mastership = new MastershipSection(values, errors);
    FleetSections fleet = new FleetSections(values, errors);
    JsonNode membership = root.path("membership");
    Settings settings =
        new Settings(
            root.at("/logging/form").asText("text").equals("json"),
            root.has("mastership") ? mastership.read(root.path("mastership")) : null,
            fleet.readMembership(membership),
            fleet.readAgreement(root.path("agreement"), membership),
            fleet.readCapacity(root.path("spread"), membership, root.path("agreement")),
            fleet.readRetryBudget(root.path("repeats"), membership));
    errors.throwIfAny();
    return settings;
  }

  private static JsonNode readToml(Path file) {
    try {
      if (RetryingIo.run(() -> Files.size(file)) > MAX_FILE_BYTES) {
        throw new InvalidInputException(
            file + ": the file is longer than " + MAX_FILE_BYTES + " bytes");
      }
      return new TomlMapper()
          .readTree(new String(RetryingIo.readFile(file), StandardCharsets.UTF_8));
    } catch (JacksonException e) {
      throw new InvalidInputException(
          file
              + ": the file is not valid TOML: "
              + e.getOriginalMessage()
              + (e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr()));
    } catch (IOException e) {
      throw new InvalidInputException(file + ": the file can't be read: " + e.getMessage());
    }
  }

  private static JsonNode readSchema() {
    try (InputStream in = SettingsReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      return new ObjectMapper().readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("the settings schema can't be read from the jar", e);
    }
  }
}
