package cobaltseam.soak;

import cobaltseam.standin.RequestLedger.Outcome;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** The checks of the soak, each a predicate on the record of a run. */
enum SoakCheck {
  /** Each request that a dispatcher read has exactly one final answer. */
  EVERY_REQUEST_READ_IS_ANSWERED_ONCE(
      r ->
          r.killed() > 0
              || r.sum("commands_taken")
                  == r.sum("commands_answered")
                      + r.sum("commands_shed")
                      + r.sum("commands_failed")
                      + r.sum("commands_departed")),
  /**
   * Each answer of a dispatcher reached its client. Only answers to clients that departed may be
   * lost with their connection.
   */
  EVERY_ANSWER_REACHES_ITS_CLIENT(
      r ->
          r.killed() > 0
              || isReceivedByClients(r, Outcome.ANSWERED, "commands_answered")
                  && isReceivedByClients(r, Outcome.SHED, "commands_shed")
                  && isReceivedByClients(r, Outcome.FAILED, "commands_failed")),
  /** No client timed out while it waited for an answer. */
  NO_REQUEST_TIMES_OUT(r -> count(r, Outcome.TIMED_OUT) == 0),
  /** Engines started each request that is not idempotent at most once. */
  NO_NON_IDEMPOTENT_REQUEST_STARTS_TWICE(
      r ->
          r.requests().stream()
              .filter(e -> e.requestClass().equals("once"))
              .allMatch(e -> r.starts().getOrDefault(e.callId(), 0) <= 1)),
  /** Each request that was answered with a result was completed by an engine. */
  EVERY_ANSWERED_REQUEST_WAS_COMPLETED(
      r ->
          r.requests().stream()
              .filter(e -> e.outcome() == Outcome.ANSWERED)
              .allMatch(e -> r.completions().getOrDefault(e.callId(), 0) > 0)),
  /** No engine started a request that was rejected before it was admitted. */
  NO_REJECTED_REQUEST_STARTS(
      r ->
          r.requests().stream()
              .filter(e -> e.outcome() == Outcome.REJECTED)
              .noneMatch(e -> r.starts().containsKey(e.callId()))),
  /** No engine started a request too long after its client had departed. */
  NO_REQUEST_STARTS_AFTER_A_DEPARTURE(
      r ->
          r.startsAfterDepartureMs().stream()
              .allMatch(ms -> ms <= SoakCheck.MAX_START_AFTER_DEPARTURE_MS)),
  /** No request started on a draining engine after the drain grace. */
  NO_REQUEST_STARTS_AFTER_THE_DRAIN_GRACE(
      r ->
          r.startsAfterDrainMs().stream().allMatch(ms -> ms <= SoakCheck.MAX_START_AFTER_DRAIN_MS)),
  /** No engine had two attempts of one request at a time, alone or with another engine. */
  NO_ATTEMPTS_OF_A_REQUEST_OVERLAP(r -> r.overlappingAttempts().isEmpty()),
  /** Without a fault that costs requests, each is answered with its result within its deadline. */
  EVERY_QUIET_REQUEST_IS_ANSWERED(
      r -> r.quietRequests().stream().allMatch(e -> e.outcome() == Outcome.ANSWERED)),
  /** Before the first fault, no client waited long for its connection. */
  QUIET_CONNECTS_ARE_PROMPT(
      r -> r.quietConnectMs().stream().allMatch(ms -> ms <= SoakCheck.MAX_CONNECT_MS)),
  /** No request was pending at the time when the platform may send SIGKILL. */
  NO_REQUEST_IS_PENDING_AT_SIGKILL(
      r -> r.lastAnswersMs().stream().allMatch(ms -> ms <= SoakCheck.MAX_LAST_ANSWER_MS)),
  /** Each restarted dispatcher served within {@link #MAX_READY_MS}. */
  RESTARTED_DISPATCHERS_SERVE_IN_TIME(
      r -> r.readyMs().stream().allMatch(ms -> ms <= SoakCheck.MAX_READY_MS)),
  /** No dispatcher counted an internal fault. */
  NO_INTERNAL_FAULTS(r -> r.sum("faults") == 0);

  /** The operators' term: an attempt that begins later than this is a lost request. */
  static final long MAX_START_AFTER_DEPARTURE_MS = 100;

  /** The platform's drain grace of 1 s, and the 50 ms by which its limits on sockets are longer. */
  static final long MAX_START_AFTER_DRAIN_MS = 1050;

  /** What a failed accept may cost: milliseconds, never the others a second. */
  static final long MAX_CONNECT_MS = 500;

  /**
   * The longest deadline, 3 s, and the dispatcher's shutdown delay of 0.7 s. After that the
   * platform may send SIGKILL.
   */
  static final long MAX_LAST_ANSWER_MS = 3700;

  static final long MAX_READY_MS = 10_000;

  private final Predicate<SoakRecord> passes;

  SoakCheck(Predicate<SoakRecord> passes) {
    this.passes = passes;
  }

  private static long count(SoakRecord soakRecord, Outcome outcome) {
    return soakRecord.requests().stream().filter(e -> e.outcome() == outcome).count();
  }

  private static boolean isReceivedByClients(
      SoakRecord soakRecord, Outcome outcome, String counter) {
    long unreceived = soakRecord.sum(counter) - count(soakRecord, outcome);
    return unreceived >= 0 && unreceived <= soakRecord.departures();
  }

  /** Returns the checks that a run failed. */
  static List<SoakCheck> failedChecks(SoakRecord soakRecord) {
    return Arrays.stream(values()).filter(check -> !check.passes.test(soakRecord)).toList();
  }
}
