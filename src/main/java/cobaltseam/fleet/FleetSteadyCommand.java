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

/** What happens to views where nobody dies. */
@Command(
    name = "steady",
    description =
        "A row of a table: views changed and members taken out in virtual hours in which nobody dies.",
    mixinStandardHelpOptions = true)
final class FleetSteadyCommand implements Callable<Integer> {
  private static final double FORMED = 60;
  private static final double EACH_PAUSE_S = 20;
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
      description = "of the trouble; default: ${DEFAULT-VALUE}")
  double size;

  @Option(
      names = "--pauses",
      paramLabel = "S",
      defaultValue = "0",
      description = "every 20 s one stands still for half to all of so long")
  double pauses;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  private record Row(long views, long out, double standing, double datagrams) {}

  @Override
  public Integer call() {
    long from = System.nanoTime();
    List<Row> rows =
        LongStream.range(common.seed, common.seed + runs).parallel().mapToObj(this::one).toList();
    double hours = common.seconds / 3600 * runs;
    spec.commandLine()
        .getOut()
        .printf(
            Locale.ROOT,
            "| %d | %s %.2f%s | %.2f h | %d | %d | %.4f | %.2f | %.0f s |%n",
            common.processes,
            kind,
            size,
            pauses > 0 ? ", pauses to " + pauses + " s" : "",
            hours,
            rows.stream().mapToLong(Row::views).sum(),
            rows.stream().mapToLong(Row::out).sum(),
            rows.stream().mapToDouble(Row::standing).average().orElse(0),
            rows.stream().mapToDouble(Row::datagrams).average().orElse(0),
            (System.nanoTime() - from) / 1e9);
    spec.commandLine().getOut().flush();
    return 0;
  }

  private Row one(long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> script = new ArrayList<>();
    if (size > 0) {
      Fault.Kind of = Fault.Kind.valueOf(kind.toUpperCase(Locale.ROOT));
      List<Integer> who =
          of == Fault.Kind.LOSS ? List.of() : List.of(chance.nextInt(common.processes));
      script.add(new Fault(of, FORMED, common.seconds, who, List.of(), size));
    }
    for (double s = FORMED + 5;
        pauses > 0 && s < FORMED + common.seconds - EACH_PAUSE_S;
        s += EACH_PAUSE_S) {
      script.add(
          new Fault(
              Fault.Kind.PAUSE,
              s,
              pauses * chance.nextDouble(0.5, 1),
              List.of(chance.nextInt(common.processes)),
              List.of(),
              1));
    }
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(common.processes), script, seed);
    fleet.run(FORMED);
    long before = fleet.newestNumber();
    long sent = fleet.sent();
    int from = fleet.recordedEvents().size();
    int majority = 0;
    int looks = 0;
    for (double s = FORMED; s < FORMED + common.seconds; s += 5) {
      fleet.run(s);
      for (int i = 0; i < common.processes; i += Math.max(1, common.processes / 10)) {
        majority += fleet.quorumState(i) == cobaltseam.membership.QuorumState.MAJORITY ? 1 : 0;
        looks++;
      }
    }
    long out =
        fleet.recordedEvents().subList(from, fleet.recordedEvents().size()).stream()
            .filter(h -> h.view() == null)
            .count();
    return new Row(
        fleet.newestNumber() - before,
        out,
        (double) majority / looks,
        (fleet.sent() - sent) / common.seconds / common.processes);
  }
}
