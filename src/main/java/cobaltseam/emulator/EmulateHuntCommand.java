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

/** Many drawn scripts, each a run; all cores. */
@Command(
    name = "hunt",
    description =
        "Runs drawn fault scripts over all cores, and tells broken rules and the worst runs.",
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

  private record Ran(long seed, Simulation.Result result) {}

  /** A fault of the code under one seed is told with that seed. */
  private Ran play(EmulatedSite world, long seed) {
    try {
      return new Ran(
          seed,
          new Simulation(
                  world,
                  PolicyCatalog.named(policy),
                  common.faultsFor(world, seed),
                  common.seconds,
                  seed)
              .run());
    } catch (RuntimeException e) {
      throw new IllegalStateException("seed " + seed + " ends in a fault", e);
    }
  }

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    EmulatedSite world = common.world();
    List<Ran> ran =
        IntStream.range(0, runs).parallel().mapToObj(i -> play(world, common.seed + i)).toList();
    long broken = ran.stream().filter(r -> r.result.violationCount() > 0).count();
    double mean = ran.stream().mapToDouble(r -> r.result.counts().goodput()).average().orElse(0);
    long taken = ran.stream().mapToLong(r -> r.result.counts().admitted()).sum();
    out.printf(
        Locale.ROOT,
        "%d runs, %d commands taken, emulated goodput %.4f at the mean, %d runs broke a rule%n",
        runs,
        taken,
        mean,
        broken);
    List<Ran> order = new ArrayList<>(ran);
    order.sort((a, b) -> Double.compare(a.result.counts().goodput(), b.result.counts().goodput()));
    order.stream()
        .limit(5)
        .forEach(
            r ->
                out.printf(
                    Locale.ROOT, "seed %d: goodput %.4f%n", r.seed, r.result.counts().goodput()));
    ran.stream()
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
    return broken == 0 ? 0 : 1;
  }
}
