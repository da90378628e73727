package cobaltseam.fleet;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.emulator.Shrink;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Fleets of dispatchers under troubles: in virtual time on the membership alone, and as real
 * processes on loopback.
 */
@Command(
    name = "fleet",
    description =
        "Plays fleets of dispatchers under scripts of troubles, and checks what they noted.",
    subcommands = {
      FleetCommand.Run.class,
      FleetCommand.Hunt.class,
      FleetCommand.Shrinks.class,
      FleetCommand.Detect.class,
      FleetCommand.Steady.class,
      AgreementHunt.class,
      CapacityHunt.class
    },
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND")
public final class FleetCommand implements Callable<Integer> {
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }

  /** Virtual seconds after the last trouble within which a fleet has to be one again. */
  private static final double SETTLES_WITHIN = 340;

  private static final double REAL_SETTLES_WITHIN = 90;
  private static final int MOST_FEW = 9;

  /** What one run came to. */
  record RunVerdict(List<String> broken, boolean lostMajority, double settledS) {
    /**
     * Without a majority of its last view a fleet waits for its operator: then only what must never
     * be counts.
     */
    boolean isBroken() {
      return broken.stream().anyMatch(b -> !lostMajority || isNever(b));
    }

    private static boolean isNever(String broken) {
      return broken.startsWith("one number")
          || broken.startsWith("numbers fall")
          || broken.startsWith("no predecessor")
          || broken.startsWith("a view of others");
    }
  }

  static RunVerdict virtual(VirtualFleet.Plan plan, List<Fault> faults, double seconds, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.run(seconds);
    int calm = 0;
    double s = seconds;
    for (; s < seconds + SETTLES_WITHIN && calm < 4; s += 0.5) {
      fleet.run(s);
      calm = fleet.isSettled() ? calm + 1 : 0;
    }
    return new RunVerdict(
        InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true),
        fleet.lostMajority(),
        s - seconds);
  }

  /**
   * The same between real processes; a majority may be lost wherever troubles end more than a
   * minority.
   */
  static RunVerdict real(RealFleet.Plan plan, List<Fault> faults, long seed, Path folder)
      throws IOException, InterruptedException {
    try (RealFleet fleet = new RealFleet(plan, faults, seed, folder)) {
      fleet.startAll();
      if (fleet.awaitSettled(REAL_SETTLES_WITHIN) < 0) {
        return new RunVerdict(
            List.of("no first view within " + REAL_SETTLES_WITHIN + " s"), false, -1);
      }
      fleet.startClock();
      fleet.play();
      double settled =
          fleet.awaitSettled(
              mayLoseMajority(plan.processes(), faults, plan.withPersistence())
                  ? 10
                  : REAL_SETTLES_WITHIN);
      return new RunVerdict(
          InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true),
          settled < 0 && fleet.lostMajority(),
          settled);
    }
  }

  /**
   * Whether so many processes end, each counted once, that those who never ended are no majority.
   */
  static boolean mayLoseMajority(int processes, List<Fault> faults, boolean folders) {
    long ended =
        faults.stream()
            .filter(
                t ->
                    t.kind().endsProcess()
                        && !(folders
                            && (t.kind() == Fault.Kind.KILL || t.kind() == Fault.Kind.TERM)))
            .flatMap(t -> t.processes().stream())
            .distinct()
            .count();
    return processes - ended < processes / 2 + 1;
  }

  /** What every command is told. */
  static class Common {
    @Option(
        names = "--processes",
        paramLabel = "N",
        defaultValue = "5",
        description = "default: ${DEFAULT-VALUE}")
    int processes;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        defaultValue = "60",
        description = "over which troubles are drawn; default: ${DEFAULT-VALUE}")
    double seconds;

    @Option(
        names = "--seed",
        paramLabel = "N",
        defaultValue = "1",
        description = "default: ${DEFAULT-VALUE}")
    long seed;

    @Option(
        names = "--troubles",
        paramLabel = "N",
        defaultValue = "4",
        description = "drawn by the seed; default: ${DEFAULT-VALUE}")
    int faultCount;

    @Option(
        names = "--script",
        paramLabel = "FILE",
        description = "troubles from a file in place of drawn ones")
    Path script;

    @Option(
        names = "--folders",
        description = "each process with a lasting folder; some kills lose it")
    boolean folders;

    @Option(
        names = "--copied-back",
        description =
            "with --folders: one kill of a run brings back an old folder in place of that")
    boolean copiedBack;

    @Option(names = "--real", description = "real processes in place of virtual time")
    boolean real;

    @Option(
        names = "--folder",
        paramLabel = "DIR",
        description = "where real processes leave their logs; default: a new one")
    Path folder;

    List<Fault> drawn(long of, int among) {
      return script != null ? FaultScript.read(script, among) : drawn(of, among, faultCount);
    }

    List<Fault> drawn(long of, int among, int number) {
      List<Fault> drawn = Fault.drawn(among, seconds, number, of);
      return folders ? Fault.withFolders(drawn, copiedBack, of) : drawn;
    }

    RunVerdict verdict(List<Fault> script, int among, long of)
        throws IOException, InterruptedException {
      if (!real) {
        VirtualFleet.Plan plan = VirtualFleet.Plan.of(among);
        return virtual(folders ? plan.withFolders() : plan, script, seconds, of);
      }
      Path to =
          folder == null ? Files.createTempDirectory("fleet") : folder.resolve(Long.toString(of));
      RealFleet.Plan plan = RealFleet.Plan.of(among);
      return real(folders ? plan.withFolders() : plan, script, of, to);
    }
  }

  private static void print(
      PrintWriter out, long seed, int processes, RunVerdict v, List<Fault> faults) {
    out.println(
        "seed "
            + seed
            + ", "
            + processes
            + " processes: "
            + (v.isBroken()
                ? "BROKEN"
                : v.lostMajority() && !v.broken().isEmpty() ? "a majority was lost" : "kept")
            + String.format(Locale.ROOT, ", settled after %.1f s", v.settledS()));
    v.broken().forEach(b -> out.println("  " + b));
    if (v.isBroken()) {
      out.println(FaultScript.write(faults).indent(2));
    }
    out.flush();
  }

  /** One run. */
  @Command(
      name = "run",
      description = "One run: what broke, when and between whom.",
      mixinStandardHelpOptions = true)
  static final class Run implements Callable<Integer> {
    @CommandLine.Mixin Common common;
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      List<Fault> troubles = common.drawn(common.seed, common.processes);
      RunVerdict v = common.verdict(troubles, common.processes, common.seed);
      print(spec.commandLine().getOut(), common.seed, common.processes, v, troubles);
      return v.isBroken() ? 1 : 0;
    }
  }

  /** Many drawn scripts, each a run. */
  @Command(
      name = "hunt",
      description =
          "Runs drawn scripts of 1 to 6 troubles and tells what broke; --processes 0 draws 3 to 9, at times 50.",
      mixinStandardHelpOptions = true)
  static final class Hunt implements Callable<Integer> {
    @CommandLine.Mixin Common common;

    @Option(
        names = "--runs",
        paramLabel = "N",
        defaultValue = "1000",
        description = "default: ${DEFAULT-VALUE}")
    int runs;

    @Option(
        names = "--at-once",
        paramLabel = "N",
        defaultValue = "2",
        description = "real fleets at one time; default: ${DEFAULT-VALUE}")
    int atOnce;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger done = new AtomicInteger();
    private final List<Double> settled = Collections.synchronizedList(new ArrayList<>());

    @Override
    public Integer call() throws Exception {
      long from = System.nanoTime();
      if (common.real) {
        Thread[] threads = new Thread[atOnce];
        AtomicInteger next = new AtomicInteger();
        for (int i = 0; i < atOnce; i++) {
          threads[i] =
              new Thread(
                  () -> {
                    for (int run = next.getAndIncrement();
                        run < runs;
                        run = next.getAndIncrement()) {
                      one(common.seed + run);
                    }
                  });
          threads[i].start();
        }
        for (Thread thread : threads) {
          thread.join();
        }
      } else {
        LongStream.range(common.seed, common.seed + runs).parallel().forEach(this::one);
      }
      Collections.sort(settled);
      PrintWriter out = spec.commandLine().getOut();
      out.printf(
          Locale.ROOT,
          "%d runs, seeds from %d: %d broken, %d that lost a majority; settled after %.1f s in the median, %.1f s at most; "
              + "%.0f s%n",
          done.get(),
          common.seed,
          broken.get(),
          lost.get(),
          settled.isEmpty() ? 0 : settled.get(settled.size() / 2),
          settled.isEmpty() ? 0 : settled.get(settled.size() - 1),
          (System.nanoTime() - from) / 1e9);
      out.flush();
      return broken.get() == 0 ? 0 : 1;
    }

    private void one(long seed) {
      SplittableRandom chance = new SplittableRandom(seed);
      int few = 3 + chance.nextInt(MOST_FEW - 2);
      int processes =
          common.processes > 0
              ? common.processes
              : chance.nextInt(10) == 0 && !common.real ? 3 + chance.nextInt(48) : few;
      List<Fault> troubles =
          common.script != null
              ? common.drawn(seed, processes)
              : common.drawn(seed, processes, 1 + chance.nextInt(6));
      try {
        RunVerdict v = common.verdict(troubles, processes, seed);
        done.incrementAndGet();
        if (v.isBroken()) {
          broken.incrementAndGet();
          synchronized (this) {
            print(spec.commandLine().getOut(), seed, processes, v, troubles);
          }
        } else if (v.lostMajority()) {
          lost.incrementAndGet();
        } else {
          settled.add(v.settledS());
        }
      } catch (IOException | RuntimeException e) {
        broken.incrementAndGet();
        synchronized (this) {
          spec.commandLine().getOut().println("seed " + seed + ": " + e);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Cuts a failing script. */
  @Command(
      name = "shrink",
      description =
          "Cuts a script that breaks something down to the least that still does; virtual time.",
      mixinStandardHelpOptions = true)
  static final class Shrinks implements Callable<Integer> {
    @CommandLine.Mixin Common common;
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      List<Fault> troubles = common.drawn(common.seed, common.processes);
      VirtualFleet.Plan all = VirtualFleet.Plan.of(common.processes);
      VirtualFleet.Plan plan = common.folders ? all.withFolders() : all;
      Shrink<Fault> shrink =
          new Shrink<>(
              t -> virtual(plan, t, common.seconds, common.seed).isBroken(), Fault::simpler);
      if (!virtual(plan, troubles, common.seconds, common.seed).isBroken()) {
        throw new InvalidInputException("the whole script breaks nothing: nothing to shrink");
      }
      List<Fault> least = shrink.of(troubles);
      PrintWriter out = spec.commandLine().getOut();
      out.printf(
          "# %d troubles of %d are left, after %d runs; seed %d%n",
          least.size(), troubles.size(), shrink.runs(), common.seed);
      out.print(FaultScript.write(least));
      out.flush();
      return 0;
    }
  }

  /** What happens to views where nobody dies. */
  @Command(
      name = "steady",
      description =
          "A row of a table: views changed and members taken out in virtual hours in which nobody dies.",
      mixinStandardHelpOptions = true)
  static final class Steady implements Callable<Integer> {
    private static final double FORMED = 60;
    private static final double EACH_PAUSE_S = 20;
    @CommandLine.Mixin Common common;

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

  /** Time from a kill to the view of all that live. */
  @Command(
      name = "detect",
      description = "A row of a table: from a kill to every live member's view, over many kills.",
      mixinStandardHelpOptions = true)
  static final class Detect implements Callable<Integer> {
    @CommandLine.Mixin Common common;

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
        description = "of all datagrams; default: ${DEFAULT-VALUE}")
    double loss;

    @Option(
        names = "--period-ms",
        paramLabel = "MS",
        defaultValue = "200",
        description = "of real processes; default: ${DEFAULT-VALUE}")
    int periodMs;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      List<Double> periods = common.real ? real() : Collections.synchronizedList(new ArrayList<>());
      if (!common.real) {
        LongStream.range(common.seed, common.seed + kills)
            .parallel()
            .forEach(s -> periods.add(virtual(s)));
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

    private List<Fault> lossy() {
      return loss == 0
          ? List.of()
          : List.of(new Fault(Fault.Kind.LOSS, 0, 1e9, List.of(), List.of(), loss));
    }

    private double virtual(long seed) {
      SplittableRandom chance = new SplittableRandom(seed);
      double formedBy = 40 + common.processes / 10.0;
      double at = formedBy + chance.nextDouble();
      List<Fault> script = new ArrayList<>(lossy());
      script.add(
          new Fault(
              Fault.Kind.GONE, at, 1, List.of(chance.nextInt(common.processes)), List.of(), 1));
      VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(common.processes), script, seed);
      fleet.run(at + 0.001);
      double s = at;
      while (!fleet.isSettled() && s < at + SETTLES_WITHIN) {
        s += 0.02;
        fleet.run(s);
      }
      return (s - at) / VirtualFleet.Plan.of(common.processes).healthCheckIntervalS();
    }

    private List<Double> real() throws IOException, InterruptedException {
      List<Double> periods = new ArrayList<>();
      SplittableRandom chance = new SplittableRandom(common.seed);
      RealFleet.Plan plan =
          new RealFleet.Plan(
              common.processes,
              periodMs,
              3,
              Math.min(3, common.processes),
              common.folders,
              "",
              null);
      Path to = common.folder == null ? Files.createTempDirectory("fleet") : common.folder;
      try (RealFleet fleet = new RealFleet(plan, lossy(), common.seed, to)) {
        fleet.startAll();
        settles(fleet);
        for (int k = 0; k < kills; k++) {
          int victim = chance.nextInt(common.processes);
          fleet.kill(victim);
          periods.add(settles(fleet) * 1000 / periodMs);
          fleet.start(victim);
          settles(fleet);
        }
      }
      return periods;
    }

    private static double settles(RealFleet fleet) throws InterruptedException {
      double s = fleet.awaitSettled(REAL_SETTLES_WITHIN);
      if (s < 0) {
        throw new InvalidInputException(
            "the fleet did not become one within " + REAL_SETTLES_WITHIN + " s");
      }
      return s;
    }
  }
}
