package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.Deployment.RetrySafety;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads sites from TOML, from a resource or a file, and checks their figures against bounds. */
final class EmulatedSites {
  private static final TomlMapper TOML = new TomlMapper();

  /** Maps the values of {@link RetrySafety} to their names in site files. */
  private enum RetrySafetyNames {
    @JsonProperty("REPLAYABLE")
    IDEMPOTENT,
    @JsonProperty("UNIQUED")
    IDEMPOTENT_WITH_KEY,
    @JsonProperty("NON_REPLAYABLE")
    NOT_IDEMPOTENT
  }

  static {
    TOML.addMixIn(RetrySafety.class, RetrySafetyNames.class);
    TOML.enable(
        DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
        DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  private EmulatedSites() {}

  /**
   * Reads a site.
   *
   * @param name the name of a site that is included, or the path of a file
   * @throws InvalidInputException if the site cannot be read, or has figures out of bounds
   */
  static EmulatedSite named(String name) {
    String text;
    try (InputStream in = EmulatedSites.class.getResourceAsStream(name + ".toml")) {
      text =
          in != null
              ? new String(in.readAllBytes(), StandardCharsets.UTF_8)
              : Files.readString(Path.of(name));
    } catch (IOException e) {
      throw new InvalidInputException(
          "site " + name + " is neither an included site nor a readable file: " + e.getMessage());
    }
    return read(name, text);
  }

  /**
   * Parses a site.
   *
   * @param name the name of the site in error messages
   * @throws InvalidInputException if the text is not a site, or has figures out of bounds
   */
  static EmulatedSite read(String name, String text) {
    EmulatedSite site;
    try {
      site = TOML.readValue(text, EmulatedSite.class);
    } catch (JacksonException e) {
      throw new InvalidInputException("site " + name + ": " + e.getOriginalMessage());
    }
    List<String> errors = new ArrayList<>();
    if (site.engines() == null
        || site.requestClasses() == null
        || site.tenants() == null
        || site.load() == null
        || site.network() == null
        || site.discovery() == null
        || site.limits() == null) {
      throw new InvalidInputException(
          "site "
              + name
              + ": engines, profiles, holders, load, net, roster and limits are required");
    }
    EmulatedSite.Engines engines = site.engines();
    checkBounds(errors, "engines.count", engines.count(), 1, 10_000);
    checkBounds(errors, "engines.cores", engines.cores(), 0.1, 1024);
    checkBounds(errors, "engines.speedSpread", engines.speedSpread(), 0, 0.9);
    checkBounds(errors, "engines.knee", engines.knee(), 1, 100);
    checkBounds(errors, "engines.fall", engines.fall(), 0, 10);
    checkBounds(errors, "engines.sessions", engines.sessions(), 1, 1_000_000);
    checkBounds(errors, "engines.coldFrom", engines.slowStartFraction(), 0.01, 1);
    checkBounds(errors, "engines.locations", engines.locations(), 1, engines.count());
    checkBounds(errors, "engines.groups", engines.groups(), 1, engines.count());
    checkBounds(errors, "dispatchers", site.dispatchers(), 1, 10_000);
    checkBounds(errors, "profiles", site.requestClasses().size(), 1, 100);
    for (EmulatedSite.RequestClass requestClass : site.requestClasses()) {
      checkBounds(errors, requestClass.name() + ".part", requestClass.part(), 0, 1e9);
      checkBounds(errors, requestClass.name() + ".threads", requestClass.threads(), 1, 1024);
      checkBounds(errors, requestClass.name() + ".workMs", requestClass.workMs(), 0.001, 1e7);
      checkBounds(errors, requestClass.name() + ".cv", requestClass.cv(), 0, 10);
      checkBounds(errors, requestClass.name() + ".targetMs", requestClass.objectiveMs(), 1, 1e7);
      checkBounds(
          errors,
          requestClass.name() + ".timeoutMs",
          requestClass.deadlineMs(),
          requestClass.objectiveMs(),
          1e7);
      checkBounds(errors, requestClass.name() + ".badPlans", requestClass.badPlanShare(), 0, 1);
    }
    checkBounds(errors, "load.perSecond", site.load().perSecond(), 0, 1e7);
    checkBounds(errors, "load.swing", site.load().swing(), 0, 0.99);
    checkBounds(errors, "net.jitter", site.network().jitter(), 0, 1);
    if (!errors.isEmpty()) {
      throw new InvalidInputException("site " + name + ":\n" + String.join("\n", errors));
    }
    return site;
  }

  private static void checkBounds(
      List<String> errors, String key, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      errors.add(key + ": " + value + " is out of bounds; allowed are " + min + " to " + max);
    }
  }
}
