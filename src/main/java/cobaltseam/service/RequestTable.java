package cobaltseam.service;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The open requests, on the event-loop thread: asks the decision module about each, carries out
 * what it decides, and gives each its one final answer.
 */
final class RequestTable implements EngineConnections.Listener {
  private static final System.Logger LOG = System.getLogger(RequestTable.class.getName());
  private static final int MAX_OPEN_REQUESTS = 1 << 16;

  /**
   * After a fault the decision module is asked again only after this, or the fault would repeat.
   */
  private static final TimeSpan FAULT_BACKOFF_US = new TimeSpan(100_000);

  private final Dispatcher dispatcher;
  private final EngineConnections engines;
  private final Timers timers;
  private final Clock clock;
  private final Counters counters;
  private final StatementTranslator translator;
  private final FleetRetryLimit retryLimit;
  private final SlotTable<InFlightRequest> slots = new SlotTable<>(MAX_OPEN_REQUESTS);
  private final Map<RequestId, InFlightRequest> requestsById = new HashMap<>();
  private Timers.Timer nextStepTimer;

  /** Whether this dispatcher may send at this moment; by default always. */
  private BooleanSupplier maySend = () -> true;

  /** Receives the load that engines report with attempts; null without a fleet. */
  private FleetBridge loadReports;

  /** Whether the decision module was notified of something and has to be asked what follows. */
  private boolean isNextStepDue;

  RequestTable(
      Deployment deployment,
      long seed,
      EngineConnections engines,
      Timers timers,
      Clock clock,
      Counters counters) {
    dispatcher = new Dispatcher(deployment, seed);
    retryLimit = new FleetRetryLimit(dispatcher, counters);
    translator = new StatementTranslator(deployment);
    this.engines = engines;
    this.timers = timers;
    this.clock = clock;
    this.counters = counters;
    engines.setListener(this);
  }

  // ---- settings and the state of engines and fleet

  /**
   * Applies other settings of the decision module at once, whatever requests are open: {@link
   * Dispatcher#applySettings} says which settings then count for them.
   */
  void applySettings(Deployment deployment) {
    dispatcher.applySettings(deployment, clock.now());
    translator.applySettings(deployment);
    counters.add(Count.CONFIGURATIONS_MOVED);
    isNextStepDue = true;
  }

  /** Before each attempt this is asked whether the dispatcher may still send. */
  void setSendPermission(BooleanSupplier allowed) {
    maySend = allowed;
  }

  /** From now on the capacity of the engines is shared among so many dispatchers. */
  void setSharingDispatchers(double dispatchers) {
    dispatcher.setSharingDispatchers(dispatchers);
    isNextStepDue = true;
  }

  /** The work of all requests admitted so far, in microseconds of one thread. */
  double offeredLoad() {
    return dispatcher.offeredWorkUs();
  }

  /** From now on the fleet receives the load that engines report with attempts. */
  void setLoadReports(FleetBridge bridge) {
    loadReports = bridge;
  }

  /** From now on the fleet limits retries. */
  void setRetryLimit(FleetBridge bridge) {
    retryLimit.setFleet(bridge);
  }

  /** The load that an engine reported to another dispatcher at this time or later. */
  void updateEngineLoad(EngineId engine, double inFlight, Timestamp at) {
    dispatcher.updateEngineLoad(engine, inFlight, at);
    isNextStepDue = true;
  }

  /** Applies a change of the endpoint list, or the complete list. */
  void updateEndpoints(WatchEvent event) {
    engines.updateEndpoints(event);
    Timestamp now = clock.now();
    dispatcher.updateEndpoints(event.endpoints(), event.isComplete(), now);
    isNextStepDue = true;
  }

  // ---- requests

  /** How many requests have no final answer yet. */
  int openRequests() {
    return requestsById.size();
  }

  boolean isEmpty() {
    return requestsById.isEmpty();
  }

  /** Why a statement can't become a request, or null if it can. */
  String rejectionReason(Statement statement) {
    String reason = translator.rejectionReason(statement);
    if (reason != null) {
      return reason;
    }
    boolean isOpen = requestsById.containsKey(new RequestId(statement.callId()));
    return isOpen ? "a call that is in hand already" : null;
  }

