package cobaltseam.settings;

import cobaltseam.mastership.HealthScore;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.mastership.RouterOptions;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Reads the section [mastership], and checks its settings against each other. */
final class MastershipSection {
  /** A claim is stored for each router and peer. */
  private static final int MAX_CLAIMS = 1 << 13;

  private static final int DEFAULT_PRIORITY = 100;
  private static final long DEFAULT_INTERVAL_MS = 1000;

  private final SettingValues values;
  private final SettingErrors errors;

  MastershipSection(SettingValues values, SettingErrors errors) {
    this.values = values;
    this.errors = errors;
  }

  Settings.VirtualAddressSettings read(JsonNode section) {
    InetSocketAddress listen = values.address("mastership.listen", section.path("listen"));
    List<InetSocketAddress> peers = readPeers(section.path("peers"), listen);
    List<Settings.RouterSettings> routers = readRouters(section.path("router"), listen);
    if (section.path("peers").size() * routers.size() > MAX_CLAIMS) {
      errors.add(
          "mastership.router",
          section.path("router").size() + " routers",
          "no more than "
              + MAX_CLAIMS
              + " routers times peers is allowed: something is kept for each.");
    }
    return new Settings.VirtualAddressSettings(
        listen,
        peers,
        section.path("ipv4_checksum").asText("message").equals("message")
            ? ChecksumCoverage.MESSAGE
            : ChecksumCoverage.PSEUDO_HEADER,
        section.path("other_interval").asText("follow").equals("follow"),
        section.path("elsewhere").asInt(-1),
        section.path("stand_by_answers").asBoolean(true),
        routers,
        values.authentication("mastership", section.path("seal")),
        readHealthScore(section.path("fitness")));
  }

  /** The peers whose address is valid, even if it conflicts with another one. */
  private List<InetSocketAddress> readPeers(JsonNode peers, InetSocketAddress listen) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    Set<InetAddress> hosts = new HashSet<>();
    for (int i = 0; i < peers.size(); i++) {
      JsonNode peer = peers.path(i);
      String key = "mastership.peers[" + i + "]";
      InetSocketAddress address = values.address(key, peer);
      if (address != null && !hosts.add(address.getAddress())) {
        errors.add(key, peer, "each peer needs an IP address of its own: adverts are known by it.");
      } else if (address != null && listen != null) {
        checkPeer(key, peer, address, listen);
      }
      addresses.add(address);
    }
    return addresses.stream().filter(Objects::nonNull).toList();
  }

  private void checkPeer(
      String key, JsonNode peer, InetSocketAddress address, InetSocketAddress listen) {
    if (address.getAddress().equals(listen.getAddress())) {
      errors.add(key, peer, "a peer's address must not be mastership.listen, which is ours.");
    } else if (SettingValues.isIpv6(address) != SettingValues.isIpv6(listen)) {
      errors.add(key, peer, "it must be of the family of mastership.listen.");
    }
  }

  private List<Settings.RouterSettings> readRouters(JsonNode routers, InetSocketAddress listen) {
    List<Settings.RouterSettings> settings = new ArrayList<>();
    Set<VirtualRouterId> ids = new HashSet<>();
    Set<InetSocketAddress> serviceAddresses = new HashSet<>();
    for (int i = 0; i < routers.size(); i++) {
      JsonNode router = routers.path(i);
      String key = "mastership.router[" + i + "]";
      Settings.RouterSettings read = readRouter(key, router, listen);
      settings.add(read);
      if (!ids.add(read.options().router())) {
        errors.add(key + ".id", router.path("id"), "each virtual router id may be used once.");
      }
      if (read.serviceAddress() != null && !serviceAddresses.add(read.serviceAddress())) {
        errors.add(
            key + ".serve",
            router.path("serve"),
            "each virtual router needs an address to serve of its own.");
      }
    }
    return settings;
  }

  private Settings.RouterSettings readRouter(
      String key, JsonNode router, InetSocketAddress listen) {
    RouterOptions options =
        new RouterOptions(
            new VirtualRouterId(
                router.path("id").asInt(), listen != null && SettingValues.isIpv6(listen)),
            router.path("priority").asInt(DEFAULT_PRIORITY),
            SettingValues.time(router.path("interval_ms"), DEFAULT_INTERVAL_MS),
            router.path("preempt").asBoolean(true),
            SettingValues.time(router.path("preempt_delay_ms"), 0),
            readVirtualAddresses(key, router.path("addresses"), listen));
    return new Settings.RouterSettings(
        options, values.address(key + ".serve", router.path("serve")));
  }

  private List<InetAddress> readVirtualAddresses(
      String routerKey, JsonNode texts, InetSocketAddress listen) {
    List<InetAddress> addresses = new ArrayList<>();
    for (int i = 0; i < texts.size(); i++) {
      JsonNode text = texts.path(i);
      String key = routerKey + ".addresses[" + i + "]";
      InetAddress address = Addresses.parse(text.asText()).orElse(null);
      if (address == null) {
        errors.add(key, text, "an IPv4 or IPv6 address, written out, is allowed.");
      } else if (listen != null
          && address instanceof Inet6Address != SettingValues.isIpv6(listen)) {
        errors.add(key, text, "it must be of the family of mastership.listen.");
      } else {
        addresses.add(address);
      }
    }
    return addresses;
  }

  private HealthScore.HealthScoreOptions readHealthScore(JsonNode section) {
    JsonNode schema = values.schemaOf("mastership.fitness");
    Map<HealthSignal, HealthScore.SignalBounds> bounds = new EnumMap<>(HealthSignal.class);
    for (HealthSignal signal : HealthSignal.values()) {
      HealthScore.SignalBounds read = readBounds(section, schema, signal.label());
      if (read.priorityDecrement() > 0) {
        bounds.put(signal, read);
      }
    }
    return new HealthScore.HealthScoreOptions(
        bounds,
        SettingValues.timeOrDefault(section, schema, "sustained_ms"),
        SettingValues.timeOrDefault(section, schema, "calm_ms"),
        SettingValues.valueOrDefault(section, schema, "most_doubled").asInt());
  }

  private HealthScore.SignalBounds readBounds(JsonNode section, JsonNode schema, String signal) {
    JsonNode bounds = section.path(signal);
    JsonNode defaults = schema.path(signal).path("properties");
    double unhealthyFrom = SettingValues.valueOrDefault(bounds, defaults, "bad_from").asDouble();
    double healthyBelow = SettingValues.valueOrDefault(bounds, defaults, "well_below").asDouble();
    int steps = SettingValues.valueOrDefault(bounds, defaults, "steps").asInt();
    if (healthyBelow > unhealthyFrom) {
      errors.add(
          "mastership.fitness." + signal + ".well_below",
          bounds.path("well_below"),
          "no more than bad_from, " + unhealthyFrom + ", is allowed.");
    }
    return new HealthScore.SignalBounds(unhealthyFrom, healthyBelow, steps);
  }
}
