package cobaltseam.fleet;

import cobaltseam.agreement.ActiveConfiguration;
import cobaltseam.agreement.ConfigurationAgreement;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.ConfigurationVersion;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code fleet agree}: fleets in virtual time that agree on documents under random
 * faults.
 */
@Command(
    name = "agree",
    description =
        "Runs randomly generated fault scripts in virtual time while documents are proposed; "
            + "reports the longest contradiction.",
    mixinStandardHelpOptions = true)
final class FleetAgreementCommand implements Callable<Integer> {
  /** The largest difference between the rates of two members' clocks, as a ratio. */
  static final double CLOCK_RATE_DIFFERENCE = 0.001;

  static final ConfigurationAgreement.AgreementOptions OPTIONS =
      new ConfigurationAgreement.AgreementOptions(
          new TimeSpan(2_000_000), CLOCK_RATE_DIFFERENCE, 1 << 20);
  private static final double SETTLE_LIMIT_S = 340;
  private static final double FINAL_PROPOSAL_LIMIT_S = 60;
  @CommandLine.Mixin FleetOptions common;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "1000",
      description = "default: ${DEFAULT-VALUE}")
  int runs;

  @Option(
      names = "--every",
      paramLabel = "S",
      defaultValue = "3",
      description = "seconds between two proposals; default: ${DEFAULT-VALUE}")
  double intervalS;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  /**
   * The result of one run.
   *
   * @param violations the violated invariants
   * @param versions the number of distinct versions on which any process acted
   * @param finalActivationS seconds until all live processes had activated the final proposal
   */
  record RunResult(
      List<String> violations,
      boolean lostMajority,
      ActivationRecord.Contradiction longest,
      long versions,
      double finalActivationS) {}

  static RunResult play(
      VirtualFleet.Plan plan, List<Fault> faults, double seconds, double intervalS, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.enableAgreement(OPTIONS, CLOCK_RATE_DIFFERENCE);
    SplittableRandom random = new SplittableRandom(seed);
    int proposals = 0;
    Set<String> compatibleHashes = new HashSet<>();
    for (double second = intervalS * random.nextDouble();
        second < seconds;
        second += intervalS * random.nextDouble(0.1, 2)) {
      fleet.run(second);
      for (int remaining = random.nextInt(3); remaining >= 0; remaining--) {
        boolean contradictsOthers = random.nextInt(4) > 0;
        byte[] content = bytes((contradictsOthers ? "rule" : "log") + proposals++);
        if (!contradictsOthers) {
          compatibleHashes.add(ConfigurationAgreement.hash(content));
        }
        fleet.propose(random.nextInt(plan.processes()), content, -1);
      }
    }
    double second = seconds;
    for (int checks = 0; second < seconds + SETTLE_LIMIT_S && checks < 4; second += 0.5) {
      fleet.run(second);
      checks = fleet.isSettled() ? checks + 1 : 0;
    }
    List<String> violations =
        new ArrayList<>(ActivationRecord.versionConflicts(fleet.activations()));
    double waitedS = 0;
    if (!fleet.lostMajority()) {
      // All faults have ended: a proposal must be chosen and activated by every process.
      byte[] content = bytes("the last");
      String why = null;
      while (waitedS < FINAL_PROPOSAL_LIMIT_S
          && !allHaveActivated(fleet, plan.processes(), ConfigurationAgreement.hash(content))) {
        for (int i = 0; i < plan.processes(); i++) {
          if (fleet.isAlive(i)) {
            why = fleet.propose(i, content, -1);
            break;
          }
        }
        waitedS += 0.1;
        fleet.run(second + waitedS);
      }
      if (waitedS >= FINAL_PROPOSAL_LIMIT_S) {
        StringBuilder states = new StringBuilder();
        for (int i = 0; i < plan.processes(); i++) {
          states.append(
              fleet.isAlive(i) ? " " + i + " " + fleet.view(i) + " " + fleet.configuration(i) : "");
        }
        violations.add("a proposal does not get through: " + why + states);
      }
    }
    ActivationRecord.Contradiction longest =
        ActivationRecord.longestContradiction(fleet.activations(), compatibleHashes, fleet.now());
    if (longest.seconds() > OPTIONS.maxContradiction().us() / 1e6) {
      violations.add("contradiction for " + longest);
    }
    long versions =
        fleet.activations().stream().flatMap(a -> a.versions().stream()).distinct().count();
    return new RunResult(violations, fleet.lostMajority(), longest, versions, waitedS);
  }

  /** Runs the script that a seed generates, or that of the script file. */
  static RunResult playSeed(FleetOptions common, double intervalS, long seed) {
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
    return play(
        common.folders ? plan.withFolders() : plan, script, common.seconds, intervalS, seed);
  }

  private static boolean allHaveActivated(VirtualFleet fleet, int processes, String hash) {
    for (int i = 0; i < processes; i++) {
      ConfigurationVersion newest = fleet.isAlive(i) ? fleet.configuration(i).newest() : null;
      if (fleet.isAlive(i)
          && (newest == null
              || !newest.hash().equals(hash)
              || fleet.configuration(i).mode() != ActiveConfiguration.Mode.PLAIN)) {
        return false;
      }
    }
    return true;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public Integer call() {
    long from = System.nanoTime();
    PrintWriter out = spec.commandLine().getOut();
    List<RunResult> all = Collections.synchronizedList(new ArrayList<>());
    Map<ActivationRecord.Contradiction, Long> seeds = Collections.synchronizedMap(new HashMap<>());
    LongStream.range(common.seed, common.seed + runs)
        .parallel()
        .forEach(
            seed -> {
              RunResult result = playSeed(common, intervalS, seed);
              all.add(result);
              seeds.put(result.longest, seed);
              if (!result.violations.isEmpty()) {
                synchronized (out) {
                  out.println(
                      "seed "
                          + seed
                          + ": BROKEN"
                          + (result.lostMajority ? " (a majority was lost)" : ""));
                  result.violations.forEach(violation -> out.println("  " + violation));
                  out.flush();
                }
              }
            });
    ActivationRecord.Contradiction longest =
        seeds.keySet().stream()
            .max(Comparator.comparingDouble(ActivationRecord.Contradiction::seconds))
            .orElseThrow();
    if (longest.seconds() > 0) {
      out.println("seed " + seeds.get(longest) + " has the longest: " + longest);
    }
    long failedRuns = all.stream().filter(result -> !result.violations.isEmpty()).count();
    List<Double> activationTimesS =
        all.stream()
            .filter(result -> !result.lostMajority)
            .map(RunResult::finalActivationS)
            .sorted()
            .toList();
    out.printf(
        Locale.ROOT,
        "%d runs, seeds from %d: %d broken, %d that lost a majority, %d editions acted on; longest contradiction %.3f s; the "
            + "last proposal acted on by all after %.1f s in the median, %.1f s at most; %.0f s%n",
        all.size(),
        common.seed,
        failedRuns,
        all.stream().filter(RunResult::lostMajority).count(),
        all.stream().mapToLong(RunResult::versions).sum(),
        longest.seconds(),
        activationTimesS.isEmpty() ? 0 : activationTimesS.get(activationTimesS.size() / 2),
        activationTimesS.isEmpty() ? 0 : activationTimesS.get(activationTimesS.size() - 1),
        (System.nanoTime() - from) / 1e9);
    out.flush();
    return failedRuns == 0 ? 0 : 1;
  }
}
