package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.answerRequests;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitBurst;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a dispatcher uses more than its even share of an engine. */
class BorrowingTest {
  @Test
  void answersAtBaselineLatencyAllowBorrowingAndSlowAnswersEndIt() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    answerRequests(driver, 30, WORK_US);
    submitBurst(driver);
    assertEquals(16, driver.inFlight.size(), "all threads of the engine");
    driver.advance(new TimeSpan(WORK_US * 6));
    for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    List.copyOf(driver.inFlight.values())
        .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    submitBurst(driver);
    assertTrue(
        driver.inFlight.size() <= 4,
        "the dispatcher is limited to its share again, not " + driver.inFlight.size());
  }

  @Test
  void loadReportedToOtherDispatchersEndsBorrowing() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    driver.reportedInFlight = 1;
    answerRequests(driver, 30, WORK_US);
    submitBurst(driver);
    int borrowed = driver.inFlight.size();
    assertTrue(borrowed > 4, "the dispatcher borrows threads: " + borrowed);
    driver = newDriver(0, 4, 1, 4);
    driver.reportedInFlight = 1;
    answerRequests(driver, 30, WORK_US);
    driver.dispatcher.updateEngineLoad(new EngineId(4), 16, driver.now.plus(new TimeSpan(1)));
    submitBurst(driver);
    assertTrue(
        driver.inFlight.size() < borrowed,
        "other dispatchers use the capacity: " + driver.inFlight.size());
    driver = newDriver(0, 4, 1, 4);
    driver.reportedInFlight = 1;
    answerRequests(driver, 30, WORK_US);
    driver.dispatcher.updateEngineLoad(
        new EngineId(4), 16, driver.now.minus(new TimeSpan(1_000_000)));
    submitBurst(driver);
    assertEquals(borrowed, driver.inFlight.size(), "an older report is ignored");
  }

  /**
   * After another dispatcher stopped, its traffic is over quota here, but the reported load leaves
   * capacity for it.
   */
  @Test
  void requestsOverQuotaBorrowOnlyWhereLoadReportsLeaveCapacity() {
    assertTrue(inFlightOverQuota(-1) <= 4, "no load is reported");
    assertTrue(inFlightOverQuota(20) <= 4, "other dispatchers use the capacity");
    int inFlightOnIdleEngine = inFlightOverQuota(0);
    assertTrue(
        inFlightOnIdleEngine > 8 && inFlightOnIdleEngine < 16,
        "most threads of the engine, but not all: " + inFlightOnIdleEngine);
  }

  private static int inFlightOverQuota(double reportedInFlight) {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    driver.reportedInFlight = reportedInFlight;
    answerRequests(driver, 60, WORK_US);
    for (int i = 0; i < 100; i++) {
      driver.submit("p", WORK_US);
      List.copyOf(driver.inFlight.values())
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    }
    for (int i = 0; i < 30; i++) {
      driver.submit("p", WORK_US);
    }
    return driver.inFlight.size();
  }

  @Test
  void answersReadLateDoNotCountAsSlow() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    answerRequests(driver, 30, WORK_US);
    submitBurst(driver);
    assertEquals(16, driver.inFlight.size());
    driver.now = driver.now.plus(new TimeSpan(20 * WORK_US));
    for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    submitBurst(driver);
    assertEquals(16, driver.inFlight.size(), "the dispatcher was suspended: it may still borrow");
  }
}
