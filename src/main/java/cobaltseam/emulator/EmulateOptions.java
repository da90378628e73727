package cobaltseam.emulator;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** What every command is told. */
class EmulateOptions {
  @Option(
      names = "--world",
      paramLabel = "NAME",
      defaultValue = "hall",
      description = "hall, or a file; default: ${DEFAULT-VALUE}")
  String world;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      defaultValue = "60",
      description = "virtual seconds; default: ${DEFAULT-VALUE}")
  double seconds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "default: ${DEFAULT-VALUE}")
  long seed;

  @Option(
      names = "--faults",
      paramLabel = "N",
      defaultValue = "0",
      description = "faults drawn by the seed; default: ${DEFAULT-VALUE}")
  int faults;

  @Option(names = "--engines", paramLabel = "N", description = "in place of the world's number")
  Integer engines;

  @Option(names = "--dispatchers", paramLabel = "N", description = "in place of the world's number")
  Integer dispatchers;

  @Option(
      names = "--load",
      paramLabel = "SHARE",
      description = "of the world's capacity, in place of its rate")
  Double load;

  @Option(
      names = "--skew",
      paramLabel = "POWER",
      description = "dispatchers carry parts as 1 / rank to this power, in place of the world's")
  Double skew;

  private static EmulatedSite.Engines withCount(EmulatedSite.Engines engineSettings, int count) {
    return new EmulatedSite.Engines(
        count,
        engineSettings.cores(),
        engineSettings.speedSpread(),
        engineSettings.knee(),
        engineSettings.fall(),
        engineSettings.sessions(),
        engineSettings.slowStartFraction(),
        engineSettings.slowStartS(),
        engineSettings.memoryMb(),
        engineSettings.spill(),
        engineSettings.warmSets(),
        engineSettings.warmGain(),
        Math.min(engineSettings.locations(), count),
        Math.min(engineSettings.groups(), count),
        engineSettings.errors());
  }

  /** The named site in the size and with the load of these options. */
  EmulatedSite world() {
    EmulatedSite site = EmulatedSites.named(world);
    EmulatedSite.Engines engineSettings = site.engines();
    int count = engines == null ? engineSettings.count() : engines;
    EmulatedSite.Engines of = withCount(engineSettings, count);
    EmulatedSite sized =
        new EmulatedSite(
            site.name(),
            of,
            dispatchers == null ? site.dispatchers() : dispatchers,
            site.requestClasses(),
            site.tenants(),
            site.load(),
            site.network(),
            site.discovery(),
            site.limits());
    double perSecond =
        load != null
            ? sized.capacity() * load
            : site.load().perSecond() * count / engineSettings.count();
    EmulatedSite.Load loadSettings = site.load();
    // Quotas grow with the load, as they were at the site's own size.
    List<EmulatedSite.Tenant> tenants =
        site.tenants().stream()
            .map(
                h ->
                    new EmulatedSite.Tenant(
                        h.name(),
                        h.part(),
                        h.perSecond() * perSecond / Math.max(1e-9, loadSettings.perSecond())))
            .toList();
    return new EmulatedSite(
        site.name(),
        of,
        sized.dispatchers(),
        site.requestClasses(),
        tenants,
        new EmulatedSite.Load(
            perSecond,
            loadSettings.swing(),
            loadSettings.swingS(),
            loadSettings.burstEveryS(),
            loadSettings.burstTimes(),
            loadSettings.burstS(),
            loadSettings.dataSets(),
            loadSettings.skew(),
            loadSettings.retries(),
            loadSettings.estimateError(),
            loadSettings.closedClients(),
            loadSettings.thinkMs(),
            skew != null ? skew : loadSettings.dispatcherSkew()),
        site.network(),
        site.discovery(),
        site.limits());
  }

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "faults from a file, in place of drawn ones")
  Path script;

  List<Fault> faultsFor(EmulatedSite site, long faultSeed) {
    return script != null
        ? FaultScript.read(script, site)
        : Fault.random(site, seconds, faults, faultSeed);
  }
}
