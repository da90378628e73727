package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.RequestId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariants of a run. The checker is independent of policies: it observes which
 * requests were admitted, sent, run and answered, keeps what each rule needs and favours simple
 * code over speed. A suspended or killed dispatcher does not have to answer its requests.
 */
final class InvariantChecker {
  /** The rules that are checked. */
  enum Rule {
    /** Every admitted request gets exactly one final answer, in time. */
    LOST,
    /** No request runs more often than its retry safety allows, or is sent while at an engine. */
    TWICE,
    /** No attempt goes to an engine that is not up, after a grace period. */
    DRAIN,
    /** No engine in slow start receives more work than it can do. */
    COLD,
    /** Requests of one sequence key are sent one after the other, and not while the key rests. */
    ORDER,
    /** Attempts go only to the locations of the request class. */
    PLACEMENT,
    /** Retries stay within the retry budget. */
    BUDGET
  }

  /**
   * A violation of a rule. The component names are part of the printed form.
   *
   * @param dispatcher the number of the dispatcher; -1 if the violation belongs to none
   * @param command the id of the request; empty if the violation belongs to none
   * @param what a description
   */
  record Violation(Rule rule, double atS, int dispatcher, String command, String what) {}

  /** The final answer that a client receives. */
  enum FinalAnswer {
    ANSWERED,
    SHED,
    FAILED
  }

  private static final class ObservedRequest {
    EmulatedSite.RequestClass requestClass;
    String key;
    long admittedUs;
    long deadlineUs;
    FinalAnswer answer;
    boolean isClientDisconnected;
    int openAttempts;
    final List<ObservedAttempt> attempts = new ArrayList<>();
  }

  private static final class ObservedAttempt {
    EngineModel engine;
    long sentUs;

    /** When an engine completed the attempt; -1 if none did. */
    long ranUs = -1;

    /** The outcome as the dispatcher saw it, or null. */
    AttemptResult result;

    long endedUs;
  }

  private record NotifiedState(EndpointState state, long atUs) {}

  /** How many violations are recorded; all are counted. */
  private static final int MAX_RECORDED = 100;

  /** How late after the deadline a final answer may be. */
  private static final long DEADLINE_SLACK_US = 50_000;

  private final EmulatedSite site;
  private final Timeline time;

  // By dispatcher.
  private final List<Map<RequestId, ObservedRequest>> observedRequests = new ArrayList<>();
  private final List<Map<EngineId, NotifiedState>> notifiedStates = new ArrayList<>();
  private final List<Deque<Long>> admissions = new ArrayList<>();
  private final List<Deque<Long>> retries = new ArrayList<>();

  /** By dispatcher and sequence key: requests that are not over, in the order of admission. */
  private final List<Map<String, Deque<RequestId>>> queuesByKey = new ArrayList<>();

  /** By dispatcher and sequence key: when the rest of the key ends. */
  private final List<Map<String, Long>> keyRestEnds = new ArrayList<>();

  /** The time and the work of recent attempts at each engine in slow start. */
  private final Map<EngineId, Deque<double[]>> slowStartWork = new HashMap<>();

  private final List<Violation> violations = new ArrayList<>();
  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

  InvariantChecker(EmulatedSite site, Timeline time) {
    this.site = site;
    this.time = time;
    for (int i = 0; i < site.dispatchers(); i++) {
      observedRequests.add(new HashMap<>());
      notifiedStates.add(new HashMap<>());
      admissions.add(new ArrayDeque<>());
      retries.add(new ArrayDeque<>());
      queuesByKey.add(new HashMap<>());
      keyRestEnds.add(new HashMap<>());
    }
  }

  private void report(Rule rule, int dispatcher, RequestId id, String description) {
    counts.merge(rule, 1L, Long::sum);
    if (violations.size() < MAX_RECORDED) {
      violations.add(
          new Violation(
              rule, time.nowUs() / 1e6, dispatcher, id == null ? "" : id.value(), description));
    }
  }

  /** The first violations. */
  List<Violation> violations() {
    return violations;
  }

