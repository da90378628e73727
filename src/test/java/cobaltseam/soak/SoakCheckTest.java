package cobaltseam.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.standin.RequestLedger.Entry;
import cobaltseam.standin.RequestLedger.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each check of the soak finds the record that breaks it, and no other check does. */
class SoakCheckTest {
  private static final Entry ANSWERED = entry("1", "once", Outcome.ANSWERED);

  private static Entry entry(String call, String profile, Outcome end) {
    return new Entry(call, profile, 0, 0, 1, end);
  }

  private static Map<String, Long> counters(long taken, long answered, long faults) {
    Map<String, Long> counters = new HashMap<>();
    counters.put("commands_taken", taken);
    counters.put("commands_answered", answered);
    counters.put("commands_shed", 0L);
    counters.put("commands_failed", 0L);
    counters.put("commands_departed", 0L);
    counters.put("faults", faults);
    return counters;
  }

  private static SoakRecord soakRecord(
      List<Entry> requests, int starts, int completions, Map<String, Long> counters) {
    return new SoakRecord(
        requests,
        0,
        List.of(SoakCheck.DEPARTURE_MS),
        Map.of("1", starts),
        Map.of("1", completions),
        List.of(counters),
        List.of(SoakCheck.KILL_MS),
        List.of(SoakCheck.READY_MS),
        List.of(SoakCheck.DRAIN_MS));
  }

  private static SoakRecord withTimes(
      long startAfterDepartureMs, long lastAnswerMs, long readyMs, long startAfterDrainMs) {
    return new SoakRecord(
        List.of(ANSWERED),
        0,
        List.of(startAfterDepartureMs),
        Map.of("1", 1),
        Map.of("1", 1),
        List.of(counters(1, 1, 0)),
        List.of(lastAnswerMs),
        List.of(readyMs),
        List.of(startAfterDrainMs));
  }

  private static void assertBreaksOnly(SoakCheck check, SoakRecord soakRecord) {
    assertEquals(List.of(check), SoakCheck.broken(soakRecord));
  }

  @Test
  void aRunInOrderBreaksNothing() {
    assertEquals(
        List.of(), SoakCheck.broken(soakRecord(List.of(ANSWERED), 1, 1, counters(1, 1, 0))));
  }

  @Test
  void aRequestWithoutAFinalAnswerIsFound() {
    assertBreaksOnly(
        SoakCheck.EVERY_REQUEST_READ_IS_ANSWERED_ONCE,
        soakRecord(List.of(ANSWERED), 1, 1, counters(2, 1, 0)));
  }

  @Test
  void anAnswerThatItsClientNeverReadIsFound() {
    assertBreaksOnly(
        SoakCheck.EVERY_ANSWER_REACHES_ITS_CLIENT,
        soakRecord(List.of(entry("1", "look", Outcome.DISCONNECTED)), 1, 1, counters(1, 1, 0)));
  }

  @Test
  void aClientThatWaitsInVainIsFound() {
    assertBreaksOnly(
        SoakCheck.NO_CLIENT_WAITS_IN_VAIN,
        soakRecord(List.of(entry("1", "look", Outcome.TIMED_OUT)), 0, 0, counters(0, 0, 0)));
  }

  @Test
  void aSecondRunOfWhatMustNotRepeatIsFound() {
    assertBreaksOnly(
        SoakCheck.NOTHING_RUNS_TWICE, soakRecord(List.of(ANSWERED), 2, 1, counters(1, 1, 0)));
  }

  @Test
  void anAnswerOfWhatNeverRanIsFound() {
    assertBreaksOnly(
        SoakCheck.ONLY_WHAT_RAN_IS_ANSWERED,
        soakRecord(List.of(ANSWERED), 1, 0, counters(1, 1, 0)));
  }

  @Test
  void aRejectedRequestThatRanIsFound() {
    assertBreaksOnly(
        SoakCheck.NOTHING_REJECTED_RUNS,
        soakRecord(List.of(entry("1", "look", Outcome.REJECTED)), 1, 1, counters(0, 0, 0)));
  }

  @Test
  void aFaultIsFound() {
    assertBreaksOnly(SoakCheck.NO_FAULTS, soakRecord(List.of(ANSWERED), 1, 1, counters(1, 1, 1)));
  }

  @Test
  void lateAnswersStartsAndAttemptsAreFound() {
    assertBreaksOnly(
        SoakCheck.NOTHING_BEGINS_AFTER_A_DEPARTURE, withTimes(SoakCheck.DEPARTURE_MS + 1, 0, 0, 0));
    assertBreaksOnly(
        SoakCheck.NOTHING_IS_LOST_AT_THE_KILL, withTimes(0, SoakCheck.KILL_MS + 1, 0, 0));
    assertBreaksOnly(
        SoakCheck.RESTARTS_ARE_READY_IN_TIME, withTimes(0, 0, SoakCheck.READY_MS + 1, 0));
    assertBreaksOnly(SoakCheck.DRAINS_ARE_KEPT, withTimes(0, 0, 0, SoakCheck.DRAIN_MS + 1));
  }
}
