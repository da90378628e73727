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
 * Baseline policies that the dispatcher's own policy is compared with. Each chooses an engine and
 * sends a request there at once. They keep the rules on retries, draining, placement and order in
 * the simplest way, queue requests only to keep their order, and shed only requests whose attempts
 * failed or that have no engine or time left. {@link EngineChoice#CLAIRVOYANT} also queues and
 * sheds by the true state of the engines.
 */
final class Baseline implements Policy {
  /** How an engine is chosen among those that are up. The names are those of the policies. */
  enum EngineChoice {
    RANDOM,
    ROUND_ROBIN,
    LEAST_IN_HAND,
    TWO_CHOICES,
    SHORTEST_LATE,
    CLAIRVOYANT
  }

  /** CLAIRVOYANT's attempt timeout as a multiple of the time that the request would truly take. */
  private static final double TIMEOUT_FACTOR = 4;

  /** CLAIRVOYANT sends a request only if it met its objective even when slowed by this factor. */
  private static final double SLACK = 1.3;

  /** The interval at which CLAIRVOYANT tries to place its queued requests again. */
  private static final TimeSpan QUEUE_CHECK_INTERVAL = new TimeSpan(5000);

  private static final class OpenRequest {
    Request request;
    Timestamp admittedAt;
    double weightPerWork;
    Deployment.RequestClass requestClass;
    int attempts;

    /** The engine of the open attempt, or null. */
    EngineId engine;

    boolean mayHaveRun;
  }

  private final EngineChoice choice;
  private final RandomGenerator random;
  private final Deployment deployment;
  private final Map<String, Deployment.RequestClass> requestClasses = new HashMap<>();
  private final TreeMap<EngineId, EndpointStatus> upByEngine = new TreeMap<>();
  private final Map<EngineId, Integer> inFlight = new HashMap<>();

  /** The number of requests in flight that each engine reported with its last answer. */
  private final Map<EngineId, Double> reportedInFlight = new HashMap<>();

  private final Map<RequestId, OpenRequest> openRequests = new HashMap<>();
  private final Deque<OpenRequest> placeAgain = new ArrayDeque<>();

  /** The open requests of each sequence key, in the order of their admission. */
  private final Map<SequenceKey, Deque<OpenRequest>> queuesByKey = new HashMap<>();

  /** When the rest of a sequence key ends, during which no request of the key is sent. */
  private final Map<SequenceKey, Timestamp> keyRestEnds = new HashMap<>();

  /** Requests that are first of their key and wait for the end of its rest. */
  private final List<OpenRequest> waitingForRest = new ArrayList<>();

  /**
   * Requests that CLAIRVOYANT queues until an engine truly has capacity, by descending priority
   * weight per work.
   */
  private final TreeSet<OpenRequest> queued =
      new TreeSet<>(
          Comparator.comparingDouble((OpenRequest request) -> -request.weightPerWork)
              .thenComparing(request -> request.request.id().value()));

  private final TrueState trueState;
  private List<EndpointStatus> upEngines = List.of();
  private int nextIndex;
  private Timestamp lastQueueCheck;

  /** The true state of the engines, which a real dispatcher cannot know. */
  interface TrueState {
    /**
     * The time in microseconds that a microsecond of one thread's work would take with one more
     * thread; infinite if the engine does no work.
     */
    double timePerThreadWork(EngineId engine);

    /** Whether an engine can run more threads up to its knee; an idle one always can. */
    boolean hasCapacity(EngineId engine, int threads);
  }

  /**
   * Creates a policy without engines.
   *
   * @param trueState the true state of the engines, which only CLAIRVOYANT uses
   */
  Baseline(
      EngineChoice choice, Deployment deployment, RandomGenerator random, TrueState trueState) {
    this.choice = choice;
    this.deployment = deployment;
    this.random = random;
    this.trueState = trueState;
    deployment
        .requestClasses()
        .forEach(requestClass -> requestClasses.put(requestClass.id().value(), requestClass));
    nextIndex = deployment.dispatcherIndex();
  }

  @Override
  public Placement place(Request request, Timestamp now) {
    OpenRequest open = openRequests.get(request.id());
    if (open == null) {
      open = new OpenRequest();
      open.request = request;
      open.requestClass = requestClasses.get(request.requestClass().value());
      open.admittedAt = now;
      openRequests.put(request.id(), open);
      if (open.requestClass.isOrdered() && request.sequenceKey() != null) {
        queuesByKey.computeIfAbsent(request.sequenceKey(), k -> new ArrayDeque<>()).add(open);
      }
    }
    if (open.engine != null) {
      return Placement.queue();
    }
    TimeSpan left =
        request.deadline().since(now).minus(deployment.capabilities().clockTick().times(2));
    if (left.isPositive() && mustWaitForKey(open, now)) {
      return Placement.queue();
    }
    EngineId engine = left.isPositive() ? chooseEngine(open) : null;
    double expectedUs = 0;
    if (engine != null && choice == EngineChoice.CLAIRVOYANT) {
      boolean hasCapacity = trueState.hasCapacity(engine, open.requestClass.threads());
      expectedUs =
          trueState.timePerThreadWork(engine) * request.work().us() / open.requestClass.threads();
      Timestamp objective =
          open.admittedAt
              .plus(open.requestClass.latencyObjective())
              .plus(
                  request
                      .work()
                      .times(open.requestClass.objectivePerWork() / open.requestClass.threads()));
      double minUs = request.work().us() / (double) open.requestClass.threads();
      if (!now.plus(new TimeSpan(Math.round(Math.min(minUs, 1e12)))).isBefore(objective)) {
        return giveUp(open);
      }
      if (!hasCapacity || !(expectedUs * SLACK < objective.since(now).us())) {
        open.weightPerWork = open.requestClass.priorityWeight() / Math.max(1, request.work().us());
        queued.add(open);
        return Placement.queue();
      }
    }
    if (engine == null) {
      return giveUp(open);
    }
    queued.remove(open);
    // With knowledge of the true state, a failed engine is noticed well before the deadline.
    left =
        choice == EngineChoice.CLAIRVOYANT
            ? left.min(
                new TimeSpan(Math.round(TIMEOUT_FACTOR * expectedUs))
                    .max(open.requestClass.latencyObjective()))
            : left;
    open.engine = engine;
    open.attempts++;
    inFlight.merge(engine, 1, Integer::sum);
    return Placement.send(engine, left, -1);
  }

  private Placement giveUp(OpenRequest request) {
    remove(request);
    return request.mayHaveRun
            && request.requestClass.retrySafety() != Deployment.RetrySafety.IDEMPOTENT
        ? Placement.fail()
        : Placement.shed(deployment.capabilities().maxRetryAfter());
  }

  private void remove(OpenRequest request) {
    openRequests.remove(request.request.id());
    placeAgain.remove(request);
    queued.remove(request);
    Deque<OpenRequest> queue =
        request.request.sequenceKey() == null
            ? null
            : queuesByKey.get(request.request.sequenceKey());
    if (queue != null && queue.remove(request) && queue.isEmpty()) {
      queuesByKey.remove(request.request.sequenceKey());
    } else if (queue != null
        && !queue.isEmpty()
        && queue.peek().engine == null
        && !placeAgain.contains(queue.peek())) {
      placeAgain.add(queue.peek());
    }
  }

  /**
   * Whether an ordered request has to wait for an earlier one of its key, or for the key's rest to
   * end.
   */
  private boolean mustWaitForKey(OpenRequest request, Timestamp now) {
    Deque<OpenRequest> queue =
        request.requestClass.isOrdered() && request.request.sequenceKey() != null
            ? queuesByKey.get(request.request.sequenceKey())
            : null;
    if (queue == null) {
      return false;
    }
    Timestamp restEnd = keyRestEnds.get(request.request.sequenceKey());
    if (restEnd != null && !now.isBefore(restEnd)) {
      keyRestEnds.remove(request.request.sequenceKey());
      restEnd = null;
    }
    if (queue.peek() == request && restEnd != null && !waitingForRest.contains(request)) {
      waitingForRest.add(request);
    }
    return queue.peek() != request || restEnd != null;
  }

  private EngineId chooseEngine(OpenRequest request) {
    List<EndpointStatus> candidates =
        request.requestClass.locations() == null
            ? upEngines
            : upEngines.stream()
                .filter(l -> request.requestClass.locations().contains(l.location()))
                .toList();
    if (candidates.isEmpty()) {
      return null;
    }
    return switch (choice) {
      case RANDOM -> candidates.get(random.nextInt(candidates.size())).engine();
      case ROUND_ROBIN -> candidates.get(Math.floorMod(nextIndex++, candidates.size())).engine();
      case LEAST_IN_HAND -> lowest(candidates, this::inFlight);
      case TWO_CHOICES ->
          lowest(
              List.of(
                  candidates.get(random.nextInt(candidates.size())),
                  candidates.get(random.nextInt(candidates.size()))),
              this::inFlight);
      case SHORTEST_LATE ->
          lowest(candidates, e -> reportedInFlight.getOrDefault(e, 0.0) + inFlight(e));
      case CLAIRVOYANT ->
          lowest(
              candidates,
              e ->
                  trueState.hasCapacity(e, request.requestClass.threads())
                      ? trueState.timePerThreadWork(e)
                      : Double.POSITIVE_INFINITY);
    };
  }

  private double inFlight(EngineId engine) {
    return inFlight.getOrDefault(engine, 0);
  }

  private EngineId lowest(List<EndpointStatus> candidates, ToDoubleFunction<EngineId> metric) {
    EngineId best = null;
    double lowest = Double.POSITIVE_INFINITY;
    int from = random.nextInt(candidates.size());
    for (int i = 0; i < candidates.size(); i++) {
      EngineId engine = candidates.get((from + i) % candidates.size()).engine();
      double value = metric.applyAsDouble(engine);
      if (best == null || value < lowest) {
        best = engine;
        lowest = value;
      }
    }
    return best;
  }

  @Override
  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
    OpenRequest request = openRequests.get(outcome.request());
    if (request == null || request.engine == null) {
      return Placement.queue();
    }
    inFlight.merge(request.engine, -1, Integer::sum);
    if (outcome.inFlightAtEngine() >= 0) {
      reportedInFlight.put(request.engine, outcome.inFlightAtEngine());
    }
    request.engine = null;
    AttemptOutcome.AttemptResult result = outcome.result();
    request.mayHaveRun |= !result.hasNeverRun();
    if (request.requestClass.isOrdered()
        && request.request.sequenceKey() != null
        && (result == AttemptOutcome.AttemptResult.TIMED_OUT
            || result == AttemptOutcome.AttemptResult.CONNECTION_LOST
            || result == AttemptOutcome.AttemptResult.CANCELLED)) {
      keyRestEnds.put(
          request.request.sequenceKey(),
          now.plus(deployment.rules().sequenceKeyRest())
              .plus(deployment.capabilities().clockTick()));
    }
    if (outcome.isLast() || result == AttemptOutcome.AttemptResult.COMPLETED) {
      remove(request);
      return Placement.queue();
    }
    boolean mayRetry =
        request.requestClass.retrySafety() == Deployment.RetrySafety.IDEMPOTENT
            || !request.mayHaveRun;
    if (!mayRetry
        || request.attempts >= deployment.capabilities().maxAttempts()
        || deployment.rules().freeRetries() != null
        || request.requestClass.isOrdered()) {
      return giveUp(request);
    }
    placeAgain.add(request);
    return Placement.queue();
  }

  @Override
  public NextStep next(Timestamp now) {
    OpenRequest request = placeAgain.poll();
    if (request != null) {
      return NextStep.placeAgain(request.request);
    }
    TimeSpan wait = null;
    for (OpenRequest waiting : List.copyOf(waitingForRest)) {
      Timestamp restEnd = keyRestEnds.get(waiting.request.sequenceKey());
      if (!openRequests.containsKey(waiting.request.id())
          || restEnd == null
          || !now.isBefore(restEnd)) {
        waitingForRest.remove(waiting);
        if (openRequests.containsKey(waiting.request.id())) {
          return NextStep.placeAgain(waiting.request);
        }
      } else {
        wait = wait == null ? restEnd.since(now) : wait.min(restEnd.since(now));
      }
    }
    // Queued requests are placed again at a fixed interval.
    if (!queued.isEmpty()
        && (lastQueueCheck == null || !now.isBefore(lastQueueCheck.plus(QUEUE_CHECK_INTERVAL)))) {
      lastQueueCheck = now;
      placeAgain.addAll(queued);
      return NextStep.placeAgain(placeAgain.poll().request);
    }
    return NextStep.waitFor(
        queued.isEmpty()
            ? wait
            : wait == null ? QUEUE_CHECK_INTERVAL : wait.min(QUEUE_CHECK_INTERVAL));
  }

  @Override
  public void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now) {
    if (complete) {
      upByEngine.clear();
    }
    for (EndpointStatus status : list) {
      if (status.state() == EndpointStatus.EndpointState.UP) {
        upByEngine.put(status.engine(), status);
      } else {
        upByEngine.remove(status.engine());
      }
    }
    upEngines = new ArrayList<>(upByEngine.values());
  }

  @Override
  public void updateProgress(RequestId id, int attempt, double fraction, Timestamp now) {
    // No baseline uses progress reports.
    return;
  }

  @Override
  public void clientDisconnected(RequestId id, Timestamp now) {
    OpenRequest request = openRequests.get(id);
    if (request != null && request.engine == null) {
      remove(request);
    }
  }
}
