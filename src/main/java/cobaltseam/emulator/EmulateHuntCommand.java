package cobaltseam.emulator;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs many random fault scripts on all cores. */
@Command(
    name = "hunt",
    description =
        "Runs random fault scripts on all cores, and reports broken rules and the worst runs.",
    mixinStandardHelpOptions = true)
final class EmulateHuntCommand implements Callable<Integer> {
  @CommandLine.Mixin EmulateOptions common;

  @Option(
      names = "--policy",
      paramLabel = "NAME",
      defaultValue = "module",
      description = "default: ${DEFAULT-VALUE}")
  String policy;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "100",
      description = "default: ${DEFAULT-VALUE}")
  int runs;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  private record SeedResult(long seed, Simulation.Result result) {}

  /** Runs one seed; an exception names the seed, so that it can be reproduced. */
  private SeedResult runSeed(EmulatedSite site, long seed) {
    try {
      return new SeedResult(
          seed,
          new Simulation(
                  site,
                  PolicyCatalog.named(policy),
                  common.faultsFor(site, seed),
                  common.seconds,
                  seed)
              .run());
    } catch (RuntimeException e) {
      throw new IllegalStateException("the run of seed " + seed + " failed", e);
    }
  }

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    EmulatedSite site = common.site();
    List<SeedResult> results =
        IntStream.range(0, runs).parallel().mapToObj(i -> runSeed(site, common.seed + i)).toList();
    long violatingRuns = results.stream().filter(r -> r.result.violationCount() > 0).count();
    double meanGoodput =
        results.stream().mapToDouble(r -> r.result.counts().goodput()).average().orElse(0);
    long admitted = results.stream().mapToLong(r -> r.result.counts().admitted()).sum();
    out.printf(
        Locale.ROOT,
        "%d runs, %d commands taken, emulated goodput %.4f at the mean, %d runs broke a rule%n",
        runs,
        admitted,
        meanGoodput,
        violatingRuns);
    List<SeedResult> byGoodput = new ArrayList<>(results);
    byGoodput.sort(
        (a, b) -> Double.compare(a.result.counts().goodput(), b.result.counts().goodput()));
    byGoodput.stream()
        .limit(5)
        .forEach(
            r ->
                out.printf(
                    Locale.ROOT, "seed %d: goodput %.4f%n", r.seed, r.result.counts().goodput()));
    results.stream()
        .filter(r -> r.result.violationCount() > 0)
        .limit(10)
        .forEach(
            r ->
                out.printf(
                    Locale.ROOT,
                    "seed %d broke %d: %s%n",
                    r.seed,
                    r.result.violationCount(),
                    r.result.violations().get(0)));
    out.flush();
    return violatingRuns == 0 ? 0 : 1;
  }
}
