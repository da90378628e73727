package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.CAPABILITIES;
import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.TICK;
import static cobaltseam.dispatch.DispatcherDriver.deployment;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;
import static cobaltseam.dispatch.DispatcherDriver.status;
import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.NO_CANCEL;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.applySettings;
import static cobaltseam.dispatch.DispatcherScenarios.newBusyDriver;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.singleDispatcher;
import static cobaltseam.dispatch.DispatcherScenarios.withMaxAttempts;
import static cobaltseam.dispatch.DispatcherScenarios.withRetryBudget;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A settings change keeps engines, estimates and requests in flight. */
class SettingsChangeTest {
  @Test
  void settingsThatForbidCancellationApplyWhileSomeAttemptsHaveNoneScheduled() {
    Deployment.RequestClass idempotent = requestClass("p", 1);
    Deployment.RequestClass notIdempotent =
        requestClass(
            "once", 1, RetrySafety.NOT_IDEMPOTENT, DeduplicationScope.ALL, false, null, null);
    DispatcherDriver driver =
        newBusyDriver(
            singleDispatcher(RULES, CAPABILITIES, idempotent, notIdempotent), 0, up(1), up(2));
    driver.submit("once", WORK_US);
    driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    assertEquals(3, driver.inFlight.size());
    applySettings(driver, singleDispatcher(RULES, NO_CANCEL, idempotent, notIdempotent));
    assertEquals(3, driver.inFlight.size(), "the settings change cancels no attempt");
    for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    assertTrue(driver.dispatcher.isIdle());
  }

  @Test
  void engineEstimatesAreKeptAcrossASettingsChange() {
    DispatcherDriver earlier = newDriver(CAPABILITIES, 2, 1, 2);
    EndpointStatus warmingEngine = status(5, EndpointState.UP, earlier.now.us() - 1_000_000);
    earlier.updateEndpoints(false, warmingEngine);
    for (int i = 0; i < 30; i++) {
      earlier.submit("p", WORK_US);
      for (SentAttempt attempt : List.copyOf(earlier.inFlight.values())) {
        earlier.complete(
            attempt,
            attempt.engine().value() == 1 ? AttemptResult.ERROR : AttemptResult.COMPLETED,
            attempt.engine().value() != 1);
      }
    }
    DispatcherDriver freshDriver = new DispatcherDriver(fiftyDispatchers(), 9);
    freshDriver.now = earlier.now;
    freshDriver.updateEndpoints(true, up(1), up(2), warmingEngine);
    earlier.dispatcher.applySettings(fiftyDispatchers(), earlier.now);
    int[] attemptsWithEstimates = attemptsPerEngine(earlier);
    int[] attemptsWithoutEstimates = attemptsPerEngine(freshDriver);
    assertTrue(
        attemptsWithEstimates[1] + attemptsWithEstimates[2] > 0,
        "the dispatcher keeps the endpoint list: attempts need no new one");
    assertTrue(
        attemptsWithEstimates[1] < attemptsWithoutEstimates[1],
        "engine 1 is still assessed as failing: "
            + attemptsWithEstimates[1]
            + " against "
            + attemptsWithoutEstimates[1]);
  }

  /** Returns changed settings for the same engines: fifty dispatchers, and a retry budget. */
  private static Deployment fiftyDispatchers() {
    return deployment(0, 50, withRetryBudget(2.0, 0.2), NO_CANCEL, requestClass("p", 1));
  }

