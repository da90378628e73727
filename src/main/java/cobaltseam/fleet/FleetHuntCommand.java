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

/** Many drawn scripts, each a run. */
@Command(
    name = "hunt",
    description =
        "Runs drawn scripts of 1 to 6 troubles and tells what broke; --processes 0 draws 3 to 9, at times 50.",
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
                  for (int run = next.getAndIncrement(); run < runs; run = next.getAndIncrement()) {
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
    int few = 3 + chance.nextInt(FleetRunner.MAX_HUNTED_PROCESSES - 2);
    int processes =
        common.processes > 0
            ? common.processes
            : chance.nextInt(10) == 0 && !common.real ? 3 + chance.nextInt(48) : few;
    List<Fault> troubles =
        common.script != null
            ? common.drawn(seed, processes)
            : common.drawn(seed, processes, 1 + chance.nextInt(6));
    try {
      RunVerdict verdict = common.verdict(troubles, processes, seed);
      done.incrementAndGet();
      if (verdict.isBroken()) {
        broken.incrementAndGet();
        synchronized (this) {
          FleetRunner.print(spec.commandLine().getOut(), seed, processes, verdict, troubles);
        }
      } else if (verdict.lostMajority()) {
        lost.incrementAndGet();
      } else {
        settled.add(verdict.settledS());
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
