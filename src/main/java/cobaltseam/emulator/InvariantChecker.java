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
  record Broken(Rule rule, double atS, int dispatcher, String command, String what) {}

  /** How a command can end for its client. */
  enum Final {
    ANSWERED,
    SHED,
    FAILED
  }

  private static final class Seen {
    EmulatedSite.Profile profile;
    String key;
    long takenUs;
    long timeoutUs;
    Final told;
    boolean gone;
    int out;
    final List<Sent> sends = new ArrayList<>();
  }

  private static final class Sent {
    EngineModel engine;
    long atUs;
    long ranUs = -1;
    AttemptResult ending;
    long endedUs;
  }

  private record Told(EndpointState standing, long atUs) {}

  private static final int MOST_KEPT = 100;
  private static final long SLACK_US = 50_000;

  private final EmulatedSite world;
  private final Timeline time;
  private final List<Map<RequestId, Seen>> seen = new ArrayList<>();
  private final List<Map<EngineId, Told>> told = new ArrayList<>();
  private final List<Deque<Long>> taken = new ArrayList<>();
  private final List<Deque<Long>> further = new ArrayList<>();

  /** By dispatcher and key: commands not over, in the order taken; and until when the key rests. */
  private final List<Map<String, Deque<RequestId>>> lines = new ArrayList<>();

  private final List<Map<String, Long>> rests = new ArrayList<>();
  private final Map<EngineId, Deque<double[]>> cold = new HashMap<>();
  private final List<Broken> broken = new ArrayList<>();
  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

  InvariantChecker(EmulatedSite world, Timeline time) {
    this.world = world;
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

  private void broken(Rule rule, int dispatcher, RequestId command, String what) {
    counts.merge(rule, 1L, Long::sum);
    if (broken.size() < MOST_KEPT) {
      broken.add(
          new Broken(
              rule, time.nowUs() / 1e6, dispatcher, command == null ? "" : command.value(), what));
    }
  }

  List<Broken> broken() {
    return broken;
  }

  long count(Rule rule) {
    return counts.getOrDefault(rule, 0L);
  }

  long all() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  void listed(int dispatcher, EngineId engine, EndpointState standing) {
    Told before = told.get(dispatcher).get(engine);
    // A drain counts from when it was first told, however often it is told again.
    if (before == null
        || before.standing != standing
            && (before.standing == EndpointState.UP || standing == EndpointState.UP)) {
      told.get(dispatcher).put(engine, new Told(standing, time.nowUs()));
    }
  }

  void taken(
      int dispatcher, RequestId id, EmulatedSite.Profile profile, String key, long timeoutUs) {
    Seen s = new Seen();
    s.profile = profile;
    s.key = key;
    s.takenUs = time.nowUs();
    s.timeoutUs = timeoutUs;
    seen.get(dispatcher).put(id, s);
    taken.get(dispatcher).addLast(s.takenUs);
    if (profile.inOrder() && key != null) {
      lines.get(dispatcher).computeIfAbsent(key, k -> new ArrayDeque<>()).addLast(id);
    }
  }

  /** A send leaves; the number under which its outcome is told, or -1. */
  int sent(int dispatcher, RequestId id, EngineModel engine) {
    long now = time.nowUs();
    Seen s = seen.get(dispatcher).get(id);
    if (s == null) {
      broken(Rule.LOST, dispatcher, id, "a send for a command that is over or was never taken");
      return -1;
    }
    if (s.told != null) {
      broken(Rule.LOST, dispatcher, id, "a send after its final answer " + s.told);
    }
    if (s.out > 0) {
      broken(Rule.TWICE, dispatcher, id, "a send while another is out");
    }
    Told standing = told.get(dispatcher).get(engine.id);
    if (standing == null) {
      broken(Rule.DRAIN, dispatcher, id, "a send to an engine that was never listed");
    } else if (standing.standing != EndpointState.UP
        && now - standing.atUs > EmulatedSite.ms(world.limits().drainGraceMs()).us()) {
      broken(
          Rule.DRAIN,
          dispatcher,
          id,
          "a send "
              + (now - standing.atUs) / 1000
              + " ms after its engine was told "
              + standing.standing);
    }
    if (s.profile.locations() != null && !s.profile.locations().contains(engine.location.value())) {
      broken(Rule.PLACEMENT, dispatcher, id, "a send to " + engine.location.value());
    }
    if (!s.sends.isEmpty()) {
      repeated(dispatcher, id, s, engine, now);
    }
    if (s.profile.inOrder() && s.key != null) {
      ordered(dispatcher, id, s, now);
    }
    Sent sent = new Sent();
    sent.engine = engine;
    sent.atUs = now;
    s.sends.add(sent);
    s.out++;
    return s.sends.size() - 1;
  }

  private void repeated(int dispatcher, RequestId id, Seen s, EngineModel engine, long now) {
    Sent first =
        s.sends.stream()
            .filter(x -> x.ending == null || !x.ending.neverRan())
            .findFirst()
            .orElse(null);
    if (first != null && s.profile.repeat() == RetrySafety.NOT_IDEMPOTENT) {
      broken(
          Rule.TWICE, dispatcher, id, "another send of a non-replayable command that may have run");
    } else if (first != null && s.profile.repeat() == RetrySafety.IDEMPOTENT_WITH_KEY) {
      boolean same =
          s.profile.scope() == DeduplicationScope.ALL
              || s.profile.scope() == DeduplicationScope.GROUP
                  && first.engine.group.equals(engine.group)
              || s.profile.scope() == DeduplicationScope.LOCATION
                  && first.engine.location.equals(engine.location);
      if (!same || now - first.atUs > EmulatedSite.ms(s.profile.rememberedMs()).us()) {
        broken(
            Rule.TWICE,
            dispatcher,
            id,
            "a uniqued command sent again outside what drops its repeats");
      }
    }
    if (world.limits().furtherFree() != null) {
      long window = EmulatedSite.ms(world.limits().furtherWindowMs()).us();
      Deque<Long> sends = further.get(dispatcher);
      Deque<Long> came = taken.get(dispatcher);
      sends.addLast(now);
      while (!sends.isEmpty() && sends.peekFirst() < now - window) {
        sends.pollFirst();
      }
      while (!came.isEmpty() && came.peekFirst() <= now - window) {
        came.pollFirst();
      }
      double allowed = world.limits().furtherFree() + world.limits().furtherRatio() * came.size();
      if (sends.size() > allowed) {
        broken(Rule.BUDGET, dispatcher, id, sends.size() + " further sends of " + allowed);
      }
    }
  }

  private void ordered(int dispatcher, RequestId id, Seen s, long now) {
    for (RequestId other : lines.get(dispatcher).getOrDefault(s.key, new ArrayDeque<>())) {
      if (other.equals(id)) {
        break;
      }
      broken(
          Rule.ORDER,
          dispatcher,
          id,
          "a send while an earlier one of its key, " + other.value() + ", is not over");
      break;
    }
    if (now < rests.get(dispatcher).getOrDefault(s.key, 0L)) {
      broken(Rule.ORDER, dispatcher, id, "a send while its key rests");
    }
  }

  /**
   * An engine takes a send in: whether the work of the last window pushes it over, if it is cold.
   * Each send weighs its profile's mean work, since no dispatcher could know more.
   */
  boolean pushesOver(EngineModel engine, double workUs) {
    long window = EmulatedSite.ms(world.limits().fallWindowMs()).us();
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
        world.limits().fallMultiple() * engine.warmth() * world.engines().cores() * window;
    if (sum > most && work.size() > world.engines().cores()) {
      broken(
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
    Seen s = seen.get(dispatcher).get(id);
    if (s != null && send >= 0) {
      s.sends.get(send).ranUs = time.nowUs();
      long runs = s.sends.stream().filter(x -> x.ranUs >= 0).count();
      if (runs > 1 && s.profile.repeat() == RetrySafety.NOT_IDEMPOTENT) {
        broken(Rule.TWICE, dispatcher, id, "it ran twice");
      }
    }
  }

  void outcome(int dispatcher, RequestId id, int send, AttemptResult ending) {
    Seen s = seen.get(dispatcher).get(id);
    if (s == null || send < 0) {
      return;
    }
    Sent sent = s.sends.get(send);
    sent.ending = ending;
    sent.endedUs = time.nowUs();
    s.out--;
    if (s.profile.inOrder()
        && s.key != null
        && (ending == AttemptResult.TIMED_OUT
            || ending == AttemptResult.CONNECTION_LOST
            || ending == AttemptResult.CANCELLED)) {
      rests
          .get(dispatcher)
          .put(s.key, time.nowUs() + EmulatedSite.ms(world.limits().keyRestMs()).us());
    }
    over(dispatcher, id, s);
  }

  void answered(int dispatcher, RequestId id, Final told) {
    Seen s = seen.get(dispatcher).get(id);
    if (s == null || s.told != null) {
      broken(Rule.LOST, dispatcher, id, "a second final answer, " + told);
      return;
    }
    s.told = told;
    if (time.nowUs() > s.timeoutUs + SLACK_US) {
      broken(
          Rule.LOST,
          dispatcher,
          id,
          "a final answer " + (time.nowUs() - s.timeoutUs) / 1000 + " ms after the client timeout");
    }
    if (told == Final.SHED
        && s.profile.repeat() != RetrySafety.IDEMPOTENT
        && !(s.profile.repeat() == RetrySafety.IDEMPOTENT_WITH_KEY
            && s.profile.scope() == DeduplicationScope.ALL)
        && s.sends.stream().anyMatch(x -> x.ending == null || !x.ending.neverRan())) {
      broken(Rule.TWICE, dispatcher, id, "shed though it may have run");
    }
    if (told == Final.ANSWERED && s.sends.stream().noneMatch(x -> x.ranUs >= 0)) {
      broken(Rule.LOST, dispatcher, id, "answered though no engine ran it");
    }
    over(dispatcher, id, s);
  }

  /** Its client has waited for its whole timeout. */
  void departed(int dispatcher, RequestId id, boolean stoodStill) {
    Seen s = seen.get(dispatcher).get(id);
    if (s != null && s.told == null) {
      if (!stoodStill) {
        broken(Rule.LOST, dispatcher, id, "no final answer within the client timeout");
      }
      s.gone = true;
      over(dispatcher, id, s);
    }
  }

  private void over(int dispatcher, RequestId id, Seen s) {
    if ((s.told != null || s.gone) && s.out == 0) {
      seen.get(dispatcher).remove(id);
      if (s.profile.inOrder() && s.key != null) {
        Deque<RequestId> line = lines.get(dispatcher).get(s.key);
        if (line != null) {
          line.remove(id);
          if (line.isEmpty()) {
            lines.get(dispatcher).remove(s.key);
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