  /** Counts the attempts on each engine in the first second, while engine 1 still fails. */
  private static int[] attemptsPerEngine(DispatcherDriver driver) {
    int[] attemptsOn = new int[6];
    for (int i = 0; i < 20; i++) {
      driver.submit("p", WORK_US);
      for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
        attemptsOn[(int) attempt.engine().value()]++;
        driver.complete(
            attempt,
            attempt.engine().value() == 1 ? AttemptResult.ERROR : AttemptResult.COMPLETED,
            attempt.engine().value() != 1);
      }
      driver.advance(new TimeSpan(50_000));
    }
    return attemptsOn;
  }

  @Test
  void attemptsInFlightEndOnceAndFreeTheirThreads() {
    DispatcherDriver driver =
        newBusyDriver(singleDispatcher(RULES, CAPABILITIES, requestClass("p", 1)), 12, up(1));
    assertEquals(12, driver.inFlight.size());
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, requestClass("p", 1)));
    applySettings(driver, singleDispatcher(RULES, withMaxAttempts(2), requestClass("p", 2)));
    driver.advance(new TimeSpan(10_000));
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, requestClass("p", 1)));
    List.copyOf(driver.inFlight.values())
        .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    driver.advance(new TimeSpan(10_000_000));
    assertTrue(driver.dispatcher.isIdle(), "no request is open and no thread is in use");
    assertTrue(
        driver.finalAnswers.isEmpty(), "no request was shed or failed: " + driver.finalAnswers);
  }

  @Test
  void queuedRequestsKeepTheirOrder() {
    DispatcherDriver driver =
        newBusyDriver(singleDispatcher(RULES, CAPABILITIES, requestClass("p", 8)), 5, up(1));
    assertEquals(2, driver.attempts.size(), "two requests use all sixteen threads");
    applySettings(driver, singleDispatcher(RULES, CAPABILITIES, requestClass("p", 16)));
    driver.complete(driver.attempts.get(0), AttemptResult.COMPLETED, true);
    assertEquals(2, driver.attempts.size(), "the other request still uses eight threads");
    driver.complete(driver.attempts.get(1), AttemptResult.COMPLETED, true);
    assertEquals(3, driver.attempts.size(), "a request now uses all sixteen threads");
    assertEquals("c2", driver.attempts.get(2).request().id().value(), "the oldest queued request");
  }

  @Test
  void warmingEngineIsSentNoMoreThanBothSettingsAllow() {
    double underBoth = workSentDuringWarmup(slowWarmup(), fastWarmup());
    double stricterAlone =
        Math.min(
            workSentDuringWarmup(slowWarmup(), slowWarmup()),
            workSentDuringWarmup(fastWarmup(), fastWarmup()));
    assertTrue(
        underBoth > 0 && underBoth <= stricterAlone * 1.05,
        underBoth + " s of work, but at most " + stricterAlone);
  }

  private static Rules slowWarmup() {
    return new Rules(
        0.1, new TimeSpan(15_000_000), 2, new TimeSpan(3_000_000), TimeSpan.ZERO, null, null, null);
  }

  private static Rules fastWarmup() {
    return new Rules(
        0.5, new TimeSpan(2_000_000), 1, new TimeSpan(3_000_000), TimeSpan.ZERO, null, null, null);
  }

  /**
   * Returns the seconds of work sent to an engine that has just started, in the two seconds after
   * the settings change.
   */
  private static double workSentDuringWarmup(Rules before, Rules after) {
    DispatcherDriver driver =
        new DispatcherDriver(singleDispatcher(before, CAPABILITIES, requestClass("p", 1)), 3);
    driver.updateEndpoints(true, status(1, EndpointState.UP, driver.now.us()));
    driver.advance(new TimeSpan(500_000));
    applySettings(driver, singleDispatcher(after, CAPABILITIES, requestClass("p", 1)));
    for (int i = 0; i < 200; i++) {
      driver.submit("p", WORK_US);
      List.copyOf(driver.inFlight.values())
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
      driver.advance(new TimeSpan(10_000));
    }
    return driver.attempts.size() * WORK_US / 1e6;
  }

  @Test
  void nothingIsCancelledWhereTheNewSettingsAllowNoCancellation() {
    Capabilities withReports =
        new Capabilities(TICK, 4, true, false, true, new TimeSpan(500_000), new TimeSpan(200_000));
    DispatcherDriver driver =
        newBusyDriver(singleDispatcher(RULES, withReports, requestClass("p", 1)), 1, up(1));
    applySettings(driver, singleDispatcher(RULES, NO_CANCEL, requestClass("p", 1)));
    driver.advance(new TimeSpan(3_000_000));
    assertTrue(driver.cancellations.isEmpty(), "cancelled: " + driver.cancellations);
    DispatcherDriver unchangedDriver =
        newBusyDriver(singleDispatcher(RULES, withReports, requestClass("p", 1)), 1, up(1));
    unchangedDriver.advance(new TimeSpan(3_000_000));
    assertEquals(
        1,
        unchangedDriver.cancellations.size(),
        "without the settings change, the attempt is cancelled");
  }

  @Test
  void sharingDispatchersAreKeptAcrossASettingsChange() {
    DispatcherDriver driver =
        newBusyDriver(deployment(0, 4, RULES, CAPABILITIES, requestClass("p", 8)), 0, up(1));
    driver.dispatcher.setSharingDispatchers(1);
    applySettings(driver, deployment(0, 8, RULES, CAPABILITIES, requestClass("p", 8)));
    driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    assertEquals(
        2,
        driver.attempts.size(),
        "the only sharing dispatcher uses all threads, also after the settings change");
  }
}
