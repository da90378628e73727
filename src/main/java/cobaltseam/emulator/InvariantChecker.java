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
 * Watches every run for broken rules, by what was taken, sent, run and answered, and asks no
 * policy. Slow and plain: it keeps what each rule needs and looks it through. A dispatcher that
 * stands still or was killed is not held to answer.
 */
final class InvariantChecker {
  /** The seven rules. */
  enum Rule {
    LOST,
    TWICE,
    DRAIN,
    COLD,
    ORDER,
    PLACEMENT,
    BUDGET
  }

  /** One broken rule: when, by which dispatcher, on which command, and what was seen. */
  record Violation(Rule rule, double atS, int dispatcher, String command, String what) {}

  /** How a command can end for its client. */
  enum FinalAnswer {
    ANSWERED,
    SHED,
    FAILED
  }

  private static final class ObservedRequest {
    EmulatedSite.RequestClass profile;
    String key;
    long takenUs;
    long timeoutUs;
    FinalAnswer told;
    boolean gone;
    int out;
    final List<ObservedAttempt> sends = new ArrayList<>();
  }

  private static final class ObservedAttempt {
    EngineModel engine;
    long atUs;
    long ranUs = -1;
    AttemptResult ending;
    long endedUs;
  }

  private record NotifiedState(EndpointState standing, long atUs) {}

  private static final int MAX_RECORDED = 100;
  private static final long SLACK_US = 50_000;

  private final EmulatedSite site;
  private final Timeline time;
  private final List<Map<RequestId, ObservedRequest>> seen = new ArrayList<>();
  private final List<Map<EngineId, NotifiedState>> told = new ArrayList<>();
  private final List<Deque<Long>> taken = new ArrayList<>();
  private final List<Deque<Long>> further = new ArrayList<>();

  /** By dispatcher and key: commands not over, in the order taken; and until when the key rests. */
  private final List<Map<String, Deque<RequestId>>> lines = new ArrayList<>();

  private final List<Map<String, Long>> rests = new ArrayList<>();
  private final Map<EngineId, Deque<double[]>> cold = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

  InvariantChecker(EmulatedSite world, Timeline time) {
    this.site = world;
    this.time = time;
    for (int i = 0; i < world.dispatchers(); i++) {
      seen.add(new HashMap<>());
      told.add(new HashMap<>());
      taken.add(new ArrayDeque<>());
      further.add(new ArrayDeque<>());
      lines.add(new HashMap<>());
      rests.add(new HashMap<>());
    }
  }

  private void violations(Rule rule, int dispatcher, RequestId command, String what) {
    counts.merge(rule, 1L, Long::sum);
    if (violations.size() < MAX_RECORDED) {
      violations.add(
          new Violation(
              rule, time.nowUs() / 1e6, dispatcher, command == null ? "" : command.value(), what));
    }
  }

  List<Violation> violations() {
    return violations;
  }

  long count(Rule rule) {
    return counts.getOrDefault(rule, 0L);
  }

  long all() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  void listed(int dispatcher, EngineId engine, EndpointState standing) {
    NotifiedState before = told.get(dispatcher).get(engine);
    // A drain counts from when it was first told, however often it is told again.
    if (before == null
        || before.standing != standing
            && (before.standing == EndpointState.UP || standing == EndpointState.UP)) {
      told.get(dispatcher).put(engine, new NotifiedState(standing, time.nowUs()));
    }
  }

  void taken(
      int dispatcher, RequestId id, EmulatedSite.RequestClass profile, String key, long timeoutUs) {
    ObservedRequest observed = new ObservedRequest();
    observed.profile = profile;
    observed.key = key;
    observed.takenUs = time.nowUs();
    observed.timeoutUs = timeoutUs;
    seen.get(dispatcher).put(id, observed);
    taken.get(dispatcher).addLast(observed.takenUs);
    if (profile.inOrder() && key != null) {
      lines.get(dispatcher).computeIfAbsent(key, k -> new ArrayDeque<>()).addLast(id);
    }
  }

