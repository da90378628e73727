package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TimeSpan;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An emulated dispatcher process: carries out the decisions of a {@link Policy}, as the service
 * does on sockets, and makes none of its own.
 */
final class EmulatedDispatcher {
  /** The client's side of a request, which receives its final answer. */
  interface ResponseListener {
    void onFinalAnswer(InvariantChecker.FinalAnswer answer, TimeSpan retryAfter);

    /** Whether the client disconnected before the request was admitted. */
    boolean isClientDisconnected();
  }

  /** An admitted request that is not over. */
  private static final class InFlightRequest {
    Request request;
    ResponseListener listener;
    EngineLink.RequestWork work;
    int attempts;
    Attempt current;
  }

  /** An attempt of a request at an engine. */
  static final class Attempt {
    InFlightRequest request;
    int number;

    /** The index under which the invariant checker recorded the attempt; -1 if it did not. */
    int observedIndex;

    EngineModel engine;
    EngineModel.Job job;
    long sentUs;
    Timeline.Entry timeout;
    boolean isOver;
  }

  private static final TimeSpan NOT_REPORTED = new TimeSpan(-1);

  /** More steps at one moment than any correct policy returns. */
  private static final int MAX_STEPS_PER_CALL = 1_000_000;

  final int number;
  private final Timeline time;
  private final EngineLink link;
  private final InvariantChecker invariants;
  private final OutcomeCounts counts;
  private final Map<RequestId, InFlightRequest> inFlight = new HashMap<>();
  private Policy policy;
  private Timeline.Entry wakeTimer;
  private Timeline.Entry pendingStep;
  private boolean isSuspended;

  /** Events that arrived while the process was suspended. */
  private final Deque<Runnable> deferredEvents = new ArrayDeque<>();

  /** Incremented at each start and kill; events of an earlier incarnation are ignored. */
  private int incarnation;

  EmulatedDispatcher(
      int number,
      Timeline time,
      EngineLink link,
      InvariantChecker invariants,
      OutcomeCounts counts) {
    this.number = number;
    this.time = time;
    this.link = link;
    this.invariants = invariants;
    this.counts = counts;
  }

  /** Starts a new incarnation, without state of an earlier one. */
  void start(Policy newPolicy) {
    incarnation++;
    policy = newPolicy;
  }

  boolean isUp() {
    return policy != null;
  }

  boolean isSuspended() {
    return isSuspended;
  }

  /** Kills the process: all its requests and deferred events are dropped. */
  void kill() {
    policy = null;
    incarnation++;
    Timeline.cancel(wakeTimer);
    Timeline.cancel(pendingStep);
    wakeTimer = null;
    pendingStep = null;
    deferredEvents.clear();
    isSuspended = false;
    for (InFlightRequest inFlightRequest : inFlight.values()) {
      if (inFlightRequest.current != null) {
        inFlightRequest.current.isOver = true;
        Timeline.cancel(inFlightRequest.current.timeout);
        // The connections are reset, so engines cancel the attempts that are open on them.
        link.abandon(this, inFlightRequest.current);
      }
    }
    inFlight.clear();
    invariants.dispatcherKilled(number);
  }

  /** Suspends the process, or resumes it and handles the events that arrived meanwhile. */
  void setSuspended(boolean suspended) {
    isSuspended = suspended;
    if (!suspended) {
      while (!isSuspended && !deferredEvents.isEmpty()) {
        deferredEvents.poll().run();
      }
    }
  }

  /** Handles an event now, or on resumption if suspended; drops it if the process is not up. */
  private void receive(Runnable event) {
    if (policy == null) {
      return;
    }
    int current = incarnation;
    if (isSuspended) {
      deferredEvents.add(
          () -> {
            if (current == incarnation) {
              event.run();
            }
          });
    } else {
      event.run();
    }
  }

  void updateEndpoints(List<EndpointStatus> list, boolean complete) {
    receive(
        () -> {
          list.forEach(
              status -> invariants.endpointNotified(number, status.engine(), status.state()));
          policy.updateEndpoints(list, complete, time.now());
          scheduleNextSteps();
        });
  }

  /**
   * Admits a request, unless its client has disconnected.
   *
   * @param work the true work, which is passed on to engines and never to the policy
   * @param key the sequence key, or null
   */
  void admit(Request request, EngineLink.RequestWork work, String key, ResponseListener listener) {
    receive(
        () -> {
          if (listener.isClientDisconnected()) {
            return;
          }
          InFlightRequest inFlightRequest = new InFlightRequest();
          inFlightRequest.request = request;
          inFlightRequest.listener = listener;
          inFlightRequest.work = work;
          inFlight.put(request.id(), inFlightRequest);
          counts.admitted++;
          invariants.requestAdmitted(
              number, request.id(), work.requestClass(), key, request.deadline().us());
          applyPlacement(inFlightRequest, policy.place(request, time.now()));
          scheduleNextSteps();
        });
  }

  /** The client of a request has disconnected. */
  void clientDisconnected(RequestId id) {
    InFlightRequest inFlightRequest = inFlight.get(id);
    if (inFlightRequest == null || inFlightRequest.listener == null) {
      return;
    }
    invariants.clientDisconnected(number, id, isSuspended || policy == null);
    inFlightRequest.listener = null;
    receive(
        () -> {
          policy.clientDisconnected(id, time.now());
          if (inFlightRequest.current != null) {
            abandon(inFlightRequest.current, AttemptResult.CANCELLED);
          } else {
            inFlight.remove(id);
          }
          scheduleNextSteps();
        });
  }

