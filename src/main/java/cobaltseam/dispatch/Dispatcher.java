package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Makes all decisions of one dispatcher; the entry point of this package.
 *
 * <p>Callers ask three questions: {@link #place} decides on a request, {@link #completeAttempt} on
 * the outcome of an attempt, and {@link #next} on what the caller has to do next. Callers call
 * {@code next} after every other call, and carry out the steps that it returns until it returns a
 * time to wait. All other information reaches a dispatcher through the update methods, such as
 * {@link #updateEndpoints}, {@link #updateProgress} and {@link #clientDisconnected}.
 *
 * <p>In normal operation, each engine has a thread budget of two threads per core, which is split
 * evenly over the dispatchers. A request is sent to the engine with the most budget left per core;
 * where no engine has enough threads left, the request is queued in order of arrival. While an
 * engine answers the requests of a class at their baseline latency, this dispatcher's budget there
 * may grow up to all of the engine's threads.
 *
 * <p>The policy is divided as follows: {@link ThreadBudgets} chooses engines, {@link EngineHealth}
 * assesses them, {@link EngineWarmup} limits their load after a start, {@link RequestAdmission}
 * accepts requests, {@link OutcomeRecorder} updates the estimates from outcomes, {@link
 * AttemptTimeouts} bounds and cancels attempts, {@link RetryAllowance} bounds retries, {@link
 * LoadShedder} and {@link TenantQuotas} shed load, {@link KeySequences} keeps requests with the
 * same key in order, {@link MemoryNeed} sizes memory grants and {@link RequestQueue} holds open and
 * queued requests.
 *
 * <p>An instance sees only its own traffic and shares no state with other dispatchers. It is not
 * thread-safe.
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
   * Creates a dispatcher without engines; it sends nothing before {@link #updateEndpoints}.
   *
   * @param seed the seed of all random samples; the same calls with the same seed give the same
   *     decisions
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
    engines.configureNewEngines(deployment.machineTypes(), settings.slowStart());
  }

  // ---- decisions

  /**
   * Decides where to send a request, which is either new or queued. A new request that has to wait
   * is queued by this call.
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
    if (mustGiveUp(tracked, now)) {
      return giveUp(tracked);
    }
    EngineState best = chooseEngine(tracked, now);
    return best == null ? Placement.queue() : send(tracked, best, now);
  }

  /**
   * Decides what follows an outcome: nothing for now, or a final answer. The outcome of an attempt
   * that is not in flight is ignored.
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
    timeouts.unschedule(attempt);
    outcomes.record(attempt, engine, outcome, now);
    health.invalidate();
    if (mayStillRun(result)) {
      sequences.startRest(request, now);
    }
    if (outcome.isLast() || request.isFinished() || result == AttemptResult.COMPLETED) {
      close(request);
      return Placement.queue();
    }
    if (!result.hasNeverRun()) {
      request.recordMayHaveRun(attempt, engine);
    }
    request.setGiveUpAt(timeouts.giveUpAt(request));
    request.updateExpectedLate(health.expectedLatency(request), now);
    if (!request.hasAttemptLeft()
        || result == AttemptResult.NEVER_SENT
        || mustGiveUp(request, now)) {
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

  /**
   * Returns the next step: a queued request to place, an attempt to cancel, or how long to wait.
   */
  public NextStep next(Timestamp now) {
    health.refresh(now);
    TimeSpan wait = settings.refreshInterval();
    Attempt cancellation = timeouts.nextCancellation();
    if (cancellation != null) {
      if (!now.isBefore(cancellation.cancelAt()) && !health.isCallOverdue()) {
        timeouts.unschedule(cancellation);
        return NextStep.cancelAttempt(cancellation.request(), cancellation.number());
      }
      wait = cancellation.cancelAt().since(now).max(settings.deadlineMargin());
    }
    health.expectCallBy(now.plus(settings.refreshInterval()));
    if (queue.queued().isEmpty()) {
      boolean isIdle = queue.open().isEmpty();
      return NextStep.waitFor(isIdle ? null : wait.min(settings.refreshInterval()));
    }
    for (TrackedRequest request : queue.queued()) {
      if (mustGiveUp(request, now)) {
        return NextStep.placeAgain(request.request());
      }
      wait = wait.min(request.giveUpAt().since(now));
    }
    TrackedRequest shed = shedder.selectRequestToShed(queue.queued(), now);
    if (shed != null) {
      shed.drop();
      return NextStep.placeAgain(shed.request());
    }
    TrackedRequest ready = firstPlaceable(now);
    return ready == null
        ? NextStep.waitFor(wait.min(settings.refreshInterval()))
        : NextStep.placeAgain(ready.request());
  }

  /** Returns the oldest queued request that an engine can take now, or null. */
  private TrackedRequest firstPlaceable(Timestamp now) {
    boolean[] fitsNowhere = new boolean[requestClasses.size()];
    for (TrackedRequest request : queue.queued()) {
      int index = request.requestClass().index();
      boolean isRestrictedByClassOnly = request.isRestrictedByClassOnly();
      boolean canSkip = isRestrictedByClassOnly && fitsNowhere[index];
      if (!canSkip && chooseEngine(request, now) != null) {
        return request;
      }
      fitsNowhere[index] |= isRestrictedByClassOnly;
    }
    return null;
  }

  // ---- updates

  /**
   * Applies changed settings immediately, whatever is in flight. The estimates of engines are kept,
   * and so are those of request classes with an unchanged thread count; borrowing starts from zero.
   * A request accepted under earlier settings keeps its latency objective and deadline, and
   * complies with both sets of rules: the stricter retry safety, the fewer attempts, the longer
   * rest of a key, the engines that both allow (the request is given up if there are none), and
   * both retry budgets, the earlier one until its window ends. An engine that is warming up under
   * either settings complies with both until it is warm under both.
   */
  public void applySettings(Deployment deployment, Timestamp now) {
    double sharingBefore =
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
    setSharingDispatchers(sharingBefore > 0 ? sharingBefore : settings.dispatcherCount());
    Set<RequestClassStats> open = new HashSet<>();
    queue.open().forEach(r -> open.add(r.requestClass()));
    requestClasses.applySettings(deployment, settings.shortestObjective(), open);
    engines.configureNewEngines(deployment.machineTypes(), settings.slowStart());
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
        timeouts.applyCancellationSetting(request.attempt());
      }
    }
  }

  /**
   * Applies an endpoint list. If one list names an engine more than once, a state other than up
   * takes precedence over up.
   *
   * @param complete whether engines that the list does not name have been removed
   */
  public void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now) {
    health.invalidate();
    engines.update(list, complete, requestClasses.size(), now);
  }

  /**
   * Records the load that an engine reported to another dispatcher; ignored if older than the
   * latest known report.
   *
   * @param inFlight requests of all dispatchers that are in flight at the engine
   * @param at when the engine reported it, by this dispatcher's clock
   */
  public void updateEngineLoad(EngineId id, double inFlight, Timestamp at) {
    EngineState engine = engines.get(id);
    if (engine != null && engine.isNewReport(at)) {
      health.addLoad(engine, inFlight, at);
    }
  }

  /**
   * Sets how many retries this dispatcher may still make; below 1, failed requests are given up.
   */
  public void setRemainingRetries(long remaining) {
    retries.setRemainingRetries(remaining);
  }

  /** Returns the work of all requests accepted so far, in microseconds of one thread. */
  public double offeredWorkUs() {
    return admission.offeredWorkUs();
  }

  /** Returns whether no request is open and no engine has threads in use. */
  boolean isIdle() {
    return queue.isIdle() && engines.sortedById().stream().allMatch(e -> e.threadsInUse() == 0);
  }

  /**
   * Records a progress report; ignored if the attempt is not in flight.
   *
   * @param done the fraction of the work that is done, above 0 and up to 1
   */
  public void updateProgress(RequestId id, int attempt, double done, Timestamp now) {
    TrackedRequest request = inFlight(id, attempt);
    if (request != null && done > 0) {
      timeouts.updateProgress(request, done, now);
    }
  }

  /**
   * Records a report that an attempt spills because it lacks memory; only the first report of an
   * attempt counts.
   *
   * @param missingMb the memory that the attempt lacks, in megabytes
   */
  public void updateMemoryShortfall(RequestId id, int attempt, double missingMb) {
    TrackedRequest request = inFlight(id, attempt);
    if (request != null
        && request.attempt().memoryShortfallMb() == 0
        && missingMb > 0
        && settings.reportsMemoryShortfall()) {
      request.attempt().reportMemoryShortfall(missingMb);
      request.attempt().updateMemoryNeed(-1);
    }
  }

  /**
   * Records a report that an attempt waits for a load of the data set that it reads. If the request
   * may run on another engine, the attempt is cancelled at once, which loses no work. This avoids
   * waits that exceed the latency objective of a short request. The cancellation is a disadvantage
   * if the load was almost done, or if no other engine gets capacity in time.
   */
  public void markBlocked(RequestId id, int attempt, Timestamp now) {
    TrackedRequest request = inFlight(id, attempt);
    if (request == null) {
      return;
    }
    request.markBlocked(now);
    boolean hasOtherEngine =
        engines.sortedById().stream()
            .anyMatch(e -> !request.isBlockedOn(e, now) && request.mayRunOn(e, now));
    if (hasOtherEngine) {
      timeouts.cancelImmediately(request.attempt(), now);
    }
  }

  /**
   * Sets how many dispatchers share the engines from now on, as some may be backups without
   * traffic; at least 1. The work that all dispatchers may send to a warming engine stays split
   * over all dispatchers of the deployment, so that neither a network partition nor a takeover can
   * overload that engine.
   */
  public void setSharingDispatchers(double dispatchers) {
    double before = budgets.sharingDispatchers();
    budgets.setSharingDispatchers(dispatchers);
    quotas.scaleRates(before / budgets.sharingDispatchers());
    health.invalidate();
  }

  /**
   * Sends no further attempt of a request; if it is queued, it is given up when it is next placed.
   *
   * @return how long the attempt in flight may take from now, given that no further attempt needs
   *     time; null if none is in flight
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
    timeouts.unschedule(request.attempt());
    return timeouts.maxUsefulDuration(request, now);
  }

  /** Records that the client has disconnected: its request needs no answer any more. */
  public void clientDisconnected(RequestId id, Timestamp now) {
    TrackedRequest request = queue.get(id);
    if (request != null) {
      request.finish();
      if (request.attempt() == null) {
        close(request);
      }
    }
  }

  // ---- lifecycle of a request

  private TrackedRequest accept(Request request, Timestamp now) {
    TrackedRequest tracked = admission.accept(request, now);
    retries.recordAccepted(now);
    sequences.removeRestedKeys(now);
    queue.addOpen(tracked);
    enqueue(tracked);
    sequences.add(tracked);
    return tracked;
  }

  private void enqueue(TrackedRequest request) {
    TimeSpan expected = health.expectedLatency(request);
    request.updateQueueValues(timeouts.giveUpAt(request), expected, settings.overQuotaWeight());
    queue.enqueue(request);
  }

  private EngineState chooseEngine(TrackedRequest request, Timestamp now) {
    boolean allowed =
        sequences.mayStart(request, now) && (request.attempts() == 0 || retries.allowsRetry(now));
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

  /** Returns the request of an attempt if that attempt is in flight, or null. */
  private TrackedRequest inFlight(RequestId id, int attempt) {
    TrackedRequest request = queue.get(id);
    boolean isInFlight =
        request != null && request.attempt() != null && request.attempt().number() == attempt;
    return isInFlight ? request : null;
  }

  /** Returns whether no further attempt of a request is allowed or could be of use. */
  private boolean mustGiveUp(TrackedRequest request, Timestamp now) {
    return request.isDropped()
        || request.attempts() > 0 && retries.isExhausted()
        || !request.isSafeToSend(now)
        || !now.isBefore(request.giveUpAt());
  }

  /**
   * Closes a request and returns its final answer: shed where its client may safely retry, or else
   * failed.
   */
  private Placement giveUp(TrackedRequest request) {
    boolean isSafe = request.isSafeForClientRetry();
    close(request);
    return isSafe ? Placement.shed(settings.maxRetryAfter()) : Placement.fail();
  }

  private void close(TrackedRequest request) {
    request.finish();
    queue.close(request);
    sequences.remove(request);
  }
}
