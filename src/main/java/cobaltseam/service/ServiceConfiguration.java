package cobaltseam.service;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.deployment.RetryingIo;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration file that the platform provides, with the platform's field names mapped to
 * those of this project.
 *
 * @param name the name of this dispatcher
 * @param listen the address on which clients connect
 * @param watchAddress the address of the event bus, from which the endpoint watch receives the
 *     endpoint list
 * @param seed the seed of the random decisions
 * @param maxSockets the number of file descriptors that the process may open
 * @param memoryBytes the memory limit of the process in bytes
 * @param knownOffset the offset of the last endpoint event in the file
 * @param knownEvents the endpoint events in the file
 * @param deployment the dispatch settings
 * @param connectTimeout the longest time to wait for a connection to an engine
 * @param maxConnectionIdle the time after which engines close an idle connection; zero for never
 * @param attemptsPerConnection the number of attempts that may share a connection to an engine, at
 *     least 1
 */
record ServiceConfiguration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress watchAddress,
    long seed,
    int maxSockets,
    long memoryBytes,
    long knownOffset,
    List<WatchEvent> knownEvents,
    Deployment deployment,
    TimeSpan connectTimeout,
    TimeSpan maxConnectionIdle,
    int attemptsPerConnection) {
  private static final int HEX_RADIX = 16;

  /** The memory limit in MiB if the file has none. */
  private static final long DEFAULT_MEMORY_MB = 32;

  private static final int MAX_PORT = 65_535;

  /**
   * Reads the file that the environment variable GW_CONFIG names. GW_NAME and GW_LISTEN, if set,
   * must equal the name and the listen address in the file.
   *
   * @throws InvalidInputException if the file can't be read or is invalid
   */
  static ServiceConfiguration read(Map<String, String> environment) {
    String path = environment.get("GW_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidInputException(
          "the environment variable GW_CONFIG must name the configuration file");
    }
    JsonObjectReader document;
    try (JsonParser parser = new JsonFactory().createParser(RetryingIo.readFile(Path.of(path)))) {
      document = JsonObjectReader.of(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(
          "the configuration file " + path + " is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(
          "the configuration file " + path + " can't be read: " + e.getMessage());
    }
    ServiceConfiguration configuration = of(document);
    requireEqual(environment, "GW_NAME", configuration.name);
    requireEqual(environment, "GW_LISTEN", document.text("listen"));
    return configuration;
  }

  private static void requireEqual(Map<String, String> environment, String variable, String value) {
    if (!value.equals(environment.getOrDefault(variable, value))) {
      throw new InvalidInputException(
          "the environment variable "
              + variable
              + " is "
              + environment.get(variable)
              + ", but the configuration file has "
              + value);
    }
  }

  /**
   * Reads the configuration from its JSON document.
   *
   * @throws InvalidInputException if a field is missing or invalid
   */
  static ServiceConfiguration of(JsonObjectReader document) {
    JsonObjectReader settings = document.object("settings");
    JsonObjectReader limits = settings.object("limits");
    JsonObjectReader known = document.object("known");
    List<WatchEvent> events = new ArrayList<>();
    for (JsonObjectReader event : known.objects("batch")) {
      if (event.has(WatchEvent.EVENT_FIELD)) {
        events.add(WatchEvent.of(event));
      }
    }
    String seed = document.text("seed");
    if (!seed.matches("[0-9a-fA-F]{1,16}")) {
      throw new InvalidInputException(
          "'seed' in the configuration file must be 1 to 16 hex digits");
    }
    return new ServiceConfiguration(
        document.text("name"),
        address(document.text("listen")),
        address(document.text("bus")),
        Long.parseUnsignedLong(seed, HEX_RADIX),
        (int) document.object("limits").integer("sockets"),
        document.object("limits").integer("memory_mb", DEFAULT_MEMORY_MB) << 20,
        known.integer("offset"),
        events,
        DeploymentReader.read(settings),
        new TimeSpan(limits.integer("connect_timeout_us")),
        new TimeSpan(limits.integer("conn_idle_us", 0)),
        (int) Math.max(1, limits.integer("streams_per_conn", 1)));
  }

  /** A copy with other dispatch settings. */
  ServiceConfiguration withDeployment(Deployment newDeployment) {
    return new ServiceConfiguration(
        name,
        listen,
        watchAddress,
        seed,
        maxSockets,
        memoryBytes,
        knownOffset,
        knownEvents,
        newDeployment,
        connectTimeout,
        maxConnectionIdle,
        attemptsPerConnection);
  }

  /** A copy with other addresses and other known endpoint events. */
  ServiceConfiguration withAddresses(
      InetSocketAddress newListen, InetSocketAddress newWatchAddress, List<WatchEvent> newEvents) {
    return new ServiceConfiguration(
        name,
        newListen,
        newWatchAddress,
        seed,
        maxSockets,
        memoryBytes,
        knownOffset,
        newEvents,
        deployment,
        connectTimeout,
        maxConnectionIdle,
        attemptsPerConnection);
  }

  /**
   * Parses an IP address with a port, such as 127.0.0.1:80 or [::1]:80. Host names are rejected, so
   * that no name is ever looked up.
   *
   * @throws InvalidInputException if the text is not an IP address with a port
   */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]")
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > MAX_PORT) {
      throw new InvalidInputException("'" + text + "' is not an IP address with a port");
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }
}
