package cobaltseam.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Writes the two configuration files of each process of a fleet into a folder of its own. */
final class FleetConfigurationWriter {
  private final RealFleetPlan plan;
  private final Path folder;
  private final FaultRelays relays;

  FleetConfigurationWriter(RealFleetPlan plan, Path folder, FaultRelays relays) {
    this.plan = plan;
    this.folder = folder;
    this.relays = relays;
  }

  void write(int index, int port) throws IOException {
    Path processFolder = Files.createDirectories(folder.resolve(RealFleet.name(index)));
    DiscoverySource discovery =
        plan.discovery() == null ? DiscoverySource.UNREACHABLE : plan.discovery();
    Files.writeString(
        processFolder.resolve("config.json"),
        """
                {"name":"%s","listen":"127.0.0.1:%d","seed":"%016x","limits":{"sockets":128,"memory_mb":64},
                "bus":"%s","known":{"offset":%d,"batch":[%s]},
                "settings":{"balancers":%d,"position":%d,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":1000}],"machine_types":["m"],"family_info":{"cores_by_kind":[4]},
                "rules":{"cold_from":0.3},"limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":250000,"conn_idle_us":30000000,"streams_per_conn":32}}}
                """
            .formatted(
                RealFleet.name(index),
                port,
                0x8c1f30d27a5be964L + index,
                hostAndPort(discovery.address()),
                discovery.initialEvents().size(),
                String.join(",", discovery.initialEvents()),
                plan.processes(),
                index));
    String seeds =
        IntStream.range(0, Math.min(8, plan.processes()))
            .mapToObj(seed -> "\"" + hostAndPort(relays.advertisedAddress(seed)) + "\"")
            .collect(Collectors.joining(", "));
    String bootstrapMembers =
        IntStream.range(0, plan.bootstrapMembers())
            .mapToObj(member -> "\"" + RealFleet.name(member) + "\"")
            .collect(Collectors.joining(", "));
    Files.writeString(
        processFolder.resolve("cobaltseam.toml"),
        """
                [logging]
                form = "json"
                %s
                [membership]
                fleet = "rig"
                listen = "%s"
                advertise = "%s"
                seeds = [%s]
                founders = [%s]
                period_ms = %d
                patience = %s
                %s
                """
            .formatted(
                plan.extraSettings(),
                hostAndPort(relays.listenAddress(index)),
                hostAndPort(relays.advertisedAddress(index)),
                seeds,
                bootstrapMembers,
                plan.healthCheckIntervalMs(),
                plan.suspicionTimeoutPeriods(),
                plan.withPersistence() ? "folder = \"kept\"" : ""));
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
