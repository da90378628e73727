package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.CAPABILITIES;
import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;
import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.applySettings;
import static cobaltseam.dispatch.DispatcherScenarios.newBusyDriver;
import static cobaltseam.dispatch.DispatcherScenarios.singleDispatcher;
import static cobaltseam.dispatch.DispatcherScenarios.withMaxAttempts;
import static cobaltseam.dispatch.DispatcherScenarios.withRetryBudget;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Requests accepted under earlier settings comply with the rules of both settings. */
class SettingsChangeRulesTest {
  private static final LocationId LOCATION_OF_ENGINE_1 = new LocationId("l1");

  private static final LocationId LOCATION_OF_ENGINE_2 = new LocationId("l2");

  private static RequestClass inLocations(LocationId... locations) {
    return requestClass(
        "p", 1, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, false, List.of(locations), null);
  }

  private static RequestClass withRetrySafety(RetrySafety retrySafety) {
    return requestClass("p", 1, retrySafety, DeduplicationScope.ALL, false, null, null);
  }

  @Test
  void queuedRequestRunsOnlyWhereBothSettingsAllow() {
    Deployment wideDeployment = singleDispatcher(RULES, CAPABILITIES, requestClass("p", 16));
    DispatcherDriver driver = newBusyDriver(wideDeployment, 2, up(1));
    applySettings(
        driver,
        singleDispatcher(
            RULES,
            CAPABILITIES,
            requestClass(
                "p",
                16,
                RetrySafety.IDEMPOTENT,
                DeduplicationScope.ALL,
                false,
                List.of(LOCATION_OF_ENGINE_2),
                null)));
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    driver.advance(new TimeSpan(100_000));
    assertEquals(
        1,
        driver.attempts.size(),
        "engine 1 is free, but the changed settings do not allow its location");
    driver.updateEndpoints(false, up(2));
    assertEquals(2, driver.attempts.get(1).engine().value());
  }

