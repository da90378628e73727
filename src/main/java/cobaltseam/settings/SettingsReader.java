package cobaltseam.settings;

import cobaltseam.deployment.InvalidInputException;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads our own settings file: TOML, checked against the schema in this package's resources, then
 * setting against setting. All errors are reported at once, each with the file, the setting, its
 * value and what is allowed.
 */
public final class SettingsReader {
  private static final String SCHEMA_RESOURCE = "schema.json";
  private static final int MAX_FILE_BYTES = 1 << 20;

  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @throws InvalidInputException with everything that is wrong with it, a line each
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
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidInputException(file + ": it is longer than " + MAX_FILE_BYTES + " bytes");
      }
      return new TomlMapper().readTree(Files.readString(file));
    } catch (JacksonException e) {
      throw new InvalidInputException(
          file
              + ": it is not TOML: "
              + e.getOriginalMessage()
              + (e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr()));
    } catch (IOException e) {
      throw new InvalidInputException(file + ": it can't be read: " + e.getMessage());
    }
  }

  private static JsonNode readSchema() {
    try (InputStream in = SettingsReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      return new ObjectMapper().readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("the schema is not in the jar", e);
    }
  }
}
