package cobaltseam.emulator;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares policies on the same seeds. */
@Command(
    name = "policies",
    description = "Compares policies on the same site, faults and seeds.",
    mixinStandardHelpOptions = true)
final class EmulatePoliciesCommand implements Callable<Integer> {
  @CommandLine.Mixin EmulateOptions common;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "8",
      description = "the number of seeds; default: ${DEFAULT-VALUE}")
  int runs;

  @Option(
      names = "--policies",
      paramLabel = "NAMES",
      split = ",",
      defaultValue =
          "module,random,round-robin,least-in-hand,two-choices,shortest-late,clairvoyant",
      description = "default: ${DEFAULT-VALUE}")
  List<String> policies;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    EmulatedSite site = common.site();
    out.println(
        "| policy | emulated goodput, mean of seeds | least | rules broken | busiest engine over the mean | idlest | commands a second and core |");
    out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (String policy : policies) {
      List<Simulation.Result> results =
          IntStream.range(0, runs)
              .parallel()
              .mapToObj(
                  i ->
                      new Simulation(
                              site,
                              PolicyCatalog.named(policy),
                              common.faultsFor(site, common.seed + i),
                              common.seconds,
                              common.seed + i)
                          .run())
              .toList();
      out.printf(
          Locale.ROOT,
          "| %s | %.4f | %.4f | %d | %.2f | %.2f | %.0f |%n",
          policy,
          results.stream().mapToDouble(r -> r.counts().goodput()).average().orElse(0),
          results.stream().mapToDouble(r -> r.counts().goodput()).min().orElse(0),
          results.stream().mapToLong(Simulation.Result::violationCount).sum(),
          results.stream().mapToDouble(r -> r.counts().busiest()).average().orElse(0),
          results.stream().mapToDouble(r -> r.counts().idlest()).average().orElse(0),
          results.stream().mapToDouble(Simulation.Result::admittedPerSecond).average().orElse(0));
      out.flush();
    }
    return 0;
  }
}
