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
  void aFlappingSignalDoesNotFlapThePriority() {
    Map<HealthSignal, HealthScore.SignalBounds> bounds = new EnumMap<>(HealthSignal.class);
    bounds.put(HealthSignal.LATE, new HealthScore.SignalBounds(0.5, 0.2, 30));
    HealthScore healthScore =
        new HealthScore(new HealthScore.HealthScoreOptions(bounds, SECOND, SECOND.times(5), 5));
    int changes = 0;
    int last = 0;
    int counted = 0;
    // Two seconds bad, eight seconds well, for an hour: undamped that would be 720 changes.
    for (int tenth = 0; tenth < 36_000; tenth++) {
      int steps =
          healthScore.update(
              Map.of(HealthSignal.LATE, tenth % 100 < 20 ? 1.0 : 0.0),
              START.plus(SECOND.times(tenth / 10.0)));
      changes += steps != last ? 1 : 0;
      counted += steps > 0 ? 1 : 0;
      last = steps;
    }
    assertTrue(changes <= 5, changes + " changes");
    assertTrue(counted > 30_000, "counted in " + counted + " of 36000 looks");
    assertEquals(List.of(HealthSignal.LATE), healthScore.degradedSignals());
    // Between the bounds it stays as it is; well for long enough it ends.
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
