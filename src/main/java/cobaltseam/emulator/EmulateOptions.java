package cobaltseam.emulator;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** The options that all commands share. */
class EmulateOptions {
  @Option(
      names = "--world",
      paramLabel = "NAME",
      defaultValue = "hall",
      description = "the name of an included site, or a file; default: ${DEFAULT-VALUE}")
  String siteName;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      defaultValue = "60",
      description = "the virtual duration in seconds; default: ${DEFAULT-VALUE}")
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
      description = "the number of random faults; default: ${DEFAULT-VALUE}")
  int faults;

  @Option(
      names = "--engines",
      paramLabel = "N",
      description = "the number of engines, instead of the site's")
  Integer engines;

  @Option(
      names = "--dispatchers",
      paramLabel = "N",
      description = "the number of dispatchers, instead of the site's")
  Integer dispatchers;

  @Option(
      names = "--load",
      paramLabel = "SHARE",
      description = "the load as a share of the site's capacity, instead of the site's rate")
  Double load;

  @Option(
      names = "--skew",
      paramLabel = "POWER",
      description =
          "traffic shares of dispatchers fall as 1 / rank to this power, instead of the site's")
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

  /** The named site with the size and the load that these options set. */
  EmulatedSite site() {
    EmulatedSite site = EmulatedSites.named(siteName);
    EmulatedSite.Engines engineSettings = site.engines();
    int count = engines == null ? engineSettings.count() : engines;
    EmulatedSite.Engines resizedEngines = withCount(engineSettings, count);
    EmulatedSite resized =
        new EmulatedSite(
            site.name(),
            resizedEngines,
            dispatchers == null ? site.dispatchers() : dispatchers,
            site.requestClasses(),
            site.tenants(),
            site.load(),
            site.network(),
            site.discovery(),
            site.limits());
    double perSecond =
        load != null
            ? resized.capacity() * load
            : site.load().perSecond() * count / engineSettings.count();
    EmulatedSite.Load loadSettings = site.load();
    // Quotas are in proportion to the load.
    List<EmulatedSite.Tenant> tenants =
        site.tenants().stream()
            .map(
                tenant ->
                    new EmulatedSite.Tenant(
                        tenant.name(),
                        tenant.part(),
                        tenant.perSecond() * perSecond / Math.max(1e-9, loadSettings.perSecond())))
            .toList();
    return new EmulatedSite(
        site.name(),
        resizedEngines,
        resized.dispatchers(),
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
      description = "reads the faults from a file, instead of random ones")
  Path script;

  /** The faults of the script, or else random faults of this seed. */
  List<Fault> faultsFor(EmulatedSite site, long faultSeed) {
    return script != null
        ? FaultScript.read(script, site)
        : Fault.random(site, seconds, faults, faultSeed);
  }
}
