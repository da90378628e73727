package cobaltseam.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The emulator's engines where theory tells what must come out: runs of many commands, within
 * stated intervals.
 */
class EngineModelTheoryTest {
  private static final double WORK_MS = 100;
  private static final int SEEDS = 10;

  /**
   * One engine of some cores, one dispatcher that sends at once, no network, and commands on one
   * thread.
   */
  private static EmulatedSite world(double cores, double cv, double perSecond, int sessions) {
    return new EmulatedSite(
        "theory",
        new EmulatedSite.Engines(1, cores, 0, 1000, 0, sessions, 1, 0, 0, 0, 0, 0, 1, 1, 0),
        1,
        List.of(
            new EmulatedSite.RequestClass(
                "only",
                1,
                1,
                WORK_MS,
                cv,
                1,
                0,
                1e6,
                1e6,
                0,
                RetrySafety.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                0,
                false,
                0,
                1,
                null)),
        List.of(),
        new EmulatedSite.Load(perSecond, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, null),
        new EmulatedSite.Network(0, 0, 0),
        new EmulatedSite.Discovery(0, 0),
        new EmulatedSite.Limits(1, false, 0, 0, 1000, 1, 0, 0, null, null, 0));
  }

  /**
   * The mean and a 99% interval of it over independent seeds (Student's t with 9 degrees of
   * freedom).
   */
  private static double[] interval(
      EmulatedSite world,
      double seconds,
      java.util.function.ToDoubleFunction<Simulation.Result> figure) {
    List<Double> values = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Simulation.Result result =
          new Simulation(world, PolicyCatalog.named("random"), List.of(), seconds, seed).run();
      assertEquals(0, result.violationCount(), result.violations().toString());
      values.add(figure.applyAsDouble(result));
    }
    double mean = values.stream().mapToDouble(v -> v).average().orElseThrow();
    double variance = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum() / (SEEDS - 1);
    return new double[] {mean, 3.25 * Math.sqrt(variance / SEEDS)};
  }

  private static double meanMs(Simulation.Result result) {
    return result.counts().rows().get(0).latency.getMean() / 1000;
  }

  private static void within(double expected, double[] found, double rounding) {
    assertTrue(
        Math.abs(found[0] - expected) <= found[1] + rounding * expected,
        "expected " + expected + ", found " + found[0] + " +- " + found[1]);
    assertTrue(
        found[1] < 0.15 * expected,
        "an interval that says little: " + found[1] + " of " + expected);
  }

  /** M/M/1 and M/G/1 under processor sharing: work / (1 - load), whatever the spread of works. */
  @Test
  void oneCoreSharedByAll() {
    for (double cv : new double[] {0, 1, 2}) {
      within(
          WORK_MS / (1 - 0.7),
          interval(world(1, cv, 7, 1_000_000), 6000, EngineModelTheoryTest::meanMs),
          0.01);
    }
  }

  /** M/M/c: by Erlang's formula for waiting. */
  @Test
  void fourCores() {
    double load = 0.8 * 4;
    double sum = 0;
    double term = 1;
    for (int k = 0; k < 4; k++) {
      sum += term;
      term *= load / (k + 1);
    }
    double waits = term / (1 - 0.8) / (sum + term / (1 - 0.8));
    double expected = WORK_MS + waits * WORK_MS / (4 * (1 - 0.8));
    within(
        expected, interval(world(4, 1, 32, 1_000_000), 4000, EngineModelTheoryTest::meanMs), 0.01);
  }

  /** An overloaded loss system, M/M/c/c: by Erlang's formula for loss. */
  @Test
  void whatIsTooMuchIsLost() {
    double load = 6;
    double lost = 1;
    for (int k = 1; k <= 4; k++) {
      lost = load * lost / (k + load * lost);
    }
    within(
        lost,
        interval(
            world(4, 1, 60, 4),
            2000,
            result -> (double) result.counts().rows().get(0).shed / result.counts().offered()),
        0.01);
  }
}
