package cobaltseam.settings;

import cobaltseam.authentication.KeyRing;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.mastership.HealthScore;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.mastership.RouterOptions;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Reads our own file: TOML, checked against the schema in this package's resources, then across
 * keys. All that is wrong is told at once, each with file, key, what stands there and what is
 * allowed.
 */
public final class SettingsReader {
  private static final String SCHEMA = "schema.json";
  private static final int LARGEST = 1 << 20;
  private static final int US_PER_MS = 1000;
  private static final int US_PER_CENTISECOND = 10_000;
  private static final int LAST_PORT = 65_535;
  private static final int MOST_CLAIMS = 1 << 13;

  private final Path file;
  private final JsonNode schema;
  private final List<String> wrong = new ArrayList<>();

  private SettingsReader(Path file) {
    this.file = file;
    try (InputStream in = SettingsReader.class.getResourceAsStream(SCHEMA)) {
      schema = new ObjectMapper().readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("the schema is not in the jar", e);
    }
  }

  /**
   * What a file sets.
   *
   * @throws InvalidInputException with everything that is wrong with it, a line each
   */
  public static Settings read(Path file) {
    return new SettingsReader(file).read();
  }

  private Settings read() {
    JsonNode told;
    try {
      if (Files.size(file) > LARGEST) {
        throw new InvalidInputException(file + ": it is longer than " + LARGEST + " bytes");
      }
      told = new TomlMapper().readTree(Files.readString(file));
    } catch (JacksonException e) {
      throw new InvalidInputException(
          file
              + ": it is not TOML: "
              + e.getOriginalMessage()
              + (e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr()));
    } catch (IOException e) {
      throw new InvalidInputException(file + ": it can't be read: " + e.getMessage());
    }
    Schema checks =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(schema);
    for (Error error : checks.validate(told)) {
      wrong(error);
    }
    end();
    boolean json = told.at("/logging/form").asText("text").equals("json");
    JsonNode mastership = told.path("mastership");
    JsonNode membership = told.path("membership");
    Settings setup =
        new Settings(
            json,
            mastership.isMissingNode() ? null : hall(mastership),
            membership.isMissingNode() ? null : fleet(membership),
            agreed(told.path("agreement"), membership),
            spread(told.path("spread"), membership, told.path("agreement")),
            repeats(told.path("repeats"), membership));
    end();
    return setup;
  }

  private void end() {
    if (!wrong.isEmpty()) {
      throw new InvalidInputException(String.join("\n", wrong));
    }
  }

  // ---- against the schema

  private void wrong(Error error) {
    String key = key(error.getInstanceLocation().toString());
    JsonNode there = error.getInstanceNode();
    switch (error.getKeyword()) {
      case "required" ->
          wrong(
              join(key, error.getProperty()),
              "nothing",
              allowed(schemaOf(error).at("/properties/" + error.getProperty())));
      case "additionalProperties" -> {
        List<String> names = new ArrayList<>();
        schemaOf(error).path("properties").fieldNames().forEachRemaining(names::add);
        wrong(
            join(key, error.getProperty()),
            there == null ? MissingNode.getInstance() : there.path(error.getProperty()),
            "only these are allowed there: " + String.join(", ", names));
      }
      default -> wrong(key, there, allowed(schemaOf(error)));
    }
  }

  /** The part of the schema that an error's keyword stands in. */
  private JsonNode schemaOf(Error error) {
    String at = error.getSchemaLocation().getFragment().toString();
    JsonNode node = schema;
    String[] steps = at.split("/");
    for (int i = 1; i < steps.length - 1; i++) {
      node = node.isArray() ? node.path(Integer.parseInt(steps[i])) : node.path(steps[i]);
    }
    return node;
  }

  private static String allowed(JsonNode schema) {
    List<String> parts = new ArrayList<>();
    if (schema.has("enum")) {
      parts.add("one of " + schema.path("enum"));
    }
    if (schema.has("type")) {
      parts.add(
          switch (schema.path("type").asText()) {
            case "integer" -> "a whole number";
            case "number" -> "a number";
            case "boolean" -> "true or false";
            case "array" -> "a list";
            case "object" -> "a table";
            default -> "a text";
          });
    }
    if (schema.has("minimum")) {
      parts.add("from " + schema.path("minimum") + " to " + schema.path("maximum"));
    }
    if (schema.has("multipleOf")) {
      parts.add("a multiple of " + schema.path("multipleOf"));
    }
    if (schema.has("minItems")) {
      parts.add("of " + schema.path("minItems") + " to " + schema.path("maxItems") + ", each once");
    }
    if (schema.has("pattern")) {
      parts.add("address:port, an IPv6 address in brackets");
    }
    if (schema.has("default")) {
      parts.add("default " + schema.path("default"));
    }
    return String.join(", ", parts) + " is allowed. " + schema.path("description").asText();
  }

