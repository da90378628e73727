package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.SequenceKey;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Policies to compare the module with: each only picks an engine and sends at once. They keep the
 * rules on repeats, drains, placement and order by the plainest means, hold nothing but what order
 * asks for, and shed only what has failed.
 */
final class Baseline implements Policy {
  /** Which engine, of those that the list has up. */
  enum EngineChoice {
    RANDOM,
    ROUND_ROBIN,
    LEAST_IN_HAND,
    TWO_CHOICES,
    SHORTEST_LATE,
    CLAIRVOYANT
  }

  /** The clairvoyant one waits this many times as long as a command would truly take. */
  private static final double SEEN_AFTER = 4;

  /** And sends only what would be in time were it that much slower. */
  private static final double SLACK = 1.3;

  private static final TimeSpan LOOK = new TimeSpan(5000);

  private static final class OpenRequest {
    Request command;
    Timestamp taken;
    double density;
    Deployment.RequestClass profile;
    int sends;
    EngineId out;
    boolean mayHaveRun;
  }

  private final EngineChoice choice;
  private final RandomGenerator chance;
  private final Deployment told;
  private final Map<String, Deployment.RequestClass> profiles = new HashMap<>();
  private final TreeMap<EngineId, EndpointStatus> up = new TreeMap<>();
  private final Map<EngineId, Integer> inHand = new HashMap<>();

  /** What engines reported in hand with their last answer. */
  private final Map<EngineId, Double> reported = new HashMap<>();

  private final Map<RequestId, OpenRequest> open = new HashMap<>();
  private final Deque<OpenRequest> again = new ArrayDeque<>();

  /**
   * By key of an order profile: commands not over, in the order taken; until when a key rests; and
   * who waits for that.
   */
  private final Map<SequenceKey, Deque<OpenRequest>> lines = new HashMap<>();

  private final Map<SequenceKey, Timestamp> rests = new HashMap<>();
  private final List<OpenRequest> resting = new ArrayList<>();

  /**
   * Held by the clairvoyant one until an engine truly has room: the most benefit for its work
   * first.
   */
  private final TreeSet<OpenRequest> held =
      new TreeSet<>(
          Comparator.comparingDouble((OpenRequest request) -> -request.density)
              .thenComparing(request -> request.command.id().value()));

  private final TrueState truth;
  private List<EndpointStatus> list = List.of();
  private int turn;
  private Timestamp looked;

  /** What is so at engines at this moment, which no dispatcher can know. */
  interface TrueState {
    /**
     * How long a microsecond of one thread's work would take for one command more; infinite where
     * nothing would come.
     */
    double pace(EngineId engine);

    /** Whether so many threads more still add work done rather than take from it. */
    boolean hasRoom(EngineId engine, int threads);
  }

  /**
   * @param truth for the clairvoyant one alone
   */
  Baseline(EngineChoice choice, Deployment told, RandomGenerator chance, TrueState truth) {
    this.choice = choice;
    this.told = told;
    this.chance = chance;
    this.truth = truth;
    told.requestClasses().forEach(p -> profiles.put(p.id().value(), p));
    turn = told.dispatcherIndex();
  }