  /**
   * Adds the request of a statement that can be used; it waits for {@link #start}.
   *
   * @return its key, or NONE if too many requests are open
   */
  long add(Statement statement, ResponseHandle responseHandle) {
    InFlightRequest request = new InFlightRequest(statement, responseHandle);
    request.key = slots.add(request);
    if (request.key != SlotTable.NONE) {
      counters.add(Count.COMMANDS_TAKEN);
      requestsById.put(request.id, request);
    }
    return request.key;
  }

  /**
   * Has the decision module place a request; its response handle may be called at once.
   *
   * @param readAt when its statement was read completely
   */
  void start(long key, Timestamp readAt) {
    InFlightRequest request = slots.get(key);
    place(request, translator.toRequest(request.statement, readAt));
    isNextStepDue = true;
  }

  /** Has the decision module place a request, unless its client has left: then nothing is sent. */
  private void place(InFlightRequest inFlight, Request request) {
    if (inFlight.isClientDisconnected()) {
      clientDisconnected(inFlight.key);
    } else {
      decide(inFlight, () -> dispatcher.place(request, clock.now()));
    }
  }

  /** The client of this request has left or cancelled it: it gets no answer. */
  void clientDisconnected(long key) {
    InFlightRequest request = slots.get(key);
    if (request == null || request.responseHandle == null) {
      return;
    }
    counters.add(Count.COMMANDS_DEPARTED);
    request.responseHandle = null;
    dispatcher.clientDisconnected(request.id, clock.now());
    if (request.attempt != null) {
      engines.cancel(request.attempt);
    } else {
      remove(request);
    }
    isNextStepDue = true;
  }

  /** Starts no further attempt of a request: a queued one is shed, a running attempt counts. */
  void withdraw(long key) {
    InFlightRequest request = slots.get(key);
    if (request != null && request.responseHandle != null) {
      counters.add(Count.MASTERSHIP_COMMANDS_WITHDRAWN);
      TimeSpan remaining = dispatcher.withdraw(request.id, clock.now());
      if (request.attempt != null && remaining != null) {
        engines.extendTimeout(request.attempt, clock.now().plus(remaining));
      }
      isNextStepDue = true;
    }
  }

  /** Cancels all attempts and starts no more, so that each open request has its final answer. */
  void abandonAll() {
    for (InFlightRequest request : List.copyOf(requestsById.values())) {
      dispatcher.withdraw(request.id, clock.now());
      if (request.attempt != null) {
        engines.cancel(request.attempt);
      }
    }
    isNextStepDue = true;
  }

  private void remove(InFlightRequest request) {
    requestsById.remove(request.id);
    slots.free(request.key);
  }

  // ---- attempts

  @Override
  public boolean isAwaited(Attempt attempt) {
    InFlightRequest request = requestsById.get(attempt.requestId);
    return request != null
        && request.attempt == attempt
        && request.responseHandle != null
        && !request.isClientDisconnected();
  }

  @Override
  public void progressed(Attempt attempt, double progress, Timestamp now) {
    if (progress >= 0) {
      dispatcher.updateProgress(attempt.requestId, attempt.number, progress, now);
      isNextStepDue = true;
    }
  }

  @Override
  public void memoryShort(Attempt attempt, double missingMb) {
    dispatcher.updateMemoryShortfall(attempt.requestId, attempt.number, missingMb);
  }

  @Override
  public void blocked(Attempt attempt, Timestamp now) {
    dispatcher.markBlocked(attempt.requestId, attempt.number, now);
    isNextStepDue = true;
  }