  private static String key(String pointer) {
    StringBuilder key = new StringBuilder();
    for (String step : pointer.split("/")) {
      if (step.matches("[0-9]+")) {
        key.append('[').append(step).append(']');
      } else if (!step.isEmpty()) {
        key.append(key.length() == 0 ? "" : ".").append(step);
      }
    }
    return key.toString();
  }

  private static String join(String key, String name) {
    return key.isEmpty() ? name : key + "." + name;
  }

  private void wrong(String key, JsonNode there, String allowed) {
    wrong(key, there == null || there.isMissingNode() ? "nothing" : there.toString(), allowed);
  }

  private void wrong(String key, String there, String allowed) {
    wrong.add(file + ": " + key + ": " + there + " stands there; " + allowed.strip());
  }

  // ---- across keys

  private Settings.VirtualAddressSettings hall(JsonNode told) {
    InetSocketAddress listen = address("mastership.listen", told.path("listen"));
    List<InetSocketAddress> peers = new ArrayList<>();
    Set<InetAddress> hosts = new HashSet<>();
    for (int i = 0; i < told.path("peers").size(); i++) {
      JsonNode peer = told.path("peers").path(i);
      String key = "mastership.peers[" + i + "]";
      InetSocketAddress at = address(key, peer);
      if (at != null && !hosts.add(at.getAddress())) {
        wrong(key, peer, "each peer needs an IP address of its own: adverts are known by it.");
      } else if (at != null && listen != null && at.getAddress().equals(listen.getAddress())) {
        wrong(key, peer, "a peer's address must not be mastership.listen, which is ours.");
      } else if (at != null && listen != null && six(at) != six(listen)) {
        wrong(key, peer, "it must be of the family of mastership.listen.");
      }
      peers.add(at);
    }
    List<Settings.RouterSettings> seats = new ArrayList<>();
    Set<VirtualRouterId> ids = new HashSet<>();
    Set<InetSocketAddress> served = new HashSet<>();
    for (int i = 0; i < told.path("router").size(); i++) {
      JsonNode router = told.path("router").path(i);
      String key = "mastership.router[" + i + "]";
      Settings.RouterSettings seat = seat(key, router, listen);
      seats.add(seat);
      if (!ids.add(seat.options().router())) {
        wrong(key + ".id", router.path("id"), "each virtual router id may be used once.");
      }
      if (seat.serviceAddress() != null && !served.add(seat.serviceAddress())) {
        wrong(
            key + ".serve",
            router.path("serve"),
            "each virtual router needs an address to serve of its own.");
      }
    }
    if (told.path("peers").size() * seats.size() > MOST_CLAIMS) {
      wrong(
          "mastership.router",
          told.path("router").size() + " routers",
          "no more than "
              + MOST_CLAIMS
              + " routers times peers is allowed: something is kept for each.");
    }
    return new Settings.VirtualAddressSettings(
        listen,
        List.copyOf(peers.stream().filter(p -> p != null).toList()),
        told.path("ipv4_checksum").asText("message").equals("message")
            ? ChecksumCoverage.MESSAGE
            : ChecksumCoverage.PSEUDO_HEADER,
        told.path("other_interval").asText("follow").equals("follow"),
        told.path("elsewhere").asInt(-1),
        told.path("stand_by_answers").asBoolean(true),
        seats,
        sealing("mastership", told.path("seal")),
        fitness(told.path("fitness")));
  }

  private Settings.AgreementSettings agreed(JsonNode told, JsonNode membership) {
    if (told.isMissingNode()) {
      return null;
    }
    if (membership.isMissingNode()) {
      wrong("agreement", told, "it needs [membership]: views carry what is agreed.");
    }
    return new Settings.AgreementSettings(
        new TimeSpan(
            value(told, schema.at("/properties/agreement/properties"), "contradiction_ms").asLong()
                * US_PER_MS));
  }