  /** The number of all violations of a rule. */
  long count(Rule rule) {
    return counts.getOrDefault(rule, 0L);
  }

  /** The number of all violations. */
  long violationCount() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** A dispatcher was notified of the state of an endpoint. */
  void endpointNotified(int dispatcher, EngineId engine, EndpointState state) {
    NotifiedState before = notifiedStates.get(dispatcher).get(engine);
    // The grace period starts with the first notification that the engine is not up.
    if (before == null
        || before.state != state
            && (before.state == EndpointState.UP || state == EndpointState.UP)) {
      notifiedStates.get(dispatcher).put(engine, new NotifiedState(state, time.nowUs()));
    }
  }

  /** A dispatcher admitted a request; its sequence key may be null. */
  void requestAdmitted(
      int dispatcher,
      RequestId id,
      EmulatedSite.RequestClass requestClass,
      String key,
      long deadlineUs) {
    ObservedRequest observed = new ObservedRequest();
    observed.requestClass = requestClass;
    observed.key = key;
    observed.admittedUs = time.nowUs();
    observed.deadlineUs = deadlineUs;
    observedRequests.get(dispatcher).put(id, observed);
    admissions.get(dispatcher).addLast(observed.admittedUs);
    if (requestClass.isOrdered() && key != null) {
      queuesByKey.get(dispatcher).computeIfAbsent(key, k -> new ArrayDeque<>()).addLast(id);
    }
  }

  /**
   * A dispatcher sent an attempt.
   *
   * @return the index under which its outcome has to be reported; -1 if the request is not known
   */
  int attemptSent(int dispatcher, RequestId id, EngineModel engine) {
    long now = time.nowUs();
    ObservedRequest observed = observedRequests.get(dispatcher).get(id);
    if (observed == null) {
      report(
          Rule.LOST, dispatcher, id, "an attempt for a request that is over or was never admitted");
      return -1;
    }
    if (observed.answer != null) {
      report(Rule.LOST, dispatcher, id, "an attempt after the final answer " + observed.answer);
    }
    if (observed.openAttempts > 0) {
      report(Rule.TWICE, dispatcher, id, "an attempt while another is open");
    }
    NotifiedState notified = notifiedStates.get(dispatcher).get(engine.id);
    if (notified == null) {
      report(Rule.DRAIN, dispatcher, id, "an attempt at an engine that was never listed");
    } else if (notified.state != EndpointState.UP
        && now - notified.atUs > EmulatedSite.ms(site.limits().drainGraceMs()).us()) {
      report(
          Rule.DRAIN,
          dispatcher,
          id,
          "an attempt "
              + (now - notified.atUs) / 1000
              + " ms after the dispatcher was notified that the engine is "
              + notified.state);
    }
    if (observed.requestClass.locations() != null
        && !observed.requestClass.locations().contains(engine.location.value())) {
      report(Rule.PLACEMENT, dispatcher, id, "an attempt in location " + engine.location.value());
    }
    if (!observed.attempts.isEmpty()) {
      checkRetry(dispatcher, id, observed, engine, now);
    }
    if (observed.requestClass.isOrdered() && observed.key != null) {
      checkOrder(dispatcher, id, observed, now);
    }
    ObservedAttempt attempt = new ObservedAttempt();
    attempt.engine = engine;
    attempt.sentUs = now;
    observed.attempts.add(attempt);
    observed.openAttempts++;
    return observed.attempts.size() - 1;
  }

