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

/** Fleets in virtual time that agree on a document while much goes wrong. */
@Command(
    name = "agree",
    description =
        "Runs drawn scripts in virtual time while documents are proposed; tells the longest contradiction.",
    mixinStandardHelpOptions = true)
final class AgreementHunt implements Callable<Integer> {
  /** Of the members' clocks, as a part. */
  static final double CLOCKS = 0.001;

  static final ConfigurationAgreement.AgreementOptions TERMS =
      new ConfigurationAgreement.AgreementOptions(new TimeSpan(2_000_000), CLOCKS, 1 << 20);
  private static final double SETTLES_WITHIN = 340;
  private static final double LAST_WITHIN = 60;
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
  double everyS;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  /** What one run came to. */
  record RunVerdict(
      List<String> broken,
      boolean lostMajority,
      ActivationRecord.Contradiction longest,
      long versions,
      double lastS) {}

  static RunVerdict play(
      VirtualFleet.Plan plan, List<Fault> faults, double seconds, double everyS, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.enableAgreement(TERMS, CLOCKS);
    SplittableRandom chance = new SplittableRandom(seed);
    int proposals = 0;
    Set<String> harmless = new HashSet<>();
    for (double second = everyS * chance.nextDouble();
        second < seconds;
        second += everyS * chance.nextDouble(0.1, 2)) {
      fleet.run(second);
      for (int sides = chance.nextInt(3); sides >= 0; sides--) {
        boolean harms = chance.nextInt(4) > 0;
        byte[] content = text((harms ? "rule" : "log") + proposals++);
        if (!harms) {
          harmless.add(ConfigurationAgreement.hash(content));
        }
        fleet.propose(chance.nextInt(plan.processes()), content, -1);
      }
    }
    double second = seconds;
    for (int calm = 0; second < seconds + SETTLES_WITHIN && calm < 4; second += 0.5) {
      fleet.run(second);
      calm = fleet.isSettled() ? calm + 1 : 0;
    }
    List<String> broken = new ArrayList<>(ActivationRecord.twoUnderOneNumber(fleet.activations()));
    double last = 0;
    if (!fleet.lostMajority()) {
      // Messages flow again: a proposal gets through, and all act on it.
      byte[] content = text("the last");
      String why = null;
      while (last < LAST_WITHIN
          && !actOn(fleet, plan.processes(), ConfigurationAgreement.hash(content))) {
        for (int i = 0; i < plan.processes(); i++) {
          if (fleet.isAlive(i)) {
            why = fleet.propose(i, content, -1);
            break;
          }
        }
        last += 0.1;
        fleet.run(second + last);
      }
      if (last >= LAST_WITHIN) {
        StringBuilder each = new StringBuilder();
        for (int i = 0; i < plan.processes(); i++) {
          each.append(
              fleet.isAlive(i) ? " " + i + " " + fleet.view(i) + " " + fleet.acting(i) : "");
        }
        broken.add("a proposal does not get through: " + why + each);
      }
    }
    ActivationRecord.Contradiction longest =
        ActivationRecord.longest(fleet.activations(), harmless, fleet.now());
    if (longest.seconds() > TERMS.maxContradiction().us() / 1e6) {
      broken.add("contradiction for " + longest);
    }
    long editions =
        fleet.activations().stream().flatMap(a -> a.versions().stream()).distinct().count();
    return new RunVerdict(broken, fleet.lostMajority(), longest, editions, last);
  }

  /** The run of a seed. */
  static RunVerdict one(FleetOptions common, double everyS, long seed) {
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
    return play(common.folders ? plan.withFolders() : plan, script, common.seconds, everyS, seed);
  }

  private static boolean actOn(VirtualFleet fleet, int processes, String hash) {
    for (int i = 0; i < processes; i++) {
      ConfigurationVersion newest = fleet.isAlive(i) ? fleet.acting(i).newest() : null;
      if (fleet.isAlive(i)
          && (newest == null
              || !newest.hash().equals(hash)
              || fleet.acting(i).mode() != ActiveConfiguration.Mode.PLAIN)) {
        return false;
      }
    }
    return true;
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public Integer call() {
    long from = System.nanoTime();
    PrintWriter out = spec.commandLine().getOut();
    List<RunVerdict> all = Collections.synchronizedList(new ArrayList<>());
    Map<ActivationRecord.Contradiction, Long> seeds = Collections.synchronizedMap(new HashMap<>());
    LongStream.range(common.seed, common.seed + runs)
        .parallel()
        .forEach(
            seed -> {
              RunVerdict verdict = one(common, everyS, seed);
              all.add(verdict);
              seeds.put(verdict.longest, seed);
              if (!verdict.broken.isEmpty()) {
                synchronized (out) {
                  out.println(
                      "seed "
                          + seed
                          + ": BROKEN"
                          + (verdict.lostMajority ? " (a majority was lost)" : ""));
                  verdict.broken.forEach(b -> out.println("  " + b));
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
    long broken = all.stream().filter(verdict -> !verdict.broken.isEmpty()).count();
    List<Double> last =
        all.stream()
            .filter(verdict -> !verdict.lostMajority)
            .map(RunVerdict::lastS)
            .sorted()
            .toList();
    out.printf(
        Locale.ROOT,
        "%d runs, seeds from %d: %d broken, %d that lost a majority, %d editions acted on; longest contradiction %.3f s; the "
            + "last proposal acted on by all after %.1f s in the median, %.1f s at most; %.0f s%n",
        all.size(),
        common.seed,
        broken,
        all.stream().filter(RunVerdict::lostMajority).count(),
        all.stream().mapToLong(RunVerdict::versions).sum(),
        longest.seconds(),
        last.isEmpty() ? 0 : last.get(last.size() / 2),
        last.isEmpty() ? 0 : last.get(last.size() - 1),
        (System.nanoTime() - from) / 1e9);
    out.flush();
    return broken == 0 ? 0 : 1;
  }
}
