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
 * The soak at three fixed seeds, which together play every kind of fault; with {@code
 * -Dsoak.seeds=N} at N seeds from 1, or from {@code -Dsoak.first=S}, on.
 */
class RestartSoakTest {
  private static final long[] FIXED_SEEDS = {2, 10, 23};
  private static final long SEEDS = Long.getLong("soak.seeds", 0);
  private static final long FIRST_SEED = Long.getLong("soak.first", 1);

  @TempDir Path folder;

  static LongStream seeds() {
    return SEEDS == 0
        ? LongStream.of(FIXED_SEEDS)
        : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void restartsUnderLoadBreakNoRule(long seed) throws Exception {
    SoakPlan plan = SoakPlan.draw(seed);
    try (RestartSoak soak = new RestartSoak(plan, folder)) {
      SoakRecord soakRecord = soak.play();
      String how =
          plan
              + "\nagain: mvn -o test -Dtest=RestartSoakTest -Dsoak.seeds=1 -Dsoak.first="
              + seed
              + "\ncounters "
              + soakRecord.counters()
              + "\nlast answers "
              + soakRecord.lastAnswersMs()
              + " ms after SIGTERM, ends "
              + soak.shutdownMs()
              + " ms, ready "
              + soakRecord.readyMs()
              + " ms, starts after drain "
              + soakRecord.startsAfterDrainMs()
              + " ms";
      System.out.println(
          "soak seed "
              + seed
              + ": "
              + soakRecord.requests().size()
              + " requests, "
              + soak.figures());
      assertTrue(soakRecord.requests().size() > plan.clients(), how);
      assertEquals(List.of(), SoakCheck.broken(soakRecord), how + "\n" + soak.logs());
    }
  }
}