  private Settings.CapacitySettings spread(JsonNode told, JsonNode membership, JsonNode agreement) {
    if (told.isMissingNode()) {
      return null;
    }
    JsonNode keys = schema.at("/properties/spread/properties");
    if (membership.isMissingNode()) {
      wrong("spread", told, "it needs [membership]: parts are those of the members of a view.");
    }
    if (told.has("lease_ms") && agreement.has("contradiction_ms")) {
      wrong(
          "spread.lease_ms",
          told.path("lease_ms"),
          "agreement.contradiction_ms says for how long a lease lasts; one of the two is allowed.");
    }
    TimeSpan round = new TimeSpan(value(told, keys, "round_ms").asLong() * US_PER_MS);
    TimeSpan end = new TimeSpan(value(told, keys, "unknown_after_ms").asLong() * US_PER_MS);
    if (end.compareTo(round) <= 0) {
      wrong(
          "spread.unknown_after_ms",
          told.path("unknown_after_ms"),
          "it must be longer than spread.round_ms.");
    }
    return new Settings.CapacitySettings(
        value(told, keys, "by").asText().equals("demand"),
        value(told, keys, "alone").asDouble(),
        value(told, keys, "floor").asDouble(),
        new TimeSpan(value(told, keys, "lease_ms").asLong() * US_PER_MS),
        new TimeSpan(value(told, keys, "window_ms").asLong() * US_PER_MS),
        round,
        end,
        new TimeSpan(value(told, keys, "news_ms").asLong() * US_PER_MS),
        value(told, keys, "audit").asBoolean());
  }

  private Settings.RetryBudgetSettings repeats(JsonNode told, JsonNode membership) {
    if (told.isMissingNode()) {
      return null;
    }
    JsonNode keys = schema.at("/properties/repeats/properties");
    if (membership.isMissingNode()) {
      wrong("repeats", told, "it needs [membership]: what is left is moved between members.");
    }
    TimeSpan window = new TimeSpan(value(told, keys, "window_ms").asLong() * US_PER_MS);
    TimeSpan round = new TimeSpan(value(told, keys, "round_ms").asLong() * US_PER_MS);
    if (round.compareTo(window) >= 0) {
      wrong(
          "repeats.round_ms", told.path("round_ms"), "it must be shorter than repeats.window_ms.");
    }
    return new Settings.RetryBudgetSettings(
        value(told, keys, "ratio").asDouble(),
        value(told, keys, "alone").asDouble(),
        window,
        round);
  }

  private Settings.MembershipSettings fleet(JsonNode told) {
    JsonNode keys = schema.at("/properties/membership/properties");
    InetSocketAddress listen = address("membership.listen", told.path("listen"));
    InetSocketAddress advertise =
        told.has("advertise") ? address("membership.advertise", told.path("advertise")) : listen;
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (int i = 0; i < told.path("seeds").size(); i++) {
      InetSocketAddress seed = address("membership.seeds[" + i + "]", told.path("seeds").path(i));
      if (seed != null) {
        seeds.add(seed);
      }
    }
    List<String> founders = new ArrayList<>();
    told.path("founders").forEach(f -> founders.add(f.asText()));
    return new Settings.MembershipSettings(
        told.path("fleet").asText(),
        listen,
        advertise,
        List.copyOf(seeds),
        List.copyOf(founders),
        new TimeSpan(value(told, keys, "period_ms").asLong() * US_PER_MS),
        value(told, keys, "patience").asDouble(),
        value(told, keys, "helpers").asInt(),
        told.has("folder") ? beside(told.path("folder").asText()) : null,
        told.has("found_anew") ? told.path("found_anew").asText() : null,
        sealing("membership", told.path("seal")));
  }

  private static boolean six(InetSocketAddress address) {
    return address.getAddress() instanceof Inet6Address;
  }