  @Override
  public void ended(Attempt attempt, AttemptResult result, Timestamp now) {
    InFlightRequest request = requestsById.get(attempt.requestId);
    if (request == null || request.attempt != attempt) {
      return;
    }
    request.attempt = null;
    publishLoad(attempt, now);
    ResponseHandle completed = null;
    if (result == AttemptResult.COMPLETED) {
      completed = request.responseHandle;
      request.responseHandle = null;
    }
    boolean isOver = request.responseHandle == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            request.id,
            attempt.number,
            attempt.engine,
            result,
            now.since(attempt.startedAt),
            isOver,
            new TimeSpan(-1),
            -1,
            attempt.reportedQueue,
            attempt.reportedInFlight);
    decide(request, () -> dispatcher.completeAttempt(outcome, now));
    if (isOver) {
      remove(request);
    }
    if (completed != null) {
      counters.add(Count.COMMANDS_ANSWERED);
      completed.complete(attempt.result);
    }
    isNextStepDue = true;
  }

  private void publishLoad(Attempt attempt, Timestamp now) {
    if (loadReports != null && attempt.reportedInFlight >= 0) {
      double running = Math.max(0, attempt.reportedInFlight - Math.max(0, attempt.reportedQueue));
      loadReports.recordReport(attempt.engine, running, now);
    }
  }

  // ---- decisions

  /**
   * Carries out the next steps of the decision module if it was notified of anything, until it
   * names a delay; a timer then has it asked again.
   */
  void runNextSteps() {
    if (!isNextStepDue) {
      return;
    }
    isNextStepDue = false;
    TimeSpan delay;
    try {
      delay = runStepsUntilDelay(counters.get(Count.FAULTS));
    } catch (RuntimeException e) {
      recordFault(e);
      delay = FAULT_BACKOFF_US;
    }
    timers.cancel(nextStepTimer);
    nextStepTimer =
        delay == null ? null : timers.set(clock.now().plus(delay), () -> isNextStepDue = true);
  }

  private TimeSpan runStepsUntilDelay(long faultsBefore) {
    Timestamp now = clock.now();
    retryLimit.updateDispatcher();
    NextStep step = dispatcher.next(now);
    while (step.delay() != null && !step.delay().isPositive()) {
      if (counters.get(Count.FAULTS) > faultsBefore) {
        return FAULT_BACKOFF_US;
      }
      run(step, now);
      now = clock.now();
      retryLimit.updateDispatcher();
      step = dispatcher.next(now);
    }
    return step.delay();
  }

  private void run(NextStep step, Timestamp now) {
    Request request = step.request();
    InFlightRequest inFlight = request == null ? null : requestsById.get(request.id());
    if (step.cancelAttempt() >= 0
        && inFlight != null
        && inFlight.attempt != null
        && inFlight.attempt.number == step.cancelAttempt()) {
      engines.cancel(inFlight.attempt);
    } else if (request != null && inFlight == null) {
      dispatcher.clientDisconnected(request.id(), now);
    } else if (request != null) {
      place(inFlight, request);
    } else if (step.healthCheck() != null) {
      engines.checkHealth(step.healthCheck(), now);
    }
  }

  /** Asks for a decision on one request; a fault in it fails this request and no other. */
  private void decide(InFlightRequest request, Supplier<Placement> decision) {
    Placement placement;
    retryLimit.updateDispatcher();
    try {
      placement = decision.get();
    } catch (RuntimeException e) {
      recordFault(e);
      placement = Placement.fail();
      timers.set(clock.now(), () -> dispatcher.clientDisconnected(request.id, clock.now()));
    }
    if (request.responseHandle != null) {
      carryOut(request, placement);
    }
  }

  private void carryOut(InFlightRequest request, Placement placement) {
    switch (placement.decision()) {
      case SEND -> startAttempt(request, placement);
      case SHED -> {
        retryLimit.recordIfRetryDenied(request.attemptCount);
        counters.add(Count.COMMANDS_SHED);
        ResponseHandle responseHandle = request.responseHandle;
        remove(request);
        responseHandle.shed(placement.retryAfter());
      }
      case FAIL -> {
        retryLimit.recordIfRetryDenied(request.attemptCount);
        counters.add(Count.COMMANDS_FAILED);
        ResponseHandle responseHandle = request.responseHandle;
        remove(request);
        responseHandle.fail();
      }
      default -> {}
    }
  }

  private void startAttempt(InFlightRequest request, Placement placement) {
    boolean isAllowed = maySend.getAsBoolean() && retryLimit.admitAttempt(request.attemptCount);
    int number = request.attemptCount++;
    request.attempt =
        isAllowed
            ? engines.send(request.id, number, placement, request.statement, clock.now())
            : engines.neverSend(
                request.id, number, placement.engine(), request.statement, clock.now());
  }

  private void recordFault(RuntimeException fault) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "a fault in a decision", fault);
  }
}
