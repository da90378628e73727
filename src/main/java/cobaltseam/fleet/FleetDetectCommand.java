package cobaltseam.fleet;

import cobaltseam.deployment.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code fleet detect}: the time from a kill until all live members have installed a
 * view without the killed one.
 */
@Command(
    name = "detect",
    description =
        "Prints a table row: the time from a kill until every live member has a view without "
            + "the killed one, in health check intervals, over many kills.",
    mixinStandardHelpOptions = true)
final class FleetDetectCommand implements Callable<Integer> {
  @CommandLine.Mixin FleetOptions common;

  @Option(
      names = "--kills",
      paramLabel = "N",
      defaultValue = "100",
      description = "default: ${DEFAULT-VALUE}")
  int kills;

  @Option(
      names = "--loss",
      paramLabel = "SHARE",
      defaultValue = "0",
      description = "ratio of all datagrams that is lost; default: ${DEFAULT-VALUE}")
  double loss;

  @Option(
      names = "--period-ms",
      paramLabel = "MS",
      defaultValue = "200",
      description = "health check interval of real processes; default: ${DEFAULT-VALUE}")
  int periodMs;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    List<Double> periods =
        common.real ? detectInProcesses() : Collections.synchronizedList(new ArrayList<>());
    if (!common.real) {
      LongStream.range(common.seed, common.seed + kills)
          .parallel()
          .forEach(seed -> periods.add(detectInVirtualTime(seed)));
    }
    Collections.sort(periods);
    spec.commandLine()
        .getOut()
        .printf(
            Locale.ROOT,
            "| %s | %d | %.0f%% | %d | %.1f | %.1f | %.1f |%n",
            common.real ? "processes" : "virtual",
            common.processes,
            loss * 100,
            periods.size(),
            periods.get(periods.size() / 2),
            periods.get((int) Math.min(periods.size() - 1, Math.ceil(periods.size() * 0.99) - 1)),
            periods.get(periods.size() - 1));
    spec.commandLine().getOut().flush();
    return 0;
  }

  private List<Fault> lossFaults() {
    return loss == 0
        ? List.of()
        : List.of(new Fault(Fault.Kind.LOSS, 0, 1e9, List.of(), List.of(), loss));
  }

  private double detectInVirtualTime(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double formedByS = 40 + common.processes / 10.0;
    double killS = formedByS + random.nextDouble();
    List<Fault> script = new ArrayList<>(lossFaults());
    script.add(
        new Fault(
            Fault.Kind.GONE, killS, 1, List.of(random.nextInt(common.processes)), List.of(), 1));
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(common.processes), script, seed);
    fleet.run(killS + 0.001);
    double second = killS;
    while (!fleet.isSettled() && second < killS + FleetRunner.VIRTUAL_SETTLE_LIMIT_S) {
      second += 0.02;
      fleet.run(second);
    }
    return (second - killS) / VirtualFleet.Plan.of(common.processes).healthCheckIntervalS();
  }

  private List<Double> detectInProcesses() throws IOException, InterruptedException {
    List<Double> periods = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(common.seed);
    RealFleetPlan plan =
        new RealFleetPlan(
            common.processes, periodMs, 3, Math.min(3, common.processes), common.folders, "", null);
    Path logFolder = common.folder == null ? Files.createTempDirectory("fleet") : common.folder;
    try (RealFleet fleet = new RealFleet(plan, lossFaults(), common.seed, logFolder)) {
      fleet.startAll();
      awaitSettled(fleet);
      for (int kill = 0; kill < kills; kill++) {
        int victim = random.nextInt(common.processes);
        fleet.kill(victim);
        periods.add(awaitSettled(fleet) * 1000 / periodMs);
        fleet.start(victim);
        awaitSettled(fleet);
      }
    }
    return periods;
  }

  private static double awaitSettled(RealFleet fleet) throws InterruptedException {
    double second = fleet.awaitSettled(FleetRunner.REAL_SETTLE_LIMIT_S);
    if (second < 0) {
      throw new InvalidInputException(
          "the fleet did not settle on one view within " + FleetRunner.REAL_SETTLE_LIMIT_S + " s");
    }
    return second;
  }
}
