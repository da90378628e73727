package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.TICK;
import static cobaltseam.dispatch.DispatcherScenarios.NO_CANCEL;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.answerRequests;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitBurst;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Timeouts, cancellation and withdrawal of attempts. */
class AttemptTimeoutTest {
  @Test
  void withoutCancellationAttemptMayRunWhileItsAnswerIsUseful() {
    // Without cancellation, an attempt that timed out keeps running: another would only add load.
    DispatcherDriver driver = newDriver(NO_CANCEL, 2, 1, 2);
    driver.submit("p", WORK_US);
    SentAttempt first = driver.attempts.get(0);
    // The latency objective is 1 s plus twice the work, that is 1.2 s, and a late answer has no
    // weight: an attempt is of use until 1.25 times the objective.
    assertEquals(1_500_000, first.timeout().us(), 10_000, "timeout " + first.timeout());
    driver.advance(new TimeSpan(1_400_000));
    assertEquals(1, driver.attempts.size(), "no retry while the first attempt may still answer");
  }

  @Test
  void withCancellationSlowAttemptTimesOutEarlyForReplacement() {
    DispatcherDriver driver =
        newDriver(
            new Capabilities(TICK, 5, true, false, false, TimeSpan.ZERO, TimeSpan.ZERO), 2, 1, 2);
    driver.submit("p", WORK_US);
    assertTrue(
        driver.attempts.get(0).timeout().us() < 1_000_000,
        "timeout " + driver.attempts.get(0).timeout());
  }

  @Test
  void attemptWithBadQueryPlanIsCancelledAndSlowAttemptIsNot() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5);
    answerRequests(driver, 30, WORK_US);
    Request bad = driver.submit("p", WORK_US);
    Request slow = driver.submit("p", WORK_US);
    driver.advance(new TimeSpan(WORK_US));
    driver.dispatcher.updateProgress(bad.id(), 0, 0.05, driver.now);
    driver.dispatcher.updateProgress(slow.id(), 0, 0.4, driver.now);
    driver.followNextSteps();
    assertEquals(List.of(bad.id()), driver.cancellations);
    driver.complete(driver.inFlight.get(bad.id()), AttemptResult.CANCELLED, false);
    assertTrue(driver.inFlight.containsKey(bad.id()), "the request is retried");
  }

  /**
   * Guards against cancellation after an inaccurate report: at 0.99 an attempt may still need a
   * considerable fraction of its time so far.
   */
  @Test
  void almostFinishedAttemptIsNotCancelledAfterInaccurateReport() {
    DispatcherDriver driver = newDriver(0, 1, 1, 4);
    Request request = driver.submit("p", WORK_US);
    driver.advance(new TimeSpan(WORK_US));
    driver.dispatcher.updateProgress(request.id(), 0, 0.99, driver.now);
    driver.followNextSteps();
    driver.advance(new TimeSpan(WORK_US / 5));
    assertTrue(driver.cancellations.isEmpty());
    for (int i = 0; i < 10; i++) {
      driver.advance(new TimeSpan(WORK_US / 50));
    }
    assertEquals(List.of(request.id()), driver.cancellations, "the additional time is bounded");
  }

  @Test
  void withdrawnRequestIsGivenUpAndNeverRetried() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    submitBurst(driver);
    List<Request> inFlightRequests =
        driver.inFlight.values().stream().map(SentAttempt::request).toList();
    assertEquals(4, inFlightRequests.size());
    for (int i = 0; i < 18; i++) {
      driver.dispatcher.withdraw(new RequestId("c" + i), driver.now);
    }
    driver.followNextSteps();
    assertEquals(14, driver.finalAnswers.size(), "all queued requests have their final answer");
    assertTrue(
        driver.finalAnswers.values().stream()
            .allMatch(p -> p.decision() == Placement.Decision.SHED));
    driver.complete(driver.inFlight.get(inFlightRequests.get(0).id()), AttemptResult.ERROR, false);
    assertEquals(
        Placement.Decision.SHED, driver.finalAnswers.get(inFlightRequests.get(0).id()).decision());
    driver.complete(
        driver.inFlight.get(inFlightRequests.get(1).id()), AttemptResult.COMPLETED, true);
    assertEquals(
        18, driver.attempts.size() + driver.finalAnswers.size() - 1, "no request was retried");
  }

  @Test
  void failedRequestIsShedAtOnceWithoutRemainingRetries() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    driver.dispatcher.setRemainingRetries(1);
    Request first = driver.submit("p", WORK_US);
    driver.complete(driver.inFlight.get(first.id()), AttemptResult.ERROR, false);
    assertEquals(2, driver.attempts.size(), "one retry remained");
    driver.dispatcher.setRemainingRetries(0);
    driver.complete(driver.inFlight.get(first.id()), AttemptResult.ERROR, false);
    assertEquals(Placement.Decision.SHED, driver.finalAnswers.get(first.id()).decision());
    driver.submit("p", WORK_US);
    driver.advance(new TimeSpan(1_000_000));
    assertEquals(3, driver.attempts.size(), "first attempts are still allowed");
  }
}
