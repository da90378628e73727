package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.HealthScore.HealthSignal;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How health signals lower the priority, and how flapping is damped. */
class HealthScoreTest {
  @Test
  void dampsPriorityChangesOfFlappingSignal() {
    Map<HealthSignal, HealthScore.SignalBounds> bounds = new EnumMap<>(HealthSignal.class);
    bounds.put(HealthSignal.LATE, new HealthScore.SignalBounds(0.5, 0.2, 30));
    HealthScore healthScore =
        new HealthScore(new HealthScore.HealthScoreOptions(bounds, SECOND, SECOND.times(5), 5));
    int changes = 0;
    int previousReduction = 0;
    int reducedUpdates = 0;
    // Two seconds unhealthy, eight seconds healthy, for an hour: 720 changes without damping.
    for (int tenths = 0; tenths < 36_000; tenths++) {
      int reduction =
          healthScore.update(
              Map.of(HealthSignal.LATE, tenths % 100 < 20 ? 1.0 : 0.0),
              START.plus(SECOND.times(tenths / 10.0)));
      changes += reduction != previousReduction ? 1 : 0;
      reducedUpdates += reduction > 0 ? 1 : 0;
      previousReduction = reduction;
    }
    assertTrue(changes <= 5, changes + " changes");
    assertTrue(reducedUpdates > 30_000, "reduced in " + reducedUpdates + " of 36000 updates");
    assertEquals(List.of(HealthSignal.LATE), healthScore.degradedSignals());
    // A value between the thresholds changes nothing; a healthy value for the hold-down recovers.
    Timestamp later = START.plus(SECOND.times(4000));
    healthScore.update(Map.of(HealthSignal.LATE, 0.0), later);
    assertEquals(
        0, healthScore.update(Map.of(HealthSignal.LATE, 0.0), later.plus(SECOND.times(160))));
    assertEquals(
        0, healthScore.update(Map.of(HealthSignal.LATE, 0.4), later.plus(SECOND.times(170))));
    assertEquals(
        0, healthScore.update(Map.of(HealthSignal.LATE, 0.6), later.plus(SECOND.times(171))));
    assertEquals(
        30, healthScore.update(Map.of(HealthSignal.LATE, 0.6), later.plus(SECOND.times(172))));
    assertEquals(
        30, healthScore.update(Map.of(HealthSignal.LATE, 0.4), later.plus(SECOND.times(999))));
  }
}
