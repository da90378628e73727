package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.Deployment.Quota;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Drives one dispatcher as its caller would, and records its decisions. */
final class DispatcherDriver {
  /** An attempt that the dispatcher requested. */
  record SentAttempt(
      Request request,
      int number,
      EngineId engine,
      Timestamp sentAt,
      TimeSpan timeout,
      Placement placement) {}

  static final TimeSpan TICK = new TimeSpan(5_000);
  static final Rules RULES =
      new Rules(
          0.3,
          new TimeSpan(15_000_000),
          2,
          new TimeSpan(3_000_000),
          new TimeSpan(400_000),
          null,
          null,
          null);
  static final Capabilities CAPABILITIES =
      new Capabilities(TICK, 4, true, false, true, new TimeSpan(500_000), new TimeSpan(200_000));

  final Dispatcher dispatcher;
  Timestamp now = new Timestamp(1_000_000);
  final Map<RequestId, SentAttempt> inFlight = new LinkedHashMap<>();
  final Map<RequestId, Placement> finalAnswers = new LinkedHashMap<>();
  final List<SentAttempt> attempts = new ArrayList<>();
  final List<RequestId> cancellations = new ArrayList<>();
  TimeSpan delay;

  /** Called with each attempt and the id of each final answer when it is decided. */
  Consumer<SentAttempt> onAttempt = attempt -> {};

  Consumer<RequestId> onFinalAnswer = id -> {};
  private int requestCount;
  double memoryMb = 100;
  double reportedInFlight = -1;

  DispatcherDriver(Deployment deployment, long seed) {
    dispatcher = new Dispatcher(deployment, seed);
  }

  static Deployment deployment(
      int dispatcherIndex,
      int dispatcherCount,
      Rules rules,
      Capabilities capabilities,
      RequestClass... requestClasses) {
    return new Deployment(
        dispatcherIndex,
        dispatcherCount,
        List.of(requestClasses),
        List.of(
            new MachineType(new MachineTypeId("k8"), 8, 16_384),
            new MachineType(new MachineTypeId("k4"), 4, 0)),
        List.of(new Quota(new TenantId("a"), 60), new Quota(new TenantId("b"), 20)),
        0.05,
        rules,
        capabilities);
  }

  /** Creates an idempotent class that uses some threads, with a latency objective of one second. */
  static RequestClass requestClass(String name, int threads) {
    return requestClass(
        name, threads, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, false, null, null);
  }

  static RequestClass requestClass(
      String name,
      int threads,
      RetrySafety retrySafety,
      DeduplicationScope deduplicationScope,
      boolean isOrdered,
      List<LocationId> locations,
      List<MachineTypeId> machineTypes) {
    return new RequestClass(
        new RequestClassId(name),
        threads,
        1,
        0,
        new TimeSpan(1_000_000),
        2,
        new TimeSpan(5_000_000),
        retrySafety,
        deduplicationScope,
        new TimeSpan(200_000),
        isOrdered,
        locations,
        machineTypes);
  }

  static EndpointStatus up(long engine) {
    return status(engine, EndpointState.UP, 0);
  }

  static EndpointStatus status(long engine, EndpointState state, long startedUs) {
    return new EndpointStatus(
        new EngineId(engine),
        new LocationId("l" + engine % 3),
        new MachineTypeId(engine % 4 == 3 ? "k4" : "k8"),
        new GroupId(engine % 2),
        state,
        new Timestamp(startedUs));
  }

  void updateEndpoints(boolean complete, EndpointStatus... endpoints) {
    dispatcher.updateEndpoints(List.of(endpoints), complete, now);
    followNextSteps();
  }

  Request newRequest(String requestClass, String sequenceKey, long workUs) {
    return new Request(
        new RequestId("c" + requestCount++),
        new RequestClassId(requestClass),
        new TenantId(requestCount % 4 == 0 ? "b" : "a"),
        sequenceKey == null ? null : new SequenceKey(sequenceKey),
        now.plus(new TimeSpan(4_500_000)),
        new TimeSpan(workUs),
        null,
        memoryMb);
  }

  /** Submits a new request of a class now. */
  Request submit(String requestClass, long workUs) {
    Request request = newRequest(requestClass, null, workUs);
    submit(request);
    return request;
  }

  void submit(Request request) {
    handle(request, dispatcher.place(request, now));
    followNextSteps();
  }

  Placement complete(SentAttempt attempt, AttemptResult result, boolean isLast) {
    inFlight.remove(attempt.request().id());
    Placement placement =
        dispatcher.completeAttempt(
            new AttemptOutcome(
                attempt.request().id(),
                attempt.number(),
                attempt.engine(),
                result,
                now.since(attempt.sentAt()),
                isLast,
                new TimeSpan(-1),
                -1,
                -1,
                reportedInFlight),
            now);
    handle(attempt.request(), placement);
    followNextSteps();
    return placement;
  }

  /** Advances the clock in ticks and calls the dispatcher whenever its delay is over. */
  void advance(TimeSpan span) {
    Timestamp until = now.plus(span);
    while (now.isBefore(until)) {
      TimeSpan step = until.since(now).min(delay == null ? until.since(now) : delay);
      now = now.plus(new TimeSpan((step.us() + TICK.us() - 1) / TICK.us() * TICK.us()));
      followNextSteps();
    }
  }

  void followNextSteps() {
    for (int steps = 0; ; steps++) {
      if (steps > 100_000) {
        throw new AssertionError("the dispatcher returns steps without end");
      }
      NextStep step = dispatcher.next(now);
      delay = step.delay();
      if (delay == null || delay.isPositive()) {
        return;
      }
      if (step.cancelAttempt() >= 0) {
        cancellations.add(step.request().id());
      } else {
        handle(step.request(), dispatcher.place(step.request(), now));
      }
    }
  }

  private void handle(Request request, Placement placement) {
    switch (placement.decision()) {
      case SEND -> {
        int number =
            (int) attempts.stream().filter(s -> s.request().id().equals(request.id())).count();
        SentAttempt attempt =
            new SentAttempt(
                request, number, placement.engine(), now, placement.attemptTimeout(), placement);
        if (inFlight.put(request.id(), attempt) != null) {
          throw new AssertionError("two attempts at once for " + request.id());
        }
        attempts.add(attempt);
        onAttempt.accept(attempt);
      }
      case SHED, FAIL -> {
        if (finalAnswers.put(request.id(), placement) != null) {
          throw new AssertionError("two final answers for " + request.id());
        }
        onFinalAnswer.accept(request.id());
      }
      default -> {}
    }
  }
}
