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

/**
 * The command {@code fleet spread}: fleets in virtual time that divide the total capacity by demand
 * under random faults.
 */
@Command(
    name = "spread",
    description =
        "Runs randomly generated fault scripts in virtual time while demand changes; "
            + "reports the largest capacity that all processes could use at once.",
    mixinStandardHelpOptions = true)
final class FleetCapacityCommand implements Callable<Integer> {
  /** The largest difference between the rates of two members' clocks, as a ratio. */
  static final double CLOCK_RATE_DIFFERENCE = 0.001;

  static final Lease.LeaseOptions LEASE_OPTIONS =
      new Lease.LeaseOptions(new TimeSpan(2_000_000), CLOCK_RATE_DIFFERENCE);
  static final long TOTAL_CAPACITY = 1_000_000_000L;
  private static final double SETTLE_LIMIT_S = 340;

  /** How long after the fleet has settled the allocation may take to follow demand. */
  private static final double REDISTRIBUTION_LIMIT_S = 20;

  /** The largest misallocated ratio of the total capacity after that time. */
  private static final double MAX_MISALLOCATED_RATIO = 0.1;

  @CommandLine.Mixin FleetOptions common;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "1000",
      description = "default: ${DEFAULT-VALUE}")
  int runs;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  /**
   * The result of one run.
   *
   * @param violations the violated invariants
   * @param peakUsage the largest usable amount of all processes together, as a ratio of the total
   * @param misallocatedRatio {@link VirtualFleet#misallocatedRatio} at the end; zero if the fleet
   *     did not settle
   */
  record RunResult(
      List<String> violations,
      boolean lostMajority,
      boolean twoLineages,
      double peakUsage,
      double misallocatedRatio) {}

  static CapacityOptions capacityOptions(int processes) {
    return new CapacityOptions(TOTAL_CAPACITY, 0.1, processes, 0.25, new TimeSpan(500_000), 16);
  }

  static RunResult play(VirtualFleet.Plan plan, List<Fault> faults, double seconds, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.enableCapacityLeases(
        capacityOptions(plan.processes()), LEASE_OPTIONS, CLOCK_RATE_DIFFERENCE);
    SplittableRandom random = new SplittableRandom(seed);
    for (double second = 0; second < seconds; second += random.nextDouble(0.1, 6)) {
      fleet.run(second);
      // Most processes have little demand; changing ones have many times that.
      fleet.setDemand(
          random.nextInt(plan.processes()),
          random.nextInt(4) == 0 ? random.nextDouble(5, 50) : random.nextDouble(0, 1));
    }
    double second = seconds;
    for (int settledChecks = 0;
        second < seconds + SETTLE_LIMIT_S && settledChecks < 4;
        second += 0.5) {
      fleet.run(second);
      settledChecks = fleet.isSettled() ? settledChecks + 1 : 0;
    }
    boolean settled = fleet.isSettled();
    fleet.run(second + REDISTRIBUTION_LIMIT_S);
    List<String> violations = new ArrayList<>();
    VirtualFleet.PeakUsage peak = fleet.peakUsage();
    if (peak.amount() > TOTAL_CAPACITY) {
      violations.add(
          String.format(
              Locale.ROOT,
              "%.4f of the whole at %.3f s",
              (double) peak.amount() / TOTAL_CAPACITY,
              peak.atS()));
    }
    double misallocatedRatio = settled ? fleet.misallocatedRatio() : 0;
    if (!fleet.lostMajority() && misallocatedRatio > MAX_MISALLOCATED_RATIO) {
      violations.add("parts miss needs by " + misallocatedRatio + " of the whole");
    }
    return new RunResult(
        violations,
        fleet.lostMajority(),
        peak.twoLineages(),
        (double) peak.amount() / TOTAL_CAPACITY,
        misallocatedRatio);
  }

  /** Runs the script that a seed generates, or that of the script file. */
  static RunResult playSeed(FleetOptions common, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int processes =
        common.processes > 0
            ? common.processes
            : random.nextInt(10) == 0 ? 3 + random.nextInt(48) : 3 + random.nextInt(7);
    List<Fault> script =
        common.script != null
            ? common.faults(seed, processes)
            : common.generateFaults(seed, processes, 1 + random.nextInt(6));
    VirtualFleet.Plan plan = VirtualFleet.Plan.of(processes);
    return play(common.folders ? plan.withFolders() : plan, script, common.seconds, seed);
  }

  @Override
  public Integer call() {
    long from = System.nanoTime();
    PrintWriter out = spec.commandLine().getOut();
    List<RunResult> all = Collections.synchronizedList(new ArrayList<>());
    LongStream.range(common.seed, common.seed + runs)
        .parallel()
        .forEach(
            seed -> {
              RunResult result = playSeed(common, seed);
              all.add(result);
              if (!result.violations.isEmpty()) {
                synchronized (out) {
                  out.println(
                      "seed "
                          + seed
                          + ": BROKEN"
                          + (result.lostMajority ? " (a majority was lost)" : "")
                          + " "
                          + result.violations);
                  out.flush();
                }
              }
            });
    long failedRuns = all.stream().filter(result -> !result.violations.isEmpty()).count();
    List<Double> misallocatedRatios =
        all.stream()
            .filter(result -> !result.lostMajority)
            .map(RunResult::misallocatedRatio)
            .sorted()
            .toList();
    out.printf(
        Locale.ROOT,
        "%d runs, seeds from %d: %d broken, %d that lost a majority, %d with two lines; the most used at once %.6f of the whole; "
            + "needs missed at the end by %.4f in the median, %.4f at most; %.0f s%n",
        all.size(),
        common.seed,
        failedRuns,
        all.stream().filter(RunResult::lostMajority).count(),
        all.stream().filter(RunResult::twoLineages).count(),
        all.stream().mapToDouble(RunResult::peakUsage).max().orElse(0),
        misallocatedRatios.isEmpty() ? 0 : misallocatedRatios.get(misallocatedRatios.size() / 2),
        misallocatedRatios.isEmpty() ? 0 : misallocatedRatios.get(misallocatedRatios.size() - 1),
        (System.nanoTime() - from) / 1e9);
    out.flush();
    return failedRuns == 0 ? 0 : 1;
  }
}