  /** A send leaves; the number under which its outcome is told, or -1. */
  int sent(int dispatcher, RequestId id, EngineModel engine) {
    long now = time.nowUs();
    ObservedRequest observed = seen.get(dispatcher).get(id);
    if (observed == null) {
      violations(Rule.LOST, dispatcher, id, "a send for a command that is over or was never taken");
      return -1;
    }
    if (observed.told != null) {
      violations(Rule.LOST, dispatcher, id, "a send after its final answer " + observed.told);
    }
    if (observed.out > 0) {
      violations(Rule.TWICE, dispatcher, id, "a send while another is out");
    }
    NotifiedState standing = told.get(dispatcher).get(engine.id);
    if (standing == null) {
      violations(Rule.DRAIN, dispatcher, id, "a send to an engine that was never listed");
    } else if (standing.standing != EndpointState.UP
        && now - standing.atUs > EmulatedSite.ms(site.limits().drainGraceMs()).us()) {
      violations(
          Rule.DRAIN,
          dispatcher,
          id,
          "a send "
              + (now - standing.atUs) / 1000
              + " ms after its engine was told "
              + standing.standing);
    }
    if (observed.profile.locations() != null
        && !observed.profile.locations().contains(engine.location.value())) {
      violations(Rule.PLACEMENT, dispatcher, id, "a send to " + engine.location.value());
    }
    if (!observed.sends.isEmpty()) {
      repeated(dispatcher, id, observed, engine, now);
    }
    if (observed.profile.inOrder() && observed.key != null) {
      ordered(dispatcher, id, observed, now);
    }
    ObservedAttempt sent = new ObservedAttempt();
    sent.engine = engine;
    sent.atUs = now;
    observed.sends.add(sent);
    observed.out++;
    return observed.sends.size() - 1;
  }

  private void repeated(
      int dispatcher, RequestId id, ObservedRequest observed, EngineModel engine, long now) {
    ObservedAttempt first =
        observed.sends.stream()
            .filter(x -> x.ending == null || !x.ending.hasNeverRun())
            .findFirst()
            .orElse(null);
    if (first != null && observed.profile.retrySafety() == RetrySafety.NOT_IDEMPOTENT) {
      violations(
          Rule.TWICE, dispatcher, id, "another send of a non-replayable command that may have run");
    } else if (first != null && observed.profile.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY) {
      boolean same =
          observed.profile.deduplicationScope() == DeduplicationScope.ALL
              || observed.profile.deduplicationScope() == DeduplicationScope.GROUP
                  && first.engine.group.equals(engine.group)
              || observed.profile.deduplicationScope() == DeduplicationScope.LOCATION
                  && first.engine.location.equals(engine.location);
      if (!same
          || now - first.atUs > EmulatedSite.ms(observed.profile.deduplicationWindowMs()).us()) {
        violations(
            Rule.TWICE,
            dispatcher,
            id,
            "a uniqued command sent again outside what drops its repeats");
      }
    }
    if (site.limits().freeRetries() != null) {
      long window = EmulatedSite.ms(site.limits().retryWindowMs()).us();
      Deque<Long> sends = further.get(dispatcher);
      Deque<Long> came = taken.get(dispatcher);
      sends.addLast(now);
      while (!sends.isEmpty() && sends.peekFirst() < now - window) {
        sends.pollFirst();
      }
      while (!came.isEmpty() && came.peekFirst() <= now - window) {
        came.pollFirst();
      }
      double allowed = site.limits().freeRetries() + site.limits().retryRatio() * came.size();
      if (sends.size() > allowed) {
        violations(Rule.BUDGET, dispatcher, id, sends.size() + " further sends of " + allowed);
      }
    }
  }

  private void ordered(int dispatcher, RequestId id, ObservedRequest observed, long now) {
    for (RequestId other : lines.get(dispatcher).getOrDefault(observed.key, new ArrayDeque<>())) {
      if (other.equals(id)) {
        break;
      }
      violations(
          Rule.ORDER,
          dispatcher,
          id,
          "a send while an earlier one of its key, " + other.value() + ", is not over");
      break;
    }
    if (now < rests.get(dispatcher).getOrDefault(observed.key, 0L)) {
      violations(Rule.ORDER, dispatcher, id, "a send while its key rests");
    }
  }

  /**
   * An engine takes a send in: whether the work of the last window pushes it over, if it is cold.
   * Each send weighs its profile's mean work, since no dispatcher could know more.
   */
  boolean pushesOver(EngineModel engine, double workUs) {
    long window = EmulatedSite.ms(site.limits().slowStartWindowMs()).us();
    if (engine.warmth() >= 1 || window <= 0) {
      cold.remove(engine.id);
      return false;
    }
    Deque<double[]> work = cold.computeIfAbsent(engine.id, e -> new ArrayDeque<>());
    work.addLast(new double[] {time.nowUs(), workUs});
    while (work.peekFirst()[0] < time.nowUs() - window) {
      work.pollFirst();
    }
    double sum = work.stream().mapToDouble(w -> w[1]).sum();
    double most =
        site.limits().slowStartLimitFactor() * engine.warmth() * site.engines().cores() * window;
    if (sum > most && work.size() > site.engines().cores()) {
      violations(
          Rule.COLD,
          -1,
          null,
          "engine "
              + engine.id.value()
              + " was sent "
              + Math.round(sum / most * 100)
              + "% of what it stands");
      return true;
    }
    return false;
  }

