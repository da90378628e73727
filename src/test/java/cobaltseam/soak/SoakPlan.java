package cobaltseam.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one run of the soak plays; the same seed gives the same plan.
 *
 * @param hasDepartures whether clients leave before their answer now and then
 * @param engineMs the mean time that an engine takes for a request
 */
record SoakPlan(
    long seed,
    int dispatchers,
    int engines,
    int clients,
    int engineMs,
    int deadlineMs,
    boolean hasDepartures,
    List<Fault> faults) {
  /** What happens to a dispatcher, an engine or discovery. */
  enum FaultKind {
    /** SIGTERM, and a start after it. */
    RESTART,
    /** SIGTERM to all dispatchers at once, and a start of each after it. */
    RESTART_ALL,
    /** A restart with a new configuration and SIGHUP right before and right after SIGTERM. */
    RESTART_BETWEEN_RELOADS,
    /** A restart while discovery tells nothing. */
    RESTART_IN_SILENCE,
    /** A restart while an engine answers nothing. */
    RESTART_BESIDE_HANGING_ENGINE,
    /** Several new configurations, each with SIGHUP. */
    RELOADS,
    /** An engine resets all its connections. */
    ENGINE_RESET,
    /** An engine begins to drain, and returns. */
    ENGINE_DRAIN
  }

  /**
   * One fault; faults follow each other.
   *
   * @param pauseMs how long nothing is disturbed before it
   * @param target the dispatcher or engine, modulo their number
   */
  record Fault(FaultKind kind, int pauseMs, int target) {}

  private static final int MAX_DISPATCHERS = 4;
  private static final int MAX_ENGINES = 4;
  private static final int FAULTS = 4;

  /** Where no client leaves, each answer has to be seen. */
  private static final int RUNS_PER_RUN_WITH_DEPARTURES = 3;

  static SoakPlan draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultKind[] kinds = FaultKind.values();
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < FAULTS; i++) {
      FaultKind kind = kinds[random.nextInt(kinds.length)];
      faults.add(new Fault(kind, 100 + random.nextInt(500), random.nextInt(12)));
    }
    int dispatchers = 1 + random.nextInt(MAX_DISPATCHERS);
    return new SoakPlan(
        seed,
        dispatchers,
        2 + random.nextInt(MAX_ENGINES - 1),
        dispatchers * (2 + random.nextInt(4)),
        10 + random.nextInt(50),
        500 + random.nextInt(1500),
        random.nextInt(RUNS_PER_RUN_WITH_DEPARTURES) == 0,
        List.copyOf(faults));
  }
}
