package cobaltseam.settings;

import cobaltseam.authentication.KeyRing;
import cobaltseam.deployment.RetryingIo;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.vrrp.Addresses;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Converts types of values that several sections of the settings file use; collects errors. */
final class SettingValues {
  private static final int US_PER_MS = 1000;
  private static final int MAX_PORT = 65_535;
  private static final long DEFAULT_CLOCK_DIFFERENCE_MS = 500;

  private final Path file;
  private final JsonNode schema;
  private final SettingErrors errors;

  SettingValues(Path file, JsonNode schema, SettingErrors errors) {
    this.file = file;
    this.schema = schema;
    this.errors = errors;
  }

  /** Returns the schema of the settings in a section, by the dotted name of the section. */
  JsonNode schemaOf(String section) {
    return schema.at("/properties/" + section.replace(".", "/properties/") + "/properties");
  }

  /** Returns a setting of a section, or its default in the schema of that section's settings. */
  static JsonNode valueOrDefault(JsonNode section, JsonNode schema, String name) {
    return section.has(name) ? section.path(name) : schema.path(name).path("default");
  }

  /** Returns a setting in milliseconds, or its default in the schema of its section's settings. */
  static TimeSpan timeOrDefault(JsonNode section, JsonNode schema, String name) {
    return new TimeSpan(valueOrDefault(section, schema, name).asLong() * US_PER_MS);
  }

  /** Returns the time span of a value in milliseconds, or of a default in milliseconds. */
  static TimeSpan time(JsonNode value, long defaultMs) {
    return new TimeSpan(value.asLong(defaultMs) * US_PER_MS);
  }

  static boolean isIpv6(InetSocketAddress address) {
    return address.getAddress() instanceof Inet6Address;
  }

  /** Parses an address and port; adds an error and returns null if the value is invalid. */
  InetSocketAddress address(String key, JsonNode value) {
    String text = value.isMissingNode() ? "" : value.asText();
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|]$", "");
    InetAddress address = Addresses.parse(host).orElse(null);
    int port = colon < 0 || address == null ? -1 : Integer.parseInt(text.substring(colon + 1));
    if (address == null || port < 1 || port > MAX_PORT || address.isAnyLocalAddress()) {
      errors.add(
          key,
          value,
          "expected a numeric, non-wildcard address, a colon and a port from 1 to "
              + MAX_PORT
              + ".");
      return null;
    }
    return new InetSocketAddress(address, port);
  }

  /** Resolves a path in the settings file against the folder of that file. */
  Path resolve(String path) {
    return file.toAbsolutePath().getParent().resolve(path);
  }

  /**
   * Reads the authentication settings of a section and the key file that they name. Returns null if
   * the section has none or they are invalid.
   *
   * @param section the name of the section that contains the authentication settings
   */
  Settings.AuthenticationSettings authentication(String section, JsonNode seal) {
    if (seal.isMissingNode()) {
      return null;
    }
    String keyFile = seal.path("keys").asText();
    try {
      KeyRing keys =
          KeyRing.parse(new String(RetryingIo.readFile(resolve(keyFile)), StandardCharsets.UTF_8));
      if (!keys.contains(seal.path("write_key").asInt())) {
        errors.add(
            section + ".seal.write_key",
            seal.path("write_key"),
            "expected the id of a key in " + keyFile + ".");
      }
      return new Settings.AuthenticationSettings(
          keys,
          seal.path("write_key").asInt(),
          time(seal.path("clock_difference_ms"), DEFAULT_CLOCK_DIFFERENCE_MS));
    } catch (IOException e) {
      errors.add(section + ".seal.keys", seal.path("keys"), "the key file can't be read: " + e);
    } catch (IllegalArgumentException e) {
      errors.add(
          section + ".seal.keys", seal.path("keys"), "the key file is invalid: " + e.getMessage());
    }
    return null;
  }
}
