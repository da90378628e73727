package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.CAPABILITIES;
import static cobaltseam.dispatch.DispatcherDriver.TICK;
import static cobaltseam.dispatch.DispatcherScenarios.WITH_REPORTS;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitOne;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Memory grants follow the memory that requests need. */
class MemoryGrantTest {
  @Test
  void memoryGrantIsBoundedForEstimatesNearZero() {
    DispatcherDriver driver = newDriver(CAPABILITIES, 2, 1, 2);
    driver.memoryMb = 0.01;
    answerWithMemoryUse(driver, 4096);
    double grant =
        driver.dispatcher.place(driver.newRequest("p", null, WORK_US), driver.now).memoryGrantMb();
    assertTrue(grant > 0 && grant <= 5 * driver.memoryMb, "grant " + grant);
  }

  /** Submits forty requests and reports the same memory use for each. */
  private static void answerWithMemoryUse(DispatcherDriver driver, double usedMb) {
    for (int i = 0; i < 40; i++) {
      driver.submit("p", WORK_US);
      SentAttempt attempt = List.copyOf(driver.inFlight.values()).get(0);
      driver.inFlight.remove(attempt.request().id());
      driver.dispatcher.completeAttempt(
          new AttemptOutcome(
              attempt.request().id(),
              attempt.number(),
              attempt.engine(),
              AttemptResult.COMPLETED,
              new TimeSpan(WORK_US),
              true,
              new TimeSpan(WORK_US),
              usedMb,
              -1,
              -1),
          driver.now);
    }
  }

  @Test
  void memoryGrantFollowsReportedUseOverTheEstimate() {
    // Requests of this class need twice their estimate. The initial grant of 1.25 times the
    // estimate would spill.
    DispatcherDriver driver = newDriver(CAPABILITIES, 2, 1, 2);
    assertEquals(
        0,
        driver.dispatcher.place(driver.newRequest("p", null, WORK_US), driver.now).memoryGrantMb(),
        "no grant before answers");
    answerWithMemoryUse(driver, 2 * driver.memoryMb);
    double grant =
        driver.dispatcher.place(driver.newRequest("p", null, WORK_US), driver.now).memoryGrantMb();
    assertTrue(grant >= 1.8 * driver.memoryMb && grant <= 2.5 * driver.memoryMb, "grant " + grant);
  }

  /**
   * Submits requests that need twice their estimate and returns the last grant: with a smaller
   * grant they report a shortfall, and no answer reports the memory used.
   */
  private static double grantAfter(DispatcherDriver driver, int requests) {
    double needMb = 2 * driver.memoryMb;
    double grant = 0;
    for (int i = 0; i < requests; i++) {
      SentAttempt attempt = submitOne(driver);
      grant = attempt.placement().memoryGrantMb();
      double granted = grant > 0 ? grant : driver.memoryMb;
      if (granted < needMb) {
        driver.dispatcher.updateMemoryShortfall(
            attempt.request().id(), attempt.number(), needMb - granted);
      }
      driver.advance(new TimeSpan(100_000));
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    return grant;
  }

  @Test
  void memoryGrantFollowsReportedShortfallsWithoutReportedUse() {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2);
    double grant = grantAfter(driver, 60);
    assertTrue(grant >= 1.7 * driver.memoryMb && grant <= 2.6 * driver.memoryMb, "grant " + grant);
  }

  @Test
  void shortfallsAreIgnoredWhereEnginesIgnoreGrants() {
    DispatcherDriver driver =
        newDriver(
            new Capabilities(
                TICK, 5, true, true, true, new TimeSpan(500_000), new TimeSpan(1_000_000), false),
            1,
            1,
            2);
    assertEquals(0, grantAfter(driver, 60), "the engine alone determines grants");
  }
}