  private void checkRetry(
      int dispatcher, RequestId id, ObservedRequest observed, EngineModel engine, long now) {
    ObservedAttempt first =
        observed.attempts.stream()
            .filter(attempt -> attempt.result == null || !attempt.result.hasNeverRun())
            .findFirst()
            .orElse(null);
    if (first != null && observed.requestClass.retrySafety() == RetrySafety.NOT_IDEMPOTENT) {
      report(
          Rule.TWICE,
          dispatcher,
          id,
          "a retry of a request that is not idempotent and may have run");
    } else if (first != null
        && observed.requestClass.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY) {
      boolean isDeduplicated =
          observed.requestClass.deduplicationScope() == DeduplicationScope.ALL
              || observed.requestClass.deduplicationScope() == DeduplicationScope.GROUP
                  && first.engine.group.equals(engine.group)
              || observed.requestClass.deduplicationScope() == DeduplicationScope.LOCATION
                  && first.engine.location.equals(engine.location);
      if (!isDeduplicated
          || now - first.sentUs
              > EmulatedSite.ms(observed.requestClass.deduplicationWindowMs()).us()) {
        report(Rule.TWICE, dispatcher, id, "a retry outside the scope or window of deduplication");
      }
    }
    if (site.limits().freeRetries() != null) {
      long window = EmulatedSite.ms(site.limits().retryWindowMs()).us();
      Deque<Long> recentRetries = retries.get(dispatcher);
      Deque<Long> recentAdmissions = admissions.get(dispatcher);
      recentRetries.addLast(now);
      while (!recentRetries.isEmpty() && recentRetries.peekFirst() < now - window) {
        recentRetries.pollFirst();
      }
      while (!recentAdmissions.isEmpty() && recentAdmissions.peekFirst() <= now - window) {
        recentAdmissions.pollFirst();
      }
      double allowed =
          site.limits().freeRetries() + site.limits().retryRatio() * recentAdmissions.size();
      if (recentRetries.size() > allowed) {
        report(
            Rule.BUDGET,
            dispatcher,
            id,
            recentRetries.size() + " retries of " + allowed + " allowed");
      }
    }
  }

  private void checkOrder(int dispatcher, RequestId id, ObservedRequest observed, long now) {
    for (RequestId other :
        queuesByKey.get(dispatcher).getOrDefault(observed.key, new ArrayDeque<>())) {
      if (other.equals(id)) {
        break;
      }
      report(
          Rule.ORDER,
          dispatcher,
          id,
          "an attempt while an earlier request of its key, " + other.value() + ", is not over");
      break;
    }
    if (now < keyRestEnds.get(dispatcher).getOrDefault(observed.key, 0L)) {
      report(Rule.ORDER, dispatcher, id, "an attempt while its key rests");
    }
  }

  /**
   * An attempt arrived at an engine.
   *
   * @param workUs the mean work of the request class, since dispatchers do not know the true work
   * @return whether the engine is in slow start and received more work in the last window than it
   *     can do; false at any other time
   */
  boolean overloadsColdEngine(EngineModel engine, double workUs) {
    long window = EmulatedSite.ms(site.limits().slowStartWindowMs()).us();
    if (engine.slowStartFactor() >= 1 || window <= 0) {
      slowStartWork.remove(engine.id);
      return false;
    }
    Deque<double[]> recent = slowStartWork.computeIfAbsent(engine.id, e -> new ArrayDeque<>());
    recent.addLast(new double[] {time.nowUs(), workUs});
    while (recent.peekFirst()[0] < time.nowUs() - window) {
      recent.pollFirst();
    }
    double sumUs = recent.stream().mapToDouble(entry -> entry[1]).sum();
    double limitUs =
        site.limits().slowStartLimitFactor()
            * engine.slowStartFactor()
            * site.engines().cores()
            * window;
    if (sumUs > limitUs && recent.size() > site.engines().cores()) {
      report(
          Rule.COLD,
          -1,
          null,
          "engine "
              + engine.id.value()
              + " in slow start received "
              + Math.round(sumUs / limitUs * 100)
              + "% of its limit");
      return true;
    }
    return false;
  }

  /** An engine completed an attempt. */
  void attemptRan(int dispatcher, RequestId id, int index) {
    ObservedRequest observed = observedRequests.get(dispatcher).get(id);
    if (observed != null && index >= 0) {
      observed.attempts.get(index).ranUs = time.nowUs();
      long runs = observed.attempts.stream().filter(attempt -> attempt.ranUs >= 0).count();
      if (runs > 1 && observed.requestClass.retrySafety() == RetrySafety.NOT_IDEMPOTENT) {
        report(Rule.TWICE, dispatcher, id, "the request ran twice");
      }
    }
  }