  @Override
  public Placement place(Request command, Timestamp now) {
    OpenRequest request = open.get(command.id());
    if (request == null) {
      request = new OpenRequest();
      request.command = command;
      request.profile = profiles.get(command.requestClass().value());
      request.taken = now;
      open.put(command.id(), request);
      if (request.profile.isOrdered() && command.sequenceKey() != null) {
        lines.computeIfAbsent(command.sequenceKey(), k -> new ArrayDeque<>()).add(request);
      }
    }
    if (request.out != null) {
      return Placement.queue();
    }
    TimeSpan left = command.deadline().since(now).minus(told.capabilities().clockTick().times(2));
    if (left.isPositive() && waits(request, now)) {
      return Placement.queue();
    }
    EngineId engine = left.isPositive() ? pick(request) : null;
    double us = 0;
    if (engine != null && choice == EngineChoice.CLAIRVOYANT) {
      boolean room = truth.hasRoom(engine, request.profile.threads());
      us = truth.pace(engine) * command.work().us() / request.profile.threads();
      Timestamp target =
          request
              .taken
              .plus(request.profile.latencyObjective())
              .plus(
                  command
                      .work()
                      .times(request.profile.objectivePerWork() / request.profile.threads()));
      double least = command.work().us() / (double) request.profile.threads();
      if (!now.plus(new TimeSpan(Math.round(Math.min(least, 1e12)))).isBefore(target)) {
        return giveUp(request);
      }
      if (!room || !(us * SLACK < target.since(now).us())) {
        request.density = request.profile.priorityWeight() / Math.max(1, command.work().us());
        held.add(request);
        return Placement.queue();
      }
    }
    if (engine == null) {
      return giveUp(request);
    }
    held.remove(request);
    // The clairvoyant one would also see that an engine has gone, and not wait for it.
    left =
        choice == EngineChoice.CLAIRVOYANT
            ? left.min(
                new TimeSpan(Math.round(SEEN_AFTER * us)).max(request.profile.latencyObjective()))
            : left;
    request.out = engine;
    request.sends++;
    inHand.merge(engine, 1, Integer::sum);
    return Placement.send(engine, left, -1);
  }

  private Placement giveUp(OpenRequest request) {
    remove(request);
    return request.mayHaveRun && request.profile.retrySafety() != Deployment.RetrySafety.IDEMPOTENT
        ? Placement.fail()
        : Placement.shed(told.capabilities().maxRetryAfter());
  }

  private void remove(OpenRequest request) {
    open.remove(request.command.id());
    again.remove(request);
    held.remove(request);
    Deque<OpenRequest> line =
        request.command.sequenceKey() == null ? null : lines.get(request.command.sequenceKey());
    if (line != null && line.remove(request) && line.isEmpty()) {
      lines.remove(request.command.sequenceKey());
    } else if (line != null
        && !line.isEmpty()
        && line.peek().out == null
        && !again.contains(line.peek())) {
      again.add(line.peek());
    }
  }

  /** Whether one in order has to wait for an earlier one of its key, or for the key to rest. */
  private boolean waits(OpenRequest request, Timestamp now) {
    Deque<OpenRequest> line =
        request.profile.isOrdered() && request.command.sequenceKey() != null
            ? lines.get(request.command.sequenceKey())
            : null;
    if (line == null) {
      return false;
    }
    Timestamp rest = rests.get(request.command.sequenceKey());
    if (rest != null && !now.isBefore(rest)) {
      rests.remove(request.command.sequenceKey());
      rest = null;
    }
    if (line.peek() == request && rest != null && !resting.contains(request)) {
      resting.add(request);
    }
    return line.peek() != request || rest != null;
  }

  private EngineId pick(OpenRequest request) {
    List<EndpointStatus> to =
        request.profile.locations() == null
            ? list
            : list.stream()
                .filter(l -> request.profile.locations().contains(l.location()))
                .toList();
    if (to.isEmpty()) {
      return null;
    }
    return switch (choice) {
      case RANDOM -> to.get(chance.nextInt(to.size())).engine();
      case ROUND_ROBIN -> to.get(Math.floorMod(turn++, to.size())).engine();
      case LEAST_IN_HAND -> least(to, this::inHand);
      case TWO_CHOICES ->
          least(
              List.of(to.get(chance.nextInt(to.size())), to.get(chance.nextInt(to.size()))),
              this::inHand);
      case SHORTEST_LATE -> least(to, e -> reported.getOrDefault(e, 0.0) + inHand(e));
      case CLAIRVOYANT ->
          least(
              to,
              e ->
                  truth.hasRoom(e, request.profile.threads())
                      ? truth.pace(e)
                      : Double.POSITIVE_INFINITY);
    };
  }

