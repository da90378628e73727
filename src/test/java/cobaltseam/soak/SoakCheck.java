package cobaltseam.soak;

import cobaltseam.standin.RequestLedger.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** The named checks of the soak, each on the record of a run. */
enum SoakCheck {
  /** Each request that was read got one final answer. */
  EVERY_REQUEST_READ_IS_ANSWERED_ONCE(
      r ->
          r.sum("commands_taken")
              == r.sum("commands_answered")
                  + r.sum("commands_shed")
                  + r.sum("commands_failed")
                  + r.sum("commands_departed")),
  /**
   * What dispatchers answered reached its client whole: no answer is lost with a connection, but
   * for those of clients that left.
   */
  EVERY_ANSWER_REACHES_ITS_CLIENT(
      r ->
          isReceived(r, Outcome.ANSWERED, "commands_answered")
              && isReceived(r, Outcome.SHED, "commands_shed")
              && isReceived(r, Outcome.FAILED, "commands_failed")),
  /** No client waits in vain. */
  NO_CLIENT_WAITS_IN_VAIN(r -> seen(r, Outcome.TIMED_OUT) == 0),
  /** What must not be repeated is started once at the most. */
  NOTHING_RUNS_TWICE(
      r ->
          r.requests().stream()
              .filter(e -> e.requestClass().equals("once"))
              .allMatch(e -> r.starts().getOrDefault(e.callId(), 0) <= 1)),
  /** A completed answer is that of a request that an engine completed. */
  ONLY_WHAT_RAN_IS_ANSWERED(
      r ->
          r.requests().stream()
              .filter(e -> e.outcome() == Outcome.ANSWERED)
              .allMatch(e -> r.completions().getOrDefault(e.callId(), 0) > 0)),
  /** A request that was rejected before it was admitted runs nowhere. */
  NOTHING_REJECTED_RUNS(
      r ->
          r.requests().stream()
              .filter(e -> e.outcome() == Outcome.REJECTED)
              .noneMatch(e -> r.starts().containsKey(e.callId()))),
  /** Nothing begins for a client that has left. */
  NOTHING_BEGINS_AFTER_A_DEPARTURE(
      r -> r.startsAfterDepartureMs().stream().allMatch(ms -> ms <= SoakCheck.DEPARTURE_MS)),
  /** A draining engine is sent nothing once the grace is over. */
  DRAINS_ARE_KEPT(r -> r.startsAfterDrainMs().stream().allMatch(ms -> ms <= SoakCheck.DRAIN_MS)),
  /** No request is unanswered when a process may be killed. */
  NOTHING_IS_LOST_AT_THE_KILL(
      r -> r.lastAnswersMs().stream().allMatch(ms -> ms <= SoakCheck.KILL_MS)),
  /** A restarted process serves in time. */
  RESTARTS_ARE_READY_IN_TIME(r -> r.readyMs().stream().allMatch(ms -> ms <= SoakCheck.READY_MS)),
  /** No dispatcher caught a fault of its own. */
  NO_FAULTS(r -> r.sum("faults") == 0);

  /** The 0.1 s within which a departure has to be noticed, and what a busy machine may add. */
  static final long DEPARTURE_MS = 300;

  /** The page's grace of a drain and what a busy machine may add. */
  static final long DRAIN_MS = 1300;

  /** The longest deadline, and what the page adds to it, before SIGKILL may come. */
  static final long KILL_MS = 3700;

  static final long READY_MS = 10_000;

  private final Predicate<SoakRecord> holds;

  SoakCheck(Predicate<SoakRecord> holds) {
    this.holds = holds;
  }

  private static long seen(SoakRecord soakRecord, Outcome outcome) {
    return soakRecord.requests().stream().filter(e -> e.outcome() == outcome).count();
  }

  private static boolean isReceived(SoakRecord soakRecord, Outcome outcome, String counter) {
    long unseen = soakRecord.sum(counter) - seen(soakRecord, outcome);
    return unseen >= 0 && unseen <= soakRecord.departures();
  }

  /** The checks that do not hold for a run. */
  static List<SoakCheck> broken(SoakRecord soakRecord) {
    return Arrays.stream(values()).filter(c -> !c.holds.test(soakRecord)).toList();
  }
}
