package cobaltseam.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks every decision against a simple reference model of the dispatch rules, on generated event
 * sequences.
 */
class DispatchRulesModelTest {
  private static final double MEAN_WORK_US = 170_000;
  private static final Rules RULES =
      new Rules(
          0.3,
          new TimeSpan(15_000_000),
          2,
          new TimeSpan(3_000_000),
          new TimeSpan(400_000),
          2.0,
          0.2,
          new TimeSpan(2_000_000));

  /**
   * The history of one request. The model keeps all requests, and searches all of them for each
   * check.
   */
  private static final class ObservedRequest {
    Request request;
    Timestamp acceptedAt;
    boolean clientDisconnected;
    final List<AttemptResult> results = new ArrayList<>();
    final List<Timestamp> endedAt = new ArrayList<>();
  }

  private final Map<RequestId, ObservedRequest> observed = new LinkedHashMap<>();
  private final Map<EngineId, EndpointStatus> listed = new HashMap<>();
  private final Map<RequestClassId, RequestClass> requestClasses = new HashMap<>();
  private final Map<RequestId, List<SentAttempt>> attemptsOf = new HashMap<>();
  private DispatcherDriver driver;
  private int dispatchers;
  private int engines;

  private static boolean isFinished(DispatcherDriver driver, ObservedRequest request) {
    return request.clientDisconnected
        || driver.finalAnswers.containsKey(request.request.id())
        || request.results.contains(AttemptResult.COMPLETED);
  }

  private void checkAttempt(SentAttempt attempt) {
    ObservedRequest observedRequest = observed.get(attempt.request().id());
    RequestClass requestClass = requestClasses.get(attempt.request().requestClass());
    EndpointStatus engine = listed.get(attempt.engine());
    List<SentAttempt> earlier =
        attemptsOf.computeIfAbsent(attempt.request().id(), k -> new ArrayList<>());
    assertEquals(EndpointState.UP, engine.state(), "requests are sent only to engines that are up");
    assertTrue(
        requestClass.locations() == null || requestClass.locations().contains(engine.location()),
        "the class allows the location");
    assertTrue(
        requestClass.machineTypes() == null
            || requestClass.machineTypes().contains(engine.machineType()),
        "the class allows the machine type");
    assertEquals(
        earlier.size(), observedRequest.results.size(), "a request has one attempt at a time");
    assertTrue(earlier.size() < 4, "a request has at most four attempts");
    assertTrue(
        !observedRequest.clientDisconnected
            && !observedRequest.results.contains(AttemptResult.COMPLETED),
        "no attempt after the request has ended");
    assertTrue(
        driver.finalAnswers.get(observedRequest.request.id()) == null,
        "no attempt after the final answer");
    assertTrue(
        attempt.sentAt().plus(attempt.timeout()).isBefore(observedRequest.request.deadline()),
        "an attempt times out before the deadline");
    for (int i = 0; i < earlier.size(); i++) {
      if (!observedRequest.results.get(i).hasNeverRun()) {
        checkRetrySafety(earlier.get(i), attempt);
        break;
      }
    }
    if (!earlier.isEmpty()) {
      checkRetryBudget(attempt);
    }
    checkKeyOrder(observedRequest, requestClass, attempt);
    checkSlowStart(engine, requestClass, attempt);
    earlier.add(attempt);
  }

  /**
   * Checks that a request which may have run is sent again only where its retry safety allows it.
   */
  private void checkRetrySafety(SentAttempt first, SentAttempt attempt) {
    RequestClass requestClass = requestClasses.get(attempt.request().requestClass());
    EndpointStatus engine = listed.get(attempt.engine());
    assertTrue(
        requestClass.retrySafety() != RetrySafety.NOT_IDEMPOTENT,
        "a request that is not idempotent runs at most once");
    EndpointStatus ran = listed.get(first.engine());
    if (requestClass.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY) {
      assertTrue(
          attempt.sentAt().since(first.sentAt()).compareTo(requestClass.deduplicationWindow()) <= 0,
          "a retry is sent within the deduplication window");
      assertTrue(
          requestClass.deduplicationScope() != DeduplicationScope.LOCATION
              || ran.location().equals(engine.location()),
          "a retry stays in the location");
      assertTrue(
          requestClass.deduplicationScope() != DeduplicationScope.GROUP
              || ran.group().equals(engine.group()),
          "a retry stays in the group");
    }
  }

