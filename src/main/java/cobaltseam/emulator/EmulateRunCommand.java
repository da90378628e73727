package cobaltseam.emulator;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one seed. */
@Command(
    name = "run",
    description =
        "Runs one seed, and reports the outcomes for clients, broken rules and the speed of the run.",
    mixinStandardHelpOptions = true)
final class EmulateRunCommand implements Callable<Integer> {
  @CommandLine.Mixin EmulateOptions common;

  @Option(
      names = "--policy",
      paramLabel = "NAME",
      defaultValue = "module",
      description = "default: ${DEFAULT-VALUE}")
  String policy;

  @Option(
      names = "--chart",
      paramLabel = "FILE",
      description = "writes a chart of the priority weight by second, with the faults, as SVG")
  Path chart;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    EmulatedSite site = common.site();
    List<Fault> faults = common.faultsFor(site, common.seed);
    faults.forEach(
        fault ->
            out.printf(
                Locale.ROOT,
                "fault: %s from %.1f s for %.1f s on %d engines, size %.2f, who %d%n",
                fault.kind().label(),
                fault.atS(),
                fault.lengthS(),
                fault.engines().size(),
                fault.size(),
                fault.target()));
    Simulation.Result result =
        new Simulation(site, PolicyCatalog.named(policy), faults, common.seconds, common.seed)
            .run();
    out.println(
        "| profile | offered | in target | late | shed | failed | unheard | median, ms | 99th, ms |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int i = 0; i < site.requestClasses().size(); i++) {
      OutcomeCounts.ClassOutcome row = result.counts().rows().get(i);
      out.printf(
          Locale.ROOT,
          "| %s | %d | %d | %d | %d | %d | %d | %.1f | %.1f |%n",
          site.requestClasses().get(i).name(),
          row.offered,
          row.withinObjective,
          row.late,
          row.shed,
          row.failed,
          row.unanswered,
          row.latency.getValueAtPercentile(50) / 1000.0,
          row.latency.getValueAtPercentile(99) / 1000.0);
    }
    out.printf(
        Locale.ROOT,
        "emulated goodput %.4f; %d taken, %d sends, %d further; %d rules broken; %.0f s in %.2f s: %.0f commands a second; "
            + "decisions %016x%n",
        result.counts().goodput(),
        result.counts().admitted(),
        result.counts().attempts(),
        result.counts().retries(),
        result.violationCount(),
        result.virtualS(),
        result.realS(),
        result.admittedPerSecond(),
        result.hash());
    result.violations().forEach(out::println);
    out.flush();
    if (chart != null) {
      Charts.series(
          chart,
          site.name() + ", " + policy + ", seed " + common.seed + " (emulated)",
          result.counts().seconds(),
          faults);
    }
    return result.violationCount() == 0 ? 0 : 1;
  }
}
