package cobaltseam.fleet;

import cobaltseam.capacity.CapacityOptions;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.Lease;
import java.io.PrintWriter;
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

/** Fleets in virtual time that divide a whole by demand while much goes wrong. */
@Command(
    name = "spread",
    description =
        "Runs drawn scripts in virtual time while needs change; tells the most that all together might use.",
    mixinStandardHelpOptions = true)
final class CapacityHunt implements Callable<Integer> {
  /** Of the members' clocks, as a part. */
  static final double CLOCKS = 0.001;

  static final Lease.LeaseOptions LEASE = new Lease.LeaseOptions(new TimeSpan(2_000_000), CLOCKS);
  static final long WHOLE = 1_000_000_000L;
  private static final double SETTLES_WITHIN = 340;

  /** Once all is calm, parts follow needs within this. */
  private static final double FOLLOWS_WITHIN = 20;

  /** What a part may differ from what its need asks for then, as a share of the whole. */
  private static final double NEAR = 0.1;

  @CommandLine.Mixin FleetOptions common;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "1000",
      description = "default: ${DEFAULT-VALUE}")
  int runs;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  /**
   * What one run came to: the most that might be used, as a share of the whole, and how far the
   * last needs were missed.
   */
  record RunVerdict(
      List<String> broken,
      boolean lostMajority,
      boolean twoLines,
      double peakUsage,
      double missed) {}

  static CapacityOptions terms(int processes) {
    return new CapacityOptions(WHOLE, 0.1, processes, 0.25, new TimeSpan(500_000), 16);
  }

  static RunVerdict play(VirtualFleet.Plan plan, List<Fault> faults, double seconds, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.enableCapacityLeases(terms(plan.processes()), LEASE, CLOCKS);
    SplittableRandom chance = new SplittableRandom(seed);
    for (double second = 0; second < seconds; second += chance.nextDouble(0.1, 6)) {
      fleet.run(second);
      // Most need little, some many times that, and whose turn it is changes.
      fleet.needs(
          chance.nextInt(plan.processes()),
          chance.nextInt(4) == 0 ? chance.nextDouble(5, 50) : chance.nextDouble(0, 1));
    }
    double second = seconds;
    for (int calm = 0; second < seconds + SETTLES_WITHIN && calm < 4; second += 0.5) {
      fleet.run(second);
      calm = fleet.isSettled() ? calm + 1 : 0;
    }
    boolean settled = fleet.isSettled();
    fleet.run(second + FOLLOWS_WITHIN);
    List<String> broken = new ArrayList<>();
    VirtualFleet.PeakUsage most = fleet.peakUsage();
    if (most.amount() > WHOLE) {
      broken.add(
          String.format(
              Locale.ROOT,
              "%.4f of the whole at %.3f s",
              (double) most.amount() / WHOLE,
              most.atS()));
    }
    double missed = settled ? fleet.missed() : 0;
    if (!fleet.lostMajority() && missed > NEAR) {
      broken.add("parts miss needs by " + missed + " of the whole");
    }
    return new RunVerdict(
        broken, fleet.lostMajority(), most.twoLines(), (double) most.amount() / WHOLE, missed);
  }

  /** The run of a seed. */
  static RunVerdict one(FleetOptions common, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    int processes =
        common.processes > 0
            ? common.processes
            : chance.nextInt(10) == 0 ? 3 + chance.nextInt(48) : 3 + chance.nextInt(7);
    List<Fault> script =
        common.script != null
            ? common.drawn(seed, processes)
            : common.drawn(seed, processes, 1 + chance.nextInt(6));
    VirtualFleet.Plan plan = VirtualFleet.Plan.of(processes);
    return play(common.folders ? plan.withFolders() : plan, script, common.seconds, seed);
  }

  @Override
  public Integer call() {
    long from = System.nanoTime();
    PrintWriter out = spec.commandLine().getOut();
    List<RunVerdict> all = Collections.synchronizedList(new ArrayList<>());
    LongStream.range(common.seed, common.seed + runs)
        .parallel()
        .forEach(
            seed -> {
              RunVerdict verdict = one(common, seed);
              all.add(verdict);
              if (!verdict.broken.isEmpty()) {
                synchronized (out) {
                  out.println(
                      "seed "
                          + seed
                          + ": BROKEN"
                          + (verdict.lostMajority ? " (a majority was lost)" : "")
                          + " "
                          + verdict.broken);
                  out.flush();
                }
              }
            });
    long broken = all.stream().filter(verdict -> !verdict.broken.isEmpty()).count();
    List<Double> missed =
        all.stream()
            .filter(verdict -> !verdict.lostMajority)
            .map(RunVerdict::missed)
            .sorted()
            .toList();
    out.printf(
        Locale.ROOT,
        "%d runs, seeds from %d: %d broken, %d that lost a majority, %d with two lines; the most used at once %.6f of the whole; "
            + "needs missed at the end by %.4f in the median, %.4f at most; %.0f s%n",
        all.size(),
        common.seed,
        broken,
        all.stream().filter(RunVerdict::lostMajority).count(),
        all.stream().filter(RunVerdict::twoLines).count(),
        all.stream().mapToDouble(RunVerdict::peakUsage).max().orElse(0),
        missed.isEmpty() ? 0 : missed.get(missed.size() / 2),
        missed.isEmpty() ? 0 : missed.get(missed.size() - 1),
        (System.nanoTime() - from) / 1e9);
    out.flush();
    return broken == 0 ? 0 : 1;
  }
}