  private void checkRetryBudget(SentAttempt attempt) {
    Timestamp from = attempt.sentAt().minus(RULES.retryWindow());
    long retries =
        driver.attempts.stream().filter(s -> s.number() > 0 && !s.sentAt().isBefore(from)).count();
    long accepted = observed.values().stream().filter(s -> from.isBefore(s.acceptedAt)).count();
    assertTrue(
        retries <= RULES.freeRetries() + RULES.retryRatio() * accepted,
        "retries stay within the budget");
  }

  private void checkKeyOrder(
      ObservedRequest observedRequest, RequestClass requestClass, SentAttempt attempt) {
    if (!requestClass.isOrdered()) {
      return;
    }
    for (ObservedRequest other : observed.values()) {
      if (other == observedRequest) {
        return;
      }
      if (!requestClasses.get(other.request.requestClass()).isOrdered()
          || !other.request.sequenceKey().equals(observedRequest.request.sequenceKey())) {
        continue;
      }
      assertTrue(isFinished(driver, other), "an earlier request of the key is not finished");
      assertTrue(
          !driver.inFlight.containsKey(other.request.id()),
          "an earlier request of the key has an attempt in flight");
      for (int i = 0; i < other.results.size(); i++) {
        AttemptResult result = other.results.get(i);
        if (result == AttemptResult.TIMED_OUT
            || result == AttemptResult.CONNECTION_LOST
            || result == AttemptResult.CANCELLED) {
          assertTrue(
              !attempt.sentAt().isBefore(other.endedAt.get(i).plus(RULES.sequenceKeyRest())),
              "the key has rested");
        }
      }
    }
  }

  /**
   * Checks that within any window, a warming engine is sent at most this dispatcher's part of the
   * allowed work, which grows linearly, and one request in advance.
   */
  private void checkSlowStart(
      EndpointStatus engine, RequestClass requestClass, SentAttempt attempt) {
    if (engine.startedAt().us() == 0
        || attempt.sentAt().since(engine.startedAt()).compareTo(RULES.slowStartDuration()) >= 0) {
      return;
    }
    Timestamp from = attempt.sentAt().minus(RULES.slowStartWindow());
    double sentWorkUs =
        driver.attempts.stream()
            .filter(
                s ->
                    s.engine().equals(attempt.engine())
                        && !s.sentAt().isBefore(from)
                        && engine.startedAt().isBefore(s.sentAt()))
            .mapToDouble(s -> MEAN_WORK_US)
            .sum();
    double cores = engine.machineType().value().equals("k8") ? 8 : 4;
    double capacityFraction =
        RULES.slowStartFraction()
            + (1 - RULES.slowStartFraction())
                * attempt.sentAt().since(engine.startedAt()).dividedBy(RULES.slowStartDuration());
    double maxWorkUs =
        RULES.slowStartLimitFactor()
                * capacityFraction
                * cores
                * RULES.slowStartWindow().us()
                / dispatchers
            + MEAN_WORK_US;
    assertTrue(
        sentWorkUs <= maxWorkUs,
        "a warming engine is sent "
            + sentWorkUs
            + " us of work, at most "
            + maxWorkUs
            + " are allowed");
  }

