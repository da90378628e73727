package cobaltseam.service;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The platform's configuration file of the service; maps the platform's field names to our own.
 *
 * @param listen where clients connect
 * @param watchAddress the event bus, which brings the endpoint list
 * @param maxSockets how many descriptors the process may have
 * @param memoryBytes the memory of the process
 * @param knownOffset the offset of the last event that the file holds
 * @param knownEvents the events of the endpoint list that the file holds
 * @param maxConnectionIdle the time after which engines close an idle connection; zero for never
 * @param attemptsPerConnection how many attempts may share a connection to an engine, at least 1
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

  /** Assumed where the file names no limit. */
  private static final long MIN_MEMORY_MB = 32;

  private static final int MAX_PORT = 65_535;

  /**
   * Reads the file that the environment variable GW_CONFIG names; GW_NAME and GW_LISTEN, if set,
   * have to agree with it.
   *
   * @throws InvalidInputException if the file can't be read or used
   */
  static ServiceConfiguration read(Map<String, String> environment) {
    String path = environment.get("GW_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidInputException("GW_CONFIG names no configuration file");
    }
    JsonObjectReader document;
    try (JsonParser parser = new JsonFactory().createParser(new File(path))) {
      document = JsonObjectReader.of(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(path + " is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(path + " can't be read: " + e.getMessage());
    }
    ServiceConfiguration read = of(document);
    requireSame(environment, "GW_NAME", read.name);
    requireSame(environment, "GW_LISTEN", document.text("listen"));
    return read;
  }

  private static void requireSame(Map<String, String> environment, String variable, String value) {
    if (!value.equals(environment.getOrDefault(variable, value))) {
      throw new InvalidInputException(
          variable + " is " + environment.get(variable) + ", the configuration has " + value);
    }
  }

  /**
   * Reads the configuration from its JSON document.
   *
   * @throws InvalidInputException if a field is missing or can't be used
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
      throw new InvalidInputException("'seed' is not 16 hex digits");
    }
    return new ServiceConfiguration(
        document.text("name"),
        address(document.text("listen")),
        address(document.text("bus")),
        Long.parseUnsignedLong(seed, HEX_RADIX),
        (int) document.object("limits").integer("sockets"),
        document.object("limits").integer("memory_mb", MIN_MEMORY_MB) << 20,
        known.integer("offset"),
        events,
        DeploymentReader.read(settings),
        new TimeSpan(limits.integer("connect_timeout_us")),
        new TimeSpan(limits.integer("conn_idle_us", 0)),
        (int) Math.max(1, limits.integer("streams_per_conn", 1)));
  }

  /** A copy with other settings of decisions. */
  ServiceConfiguration withDeployment(Deployment other) {
    return new ServiceConfiguration(
        name,
        listen,
        watchAddress,
        seed,
        maxSockets,
        memoryBytes,
        knownOffset,
        knownEvents,
        other,
        connectTimeout,
        maxConnectionIdle,
        attemptsPerConnection);
  }

  /** A copy with other addresses and events of the endpoint list. */
  ServiceConfiguration withAddresses(
      InetSocketAddress listenOn, InetSocketAddress watchAt, List<WatchEvent> events) {
    return new ServiceConfiguration(
        name,
        listenOn,
        watchAt,
        seed,
        maxSockets,
        memoryBytes,
        knownOffset,
        events,
        deployment,
        connectTimeout,
        maxConnectionIdle,
        attemptsPerConnection);
  }

  /**
   * Parses an IP address with its port; no name is ever looked up.
   *
   * @throws InvalidInputException if the text is no such address
   */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]")
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > MAX_PORT) {
      throw new InvalidInputException("'" + text + "' is not an address with a port");
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }
}