  private Settings.RouterSettings seat(String key, JsonNode told, InetSocketAddress listen) {
    List<InetAddress> addresses = new ArrayList<>();
    for (int i = 0; i < told.path("addresses").size(); i++) {
      JsonNode text = told.path("addresses").path(i);
      InetAddress read = Addresses.read(text.asText()).orElse(null);
      if (read == null) {
        wrong(
            key + ".addresses[" + i + "]",
            text,
            "an IPv4 or IPv6 address, written out, is allowed.");
      } else if (listen != null && read instanceof Inet6Address != six(listen)) {
        wrong(
            key + ".addresses[" + i + "]", text, "it must be of the family of mastership.listen.");
      } else {
        addresses.add(read);
      }
    }
    boolean ipv6 = listen != null && six(listen);
    RouterOptions terms =
        new RouterOptions(
            new VirtualRouterId(told.path("id").asInt(), ipv6),
            told.path("priority").asInt(100),
            ms(told.path("interval_ms"), US_PER_CENTISECOND * 100 / US_PER_MS),
            told.path("preempt").asBoolean(true),
            ms(told.path("preempt_delay_ms"), 0),
            addresses);
    return new Settings.RouterSettings(terms, address(key + ".serve", told.path("serve")));
  }

  private static TimeSpan ms(JsonNode told, long otherwise) {
    return new TimeSpan(told.asLong(otherwise) * US_PER_MS);
  }

  /** A path in the file counts from the file's own folder. */
  private Path beside(String name) {
    return file.toAbsolutePath().getParent().resolve(name);
  }

  private Settings.AuthenticationSettings sealing(String part, JsonNode told) {
    if (told.isMissingNode()) {
      return null;
    }
    String name = told.path("keys").asText();
    try {
      KeyRing keys = KeyRing.read(Files.readString(beside(name)));
      if (!keys.contains(told.path("write_key").asInt())) {
        wrong(
            part + ".seal.write_key",
            told.path("write_key"),
            "the id of a key in " + name + " is allowed.");
      }
      return new Settings.AuthenticationSettings(
          keys, told.path("write_key").asInt(), ms(told.path("clock_difference_ms"), 500));
    } catch (IOException e) {
      wrong(
          part + ".seal.keys",
          told.path("keys"),
          "a file that can be read is allowed; this one: " + e);
    } catch (IllegalArgumentException e) {
      wrong(
          part + ".seal.keys",
          told.path("keys"),
          "a file of keys is allowed; of this one " + e.getMessage());
    }
    return null;
  }

  private HealthScore.HealthScoreOptions fitness(JsonNode told) {
    JsonNode keys = schema.at("/properties/mastership/properties/fitness/properties");
    Map<HealthSignal, HealthScore.SignalBounds> bounds = new EnumMap<>(HealthSignal.class);
    for (HealthSignal sign : HealthSignal.values()) {
      String name = sign.name().toLowerCase(Locale.ROOT);
      JsonNode of = told.path(name);
      JsonNode defaults = keys.path(name).path("properties");
      double bad = value(of, defaults, "bad_from").asDouble();
      double well = value(of, defaults, "well_below").asDouble();
      int steps = value(of, defaults, "steps").asInt();
      if (well > bad) {
        wrong(
            "mastership.fitness." + name + ".well_below",
            of.path("well_below"),
            "no more than bad_from, " + bad + ", is allowed.");
      }
      if (steps > 0) {
        bounds.put(sign, new HealthScore.SignalBounds(bad, well, steps));
      }
    }
    return new HealthScore.HealthScoreOptions(
        bounds,
        new TimeSpan(value(told, keys, "sustained_ms").asLong() * US_PER_MS),
        new TimeSpan(value(told, keys, "calm_ms").asLong() * US_PER_MS),
        value(told, keys, "most_doubled").asInt());
  }

  private static JsonNode value(JsonNode told, JsonNode schema, String name) {
    return told.has(name) ? told.path(name) : schema.path(name).path("default");
  }

  private InetSocketAddress address(String key, JsonNode told) {
    String text = told.isMissingNode() || told instanceof MissingNode ? "" : told.asText();
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|]$", "");
    InetAddress read = Addresses.read(host).orElse(null);
    int port = colon < 0 || read == null ? -1 : Integer.parseInt(text.substring(colon + 1));
    if (read == null || port < 1 || port > LAST_PORT || read.isAnyLocalAddress()) {
      wrong(
          key,
          told,
          "one address written out, a colon and a port from 1 to " + LAST_PORT + " is allowed.");
      return null;
    }
    return new InetSocketAddress(read, port);
  }
}