  /** A send ran to its end. */
  void ran(int dispatcher, RequestId id, int send) {
    ObservedRequest observed = seen.get(dispatcher).get(id);
    if (observed != null && send >= 0) {
      observed.sends.get(send).ranUs = time.nowUs();
      long runs = observed.sends.stream().filter(x -> x.ranUs >= 0).count();
      if (runs > 1 && observed.profile.retrySafety() == RetrySafety.NOT_IDEMPOTENT) {
        violations(Rule.TWICE, dispatcher, id, "it ran twice");
      }
    }
  }

  void outcome(int dispatcher, RequestId id, int send, AttemptResult ending) {
    ObservedRequest observed = seen.get(dispatcher).get(id);
    if (observed == null || send < 0) {
      return;
    }
    ObservedAttempt sent = observed.sends.get(send);
    sent.ending = ending;
    sent.endedUs = time.nowUs();
    observed.out--;
    if (observed.profile.inOrder()
        && observed.key != null
        && (ending == AttemptResult.TIMED_OUT
            || ending == AttemptResult.CONNECTION_LOST
            || ending == AttemptResult.CANCELLED)) {
      rests
          .get(dispatcher)
          .put(
              observed.key, time.nowUs() + EmulatedSite.ms(site.limits().sequenceKeyRestMs()).us());
    }
    over(dispatcher, id, observed);
  }

  void answered(int dispatcher, RequestId id, FinalAnswer told) {
    ObservedRequest observed = seen.get(dispatcher).get(id);
    if (observed == null || observed.told != null) {
      violations(Rule.LOST, dispatcher, id, "a second final answer, " + told);
      return;
    }
    observed.told = told;
    if (time.nowUs() > observed.timeoutUs + SLACK_US) {
      violations(
          Rule.LOST,
          dispatcher,
          id,
          "a final answer "
              + (time.nowUs() - observed.timeoutUs) / 1000
              + " ms after the client timeout");
    }
    if (told == FinalAnswer.SHED
        && observed.profile.retrySafety() != RetrySafety.IDEMPOTENT
        && !(observed.profile.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
            && observed.profile.deduplicationScope() == DeduplicationScope.ALL)
        && observed.sends.stream().anyMatch(x -> x.ending == null || !x.ending.hasNeverRun())) {
      violations(Rule.TWICE, dispatcher, id, "shed though it may have run");
    }
    if (told == FinalAnswer.ANSWERED && observed.sends.stream().noneMatch(x -> x.ranUs >= 0)) {
      violations(Rule.LOST, dispatcher, id, "answered though no engine ran it");
    }
    over(dispatcher, id, observed);
  }

  /** Its client has waited for its whole timeout. */
  void departed(int dispatcher, RequestId id, boolean stoodStill) {
    ObservedRequest observed = seen.get(dispatcher).get(id);
    if (observed != null && observed.told == null) {
      if (!stoodStill) {
        violations(Rule.LOST, dispatcher, id, "no final answer within the client timeout");
      }
      observed.gone = true;
      over(dispatcher, id, observed);
    }
  }

  private void over(int dispatcher, RequestId id, ObservedRequest observed) {
    if ((observed.told != null || observed.gone) && observed.out == 0) {
      seen.get(dispatcher).remove(id);
      if (observed.profile.inOrder() && observed.key != null) {
        Deque<RequestId> line = lines.get(dispatcher).get(observed.key);
        if (line != null) {
          line.remove(id);
          if (line.isEmpty()) {
            lines.get(dispatcher).remove(observed.key);
          }
        }
      }
    }
  }

  /** A killed dispatcher's commands are no longer its duty, and what it was told is forgotten. */
  void killed(int dispatcher) {
    seen.get(dispatcher).clear();
    told.get(dispatcher).clear();
    taken.get(dispatcher).clear();
    further.get(dispatcher).clear();
    lines.get(dispatcher).clear();
    rests.get(dispatcher).clear();
  }
}