  /** A dispatcher saw the outcome of an attempt. */
  void attemptEnded(int dispatcher, RequestId id, int index, AttemptResult result) {
    ObservedRequest observed = observedRequests.get(dispatcher).get(id);
    if (observed == null || index < 0) {
      return;
    }
    ObservedAttempt attempt = observed.attempts.get(index);
    attempt.result = result;
    attempt.endedUs = time.nowUs();
    observed.openAttempts--;
    if (observed.requestClass.isOrdered()
        && observed.key != null
        && (result == AttemptResult.TIMED_OUT
            || result == AttemptResult.CONNECTION_LOST
            || result == AttemptResult.CANCELLED)) {
      keyRestEnds
          .get(dispatcher)
          .put(
              observed.key, time.nowUs() + EmulatedSite.ms(site.limits().sequenceKeyRestMs()).us());
    }
    removeIfOver(dispatcher, id, observed);
  }

  /** A dispatcher sent the final answer of a request. */
  void finalAnswerSent(int dispatcher, RequestId id, FinalAnswer answer) {
    ObservedRequest observed = observedRequests.get(dispatcher).get(id);
    if (observed == null || observed.answer != null) {
      report(Rule.LOST, dispatcher, id, "a second final answer, " + answer);
      return;
    }
    observed.answer = answer;
    if (time.nowUs() > observed.deadlineUs + DEADLINE_SLACK_US) {
      report(
          Rule.LOST,
          dispatcher,
          id,
          "a final answer "
              + (time.nowUs() - observed.deadlineUs) / 1000
              + " ms after the deadline");
    }
    if (answer == FinalAnswer.SHED
        && observed.requestClass.retrySafety() != RetrySafety.IDEMPOTENT
        && !(observed.requestClass.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
            && observed.requestClass.deduplicationScope() == DeduplicationScope.ALL)
        && observed.attempts.stream()
            .anyMatch(attempt -> attempt.result == null || !attempt.result.hasNeverRun())) {
      report(Rule.TWICE, dispatcher, id, "shed although the request may have run");
    }
    if (answer == FinalAnswer.ANSWERED
        && observed.attempts.stream().noneMatch(attempt -> attempt.ranUs >= 0)) {
      report(Rule.LOST, dispatcher, id, "answered although no engine completed the request");
    }
    removeIfOver(dispatcher, id, observed);
  }

  /**
   * The client of a request has waited until the deadline and left.
   *
   * @param wasSuspended whether the dispatcher was suspended or down, which excuses it
   */
  void clientDisconnected(int dispatcher, RequestId id, boolean wasSuspended) {
    ObservedRequest observed = observedRequests.get(dispatcher).get(id);
    if (observed != null && observed.answer == null) {
      if (!wasSuspended) {
        report(Rule.LOST, dispatcher, id, "no final answer by the deadline");
      }
      observed.isClientDisconnected = true;
      removeIfOver(dispatcher, id, observed);
    }
  }

  /** Forgets a request that has its final answer, or no client, and no open attempt. */
  private void removeIfOver(int dispatcher, RequestId id, ObservedRequest observed) {
    if ((observed.answer != null || observed.isClientDisconnected) && observed.openAttempts == 0) {
      observedRequests.get(dispatcher).remove(id);
      if (observed.requestClass.isOrdered() && observed.key != null) {
        Deque<RequestId> queue = queuesByKey.get(dispatcher).get(observed.key);
        if (queue != null) {
          queue.remove(id);
          if (queue.isEmpty()) {
            queuesByKey.get(dispatcher).remove(observed.key);
          }
        }
      }
    }
  }

  /** A dispatcher was killed: its requests and all it was notified of are forgotten. */
  void dispatcherKilled(int dispatcher) {
    observedRequests.get(dispatcher).clear();
    notifiedStates.get(dispatcher).clear();
    admissions.get(dispatcher).clear();
    retries.get(dispatcher).clear();
    queuesByKey.get(dispatcher).clear();
    keyRestEnds.get(dispatcher).clear();
  }
}
