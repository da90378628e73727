package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the translation of start times while wall clocks are stepped. */
class EngineStartTimesTest {
  private static final Timestamp NOW = new Timestamp(1_800_000_000_000_000L);
  private static final TimeSpan AGE = new TimeSpan(2_000_000);
  private static final TimeSpan HOUR = new TimeSpan(3_600_000_000L);

  private final EngineStartTimes starts = new EngineStartTimes();

  private Timestamp translate(Timestamp listed, Timestamp now, Timestamp wallNow) {
    return translate(listed, EndpointState.UP, now, wallNow);
  }

  private Timestamp translate(
      Timestamp listed, EndpointState state, Timestamp now, Timestamp wallNow) {
    EndpointStatus status =
        new EndpointStatus(
            new EngineId(1),
            new LocationId("z"),
            new MachineTypeId("m"),
            new GroupId(0),
            state,
            listed);
    WatchEvent event = new WatchEvent(1, false, List.of(status), Map.of());
    return starts.translate(event, now, wallNow).endpoints().get(0).startedAt();
  }

  @Test
  void startIsUnchangedWithoutStep() {
    Timestamp listed = NOW.minus(AGE);
    assertEquals(listed, translate(listed, NOW, NOW.plus(new TimeSpan(900))));
    assertEquals(new Timestamp(0), translate(new Timestamp(0), NOW, NOW.plus(HOUR)));
  }

  /**
   * Guards against a slow start that is skipped, or lasts an hour, after all clocks are stepped.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, -1})
  void stepOfAllMachinesLeavesStartInThePast(int hours) {
    Timestamp wallNow = NOW.plus(HOUR.times(hours));
    Timestamp translated = translate(wallNow.minus(AGE), NOW, wallNow);
    assertEquals(hours > 0 ? NOW : NOW.minus(AGE), translated, "never older than it is");
  }

  /** Guards against a slow start that is skipped after the clock of this machine is stepped. */
  @ParameterizedTest
  @ValueSource(ints = {1, -1})
  void stepOfThisMachineLeavesStartInThePast(int hours) {
    Timestamp translated = translate(NOW.minus(AGE), NOW, NOW.plus(HOUR.times(hours)));
    assertEquals(hours > 0 ? NOW.minus(AGE) : NOW, translated, "never older than it is");
  }

  /** Guards against a slow start that lasts an hour since the engine's clock is an hour ahead. */
  @Test
  void startInTheFutureIsTakenForNow() {
    assertEquals(NOW, translate(NOW.plus(HOUR), NOW, NOW));
  }

  /** Guards against a restart that is not seen, since its time is before that of the last start. */
  @Test
  void restartAfterStepBackIsLaterThanLastStart() {
    Timestamp first = translate(NOW.minus(AGE), NOW, NOW);
    Timestamp later = NOW.plus(HOUR.times(0.5));
    Timestamp wallLater = later.minus(HOUR);
    assertEquals(later.minus(AGE), translate(wallLater.minus(AGE), later, wallLater));
    assertEquals(NOW.minus(AGE), first);
  }

  /** Guards against a slow start that begins again with each event that names the engine. */
  @Test
  void repeatedStartIsTranslatedOnce() {
    Timestamp wallNow = NOW.plus(HOUR);
    Timestamp first = translate(wallNow, NOW, wallNow);
    Timestamp later = NOW.plus(AGE);
    assertEquals(first, translate(wallNow, EndpointState.DRAINING, later, NOW));
    assertEquals(first, translate(wallNow, EndpointState.REMOVED, later, wallNow.plus(HOUR)));
  }
}
