package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.CAPABILITIES;
import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;
import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.applySettings;
import static cobaltseam.dispatch.DispatcherScenarios.newBusyDriver;
import static cobaltseam.dispatch.DispatcherScenarios.soleDispatcher;
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

/** Which rules apply to requests that were accepted under earlier settings. */
class SettingsChangeRulesTest {
  private static final LocationId HERE = new LocationId("l1");

  private static final LocationId THERE = new LocationId("l2");

  private static RequestClass inLocations(LocationId... locations) {
    return requestClass(
        "p", 1, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, false, List.of(locations), null);
  }

  private static RequestClass withRetrySafety(RetrySafety retrySafety) {
    return requestClass("p", 1, retrySafety, DeduplicationScope.ALL, false, null, null);
  }

  @Test
  void queuedRequestRunsOnlyWhereBothSettingsAllow() {
    Deployment wideDeployment = soleDispatcher(RULES, CAPABILITIES, requestClass("p", 16));
    DispatcherDriver driver = newBusyDriver(wideDeployment, 2, up(1));
    applySettings(
        driver,
        soleDispatcher(
            RULES,
            CAPABILITIES,
            requestClass(
                "p",
                16,
                RetrySafety.IDEMPOTENT,
                DeduplicationScope.ALL,
                false,
                List.of(THERE),
                null)));
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    driver.advance(new TimeSpan(100_000));
    assertEquals(1, driver.attempts.size(), "engine 1 is free, and the new placement forbids it");
    driver.updateEndpoints(false, up(2));
    assertEquals(2, driver.attempts.get(1).engine().value());
  }

  @Test
  void queuedRequestThatNoEngineMayRunIsShedAndAttemptsInFlightStillCount() {
    DispatcherDriver driver =
        newBusyDriver(soleDispatcher(RULES, CAPABILITIES, inLocations(HERE)), 17, up(1), up(2));
    assertEquals(16, driver.inFlight.size());
    applySettings(driver, soleDispatcher(RULES, CAPABILITIES, inLocations(THERE)));
    assertEquals(1, driver.finalAnswers.size(), "answered at once");
    assertEquals(
        Placement.Decision.SHED, driver.finalAnswers.values().iterator().next().decision());
    assertTrue(
        driver.finalAnswers.values().iterator().next().retryAfter().isPositive(),
        "with a retry delay");
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(
        2, driver.finalAnswers.size(), "no engine is allowed by both settings: given up, not sent");
    driver.submit("p", WORK_US);
    assertEquals(
        2,
        driver.attempts.get(driver.attempts.size() - 1).engine().value(),
        "a new request goes by the new settings");
  }

  @Test
  void removedRequestClassFinishesItsRequestsAndAcceptsNone() {
    DispatcherDriver driver =
        newBusyDriver(soleDispatcher(RULES, CAPABILITIES, requestClass("p", 8)), 5, up(1), up(2));
    applySettings(
        driver, soleDispatcher(RULES, CAPABILITIES, requestClass("q", 1), requestClass("r", 3)));
    driver.submit("q", WORK_US);
    driver.complete(driver.attempts.get(0), AttemptResult.CAPACITY_EXCEEDED, false);
    driver.complete(driver.attempts.get(1), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(2), AttemptResult.COMPLETED, true);
    driver.complete(driver.attempts.get(3), AttemptResult.COMPLETED, true);
    long attemptsOfClass =
        driver.attempts.stream()
            .filter(s -> s.request().requestClass().value().equals("p"))
            .count();
    assertEquals(
        6, attemptsOfClass, "the queued request and the rejected one go on by their own settings");
    assertThrows(
        IllegalArgumentException.class,
        () -> driver.dispatcher.place(driver.newRequest("p", null, WORK_US), driver.now));
    List.copyOf(driver.inFlight.values())
        .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    applySettings(driver, soleDispatcher(RULES, CAPABILITIES, requestClass("q", 1)));
    driver.submit("q", WORK_US);
    assertEquals(1, driver.inFlight.size());
  }

  @Test
  void earlierRequestsKeepTheStricterRetrySafety() {
    for (RetrySafety first : RetrySafety.values()) {
      for (RetrySafety second : RetrySafety.values()) {
        DispatcherDriver driver =
            newBusyDriver(
                soleDispatcher(RULES, CAPABILITIES, withRetrySafety(first)), 1, up(1), up(2));
        applySettings(driver, soleDispatcher(RULES, CAPABILITIES, withRetrySafety(second)));
        driver.advance(new TimeSpan(300_000));
        driver.complete(driver.attempts.get(0), AttemptResult.CONNECTION_LOST, false);
        boolean idempotent = first == RetrySafety.IDEMPOTENT && second == RetrySafety.IDEMPOTENT;
        assertEquals(
            idempotent ? 2 : 1,
            driver.attempts.size(),
            first
                + " then "
                + second
                + ": after 300 ms only idempotent requests may run again (keys are remembered for 200 ms)");
      }
    }
  }