  private void applyPlacement(InFlightRequest inFlightRequest, Placement placement) {
    if (inFlightRequest.listener == null) {
      return;
    }
    switch (placement.decision()) {
      case SEND -> send(inFlightRequest, placement);
      case SHED ->
          sendFinalAnswer(
              inFlightRequest, InvariantChecker.FinalAnswer.SHED, placement.retryAfter());
      case FAIL ->
          sendFinalAnswer(inFlightRequest, InvariantChecker.FinalAnswer.FAILED, TimeSpan.ZERO);
      default -> {}
    }
  }

  private void sendFinalAnswer(
      InFlightRequest inFlightRequest, InvariantChecker.FinalAnswer answer, TimeSpan retryAfter) {
    ResponseListener listener = inFlightRequest.listener;
    inFlightRequest.listener = null;
    invariants.finalAnswerSent(number, inFlightRequest.request.id(), answer);
    if (inFlightRequest.current == null) {
      inFlight.remove(inFlightRequest.request.id());
    }
    listener.onFinalAnswer(answer, retryAfter);
  }

  private void send(InFlightRequest inFlightRequest, Placement placement) {
    Attempt attempt = new Attempt();
    attempt.request = inFlightRequest;
    attempt.number = inFlightRequest.attempts++;
    attempt.engine = link.engine(placement.engine());
    attempt.sentUs = time.nowUs();
    attempt.observedIndex =
        invariants.attemptSent(number, inFlightRequest.request.id(), attempt.engine);
    counts.attempts++;
    counts.retries += attempt.number > 0 ? 1 : 0;
    inFlightRequest.current = attempt;
    attempt.timeout =
        time.at(
            attempt.sentUs + Math.max(1, placement.attemptTimeout().us()),
            () -> receive(() -> abandon(attempt, AttemptResult.TIMED_OUT)));
    link.send(this, attempt, inFlightRequest.work);
  }

  RequestId requestId(Attempt attempt) {
    return attempt.request.request.id();
  }

  /**
   * Receives the outcome of an attempt from an engine or the network.
   *
   * @param reportedInFlight what the engine reports in flight; negative if it reports nothing
   */
  void completeAttempt(Attempt attempt, AttemptResult result, double reportedInFlight) {
    receive(() -> applyOutcome(attempt, result, reportedInFlight));
  }

  void updateProgress(Attempt attempt, double fraction) {
    receive(
        () -> {
          if (!attempt.isOver) {
            policy.updateProgress(
                attempt.request.request.id(), attempt.number, fraction, time.now());
            scheduleNextSteps();
          }
        });
  }

  private void abandon(Attempt attempt, AttemptResult result) {
    if (!attempt.isOver) {
      link.abandon(this, attempt);
      applyOutcome(attempt, result, -1);
    }
  }

  private void applyOutcome(Attempt attempt, AttemptResult result, double reportedInFlight) {
    if (attempt.isOver) {
      return;
    }
    attempt.isOver = true;
    Timeline.cancel(attempt.timeout);
    InFlightRequest inFlightRequest = attempt.request;
    inFlightRequest.current = null;
    invariants.attemptEnded(number, inFlightRequest.request.id(), attempt.observedIndex, result);
    ResponseListener completedListener =
        result == AttemptResult.COMPLETED ? inFlightRequest.listener : null;
    boolean isLast = result == AttemptResult.COMPLETED || inFlightRequest.listener == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            inFlightRequest.request.id(),
            attempt.number,
            attempt.engine.id,
            result,
            new TimeSpan(time.nowUs() - attempt.sentUs),
            isLast,
            NOT_REPORTED,
            -1,
            reportedInFlight < 0 ? -1 : 0,
            reportedInFlight);
    if (completedListener != null) {
      sendFinalAnswer(inFlightRequest, InvariantChecker.FinalAnswer.ANSWERED, TimeSpan.ZERO);
    }
    applyPlacement(inFlightRequest, policy.completeAttempt(outcome, time.now()));
    if (inFlightRequest.listener == null) {
      inFlight.remove(inFlightRequest.request.id());
    }
    scheduleNextSteps();
  }

  /** Schedules the policy's next steps after all other events of this moment. */
  private void scheduleNextSteps() {
    if (pendingStep == null) {
      int current = incarnation;
      pendingStep =
          time.at(
              time.nowUs(),
              () -> {
                pendingStep = null;
                if (current == incarnation) {
                  runNextSteps();
                }
              });
    }
  }

  /** Carries out steps of the policy until it returns a time to wait. */
  private void runNextSteps() {
    if (isSuspended) {
      deferredEvents.add(this::runNextSteps);
      return;
    }
    Timeline.cancel(wakeTimer);
    wakeTimer = null;
    for (int steps = 0; steps < MAX_STEPS_PER_CALL; steps++) {
      NextStep step = policy.next(time.now());
      if (step.delay() == null) {
        return;
      }
      if (step.delay().isPositive()) {
        int current = incarnation;
        wakeTimer =
            time.after(
                step.delay(),
                () -> {
                  if (current == incarnation) {
                    runNextSteps();
                  }
                });
        return;
      }
      InFlightRequest inFlightRequest =
          step.request() == null ? null : inFlight.get(step.request().id());
      if (step.request() != null && inFlightRequest == null) {
        policy.clientDisconnected(step.request().id(), time.now());
      } else if (step.cancelAttempt() >= 0) {
        if (inFlightRequest.current != null
            && inFlightRequest.current.number == step.cancelAttempt()) {
          abandon(inFlightRequest.current, AttemptResult.CANCELLED);
        }
      } else if (inFlightRequest != null) {
        applyPlacement(inFlightRequest, policy.place(step.request(), time.now()));
      }
    }
    throw new IllegalStateException(
        "the policy returned " + MAX_STEPS_PER_CALL + " steps without a time to wait");
  }
}
