package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code fleet steady}: how stable views are while no process ends. */
@Command(
    name = "steady",
    description =
        "Prints a table row: view changes and removed members in virtual time "
            + "in which no process ends.",
    mixinStandardHelpOptions = true)
final class FleetSteadyCommand implements Callable<Integer> {
  private static final double FORMED_AT_S = 60;
  private static final double PAUSE_INTERVAL_S = 20;
  @CommandLine.Mixin FleetOptions common;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "8",
      description = "seeds; default: ${DEFAULT-VALUE}")
  int runs;

  @Option(
      names = "--kind",
      paramLabel = "KIND",
      defaultValue = "loss",
      description = "loss, loss_in, one_way or ring; default: ${DEFAULT-VALUE}")
  String kind;

  @Option(
      names = "--size",
      paramLabel = "SHARE",
      defaultValue = "0",
      description = "the size of the fault; default: ${DEFAULT-VALUE}")
  double size;

  @Option(
      names = "--pauses",
      paramLabel = "S",
      defaultValue = "0",
      description = "every 20 s one process is suspended for half to all of this many seconds")
  double maxPauseS;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  private record Row(
      long viewChanges, long removals, double majorityRatio, double datagramsPerMemberSecond) {}

  @Override
  public Integer call() {
    long from = System.nanoTime();
    List<Row> rows =
        LongStream.range(common.seed, common.seed + runs)
            .parallel()
            .mapToObj(this::playSeed)
            .toList();
    double hours = common.seconds / 3600 * runs;
    spec.commandLine()
        .getOut()
        .printf(
            Locale.ROOT,
            "| %d | %s %.2f%s | %.2f h | %d | %d | %.4f | %.2f | %.0f s |%n",
            common.processes,
            kind,
            size,
            maxPauseS > 0 ? ", pauses to " + maxPauseS + " s" : "",
            hours,
            rows.stream().mapToLong(Row::viewChanges).sum(),
            rows.stream().mapToLong(Row::removals).sum(),
            rows.stream().mapToDouble(Row::majorityRatio).average().orElse(0),
            rows.stream().mapToDouble(Row::datagramsPerMemberSecond).average().orElse(0),
            (System.nanoTime() - from) / 1e9);
    spec.commandLine().getOut().flush();
    return 0;
  }

  private Row playSeed(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> script = new ArrayList<>();
    if (size > 0) {
      Fault.Kind faultKind = Fault.Kind.valueOf(kind.toUpperCase(Locale.ROOT));
      List<Integer> affected =
          faultKind == Fault.Kind.LOSS ? List.of() : List.of(random.nextInt(common.processes));
      script.add(new Fault(faultKind, FORMED_AT_S, common.seconds, affected, List.of(), size));
    }
    for (double second = FORMED_AT_S + 5;
        maxPauseS > 0 && second < FORMED_AT_S + common.seconds - PAUSE_INTERVAL_S;
        second += PAUSE_INTERVAL_S) {
      script.add(
          new Fault(
              Fault.Kind.PAUSE,
              second,
              maxPauseS * random.nextDouble(0.5, 1),
              List.of(random.nextInt(common.processes)),
              List.of(),
              1));
    }
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(common.processes), script, seed);
    fleet.run(FORMED_AT_S);
    long firstNumber = fleet.newestNumber();
    long sentBefore = fleet.sent();
    int firstEvent = fleet.recordedEvents().size();
    int majoritySamples = 0;
    int samples = 0;
    for (double second = FORMED_AT_S; second < FORMED_AT_S + common.seconds; second += 5) {
      fleet.run(second);
      for (int i = 0; i < common.processes; i += Math.max(1, common.processes / 10)) {
        majoritySamples +=
            fleet.quorumState(i) == cobaltseam.membership.QuorumState.MAJORITY ? 1 : 0;
        samples++;
      }
    }
    long removals =
        fleet.recordedEvents().subList(firstEvent, fleet.recordedEvents().size()).stream()
            .filter(event -> event.view() == null)
            .count();
    return new Row(
        fleet.newestNumber() - firstNumber,
        removals,
        (double) majoritySamples / samples,
        (fleet.sent() - sentBefore) / common.seconds / common.processes);
  }
}