  private double inHand(EngineId engine) {
    return inHand.getOrDefault(engine, 0);
  }

  private EngineId least(List<EndpointStatus> of, ToDoubleFunction<EngineId> figure) {
    EngineId best = null;
    double least = Double.POSITIVE_INFINITY;
    int from = chance.nextInt(of.size());
    for (int i = 0; i < of.size(); i++) {
      EngineId engine = of.get((from + i) % of.size()).engine();
      double value = figure.applyAsDouble(engine);
      if (best == null || value < least) {
        best = engine;
        least = value;
      }
    }
    return best;
  }

  @Override
  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
    OpenRequest request = open.get(outcome.request());
    if (request == null || request.out == null) {
      return Placement.queue();
    }
    inHand.merge(request.out, -1, Integer::sum);
    if (outcome.inFlightAtEngine() >= 0) {
      reported.put(request.out, outcome.inFlightAtEngine());
    }
    request.out = null;
    AttemptOutcome.AttemptResult ending = outcome.result();
    request.mayHaveRun |= !ending.hasNeverRun();
    if (request.profile.isOrdered()
        && request.command.sequenceKey() != null
        && (ending == AttemptOutcome.AttemptResult.TIMED_OUT
            || ending == AttemptOutcome.AttemptResult.CONNECTION_LOST
            || ending == AttemptOutcome.AttemptResult.CANCELLED)) {
      rests.put(
          request.command.sequenceKey(),
          now.plus(told.rules().sequenceKeyRest()).plus(told.capabilities().clockTick()));
    }
    if (outcome.isLast() || ending == AttemptOutcome.AttemptResult.COMPLETED) {
      remove(request);
      return Placement.queue();
    }
    boolean repeats =
        request.profile.retrySafety() == Deployment.RetrySafety.IDEMPOTENT || !request.mayHaveRun;
    if (!repeats
        || request.sends >= told.capabilities().maxAttempts()
        || told.rules().freeRetries() != null
        || request.profile.isOrdered()) {
      return giveUp(request);
    }
    again.add(request);
    return Placement.queue();
  }

  @Override
  public NextStep next(Timestamp now) {
    OpenRequest request = again.poll();
    if (request != null) {
      return NextStep.placeAgain(request.command);
    }
    TimeSpan wait = null;
    for (OpenRequest r : List.copyOf(resting)) {
      Timestamp until = rests.get(r.command.sequenceKey());
      if (!open.containsKey(r.command.id()) || until == null || !now.isBefore(until)) {
        resting.remove(r);
        if (open.containsKey(r.command.id())) {
          return NextStep.placeAgain(r.command);
        }
      } else {
        wait = wait == null ? until.since(now) : wait.min(until.since(now));
      }
    }
    // Held ones are looked at once each tick.
    if (!held.isEmpty() && (looked == null || !now.isBefore(looked.plus(LOOK)))) {
      looked = now;
      again.addAll(held);
      return NextStep.placeAgain(again.poll().command);
    }
    return NextStep.waitFor(held.isEmpty() ? wait : wait == null ? LOOK : wait.min(LOOK));
  }

  @Override
  public void updateEndpoints(List<EndpointStatus> lines, boolean whole, Timestamp now) {
    if (whole) {
      up.clear();
    }
    for (EndpointStatus line : lines) {
      if (line.state() == EndpointStatus.EndpointState.UP) {
        up.put(line.engine(), line);
      } else {
        up.remove(line.engine());
      }
    }
    list = new ArrayList<>(up.values());
  }

  @Override
  public void updateProgress(RequestId command, int send, double share, Timestamp now) {
    // None of them listens.
    return;
  }

  @Override
  public void clientLeft(RequestId command, Timestamp now) {
    OpenRequest request = open.get(command);
    if (request != null && request.out == null) {
      remove(request);
    }
  }
}