  @Test
  void queuedRequestThatNoEngineMayRunIsShedAndAttemptsInFlightStillCount() {
    DispatcherDriver driver =
        newBusyDriver(
            singleDispatcher(RULES, CAPABILITIES, inLocations(LOCATION_OF_ENGINE_1)),
            17,
            up(1),
            up(2));
    assertEquals(16, driver.inFlight.size());
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, inLocations(LOCATION_OF_ENGINE_2)));
    assertEquals(1, driver.finalAnswers.size(), "the queued request is shed at once");
    assertEquals(
        Placement.Decision.SHED, driver.finalAnswers.values().iterator().next().decision());
    assertTrue(
        driver.finalAnswers.values().iterator().next().retryAfter().isPositive(),
        "with a retry delay");
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(
        2,
        driver.finalAnswers.size(),
        "both settings allow no common engine: the request is shed, not retried");
    driver.submit("p", WORK_US);
    assertEquals(
        2,
        driver.attempts.get(driver.attempts.size() - 1).engine().value(),
        "a new request follows the changed settings");
  }

  @Test
  void removedRequestClassFinishesItsRequestsAndAcceptsNone() {
    DispatcherDriver driver =
        newBusyDriver(singleDispatcher(RULES, CAPABILITIES, requestClass("p", 8)), 5, up(1), up(2));
    applySettings(
        driver, singleDispatcher(RULES, CAPABILITIES, requestClass("q", 1), requestClass("r", 3)));
    driver.submit("q", WORK_US);
    driver.complete(driver.attempts.get(0), AttemptResult.CAPACITY_EXCEEDED, false);
    driver.complete(driver.attempts.get(1), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(2), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(3), AttemptResult.COMPLETED, true);
    long attemptsOfRemovedClass =
        driver.attempts.stream()
            .filter(s -> s.request().requestClass().value().equals("p"))
            .count();
    assertEquals(
        6,
        attemptsOfRemovedClass,
        "the queued and the rejected request continue under their own settings");
    assertThrows(
        IllegalArgumentException.class,
        () -> driver.dispatcher.place(driver.newRequest("p", null, WORK_US), driver.now));
    List.copyOf(driver.inFlight.values())
        .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, requestClass("q", 1)));
    driver.submit("q", WORK_US);
    assertEquals(1, driver.inFlight.size());
  }

  @Test
  void earlierRequestsKeepTheStricterRetrySafety() {
    for (RetrySafety first : RetrySafety.values()) {
      for (RetrySafety second : RetrySafety.values()) {
        DispatcherDriver driver =
            newBusyDriver(
                singleDispatcher(RULES, CAPABILITIES, withRetrySafety(first)), 1, up(1), up(2));
        applySettings(driver, singleDispatcher(RULES, CAPABILITIES, withRetrySafety(second)));
        driver.advance(new TimeSpan(300_000));
        driver.complete(driver.attempts.get(0), AttemptResult.CONNECTION_LOST, false);
        boolean idempotent = first == RetrySafety.IDEMPOTENT && second == RetrySafety.IDEMPOTENT;
        assertEquals(
            idempotent ? 2 : 1,
            driver.attempts.size(),
            first
                + " then "
                + second
                + ": after 300 ms only idempotent requests may run again, as engines remember"
                + " idempotency keys for 200 ms");
      }
    }
  }

  @Test
  void changingBackKeepsTheStricterRetrySafetyForEarlierRequestsOnly() {
    Deployment strictSettings =
        singleDispatcher(RULES, CAPABILITIES, withRetrySafety(RetrySafety.NOT_IDEMPOTENT));
    Deployment idempotentSettings =
        singleDispatcher(RULES, CAPABILITIES, withRetrySafety(RetrySafety.IDEMPOTENT));
    DispatcherDriver driver = newBusyDriver(idempotentSettings, 1, up(1), up(2));
    applySettings(driver, strictSettings);
    driver.advance(new TimeSpan(10_000));
    applySettings(driver, idempotentSettings);
    driver.submit("p", WORK_US);
    driver.complete(driver.attempts.get(0), AttemptResult.CONNECTION_LOST, false);
    assertEquals(
        2,
        driver.attempts.size(),
        "the strict settings applied to the request for 10 ms: no retry");
    driver.complete(driver.attempts.get(1), AttemptResult.CONNECTION_LOST, false);
    assertEquals(
        3, driver.attempts.size(), "accepted after the change back: the request is idempotent");
  }

  @Test
  void earlierRequestsKeepTheFewerAttempts() {
    DispatcherDriver driver =
        newBusyDriver(
            singleDispatcher(RULES, withMaxAttempts(4), requestClass("p", 1)), 1, up(1), up(2));
    applySettings(driver, singleDispatcher(RULES, withMaxAttempts(2), requestClass("p", 1)));
    driver.complete(driver.attempts.get(0), AttemptResult.CAPACITY_EXCEEDED, false);
    driver.complete(driver.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(2, driver.attempts.size());
    assertEquals(1, driver.finalAnswers.size(), "the request is shed at once");
    driver.submit("p", WORK_US);
    applySettings(driver, singleDispatcher(RULES, withMaxAttempts(4), requestClass("p", 1)));
    for (int i = 2; i < 4; i++) {
      driver.complete(driver.attempts.get(i), AttemptResult.CAPACITY_EXCEEDED, false);
    }
    assertEquals(
        4,
        driver.attempts.size(),
        "accepted with two attempts: no third one after the limit is raised");
  }

  @Test
  void smallerRetryBudgetAppliesAtOnceAndALargerOneAfterTheWindow() {
    DispatcherDriver driver =
        newBusyDriver(
            singleDispatcher(withRetryBudget(4, 0), CAPABILITIES, requestClass("p", 1)),
            10,
            LongStream.rangeClosed(1, 10)
                .mapToObj(DispatcherDriver::up)
                .toArray(EndpointStatus[]::new));
    for (int i = 0; i < 4; i++) {
      driver.complete(
          driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
    }
    assertEquals(14, driver.attempts.size(), "ten first attempts and four retries");
    applySettings(
        driver, singleDispatcher(withRetryBudget(2, 0), CAPABILITIES, requestClass("p", 1)));
    driver.complete(
        driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(14, driver.attempts.size(), "no retry while four are in the window");
    applySettings(
        driver, singleDispatcher(withRetryBudget(40, 0), CAPABILITIES, requestClass("p", 1)));
    assertEquals(14, driver.attempts.size(), "the smaller budgets apply until their window ends");
    DispatcherDriver later =
        newBusyDriver(
            singleDispatcher(withRetryBudget(0, 0), CAPABILITIES, requestClass("p", 1)),
            1,
            up(1),
            up(2));
    applySettings(
        later, singleDispatcher(withRetryBudget(40, 0), CAPABILITIES, requestClass("p", 1)));
    later.complete(later.attempts.get(0), AttemptResult.COMPLETED, true);
    later.advance(new TimeSpan(10_000_000));
    later.submit("p", WORK_US);
    later.complete(later.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(3, later.attempts.size(), "the window of the smaller budget has ended");
  }

  @Test
  void keysOrderedByEitherSettingsStayOrdered() {
    RequestClass unordered = requestClass("p", 1);
    RequestClass ordered =
        requestClass("p", 1, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, true, null, null);
    DispatcherDriver driver =
        newBusyDriver(singleDispatcher(RULES, CAPABILITIES, ordered), 0, up(1));
    driver.submit(driver.newRequest("p", "key", WORK_US));
    driver.submit(driver.newRequest("p", "key", WORK_US));
    assertEquals(1, driver.attempts.size());
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, unordered));
    assertEquals(1, driver.attempts.size(), "the second request was accepted as ordered");
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    assertEquals(2, driver.attempts.size());
    DispatcherDriver freshDriver =
        newBusyDriver(singleDispatcher(RULES, CAPABILITIES, requestClass("p", 16)), 0, up(1));
    freshDriver.submit(freshDriver.newRequest("p", "key", WORK_US));
    freshDriver.submit(freshDriver.newRequest("p", "key", WORK_US));
    applySettings(freshDriver, singleDispatcher(RULES, CAPABILITIES, ordered));
    assertEquals(
        1,
        freshDriver.attempts.size(),
        "another request would fit, but the first is still in flight");
    freshDriver.complete(freshDriver.attempts.get(0), AttemptResult.COMPLETED, true);
    assertEquals(2, freshDriver.attempts.size());
    freshDriver.complete(freshDriver.attempts.get(1), AttemptResult.COMPLETED, true);
    assertTrue(freshDriver.dispatcher.isIdle());
  }
}
