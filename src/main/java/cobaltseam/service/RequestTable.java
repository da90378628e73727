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
import java.util.function.UnaryOperator;

/**
 * The open requests: asks the decision module ({@link Dispatcher}) about each, carries out its
 * decisions, and delivers one final answer to each. All methods run on the event-loop thread.
 */
final class RequestTable implements EngineConnections.Listener {
  private static final System.Logger LOG = System.getLogger(RequestTable.class.getName());
  private static final int MAX_OPEN_REQUESTS = 1 << 16;

  /**
   * How long the decision module is not asked for next steps after it threw an exception, in
   * microseconds; without a delay, a persistent fault would repeat in a busy loop.
   */
  private static final TimeSpan FAULT_BACKOFF_US = new TimeSpan(100_000);

  private final Dispatcher dispatcher;
  private final EngineConnections engines;
  private final Timers timers;
  private final Clock clock;
  private final Counters counters;
  private final AttemptLog log;
  private final StatementTranslator translator;
  private final FleetRetryLimit retryLimit;
  private final SlotTable<InFlightRequest> slots = new SlotTable<>(MAX_OPEN_REQUESTS);
  private final Map<RequestId, InFlightRequest> requestsById = new HashMap<>();
  private final UsedCallIds usedCallIds = new UsedCallIds();

  /** Completes events of the endpoint list by the engines that have lost their address. */
  private UnaryOperator<WatchEvent> addressCheck =
      new EndpointAddresses()::withReplacedEnginesRemoved;

  private final EngineStartTimes engineStarts = new EngineStartTimes();
  private Timers.Timer nextStepTimer;

  /** Whether this dispatcher may write attempts to engines now; by default always. */
  private BooleanSupplier maySend = () -> true;

  /** Receives the load that engines report with attempts; null without a fleet. */
  private FleetBridge loadReports;

  /** Whether the decision module was notified of a change and has to be asked for next steps. */
  private boolean isNextStepDue;

  RequestTable(
      Deployment deployment,
      long seed,
      EngineConnections engines,
      Timers timers,
      Clock clock,
      Counters counters,
      AttemptLog log) {
    dispatcher = new Dispatcher(deployment, seed);
    retryLimit = new FleetRetryLimit(dispatcher, counters);
    translator = new StatementTranslator(deployment);
    this.engines = engines;
    this.timers = timers;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    engines.setListener(this);
  }

  // ---- settings and the state of engines and fleet

  /**
   * Applies new settings at once; {@link Dispatcher#applySettings} describes which settings then
   * apply to open requests. Attempts that were not written are placed again by the new settings.
   */
  void applySettings(Deployment deployment) {
    dispatcher.applySettings(deployment, clock.now());
    translator.applySettings(deployment);
    engines.endUnwritten();
    counters.add(Count.CONFIGURATIONS_MOVED);
    isNextStepDue = true;
  }

  /** Lets engines have the same address; to be called before any endpoint is known. */
  void allowSharedAddresses() {
    addressCheck = UnaryOperator.identity();
  }

  /** Sets the condition that is checked before each attempt. */
  void setSendPermission(BooleanSupplier allowed) {
    maySend = allowed;
  }

  /** Sets among how many dispatchers the capacity of the engines is shared. */
  void setSharingDispatchers(double dispatchers) {
    dispatcher.setSharingDispatchers(dispatchers);
    isNextStepDue = true;
  }

  /** Returns the work of all requests accepted so far, in microseconds of one thread. */
  double offeredLoad() {
    return dispatcher.offeredWorkUs();
  }

  /** Sets the fleet that receives the load that engines report with attempts. */
  void setLoadReports(FleetBridge bridge) {
    loadReports = bridge;
  }

  /** Sets the fleet that limits retries. */
  void setRetryLimit(FleetBridge bridge) {
    retryLimit.setFleet(bridge);
  }

  /** Applies the load that an engine reported to another dispatcher at this time or later. */
  void updateEngineLoad(EngineId engine, double inFlight, Timestamp at) {
    dispatcher.updateEngineLoad(engine, inFlight, at);
    isNextStepDue = true;
  }

  /** Applies a change of the endpoint list, or the complete list. */
  void updateEndpoints(WatchEvent listed) {
    Timestamp now = clock.now();
    WatchEvent event = addressCheck.apply(engineStarts.translate(listed, now, Clock.wallNow()));
    engines.updateEndpoints(event);
    dispatcher.updateEndpoints(event.endpoints(), event.isComplete(), now);
    isNextStepDue = true;
  }

  // ---- requests

  /** Returns the number of requests that have no final answer or still have an attempt. */
  int openRequests() {
    return requestsById.size();
  }

  boolean isEmpty() {
    return requestsById.isEmpty();
  }

