package cobaltseam.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the soak at fixed seeds, which together inject every kind of fault and of condition. {@code
 * -Dsoak.seeds=N} runs N consecutive seeds instead, which begin at 1 or at {@code -Dsoak.first=S}.
 */
class RestartSoakTest {
  private static final long[] FIXED_SEEDS = {4, 32, 49, 57, 68, 240, 318};
  private static final long SEED_COUNT = Long.getLong("soak.seeds", 0);
  private static final long FIRST_SEED = Long.getLong("soak.first", 1);

  @TempDir Path folder;

  static LongStream seeds() {
    return SEED_COUNT == 0
        ? LongStream.of(FIXED_SEEDS)
        : LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void restartsUnderLoadPassAllChecks(long seed) throws Exception {
    SoakPlan plan = SoakPlan.generate(seed);
    try (RestartSoak soak = new RestartSoak(plan, folder)) {
      SoakRecord soakRecord = soak.run();
      String description =
          plan
              + "\nreproduce with: mvn -o test -Dtest=RestartSoakTest -Dsoak.seeds=1 -Dsoak.first="
              + seed
              + "\ncounters "
              + soakRecord.counters()
              + "\nlast answers "
              + soakRecord.lastAnswersMs()
              + " ms after SIGTERM, shutdowns took "
              + soak.shutdownMs()
              + " ms, restarts took "
              + soakRecord.readyMs()
              + " ms, last starts after a drain "
              + soakRecord.startsAfterDrainMs()
              + " ms, overlapping attempts "
              + soakRecord.overlappingAttempts();
      System.out.println(
          "soak seed "
              + seed
              + ": "
              + soakRecord.requests().size()
              + " requests, "
              + plan.conditions()
              + ", "
              + plan.faults().stream().map(SoakPlan.Fault::kind).toList()
              + ", "
              + soak.summary());
      assertTrue(soakRecord.requests().size() > plan.clients(), description);
      assertEquals(List.of(), SoakCheck.failedChecks(soakRecord), description + "\n" + soak.logs());
    }
  }
}
