package cobaltseam.fleet;

import java.io.IOException;
import java.io.PrintWriter;
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

/** The command {@code fleet hunt}: one run for each of many randomly generated scripts. */
@Command(
    name = "hunt",
    description =
        "Runs randomly generated scripts of 1 to 6 faults and reports violated invariants; "
            + "--processes 0 varies the fleet size from 3 to 9, "
            + "in virtual time occasionally to 50.",
    mixinStandardHelpOptions = true)
final class FleetHuntCommand implements Callable<Integer> {
  @CommandLine.Mixin FleetOptions common;

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
      description = "real fleets run in parallel; default: ${DEFAULT-VALUE}")
  int parallelFleets;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;
  private final AtomicInteger failedRuns = new AtomicInteger();
  private final AtomicInteger lostMajorityRuns = new AtomicInteger();
  private final AtomicInteger finishedRuns = new AtomicInteger();
  private final List<Double> settleTimesS = Collections.synchronizedList(new ArrayList<>());

  @Override
  public Integer call() throws Exception {
    long from = System.nanoTime();
    if (common.real) {
      Thread[] threads = new Thread[parallelFleets];
      AtomicInteger next = new AtomicInteger();
      for (int i = 0; i < parallelFleets; i++) {
        threads[i] =
            new Thread(
                () -> {
                  for (int run = next.getAndIncrement(); run < runs; run = next.getAndIncrement()) {
                    playSeed(common.seed + run);
                  }
                });
        threads[i].start();
      }
      for (Thread thread : threads) {
        thread.join();
      }
    } else {
      LongStream.range(common.seed, common.seed + runs).parallel().forEach(this::playSeed);
    }
    Collections.sort(settleTimesS);
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        Locale.ROOT,
        "%d runs, seeds from %d: %d broken, %d that lost a majority; settled after %.1f s in the median, %.1f s at most; "
            + "%.0f s%n",
        finishedRuns.get(),
        common.seed,
        failedRuns.get(),
        lostMajorityRuns.get(),
        settleTimesS.isEmpty() ? 0 : settleTimesS.get(settleTimesS.size() / 2),
        settleTimesS.isEmpty() ? 0 : settleTimesS.get(settleTimesS.size() - 1),
        (System.nanoTime() - from) / 1e9);
    out.flush();
    return failedRuns.get() == 0 ? 0 : 1;
  }

  private void playSeed(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int smallFleet = 3 + random.nextInt(FleetRunner.MAX_HUNTED_PROCESSES - 2);
    int processes =
        common.processes > 0
            ? common.processes
            : random.nextInt(10) == 0 && !common.real ? 3 + random.nextInt(48) : smallFleet;
    List<Fault> faults =
        common.script != null
            ? common.faults(seed, processes)
            : common.generateFaults(seed, processes, 1 + random.nextInt(6));
    try {
      RunVerdict verdict = common.play(faults, processes, seed);
      finishedRuns.incrementAndGet();
      if (verdict.isFailed()) {
        failedRuns.incrementAndGet();
        synchronized (this) {
          FleetRunner.print(spec.commandLine().getOut(), seed, processes, verdict, faults);
        }
      } else if (verdict.lostMajority()) {
        lostMajorityRuns.incrementAndGet();
      } else {
        settleTimesS.add(verdict.settledS());
      }
    } catch (IOException | RuntimeException e) {
      failedRuns.incrementAndGet();
      synchronized (this) {
        spec.commandLine().getOut().println("seed " + seed + ": " + e);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
