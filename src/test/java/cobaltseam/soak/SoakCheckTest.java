package cobaltseam.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.EmulatedEngine.AttemptRecord;
import cobaltseam.standin.RequestLedger.Entry;
import cobaltseam.standin.RequestLedger.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Each check of the soak fails on a record that violates it, and no other check fails. */
class SoakCheckTest {
  private static final Entry ANSWERED = entry("1", "once", Outcome.ANSWERED);

  private static Entry entry(String callId, String requestClass, Outcome outcome) {
    return new Entry(callId, requestClass, 0, 0, 1, outcome);
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
        List.of(SoakCheck.MAX_START_AFTER_DEPARTURE_MS),
        Map.of("1", starts),
        Map.of("1", completions),
        List.of(counters),
        List.of(SoakCheck.MAX_LAST_ANSWER_MS),
        List.of(SoakCheck.MAX_READY_MS),
        List.of(SoakCheck.MAX_START_AFTER_DRAIN_MS),
        List.of(),
        List.of(SoakCheck.MAX_CONNECT_MS),
        List.of(),
        0);
  }

  private static SoakRecord withQuietPeriod(
      Outcome outcome, long connectMs, List<AttemptRecord> overlappingAttempts) {
    return new SoakRecord(
        List.of(ANSWERED),
        0,
        List.of(),
        Map.of("1", 1),
        Map.of("1", 1),
        List.of(counters(1, 1, 0)),
        List.of(),
        List.of(),
        List.of(),
        List.of(entry("1", "look", outcome)),
        List.of(connectMs),
        overlappingAttempts,
        0);
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
        List.of(startAfterDrainMs),
        List.of(),
        List.of(),
        List.of(),
        0);
  }

  private static void assertFailsOnly(SoakCheck check, SoakRecord soakRecord) {
    assertEquals(List.of(check), SoakCheck.failedChecks(soakRecord));
  }

  @Test
  void correctRunPassesAllChecks() {
    assertEquals(
        List.of(), SoakCheck.failedChecks(soakRecord(List.of(ANSWERED), 1, 1, counters(1, 1, 0))));
  }

  @Test
  void requestWithoutFinalAnswerIsDetected() {
    assertFailsOnly(
        SoakCheck.EVERY_REQUEST_READ_IS_ANSWERED_ONCE,
        soakRecord(List.of(ANSWERED), 1, 1, counters(2, 1, 0)));
  }

  @Test
  void answerThatItsClientNeverReceivedIsDetected() {
    assertFailsOnly(
        SoakCheck.EVERY_ANSWER_REACHES_ITS_CLIENT,
        soakRecord(List.of(entry("1", "look", Outcome.DISCONNECTED)), 1, 1, counters(1, 1, 0)));
  }

  @Test
  void requestThatTimesOutIsDetected() {
    assertFailsOnly(
        SoakCheck.NO_REQUEST_TIMES_OUT,
        soakRecord(List.of(entry("1", "look", Outcome.TIMED_OUT)), 0, 0, counters(0, 0, 0)));
  }

  @Test
  void secondStartOfNonIdempotentRequestIsDetected() {
    assertFailsOnly(
        SoakCheck.NO_NON_IDEMPOTENT_REQUEST_STARTS_TWICE,
        soakRecord(List.of(ANSWERED), 2, 1, counters(1, 1, 0)));
  }

  @Test
  void answerWithoutCompletionIsDetected() {
    assertFailsOnly(
        SoakCheck.EVERY_ANSWERED_REQUEST_WAS_COMPLETED,
        soakRecord(List.of(ANSWERED), 1, 0, counters(1, 1, 0)));
  }

  @Test
  void rejectedRequestThatRanIsDetected() {
    assertFailsOnly(
        SoakCheck.NO_REJECTED_REQUEST_STARTS,
        soakRecord(List.of(entry("1", "look", Outcome.REJECTED)), 1, 1, counters(0, 0, 0)));
  }

  @Test
  void internalFaultIsDetected() {
    assertFailsOnly(
        SoakCheck.NO_INTERNAL_FAULTS, soakRecord(List.of(ANSWERED), 1, 1, counters(1, 1, 1)));
  }

  @Test
  void fallOfWhatIsServedIsDetected() {
    assertFailsOnly(
        SoakCheck.EVERY_QUIET_REQUEST_IS_ANSWERED, withQuietPeriod(Outcome.SHED, 0, List.of()));
    assertFailsOnly(
        SoakCheck.QUIET_CONNECTS_ARE_PROMPT,
        withQuietPeriod(Outcome.ANSWERED, SoakCheck.MAX_CONNECT_MS + 1, List.of()));
  }

  @Test
  void overlappingAttemptsAreDetected() {
    AttemptRecord first = new AttemptRecord("1", 0, new AtomicLong(10));
    AttemptRecord second = new AttemptRecord("1", 9, new AtomicLong(20));
    assertTrue(first.overlaps(second) && second.overlaps(first));
    assertFalse(first.overlaps(new AttemptRecord("1", 10, new AtomicLong(20))));
    assertFalse(first.overlaps(new AttemptRecord("2", 9, new AtomicLong(20))));
    assertFailsOnly(
        SoakCheck.NO_ATTEMPTS_OF_A_REQUEST_OVERLAP,
        withQuietPeriod(Outcome.ANSWERED, 0, List.of(second)));
  }

  @Test
  void lateAnswersStartsAndRestartsAreDetected() {
    assertFailsOnly(
        SoakCheck.NO_REQUEST_STARTS_AFTER_A_DEPARTURE,
        withTimes(SoakCheck.MAX_START_AFTER_DEPARTURE_MS + 1, 0, 0, 0));
    assertFailsOnly(
        SoakCheck.NO_REQUEST_IS_PENDING_AT_SIGKILL,
        withTimes(0, SoakCheck.MAX_LAST_ANSWER_MS + 1, 0, 0));
    assertFailsOnly(
        SoakCheck.RESTARTED_DISPATCHERS_SERVE_IN_TIME,
        withTimes(0, 0, SoakCheck.MAX_READY_MS + 1, 0));
    assertFailsOnly(
        SoakCheck.NO_REQUEST_STARTS_AFTER_THE_DRAIN_GRACE,
        withTimes(0, 0, 0, SoakCheck.MAX_START_AFTER_DRAIN_MS + 1));
  }
}
