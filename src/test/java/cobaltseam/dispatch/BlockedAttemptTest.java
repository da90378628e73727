package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.TICK;
import static cobaltseam.dispatch.DispatcherDriver.deployment;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;
import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.WITH_REPORTS;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitOne;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts that wait for a load of the data set that they read. */
class BlockedAttemptTest {
  @Test
  void blockedAttemptIsCancelledForAnotherEngine() {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2);
    SentAttempt attempt = submitOne(driver);
    driver.dispatcher.markBlocked(attempt.request().id(), attempt.number(), driver.now);
    driver.followNextSteps();
    assertEquals(List.of(attempt.request().id()), driver.cancellations, "cancelled at once");
    driver.complete(attempt, AttemptResult.CANCELLED, false);
    SentAttempt next = driver.attempts.get(driver.attempts.size() - 1);
    assertEquals(attempt.request().id(), next.request().id());
    assertNotEquals(
        attempt.engine(), next.engine(), "the next attempt avoids the engine with the load");
  }

  @Test
  void requestBlockedOnAllEnginesDoesNotUseUpItsAttempts() {
    // Loads on both engines block the request: alternating between them would use up all attempts
    // within milliseconds.
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2);
    SentAttempt attempt = submitOne(driver);
    for (int i = 0; i < 4; i++) {
      SentAttempt current = driver.inFlight.get(attempt.request().id());
      driver.dispatcher.markBlocked(current.request().id(), current.number(), driver.now);
      driver.followNextSteps();
      if (driver.cancellations.remove(current.request().id())) {
        driver.complete(current, AttemptResult.CANCELLED, false);
      }
      driver.advance(TICK);
    }
    assertEquals(
        2, driver.attempts.size(), "one attempt on each engine, and the second is not cancelled");
  }

  @Test
  void blockedAttemptThatIsNotIdempotentIsNotCancelled() {
    // No cancellation is scheduled for the attempt that could be moved to an earlier time.
    RequestClass notIdempotent =
        requestClass("p", 1, RetrySafety.NOT_IDEMPOTENT, DeduplicationScope.ALL, false, null, null);
    DispatcherDriver driver =
        new DispatcherDriver(deployment(0, 1, RULES, WITH_REPORTS, notIdempotent), 7);
    driver.updateEndpoints(true, up(1), up(2));
    submitOne(driver);
    SentAttempt second = submitOne(driver);
    driver.dispatcher.markBlocked(second.request().id(), second.number(), driver.now);
    driver.dispatcher.updateProgress(second.request().id(), second.number(), 0.5, driver.now);
    driver.followNextSteps();
    assertTrue(driver.cancellations.isEmpty());
  }

  @Test
  void blockedAttemptIsNotCancelledWithoutAnotherEngine() {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1);
    SentAttempt attempt = submitOne(driver);
    driver.dispatcher.markBlocked(attempt.request().id(), attempt.number(), driver.now);
    driver.followNextSteps();
    assertTrue(driver.cancellations.isEmpty(), "there is no other engine, and the load will end");
  }
}
