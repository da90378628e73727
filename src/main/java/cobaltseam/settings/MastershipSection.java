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

/** Reads the section [mastership] and validates its settings against each other. */
final class MastershipSection {
  /** The maximum of routers times peers, because state is stored for each pair of them. */
  private static final int MAX_ROUTER_PEER_PAIRS = 1 << 13;

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
    if (section.path("peers").size() * routers.size() > MAX_ROUTER_PEER_PAIRS) {
      errors.add(
          "mastership.router",
          section.path("router").size() + " routers",
          "at most "
              + MAX_ROUTER_PEER_PAIRS
              + " pairs of a router and a peer are allowed, because state is stored for each.");
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

  /** Returns the peers with a valid address, including those whose address conflicts. */
  private List<InetSocketAddress> readPeers(JsonNode peers, InetSocketAddress listen) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    Set<InetAddress> hosts = new HashSet<>();
    for (int i = 0; i < peers.size(); i++) {
      JsonNode peer = peers.path(i);
      String key = "mastership.peers[" + i + "]";
      InetSocketAddress address = values.address(key, peer);
      if (address != null && !hosts.add(address.getAddress())) {
        errors.add(
            key, peer, "each peer needs its own IP address, which identifies its advertisements.");
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
      errors.add(key, peer, "the address of a peer must differ from mastership.listen.");
    } else if (SettingValues.isIpv6(address) != SettingValues.isIpv6(listen)) {
      errors.add(key, peer, "must have the address family of mastership.listen.");
    }
  }

  private List<Settings.RouterSettings> readRouters(JsonNode routers, InetSocketAddress listen) {
    List<Settings.RouterSettings> settings = new ArrayList<>();
    Set<VirtualRouterId> ids = new HashSet<>();
    Set<InetSocketAddress> serviceAddresses = new HashSet<>();
    for (int i = 0; i < routers.size(); i++) {
      JsonNode router = routers.path(i);
      String key = "mastership.router[" + i + "]";
      Settings.RouterSettings routerSettings = readRouter(key, router, listen);
      settings.add(routerSettings);
      if (!ids.add(routerSettings.options().router())) {
        errors.add(key + ".id", router.path("id"), "each virtual router id may be used only once.");
      }
      if (routerSettings.serviceAddress() != null
          && !serviceAddresses.add(routerSettings.serviceAddress())) {
        errors.add(
            key + ".serve",
            router.path("serve"),
            "each virtual router needs its own address to serve.");
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
        errors.add(key, text, "expected a numeric IPv4 or IPv6 address.");
      } else if (listen != null
          && address instanceof Inet6Address != SettingValues.isIpv6(listen)) {
        errors.add(key, text, "must have the address family of mastership.listen.");
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
      HealthScore.SignalBounds signalBounds = readBounds(section, schema, signal.label());
      if (signalBounds.priorityDecrement() > 0) {
        bounds.put(signal, signalBounds);
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
    int priorityDecrement = SettingValues.valueOrDefault(bounds, defaults, "steps").asInt();
    if (healthyBelow > unhealthyFrom) {
      errors.add(
          "mastership.fitness." + signal + ".well_below",
          bounds.path("well_below"),
          "must not exceed bad_from, " + unhealthyFrom + ".");
    }
    return new HealthScore.SignalBounds(unhealthyFrom, healthyBelow, priorityDecrement);
  }
}
