package cobaltseam.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares the engine model with results of queueing theory, within confidence intervals over many
 * requests.
 */
class EngineModelTheoryTest {
  private static final double WORK_MS = 100;
  private static final int SEEDS = 10;

  /**
   * A site with one engine, one dispatcher that sends requests at once, no network delay, and
   * requests of one thread.
   */
  private static EmulatedSite site(double cores, double cv, double perSecond, int sessions) {
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
   * The mean of a metric over independent seeds, and the half-width of its 99% confidence interval
   * by Student's t distribution with 9 degrees of freedom.
   */
  private static double[] confidenceInterval(
      EmulatedSite site,
      double seconds,
      java.util.function.ToDoubleFunction<Simulation.Result> metric) {
    List<Double> values = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Simulation.Result result =
          new Simulation(site, PolicyCatalog.named("random"), List.of(), seconds, seed).run();
      assertEquals(0, result.violationCount(), result.violations().toString());
      values.add(metric.applyAsDouble(result));
    }
    double mean = values.stream().mapToDouble(v -> v).average().orElseThrow();
    double variance = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum() / (SEEDS - 1);
    return new double[] {mean, 3.25 * Math.sqrt(variance / SEEDS)};
  }

  private static double meanMs(Simulation.Result result) {
    return result.counts().rows().get(0).latency.getMean() / 1000;
  }

  private static void assertWithin(double expected, double[] measured, double roundingRatio) {
    assertTrue(
        Math.abs(measured[0] - expected) <= measured[1] + roundingRatio * expected,
        "expected " + expected + ", measured " + measured[0] + " +- " + measured[1]);
    assertTrue(
        measured[1] < 0.15 * expected,
        "the interval is too wide: " + measured[1] + " of " + expected);
  }

  /** M/G/1 with processor sharing: the mean is work / (1 - load) for any distribution of work. */
  @Test
  void meanLatencyOfOneCoreMatchesProcessorSharing() {
    for (double cv : new double[] {0, 1, 2}) {
      assertWithin(
          WORK_MS / (1 - 0.7),
          confidenceInterval(site(1, cv, 7, 1_000_000), 6000, EngineModelTheoryTest::meanMs),
          0.01);
    }
  }

  /** M/M/c: the Erlang C formula gives the probability of waiting. */
  @Test
  void meanLatencyOfFourCoresMatchesErlangC() {
    double load = 0.8 * 4;
    double sum = 0;
    double term = 1;
    for (int k = 0; k < 4; k++) {
      sum += term;
      term *= load / (k + 1);
    }
    double waitProbability = term / (1 - 0.8) / (sum + term / (1 - 0.8));
    double expected = WORK_MS + waitProbability * WORK_MS / (4 * (1 - 0.8));
    assertWithin(
        expected,
        confidenceInterval(site(4, 1, 32, 1_000_000), 4000, EngineModelTheoryTest::meanMs),
        0.01);
  }

  /** M/M/c/c under overload: the Erlang B formula gives the share of requests that are lost. */
  @Test
  void shedShareUnderOverloadMatchesErlangB() {
    double load = 6;
    double lossProbability = 1;
    for (int k = 1; k <= 4; k++) {
      lossProbability = load * lossProbability / (k + load * lossProbability);
    }
    assertWithin(
        lossProbability,
        confidenceInterval(
            site(4, 1, 60, 4),
            2000,
            result -> (double) result.counts().rows().get(0).shed / result.counts().offered()),
        0.01);
  }
}
