package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.Dispatcher;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The emulator's commands. */
@Command(
    name = "emulate",
    description = "Plays a deployment in virtual time, with the real decisions and with faults.",
    subcommands = {
      EmulateCommand.Run.class,
      EmulateCommand.Hunt.class,
      EmulateCommand.Policies.class,
      EmulateCommand.Plays.class,
      EmulateCommand.Compare.class,
      EmulateCommand.Shrinks.class
    },
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND")
public final class EmulateCommand implements Callable<Integer> {
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }

  /** The policies by name: the module, and what it is compared with. */
  static Simulation.PolicyFactory policies(String name) {
    if (name.equals("module")) {
      return (told, seed, truth) -> Policy.ofDispatcher(new Dispatcher(told, seed));
    }
    if (name.equals("fleet")) {
      return (told, seed, sim) ->
          sim.withFleet(true, 0).join(told, new Dispatcher(told, seed), seed);
    }
    if (name.startsWith("news-")) {
      double roundMs = Double.parseDouble(name.substring(5));
      return (told, seed, sim) ->
          sim.withFleet(false, roundMs).join(told, new Dispatcher(told, seed), seed);
    }
    if (name.equals("fleet-true")) {
      return (told, seed, sim) -> {
        Dispatcher d = new Dispatcher(told, seed);
        d.setSharingDispatchers(1 / sim.trafficOf(told.dispatcherIndex()));
        return Policy.ofDispatcher(d);
      };
    }
    try {
      Baseline.EngineChoice choice =
          Baseline.EngineChoice.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
      return (told, seed, truth) ->
          new Baseline(choice, told, new SplittableRandom(seed), truth.truth());
    } catch (IllegalArgumentException e) {
      throw new InvalidInputException(
          "policy '"
              + name
              + "' stands there; module, fleet, fleet-true, news-100 (or another round in ms), random, round-robin, least-in-hand, two-choices, "
              + "shortest-late or clairvoyant is allowed");
    }
  }

  /** What every command is told. */
  static class Common {
    @Option(
        names = "--world",
        paramLabel = "NAME",
        defaultValue = "hall",
        description = "hall, or a file; default: ${DEFAULT-VALUE}")
    String world;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        defaultValue = "60",
        description = "virtual seconds; default: ${DEFAULT-VALUE}")
    double seconds;

    @Option(
        names = "--seed",
        paramLabel = "N",
        defaultValue = "1",
        description = "default: ${DEFAULT-VALUE}")
    long seed;

    @Option(
        names = "--faults",
        paramLabel = "N",
        defaultValue = "0",
        description = "faults drawn by the seed; default: ${DEFAULT-VALUE}")
    int faults;

    @Option(names = "--engines", paramLabel = "N", description = "in place of the world's number")
    Integer engines;

    @Option(
        names = "--dispatchers",
        paramLabel = "N",
        description = "in place of the world's number")
    Integer dispatchers;

    @Option(
        names = "--load",
        paramLabel = "SHARE",
        description = "of the world's capacity, in place of its rate")
    Double load;

    @Option(
        names = "--skew",
        paramLabel = "POWER",
        description = "dispatchers carry parts as 1 / rank to this power, in place of the world's")
    Double skew;

    EmulatedSite world() {
      EmulatedSite w = EmulatedSites.named(world);
      EmulatedSite.Engines e = w.engines();
      int count = engines == null ? e.count() : engines;
      EmulatedSite.Engines of =
          new EmulatedSite.Engines(
              count,
              e.cores(),
              e.speedSpread(),
              e.knee(),
              e.fall(),
              e.sessions(),
              e.slowStartFraction(),
              e.slowStartS(),
              e.memoryMb(),
              e.spill(),
              e.warmSets(),
              e.warmGain(),
              Math.min(e.locations(), count),
              Math.min(e.groups(), count),
              e.errors());
      EmulatedSite sized =
          new EmulatedSite(
              w.name(),
              of,
              dispatchers == null ? w.dispatchers() : dispatchers,
              w.requestClasses(),
              w.tenants(),
              w.load(),
              w.network(),
              w.discovery(),
              w.limits());
      double perSecond =
          load != null ? sized.capacity() * load : w.load().perSecond() * count / e.count();
      EmulatedSite.Load l = w.load();
      // Holders are due what they were at the world's own size.
      List<EmulatedSite.Tenant> holders =
          w.tenants().stream()
              .map(
                  h ->
                      new EmulatedSite.Tenant(
                          h.name(),
                          h.part(),
                          h.perSecond() * perSecond / Math.max(1e-9, l.perSecond())))
              .toList();
      return new EmulatedSite(
          w.name(),
          of,
          sized.dispatchers(),
          w.requestClasses(),
          holders,
          new EmulatedSite.Load(
              perSecond,
              l.swing(),
              l.swingS(),
              l.burstEveryS(),
              l.burstTimes(),
              l.burstS(),
              l.dataSets(),
              l.skew(),
              l.retries(),
              l.estimateError(),
              l.closedClients(),
              l.thinkMs(),
              skew != null ? skew : l.dispatcherSkew()),
          w.network(),
          w.discovery(),
          w.limits());
    }

    @Option(
        names = "--script",
        paramLabel = "FILE",
        description = "faults from a file, in place of drawn ones")
    Path script;

    List<Fault> drawn(EmulatedSite w, long of) {
      return script != null ? FaultScript.read(script, w) : Fault.drawn(w, seconds, faults, of);
    }
  }

  /** One run. */
  @Command(
      name = "run",
      description = "One run: what clients got, rules broken, and how fast it went.",
      mixinStandardHelpOptions = true)
  static final class Run implements Callable<Integer> {
    @CommandLine.Mixin Common common;

    @Option(
        names = "--policy",
        paramLabel = "NAME",
        defaultValue = "module",
        description = "default: ${DEFAULT-VALUE}")
    String policy;

    @Option(
        names = "--chart",
        paramLabel = "FILE",
        description = "writes benefit by second, with the faults, as SVG")
    Path chart;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      PrintWriter out = spec.commandLine().getOut();
      EmulatedSite world = common.world();
      List<Fault> faults = common.drawn(world, common.seed);
      faults.forEach(
          f ->
              out.printf(
                  Locale.ROOT,
                  "fault: %s from %.1f s for %.1f s on %d engines, size %.2f, who %d%n",
                  f.kind().label(),
                  f.atS(),
                  f.lengthS(),
                  f.engines().size(),
                  f.size(),
                  f.target()));
      Simulation.Result r =
          new Simulation(world, policies(policy), faults, common.seconds, common.seed).run();
      out.println(
          "| profile | offered | in target | late | shed | failed | unheard | median, ms | 99th, ms |");
      out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
      for (int i = 0; i < world.requestClasses().size(); i++) {
        OutcomeCounts.ClassOutcome row = r.counts().rows().get(i);
        out.printf(
            Locale.ROOT,
            "| %s | %d | %d | %d | %d | %d | %d | %.1f | %.1f |%n",
            world.requestClasses().get(i).name(),
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
          r.counts().goodput(),
          r.counts().admitted(),
          r.counts().attempts(),
          r.counts().retries(),
          r.violationCount(),
          r.virtualS(),
          r.realS(),
          r.pace(),
          r.hash());
      r.violations().forEach(out::println);
      out.flush();
      if (chart != null) {
        Charts.series(
            chart,
            world.name() + ", " + policy + ", seed " + common.seed + " (emulated)",
            r.counts().seconds(),
            faults);
      }
      return r.violationCount() == 0 ? 0 : 1;
    }
  }

  /** Many drawn scripts, each a run; all cores. */
  @Command(
      name = "hunt",
      description =
          "Runs drawn fault scripts over all cores, and tells broken rules and the worst runs.",
      mixinStandardHelpOptions = true)
  static final class Hunt implements Callable<Integer> {
    @CommandLine.Mixin Common common;

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
            new Simulation(world, policies(policy), common.drawn(world, seed), common.seconds, seed)
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
      order.sort(
          (a, b) -> Double.compare(a.result.counts().goodput(), b.result.counts().goodput()));
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

  /** The module beside the baselines, on the same seeds. */
  @Command(
      name = "policies",
      description = "The same worlds, faults and seeds under each policy.",
      mixinStandardHelpOptions = true)
  static final class Policies implements Callable<Integer> {
    @CommandLine.Mixin Common common;

    @Option(
        names = "--runs",
        paramLabel = "N",
        defaultValue = "8",
        description = "seeds; default: ${DEFAULT-VALUE}")
    int runs;

    @Option(
        names = "--policies",
        paramLabel = "NAMES",
        split = ",",
        defaultValue =
            "module,random,round-robin,least-in-hand,two-choices,shortest-late,clairvoyant",
        description = "default: ${DEFAULT-VALUE}")
    List<String> names;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      EmulatedSite world = common.world();
      out.println(
          "| policy | emulated goodput, mean of seeds | least | rules broken | busiest engine over the mean | idlest | commands a second and core |");
      out.println("| --- | --- | --- | --- | --- | --- | --- |");
      for (String name : names) {
        List<Simulation.Result> results =
            IntStream.range(0, runs)
                .parallel()
                .mapToObj(
                    i ->
                        new Simulation(
                                world,
                                policies(name),
                                common.drawn(world, common.seed + i),
                                common.seconds,
                                common.seed + i)
                            .run())
                .toList();
        out.printf(
            Locale.ROOT,
            "| %s | %.4f | %.4f | %d | %.2f | %.2f | %.0f |%n",
            name,
            results.stream().mapToDouble(r -> r.counts().goodput()).average().orElse(0),
            results.stream().mapToDouble(r -> r.counts().goodput()).min().orElse(0),
            results.stream().mapToLong(Simulation.Result::violationCount).sum(),
            results.stream().mapToDouble(r -> r.counts().busiest()).average().orElse(0),
            results.stream().mapToDouble(r -> r.counts().idlest()).average().orElse(0),
            results.stream().mapToDouble(Simulation.Result::pace).average().orElse(0));
        out.flush();
      }
      return 0;
    }
  }

  /** A plan of runs. */
  @Command(
      name = "experiment",
      description =
          "Plays a plan over all cores, goes on where it was stopped, and writes an Arrow file, a "
              + "table and charts.",
      mixinStandardHelpOptions = true)
  static final class Plays implements Callable<Integer> {
    @CommandLine.Parameters(
        paramLabel = "PLAN",
        description = "a TOML file; docs/operations/experiments.md")
    Path plan;

    @Option(
        names = "--out",
        paramLabel = "FOLDER",
        required = true,
        description = "where results are kept")
    Path folder;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      Experiment.run(Experiment.read(plan), folder, spec.commandLine().getOut());
      return 0;
    }
  }

  /** Two result sets, or two policies of one. */
  @Command(
      name = "compare",
      description = "Differences of goodput pair by pair, with intervals over seeds.",
      mixinStandardHelpOptions = true)
  static final class Compare implements Callable<Integer> {
    @CommandLine.Parameters(
        paramLabel = "RESULTS",
        arity = "1..2",
        description = "one or two results.arrow")
    List<Path> files;

    @Option(
        names = "--policies",
        paramLabel = "A,B",
        split = ",",
        arity = "1",
        description = "within one set: one policy against another")
    List<String> names;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      if (files.size() == 1 && (names == null || names.size() != 2)) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "one result set needs --policies A,B");
      }
      List<ResultsFile.RunResult> a = ResultsFile.read(files.get(0));
      List<ResultsFile.RunResult> b = files.size() == 1 ? a : ResultsFile.read(files.get(1));
      boolean within = files.size() == 1;
      spec.commandLine()
          .getOut()
          .print(
              Experiment.compared(
                  a, b, within ? names.get(0) : null, within ? names.get(1) : null));
      spec.commandLine().getOut().flush();
      return 0;
    }
  }

  /** The least of a failing script. */
  @Command(
      name = "shrink",
      description =
          "Cuts drawn or scripted faults down to the least that still breaks a rule, or stays under a goodput.",
      mixinStandardHelpOptions = true)
  static final class Shrinks implements Callable<Integer> {
    @CommandLine.Mixin Common common;

    @Option(
        names = "--policy",
        paramLabel = "NAME",
        defaultValue = "module",
        description = "default: ${DEFAULT-VALUE}")
    String policy;

    @Option(names = "--under", paramLabel = "GOODPUT", description = "in place of a broken rule")
    Double under;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      EmulatedSite world = common.world();
      List<Fault> faults = common.drawn(world, common.seed);
      Shrink<Fault> shrink =
          new Shrink<>(
              f -> {
                Simulation.Result r =
                    new Simulation(world, policies(policy), f, common.seconds, common.seed).run();
                return under != null ? r.counts().goodput() < under : r.violationCount() > 0;
              },
              Fault::simpler);
      PrintWriter out = spec.commandLine().getOut();
      Simulation.Result whole =
          new Simulation(world, policies(policy), faults, common.seconds, common.seed).run();
      if (under != null ? whole.counts().goodput() >= under : whole.violationCount() == 0) {
        throw new InvalidInputException("the whole script does not fail: nothing to shrink");
      }
      List<Fault> least = shrink.of(faults);
      out.printf(
          "# %d faults of %d are left, after %d runs; seed %d%n",
          least.size(), faults.size(), shrink.runs(), common.seed);
      out.print(FaultScript.write(least));
      out.flush();
      return 0;
    }
  }
}
