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
 * What the service is told by its configuration file: where it stands, and the deployment around
 * it.
 */
record ServiceConfiguration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress bus,
    long seed,
    int sockets,
    long memoryBytes,
    long knownOffset,
    List<WatchEvent> known,
    Deployment deployment,
    TimeSpan connectTimeout,
    TimeSpan connectionIdle,
    int sendsPerConnection) {
  private static final int HEX = 16;

  /** What a process has at least, where nothing is told. */
  private static final long LEAST_MEMORY_MB = 32;

  private static final int LAST_PORT = 65_535;

  /** Reads the file that the environment names; what it also names must agree. */
  static ServiceConfiguration read(Map<String, String> environment) {
    String path = environment.get("GW_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidInputException("GW_CONFIG names no configuration file");
    }
    JsonObjectReader told;
    try (JsonParser parser = new JsonFactory().createParser(new File(path))) {
      told = JsonObjectReader.of(parser);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(path + " is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(path + " can't be read: " + e.getMessage());
    }
    ServiceConfiguration read = of(told);
    agree(environment, "GW_NAME", read.name);
    agree(environment, "GW_LISTEN", told.text("listen"));
    return read;
  }

  private static void agree(Map<String, String> environment, String variable, String value) {
    if (!value.equals(environment.getOrDefault(variable, value))) {
      throw new InvalidInputException(
          variable + " is " + environment.get(variable) + ", the configuration has " + value);
    }
  }

  static ServiceConfiguration of(JsonObjectReader told) {
    JsonObjectReader settings = told.object("settings");
    JsonObjectReader limits = settings.object("limits");
    JsonObjectReader known = told.object("known");
    List<WatchEvent> events = new ArrayList<>();
    for (JsonObjectReader event : known.objects("batch")) {
      if (event.has(WatchEvent.EVENT)) {
        events.add(WatchEvent.of(event));
      }
    }
    String seed = told.text("seed");
    if (!seed.matches("[0-9a-fA-F]{1,16}")) {
      throw new InvalidInputException("'seed' is not 16 hex digits");
    }
    return new ServiceConfiguration(
        told.text("name"),
        address(told.text("listen")),
        address(told.text("bus")),
        Long.parseUnsignedLong(seed, HEX),
        (int) told.object("limits").whole("sockets"),
        told.object("limits").whole("memory_mb", LEAST_MEMORY_MB) << 20,
        known.whole("offset"),
        events,
        DeploymentReader.read(settings),
        new TimeSpan(limits.whole("connect_timeout_us")),
        new TimeSpan(limits.whole("conn_idle_us", 0)),
        (int) Math.max(1, limits.whole("streams_per_conn", 1)));
  }

  /** The same with other settings of decisions. */
  ServiceConfiguration with(Deployment other) {
    return new ServiceConfiguration(
        name,
        listen,
        bus,
        seed,
        sockets,
        memoryBytes,
        knownOffset,
        known,
        other,
        connectTimeout,
        connectionIdle,
        sendsPerConnection);
  }

  /** The same deployment at other addresses. */
  ServiceConfiguration movedTo(
      InetSocketAddress listensOn, InetSocketAddress busAt, List<WatchEvent> engines) {
    return new ServiceConfiguration(
        name,
        listensOn,
        busAt,
        seed,
        sockets,
        memoryBytes,
        knownOffset,
        engines,
        deployment,
        connectTimeout,
        connectionIdle,
        sendsPerConnection);
  }

  /** An address with its port; no name is ever looked up. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]")
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > LAST_PORT) {
      throw new InvalidInputException("'" + text + "' is not an address with a port");
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }
}