  private void checkFinalAnswer(RequestId id) {
    ObservedRequest observedRequest = observed.get(id);
    RequestClass requestClass = requestClasses.get(observedRequest.request.requestClass());
    Placement placement = driver.finalAnswers.get(id);
    assertTrue(
        driver.now.isBefore(observedRequest.request.deadline()),
        "the final answer precedes the deadline");
    assertTrue(
        !observedRequest.clientDisconnected
            && !observedRequest.results.contains(AttemptResult.COMPLETED),
        "no final answer after the request has ended");
    if (placement.decision() == Placement.Decision.SHED) {
      boolean mayHaveRun =
          observedRequest.results.stream().anyMatch(result -> !result.hasNeverRun());
      assertTrue(
          !mayHaveRun
              || requestClass.retrySafety() == RetrySafety.IDEMPOTENT
              || requestClass.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
                  && requestClass.deduplicationScope() == DeduplicationScope.ALL,
          "shed only where a client may safely retry");
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void dispatcherKeepsTheRulesOfTheModel(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RequestClass[] allClasses = allClasses(seed);
    for (RequestClass requestClass : allClasses) {
      requestClasses.put(requestClass.id(), requestClass);
    }
    // Some seeds have hundreds of dispatchers, tens of engines, lost answers, or a dispatcher that
    // is suspended.
    dispatchers = seed % 4 == 0 ? 300 : 3;
    engines = seed % 4 < 2 ? 40 : 6;
    driver =
        new DispatcherDriver(
            DispatcherDriver.deployment(
                (int) seed % 3, dispatchers, RULES, capabilities(seed), allClasses),
            seed);
    driver.onAttempt = this::checkAttempt;
    driver.onFinalAnswer = this::checkFinalAnswer;
    for (int step = 0; step < 3000; step++) {
      if (seed % 4 == 1 && random.nextInt(200) == 0) {
        driver.now =
            driver.now.plus(new TimeSpan(random.nextInt(400) * DispatcherDriver.TICK.us()));
      }
      driver.advance(new TimeSpan(DispatcherDriver.TICK.us() * random.nextInt(3)));
      timeOutAttempts();
      performRandomAction(random, step == 0, seed % 4 == 1, allClasses);
    }
    for (int i = 0; i < 1200; i++) {
      driver.advance(DispatcherDriver.TICK);
      timeOutAttempts();
    }
    for (ObservedRequest observedRequest : observed.values()) {
      assertTrue(
          isFinished(driver, observedRequest),
          "a request has no final answer: " + observedRequest.request);
    }
    assertTrue(driver.dispatcher.isIdle(), "no thread remains in use");
    assertTrue(driver.attempts.size() > 100, "the event sequence leads to attempts");
  }

  private void performRandomAction(
      SplittableRandom random, boolean isFirst, boolean losesAnswers, RequestClass[] allClasses) {
    int action = random.nextInt(100);
    if (isFirst || action < 2) {
      updateEndpoints(random, isFirst || action < 1);
    } else if (action < 56) {
      submit(allClasses[random.nextInt(allClasses.length)], random);
    } else if (action < 97 && !driver.inFlight.isEmpty()) {
      complete(randomInFlight(random), randomResult(random, losesAnswers));
    } else if (action < 98 && !driver.inFlight.isEmpty()) {
      SentAttempt attempt = randomInFlight(random);
      driver.dispatcher.updateProgress(
          attempt.request().id(),
          attempt.number() - random.nextInt(2),
          random.nextDouble(),
          driver.now);
      driver.followNextSteps();
    } else if (action < 99 && !observed.isEmpty()) {
      disconnect(List.copyOf(observed.values()).get(random.nextInt(observed.size())));
    } else if (action == 99 && !observed.isEmpty()) {
      // The number of dispatchers that carry traffic changes. This one sends no further attempts of
      // a request, as when it hands over its traffic.
      driver.dispatcher.setSharingDispatchers(random.nextDouble() * dispatchers);
      driver.dispatcher.withdraw(
          List.copyOf(observed.keySet()).get(random.nextInt(observed.size())), driver.now);
      driver.followNextSteps();
    }
  }

  private SentAttempt randomInFlight(SplittableRandom random) {
    return List.copyOf(driver.inFlight.values()).get(random.nextInt(driver.inFlight.size()));
  }

  private static AttemptResult randomResult(SplittableRandom random, boolean losesAnswers) {
    if (losesAnswers && random.nextInt(9) == 0) {
      return AttemptResult.TIMED_OUT;
    }
    if (random.nextInt(3) > 0) {
      return AttemptResult.COMPLETED;
    }
    AttemptResult[] all = AttemptResult.values();
    return all[random.nextInt(all.length)];
  }

  private static RequestClass[] allClasses(long seed) {
    return new RequestClass[] {
      DispatcherDriver.requestClass("p", 1),
      DispatcherDriver.requestClass(
          "wide",
          4,
          RetrySafety.IDEMPOTENT,
          DeduplicationScope.ALL,
          false,
          null,
          List.of(new MachineTypeId("k8"))),
      DispatcherDriver.requestClass(
          "once", 1, RetrySafety.NOT_IDEMPOTENT, DeduplicationScope.ALL, false, null, null),
      DispatcherDriver.requestClass(
          "here",
          1,
          RetrySafety.IDEMPOTENT_WITH_KEY,
          DeduplicationScope.LOCATION,
          false,
          null,
          null),
      DispatcherDriver.requestClass(
          "there",
          2,
          RetrySafety.IDEMPOTENT_WITH_KEY,
          DeduplicationScope.GROUP,
          false,
          List.of(new LocationId("l1")),
          null),
      DispatcherDriver.requestClass(
          "anywhere",
          1,
          RetrySafety.IDEMPOTENT_WITH_KEY,
          DeduplicationScope.ALL,
          false,
          null,
          null),
      DispatcherDriver.requestClass(
          "turns",
          1,
          RetrySafety.values()[(int) seed % 3],
          DeduplicationScope.ALL,
          true,
          null,
          null)
    };
  }

  private static Capabilities capabilities(long seed) {
    return new Capabilities(
        DispatcherDriver.TICK,
        4,
        seed % 3 != 0,
        true,
        seed % 5 != 0,
        new TimeSpan(500_000),
        new TimeSpan(seed % 7 > 2 ? 200_000 : 0));
  }

  private void timeOutAttempts() {
    for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
      if (!driver.now.isBefore(attempt.sentAt().plus(attempt.timeout()))) {
        complete(attempt, AttemptResult.TIMED_OUT);
      } else if (driver.cancellations.remove(attempt.request().id())) {
        complete(attempt, AttemptResult.CANCELLED);
      }
    }
  }

  private void complete(SentAttempt attempt, AttemptResult result) {
    ObservedRequest observedRequest = observed.get(attempt.request().id());
    observedRequest.results.add(result);
    observedRequest.endedAt.add(driver.now);
    driver.complete(
        attempt, result, result == AttemptResult.COMPLETED || isFinished(driver, observedRequest));
    if (driver.now.us() % 7 == 0) {
      driver.inFlight.remove(attempt.request().id(), attempt);
      driver.dispatcher.completeAttempt(
          new AttemptOutcome(
              attempt.request().id(),
              attempt.number(),
              attempt.engine(),
              AttemptResult.ERROR,
              TimeSpan.ZERO,
              false,
              new TimeSpan(-1),
              -1,
              -1,
              -1),
          driver.now);
    }
  }

  private void submit(RequestClass requestClass, SplittableRandom random) {
    long workUs =
        random.nextInt(10) == 0
            ? 0
            : random.nextInt(50) == 0 ? 1L << 50 : 20_000 + random.nextInt(300_000);
    Request newRequest =
        driver.newRequest(
            requestClass.id().value(),
            requestClass.isOrdered() ? "k" + random.nextInt(3) : null,
            workUs);
    ObservedRequest observedRequest = new ObservedRequest();
    observedRequest.request = newRequest;
    observedRequest.acceptedAt = driver.now;
    observed.put(newRequest.id(), observedRequest);
    driver.submit(newRequest);
  }

  private void disconnect(ObservedRequest observedRequest) {
    if (!isFinished(driver, observedRequest)) {
      observedRequest.clientDisconnected = true;
    }
    driver.dispatcher.clientDisconnected(observedRequest.request.id(), driver.now);
    driver.followNextSteps();
  }

  private void updateEndpoints(SplittableRandom random, boolean complete) {
    List<EndpointStatus> endpoints = new ArrayList<>();
    for (long id = 1; id <= engines; id++) {
      if (complete || random.nextInt(3) == 0) {
        EndpointState state =
            random.nextInt(4) > 0
                ? EndpointState.UP
                : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.REMOVED;
        EndpointStatus earlier = listed.get(new EngineId(id));
        long startedUs =
            earlier == null
                ? random.nextBoolean() ? 0 : driver.now.us()
                : random.nextInt(9) > 0 ? earlier.startedAt().us() : driver.now.us();
        endpoints.add(DispatcherDriver.status(id, state, startedUs));
      }
    }
    if (complete) {
      listed.clear();
    }
    endpoints.forEach(status -> listed.put(status.engine(), status));
    driver.updateEndpoints(complete, endpoints.toArray(new EndpointStatus[0]));
  }
}