  @Test
  void changingBackKeepsTheStricterRetrySafetyForEarlierRequestsOnly() {
    Deployment strictDeployment =
        soleDispatcher(RULES, CAPABILITIES, withRetrySafety(RetrySafety.NOT_IDEMPOTENT));
    Deployment looseDeployment =
        soleDispatcher(RULES, CAPABILITIES, withRetrySafety(RetrySafety.IDEMPOTENT));
    DispatcherDriver driver = newBusyDriver(looseDeployment, 1, up(1), up(2));
    applySettings(driver, strictDeployment);
    driver.advance(new TimeSpan(10_000));
    applySettings(driver, looseDeployment);
    driver.submit("p", WORK_US);
    driver.complete(driver.attempts.get(0), AttemptResult.CONNECTION_LOST, false);
    assertEquals(2, driver.attempts.size(), "it was under the strict settings for 10 ms: no retry");
    driver.complete(driver.attempts.get(1), AttemptResult.CONNECTION_LOST, false);
    assertEquals(3, driver.attempts.size(), "accepted after the change back: idempotent");
  }

  @Test
  void earlierRequestsKeepTheFewerAttempts() {
    DispatcherDriver driver =
        newBusyDriver(
            soleDispatcher(RULES, withMaxAttempts(4), requestClass("p", 1)), 1, up(1), up(2));
    applySettings(driver, soleDispatcher(RULES, withMaxAttempts(2), requestClass("p", 1)));
    driver.complete(driver.attempts.get(0), AttemptResult.CAPACITY_EXCEEDED, false);
    driver.complete(driver.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(2, driver.attempts.size());
    assertEquals(1, driver.finalAnswers.size(), "given up at once");
    driver.submit("p", WORK_US);
    applySettings(driver, soleDispatcher(RULES, withMaxAttempts(4), requestClass("p", 1)));
    for (int i = 2; i < 4; i++) {
      driver.complete(driver.attempts.get(i), AttemptResult.CAPACITY_EXCEEDED, false);
    }
    assertEquals(
        4, driver.attempts.size(), "accepted with two attempts: no third after more are allowed");
  }

  @Test
  void smallerRetryBudgetAppliesAtOnceAndALargerOneAfterTheWindow() {
    DispatcherDriver driver =
        newBusyDriver(
            soleDispatcher(withRetryBudget(4, 0), CAPABILITIES, requestClass("p", 1)),
            10,
            LongStream.rangeClosed(1, 10)
                .mapToObj(DispatcherDriver::up)
                .toArray(EndpointStatus[]::new));
    for (int i = 0; i < 4; i++) {
      driver.complete(
          driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
    }
    assertEquals(14, driver.attempts.size(), "four retries");
    applySettings(
        driver, soleDispatcher(withRetryBudget(2, 0), CAPABILITIES, requestClass("p", 1)));
    driver.complete(
        driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(14, driver.attempts.size(), "none while four are in the window");
    applySettings(
        driver, soleDispatcher(withRetryBudget(40, 0), CAPABILITIES, requestClass("p", 1)));
    assertEquals(14, driver.attempts.size(), "the smaller budgets apply for their window");
    DispatcherDriver later =
        newBusyDriver(
            soleDispatcher(withRetryBudget(0, 0), CAPABILITIES, requestClass("p", 1)),
            1,
            up(1),
            up(2));
    applySettings(
        later, soleDispatcher(withRetryBudget(40, 0), CAPABILITIES, requestClass("p", 1)));
    later.complete(later.attempts.get(0), AttemptResult.COMPLETED, true);
    later.advance(new TimeSpan(10_000_000));
    later.submit("p", WORK_US);
    later.complete(later.attempts.get(1), AttemptResult.CAPACITY_EXCEEDED, false);
    assertEquals(3, later.attempts.size(), "the window of the smaller one has passed");
  }

  @Test
  void keysOrderedByEitherSettingsStayOrdered() {
    RequestClass looseDeployment = requestClass("p", 1);
    RequestClass ordered =
        requestClass("p", 1, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, true, null, null);
    DispatcherDriver driver = newBusyDriver(soleDispatcher(RULES, CAPABILITIES, ordered), 0, up(1));
    driver.submit(driver.newRequest("p", "key", WORK_US));
    driver.submit(driver.newRequest("p", "key", WORK_US));
    assertEquals(1, driver.attempts.size());
    applySettings(driver, soleDispatcher(RULES, CAPABILITIES, looseDeployment));
    assertEquals(1, driver.attempts.size(), "the second began in order");
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    assertEquals(2, driver.attempts.size());
    DispatcherDriver freshDriver =
        newBusyDriver(soleDispatcher(RULES, CAPABILITIES, requestClass("p", 16)), 0, up(1));
    freshDriver.submit(freshDriver.newRequest("p", "key", WORK_US));
    freshDriver.submit(freshDriver.newRequest("p", "key", WORK_US));
    applySettings(freshDriver, soleDispatcher(RULES, CAPABILITIES, ordered));
    assertEquals(
        1, freshDriver.attempts.size(), "another one would fit, but the first is still in flight");
    freshDriver.complete(freshDriver.attempts.get(0), AttemptResult.COMPLETED, true);
    assertEquals(2, freshDriver.attempts.size());
    freshDriver.complete(freshDriver.attempts.get(1), AttemptResult.COMPLETED, true);
    assertTrue(freshDriver.dispatcher.isIdle());
  }
}