  /** Returns why a statement can't become a request, or null if it can. */
  String rejectionReason(Statement statement) {
    String reason = translator.rejectionReason(statement);
    if (reason != null) {
      return reason;
    }
    if (requestsById.containsKey(new RequestId(statement.callId()))) {
      return "a call that is in hand already";
    }
    return usedCallIds.contains(statement.callId())
        ? "a call id that was used before; its request may have run"
        : null;
  }

  /**
   * Adds the request of a statement that has no {@link #rejectionReason}. To be followed by {@link
   * #start}.
   *
   * @return the key of the request, or {@link SlotTable#NONE} if too many requests are open
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
   * Asks the decision module to place a request; the response handle may be called before this
   * returns.
   *
   * @param readAt when the statement was read completely
   */
  void start(long key, Timestamp readAt) {
    InFlightRequest request = slots.get(key);
    place(request, translator.toRequest(request.statement, readAt));
    isNextStepDue = true;
  }

  /** Asks the decision module to place a request, unless its client has disconnected. */
  private void place(InFlightRequest inFlight, Request request) {
    if (inFlight.isClientDisconnected()) {
      clientDisconnected(inFlight.key);
    } else {
      decide(inFlight, () -> dispatcher.place(request, clock.now()));
    }
  }

  /**
   * Ends a request whose client has disconnected or cancelled it: a running attempt is cancelled,
   * and the request gets no answer. A key of no open request is ignored.
   */
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

  /**
   * Starts no further attempt of a request: a queued request is shed; a running attempt is awaited
   * and answered, if necessary beyond its timeout.
   */
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

  /** Cancels all attempts and starts no more, so that each open request gets its final answer. */
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
  public boolean isSendPermitted() {
    return maySend.getAsBoolean();
  }

  @Override
  public boolean isAwaited(Attempt attempt) {
    InFlightRequest request = requestsById.get(attempt.requestId);
    return request != null
        && request.attempt == attempt
        && request.responseHandle != null
        && !request.isClientDisconnected();
  }

  @Override
  public boolean runIfUnread(Attempt attempt, Runnable task) {
    InFlightRequest request = requestsById.get(attempt.requestId);
    boolean isUnread = request != null && request.hasUnreadInput();
    if (isUnread) {
      request.responseHandle.runWhenRead(task);
    }
    return isUnread;
  }

  @Override
  public void progressReported(Attempt attempt, double progress, Timestamp now) {
    if (progress >= 0) {
      dispatcher.updateProgress(attempt.requestId, attempt.number, progress, now);
      isNextStepDue = true;
    }
  }

  @Override
  public void memoryShortfallReported(Attempt attempt, double missingMb) {
    dispatcher.updateMemoryShortfall(attempt.requestId, attempt.number, missingMb);
  }

  @Override
  public void blockedByLoad(Attempt attempt, Timestamp now) {
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
    if (attempt.writePosition > 0) {
      request.usedConnections.add(attempt.connection);
    }
    if (attempt.writePosition > 0 && !result.hasNeverRun()) {
      usedCallIds.add(attempt.callId());
    }
    publishLoad(attempt, now);
    ResponseHandle completed = null;
    if (result == AttemptResult.COMPLETED) {
      completed = request.responseHandle;
      request.responseHandle = null;
    }
    boolean isFinal = request.responseHandle == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            request.id,
            attempt.number,
            attempt.engine,
            result,
            now.since(attempt.startedAt),
            isFinal,
            new TimeSpan(-1),
            -1,
            attempt.reportedQueueLength,
            attempt.reportedInFlight);
    decide(request, () -> dispatcher.completeAttempt(outcome, now));
    if (isFinal) {
      remove(request);
    }
    if (completed != null) {
      counters.add(Count.COMMANDS_ANSWERED);
      completed.complete(attempt.result);
    }
    isNextStepDue = true;
  }

  /** Passes the number of running requests that an engine reported to the fleet. */
  private void publishLoad(Attempt attempt, Timestamp now) {
    if (loadReports != null && attempt.reportedInFlight >= 0) {
      double running =
          Math.max(0, attempt.reportedInFlight - Math.max(0, attempt.reportedQueueLength));
      loadReports.recordReport(attempt.engine, running, now);
    }
  }

  // ---- decisions

  /**
   * If the decision module was notified of a change, carries out its next steps until it returns a
   * positive delay or none, and sets a timer for the next call after that delay.
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

  /**
   * Asks for a decision on one request and carries it out. If the decision throws an exception,
   * only this request fails.
   */
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
        log.requestEnded(request, "shed");
        ResponseHandle responseHandle = request.responseHandle;
        remove(request);
        responseHandle.shed(placement.retryAfter());
      }
      case FAIL -> {
        retryLimit.recordIfRetryDenied(request.attemptCount);
        counters.add(Count.COMMANDS_FAILED);
        log.requestEnded(request, "failed");
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
            ? engines.startAttempt(request, number, placement, clock.now())
            : engines.createUnsentAttempt(request, number, placement.engine(), clock.now());
  }

  private void recordFault(RuntimeException fault) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "the decision module threw an exception", fault);
  }
}
