package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * All decisions of one dispatcher; the entry point of this package.
 *
 * <p>Callers ask three questions: {@link #place} says where a request goes, {@link
 * #completeAttempt} what follows an outcome, and {@link #next} what to do next. They call {@code
 * next} after every other call, and do what it says until it names a time to wait. Everything else
 * that a dispatcher learns comes through the update methods, such as {@link #updateEndpoints},
 * {@link #updateProgress} and {@link #clientDisconnected}.
 *
 * <p>The ordinary path: each engine has a thread budget of two threads a core, split evenly over
 * the dispatchers. A request goes where most budget is left per core; where none has its threads
 * left it is queued, first come first served. While answers of a request class come from an engine
 * at usual speed, the budget there may grow up to all of the engine's threads.
 *
 * <p>Where to read on: {@link ThreadBudgets} chooses engines, {@link EngineHealth} assesses them,
 * {@link EngineWarmup} starts them slowly, {@link RequestAdmission} accepts requests, {@link
 * OutcomeRecorder} learns from outcomes, {@link AttemptTimeouts} ends attempts, {@link
 * RetryAllowance} bounds retries, {@link LoadShedder} and {@link TenantQuotas} shed load, {@link
 * KeySequences} keeps order, {@link MemoryNeed} grants memory and {@link RequestQueue} keeps what
 * waits.
 *
 * <p>An instance knows its own traffic and shares nothing. It is not thread safe.
 */
public final class Dispatcher {
  private final RequestClassTable requestClasses = new RequestClassTable();
  private final RequestQueue queue = new RequestQueue();
  private final KeySequences sequences = new KeySequences();
  private final TenantQuotas quotas = new TenantQuotas();
  private final RetryAllowance retries = new RetryAllowance();
  private final EngineTable engines;
  private final EngineHealth health;
  private final OutcomeRecorder outcomes;
  private final ThreadBudgets budgets;
  private final AttemptTimeouts timeouts;
  private final LoadShedder shedder;
  private final RequestAdmission admission;
  private PolicySettings settings;

  /**
   * Starts with no engines; nothing is sent before {@link #updateEndpoints}.
   *
   * @param seed of all random draws; the same calls with the same seed give the same decisions
   */
  public Dispatcher(Deployment deployment, long seed) {
    RandomGenerator random = new SplittableRandom(seed);
    settings = PolicySettings.of(deployment);
    engines = new EngineTable(random);
    health = new EngineHealth(engines, requestClasses, settings);
    outcomes = new OutcomeRecorder(engines, health, settings);
    budgets = new ThreadBudgets(engines, health, settings);
    timeouts = new AttemptTimeouts(health, settings);
    shedder = new LoadShedder(budgets, health, requestClasses, random, settings);
    admission = new RequestAdmission(requestClasses, quotas, health, shedder);
    retries.addBudget(deployment.rules());
    requestClasses.applySettings(deployment, settings.shortestObjective(), Set.of());
    quotas.applyQuotas(deployment.quotas(), settings.dispatcherCount());
    engines.setSettings(deployment.machineTypes(), settings.slowStart());
  }

  // ---- the three questions

  /**
   * Where to send a request, new or queued. A new one that has to wait is queued from here on.
   *
   * @throws IllegalArgumentException if the settings do not define the class of a new request
   */
  public Placement place(Request request, Timestamp now) {
    health.refresh(now);
    TrackedRequest tracked = queue.get(request.id());
    if (tracked == null) {
      tracked = accept(request, now);
    }
    if (tracked.attempt() != null || tracked.isFinished()) {
      return Placement.queue();
    }
    if (isHopeless(tracked, now)) {
      return giveUp(tracked);
    }
    EngineState best = chooseEngine(tracked, now);
    return best == null ? Placement.queue() : send(tracked, best, now);
  }

  /**
   * What follows an outcome: nothing for now, or a final answer. An outcome of an attempt that is
   * not in flight is ignored.
   */
  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
    TrackedRequest request = inFlight(outcome.request(), outcome.attempt());
    if (request == null) {
      return Placement.queue();
    }
    Attempt attempt = request.attempt();
    EngineState engine = request.attemptEngine();
    AttemptResult result = outcome.result();
    request.endAttempt();
    timeouts.remove(attempt);
    outcomes.record(attempt, engine, outcome, now);
    health.invalidate();
    if (mayStillRun(result)) {
      sequences.rest(request, now);
    }
    if (outcome.isLast() || request.isFinished() || result == AttemptResult.COMPLETED) {
      close(request);
      return Placement.queue();
    }
    if (!result.hasNeverRun()) {
      request.recordMayHaveRun(attempt, engine);
    }
    request.setGiveUpAt(timeouts.giveUpAt(request));
    request.checkLate(health.expectedLatency(request), now);
    if (!request.hasAttemptLeft()
        || result == AttemptResult.NEVER_SENT
        || isHopeless(request, now)) {
      return giveUp(request);
    }
    enqueue(request);
    return Placement.queue();
  }

  private static boolean mayStillRun(AttemptResult result) {
    return result == AttemptResult.TIMED_OUT
        || result == AttemptResult.CONNECTION_LOST
        || result == AttemptResult.CANCELLED;
  }

  /** The queued request to place next, the attempt to cancel, or how long to wait. */
  public NextStep next(Timestamp now) {
    health.refresh(now);
    TimeSpan wait = settings.refreshInterval();
    Attempt cancellation = timeouts.next();
    if (cancellation != null) {
      if (!now.isBefore(cancellation.cancelAt()) && !health.isCallLate()) {
        timeouts.remove(cancellation);
        return NextStep.cancelAttempt(cancellation.request(), cancellation.number());
      }
      wait = cancellation.cancelAt().since(now).max(settings.deadlineMargin());
    }
    health.expectCallBy(now.plus(settings.refreshInterval()));
    if (queue.queued().isEmpty()) {
      boolean idle = queue.open().isEmpty();
      return NextStep.waitFor(idle ? null : wait.min(settings.refreshInterval()));
    }
    for (TrackedRequest request : queue.queued()) {
      if (isHopeless(request, now)) {
        return NextStep.placeAgain(request.request());
      }
      wait = wait.min(request.giveUpAt().since(now));
    }
    TrackedRequest shed = shedder.requestToShed(queue.queued(), now);
    if (shed != null) {
      shed.drop();
      return NextStep.placeAgain(shed.request());
    }
    TrackedRequest ready = firstThatFits(now);
    return ready == null
        ? NextStep.waitFor(wait.min(settings.refreshInterval()))
        : NextStep.placeAgain(ready.request());
  }

  /** The oldest queued request that fits an engine now, or null. */
  private TrackedRequest firstThatFits(Timestamp now) {
    boolean[] fitsNowhere = new boolean[requestClasses.size()];
    for (TrackedRequest request : queue.queued()) {
      int index = request.requestClass().index();
      boolean ordinary = request.isOrdinary();
      boolean skipped = ordinary && fitsNowhere[index];
      if (!skipped && chooseEngine(request, now) != null) {
        return request;
      }
      fitsNowhere[index] |= ordinary;
    }
    return null;
  }

  // ---- updates

  /**
   * Applies other settings at once, whatever is in flight. What was learnt of engines stays, and of
   * request classes of the same width; borrowing starts afresh. A request accepted before keeps its
   * latency objective and deadline, and keeps to the rules of both: the stricter retry safety, the
   * fewest attempts, the longest rest of a key, engines that both allow (with none it is given up),
   * both retry budgets for the earlier one's window. An engine that is warming up by either keeps
   * to both until it is warm by both.
   */
  public void applySettings(Deployment deployment, Timestamp now) {
    double sharing =
        budgets.sharingDispatchers() < settings.dispatcherCount()
            ? budgets.sharingDispatchers()
            : 0;
    settings = PolicySettings.of(deployment);
    health.applySettings(settings);
    outcomes.applySettings(settings);
    budgets.applySettings(settings);
    timeouts.applySettings(settings);
    shedder.applySettings(settings);
    retries.applyRules(deployment.rules(), now);
    quotas.applyQuotas(deployment.quotas(), settings.dispatcherCount());
    setSharingDispatchers(sharing > 0 ? sharing : settings.dispatcherCount());
    Set<RequestClassStats> open = new HashSet<>();
    queue.open().forEach(r -> open.add(r.requestClass()));
    requestClasses.applySettings(deployment, settings.shortestObjective(), open);
    engines.setSettings(deployment.machineTypes(), settings.slowStart());
    engines.applySettings(requestClasses.size(), now);
    applySettingsToRequests();
    health.invalidate();
  }

  private void applySettingsToRequests() {
    sequences.clearQueues();
    queue.clearQueued();
    for (TrackedRequest request : queue.openByArrival()) {
      request.applySettings(requestClasses.get(request.request().requestClass()));
      sequences.add(request);
      if (request.attempt() == null) {
        enqueue(request);
      } else {
        timeouts.keepToSettings(request.attempt());
      }
    }
  }

  /**
   * Takes over the endpoint list. Where one list names an engine more than once, a state other than
   * up overrules up.
   *
   * @param complete whether engines that the list does not name are gone
   */
  public void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now) {
    health.invalidate();
    engines.update(list, complete, requestClasses.size(), now);
  }

  /**
   * Takes over what an engine reported to another dispatcher; ignored if older than what is known.
   *
   * @param inFlight requests in flight there, of all dispatchers
   * @param at when it was reported, by this dispatcher's clock
   */
  public void updateEngineLoad(EngineId id, double inFlight, Timestamp at) {
    EngineState engine = engines.get(id);
    if (engine != null && engine.isNewReport(at)) {
      health.addLoad(engine, inFlight, at);
    }
  }

  /** Sets how many retries this dispatcher may still make; below 1, what fails is given up. */
  public void setRemainingRetries(long remaining) {
    retries.setRemainingRetries(remaining);
  }

  /** The work of all requests accepted so far, in microseconds of one thread. */
  public double offeredWorkUs() {
    return admission.offeredWorkUs();
  }

  /** Whether nothing is queued, in flight or counted anywhere. */
  boolean isIdle() {
    return queue.isIdle() && engines.sorted().stream().allMatch(e -> e.threadsInUse() == 0);
  }

  /**
   * Takes over a report of progress; ignored if the attempt is not in flight.
   *
   * @param done the part of the work that is done, above 0 and up to 1
   */
  public void updateProgress(RequestId id, int attempt, double done, Timestamp now) {
    TrackedRequest request = inFlight(id, attempt);
    if (request != null && done > 0) {
      timeouts.updateProgress(request, done, now);
    }
  }

  /**
   * Takes over a report that an attempt spills for want of memory; the first of an attempt counts.
   *
   * @param missingMb the memory that it lacks, in megabytes
   */
  public void updateMemoryShortfall(RequestId id, int attempt, double missingMb) {
    TrackedRequest request = inFlight(id, attempt);
    if (request != null
        && request.attempt().memoryShortfallMb() == 0
        && missingMb > 0
        && settings.reportsMemoryShortfall()) {
      request.attempt().reportMemoryShortfall(missingMb);
      request.attempt().learnMemoryNeed(-1);
    }
  }

  /**
   * Takes over a report that an attempt waits for a load of the data set that it reads. Where
   * another may follow on another engine, it is cancelled at once, with no work lost. Guards
   * against waits that last longer than a quick request's objective. Harm: the load was almost
   * done, or no other engine gets capacity in time.
   */
  public void markBlocked(RequestId id, int attempt, Timestamp now) {
    TrackedRequest request = inFlight(id, attempt);
    if (request == null) {
      return;
    }
    request.markBlocked(now);
    boolean otherEngine =
        engines.sorted().stream()
            .anyMatch(e -> !request.isBlockedOn(e, now) && request.mayRunOn(e, now));
    if (otherEngine) {
      timeouts.cancelNow(request.attempt(), now);
    }
  }

  /**
   * Sets over how many dispatchers the engines are shared from now on, where some stand by; at
   * least 1. What all together may send an engine that is warming up stays split over all
   * dispatchers of the deployment, so that no split and no take-over can overload one.
   */
  public void setSharingDispatchers(double carrying) {
    double before = budgets.sharingDispatchers();
    budgets.setSharingDispatchers(carrying);
    quotas.scaleRates(before / budgets.sharingDispatchers());
    health.invalidate();
  }

  /**
   * Sends no further attempt of a request; queued, it is given up when placed next.
   *
   * @return how long the attempt in flight may take from now, as no other follows that needs time;
   *     null if none is in flight
   */
  public TimeSpan withdraw(RequestId id, Timestamp now) {
    TrackedRequest request = queue.get(id);
    if (request == null) {
      return null;
    }
    request.drop();
    if (request.attempt() == null) {
      return null;
    }
    timeouts.remove(request.attempt());
    return timeouts.longestUseful(request, now);
  }

  /** The client has left: its request needs no answer any more. */
  public void clientDisconnected(RequestId id, Timestamp now) {
    TrackedRequest request = queue.get(id);
    if (request != null) {
      request.finish();
      if (request.attempt() == null) {
        close(request);
      }
    }
  }

  // ---- the life of a request

  private TrackedRequest accept(Request request, Timestamp now) {
    TrackedRequest tracked = admission.accept(request, now);
    retries.recordAccepted(now);
    sequences.forgetRested(now);
    queue.addOpen(tracked);
    enqueue(tracked);
    sequences.add(tracked);
    return tracked;
  }

  private void enqueue(TrackedRequest request) {
    TimeSpan expected = health.expectedLatency(request);
    request.updateQueueFigures(timeouts.giveUpAt(request), expected, settings.overQuotaWeight());
    queue.enqueue(request);
  }

  private EngineState chooseEngine(TrackedRequest request, Timestamp now) {
    boolean allowed =
        sequences.isTurnOf(request, now) && (request.attempts() == 0 || retries.allowsRetry(now));
    return allowed ? budgets.choose(request, now) : null;
  }

  private Placement send(TrackedRequest request, EngineState engine, Timestamp now) {
    queue.dequeue(request);
    Attempt attempt = request.startAttempt(engine, now);
    if (attempt.number() > 0) {
      retries.recordRetry(now);
    }
    TimeSpan timeout = timeouts.start(request, now);
    engine.addAttempt(attempt);
    engine.warmup().spend(request.warmupWorkUs(), now);
    return Placement.send(
        engine.id(),
        timeout,
        settings.hasEnginePriorities() ? request.requestClass().enginePriority() : -1,
        attempt.memoryGrantMb(),
        request.maxStartDelay(now));
  }

  /** The request of an attempt, if that attempt is in flight, or null. */
  private TrackedRequest inFlight(RequestId id, int attempt) {
    TrackedRequest request = queue.get(id);
    boolean found =
        request != null && request.attempt() != null && request.attempt().number() == attempt;
    return found ? request : null;
  }

  /** Whether no further attempt of a request is allowed, or could be of use. */
  private boolean isHopeless(TrackedRequest request, Timestamp now) {
    return request.isDropped()
        || request.attempts() > 0 && retries.isExhausted()
        || !request.isSafeToSend(now)
        || !now.isBefore(request.giveUpAt());
  }

  /** The final answer of a request that is given up: shed where its client may safely retry. */
  private Placement giveUp(TrackedRequest request) {
    boolean safe = request.isSafeForClientRetry();
    close(request);
    return safe ? Placement.shed(settings.maxRetryAfter()) : Placement.fail();
  }

  private void close(TrackedRequest request) {
    request.finish();
    queue.close(request);
    sequences.remove(request);
  }
}
