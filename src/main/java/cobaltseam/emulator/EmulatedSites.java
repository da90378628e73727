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

/**
 * Worlds from TOML, by the name of one that comes along or by a file; with every figure checked
 * against its bounds.
 */
final class EmulatedSites {
  private static final TomlMapper TOML = new TomlMapper();

  /** The names that files of sites have for the classes of {@link RetrySafety}. */
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
   * @throws InvalidInputException with what can't be used
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
          "world " + name + " is neither one that comes along nor a file: " + e.getMessage());
    }
    return read(name, text);
  }

  static EmulatedSite read(String name, String text) {
    EmulatedSite world;
    try {
      world = TOML.readValue(text, EmulatedSite.class);
    } catch (JacksonException engines) {
      throw new InvalidInputException("world " + name + ": " + engines.getOriginalMessage());
    }
    List<String> wrong = new ArrayList<>();
    if (world.engines() == null
        || world.requestClasses() == null
        || world.tenants() == null
        || world.load() == null
        || world.network() == null
        || world.discovery() == null
        || world.limits() == null) {
      throw new InvalidInputException(
          "world "
              + name
              + ": engines, profiles, holders, load, net, roster and limits are all needed");
    }
    EmulatedSite.Engines engines = world.engines();
    bound(wrong, "engines.count", engines.count(), 1, 10_000);
    bound(wrong, "engines.cores", engines.cores(), 0.1, 1024);
    bound(wrong, "engines.speedSpread", engines.speedSpread(), 0, 0.9);
    bound(wrong, "engines.knee", engines.knee(), 1, 100);
    bound(wrong, "engines.fall", engines.fall(), 0, 10);
    bound(wrong, "engines.sessions", engines.sessions(), 1, 1_000_000);
    bound(wrong, "engines.coldFrom", engines.slowStartFraction(), 0.01, 1);
    bound(wrong, "engines.locations", engines.locations(), 1, engines.count());
    bound(wrong, "engines.groups", engines.groups(), 1, engines.count());
    bound(wrong, "dispatchers", world.dispatchers(), 1, 10_000);
    bound(wrong, "profiles", world.requestClasses().size(), 1, 100);
    for (EmulatedSite.RequestClass p : world.requestClasses()) {
      bound(wrong, p.name() + ".part", p.part(), 0, 1e9);
      bound(wrong, p.name() + ".threads", p.threads(), 1, 1024);
      bound(wrong, p.name() + ".workMs", p.workMs(), 0.001, 1e7);
      bound(wrong, p.name() + ".cv", p.cv(), 0, 10);
      bound(wrong, p.name() + ".targetMs", p.objectiveMs(), 1, 1e7);
      bound(wrong, p.name() + ".timeoutMs", p.deadlineMs(), p.objectiveMs(), 1e7);
      bound(wrong, p.name() + ".badPlans", p.badPlanShare(), 0, 1);
    }
    bound(wrong, "load.perSecond", world.load().perSecond(), 0, 1e7);
    bound(wrong, "load.swing", world.load().swing(), 0, 0.99);
    bound(wrong, "net.jitter", world.network().jitter(), 0, 1);
    if (!wrong.isEmpty()) {
      throw new InvalidInputException("world " + name + ":\n" + String.join("\n", wrong));
    }
    return world;
  }

  private static void bound(
      List<String> wrong, String key, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      wrong.add(
          key + ": " + value + " stands there; from " + least + " to " + most + " is allowed");
    }
  }
}
