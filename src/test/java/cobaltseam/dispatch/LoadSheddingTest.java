package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherScenarios.NO_CANCEL;
import static cobaltseam.dispatch.DispatcherScenarios.WITH_REPORTS;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.answerRequests;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitOne;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which requests are shed in overload, over quota or without engines, and which are not. */
class LoadSheddingTest {
  @Test
  void requestWithAShorterDeadlineIsServed() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4);
    answerRequests(driver, 20, WORK_US);
    Request hasty =
        new Request(
            new RequestId("hasty"),
            new RequestClassId("p"),
            null,
            null,
            driver.now.plus(new TimeSpan(1_000_000)),
            new TimeSpan(WORK_US),
            null,
            0);
    driver.submit(hasty);
    assertTrue(
        driver.inFlight.containsKey(hasty.id()), "a short deadline does not make it a retry");
  }

  @Test
  void requestWithoutEnginesIsQueuedAndShedInTime() {
    DispatcherDriver driver = newDriver(0, 3, 1);
    Request request = driver.submit("p", WORK_US);
    assertTrue(driver.finalAnswers.isEmpty());
    driver.advance(new TimeSpan(4_500_000));
    assertEquals(Placement.Decision.SHED, driver.finalAnswers.get(request.id()).decision());
  }

  @Test
  void queuedRequestOfLeastWeightPerThreadIsShedFirst() {
    DispatcherDriver driver = newDriver(0, 4, 4, 4);
    for (int i = 0; i < 4; i++) {
      driver.submit("p", WORK_US);
    }
    Request heavy = driver.submit("wide", 20 * WORK_US);
    assertTrue(driver.finalAnswers.isEmpty(), "a single request is no queue");
    for (int i = 0; i < 60; i++) {
      driver.submit("wide", WORK_US);
    }
    assertEquals(
        heavy.id(),
        driver.finalAnswers.keySet().iterator().next(),
        "least weight for its threads goes first");
    assertTrue(driver.finalAnswers.get(heavy.id()).retryAfter().isPositive());
    assertTrue(driver.finalAnswers.size() < 60);
  }

  @Test
  void requestsOverQuotaAreShedUnderOverload() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    answerRequests(driver, 60, WORK_US);
    int before = driver.attempts.size();
    for (int i = 0; i < 40; i++) {
      driver.submit("p", WORK_US);
    }
    assertTrue(driver.attempts.size() - before > 4, "requests within quota borrow");
    driver.advance(new TimeSpan(8 * WORK_US));
    List.copyOf(driver.inFlight.values())
        .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    int finals = driver.finalAnswers.size();
    for (int i = 0; i < 400; i++) {
      driver.submit("p", WORK_US);
    }
    assertTrue(
        driver.finalAnswers.size() - finals > 300, "over quota and in overload it is shed at once");
  }

  @Test
  void tenantWithAFewRequestsPerSecondStaysWithinQuota() {
    DispatcherDriver driver = newDriver(0, 100, 1, 4, 5, 6, 8, 9, 10);
    for (int i = 0; i < 60; i++) {
      driver.submit("p", WORK_US);
      driver.advance(new TimeSpan(WORK_US));
      List.copyOf(driver.inFlight.values())
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
      driver.advance(new TimeSpan(3 * WORK_US));
    }
    assertTrue(
        driver.finalAnswers.size() < 6,
        "a few a second of two tenants are served: " + driver.finalAnswers.size());
  }

  @Test
  void inOverloadAPartOfEqualRequestsIsServed() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6, 8);
    answerRequests(driver, 30, WORK_US);
    answerRequests(driver, 40, 2 * WORK_US);
    int finalAnswersBefore = driver.finalAnswers.size();
    int attemptsBefore = driver.attempts.size();
    answerRequests(driver, 100, 2 * WORK_US);
    assertTrue(
        driver.finalAnswers.size() - finalAnswersBefore > 20
            && driver.attempts.size() - attemptsBefore > 20,
        "neither all nor none");
  }

  @Test
  void lowEstimatesAreNoOverloadWhileEnginesReportCapacity() {
    assertEquals(
        0, shedWithLatencyFourTimesTheEstimate(0.2), "capacity on every engine: nothing is shed");
    int shed = shedWithLatencyFourTimesTheEstimate(30);
    assertTrue(shed > 20, shed + " sheds: the same answers from full engines are overload");
  }

  /** Shed requests among the later ones, while engines report this many in flight. */
  private static int shedWithLatencyFourTimesTheEstimate(double inFlight) {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2, 4);
    driver.reportedInFlight = inFlight;
    SplittableRandom random = new SplittableRandom(3);
    int before = 0;
    for (int i = 0; i < 200; i++) {
      before = i == 100 ? driver.finalAnswers.size() : before;
      int sent = driver.attempts.size();
      driver.submit("p", WORK_US);
      if (driver.attempts.size() > sent) {
        SentAttempt attempt = driver.attempts.get(sent);
        driver.advance(new TimeSpan(4 * WORK_US - random.nextLong(WORK_US / 4)));
        driver.complete(attempt, AttemptResult.COMPLETED, true);
      }
    }
    return driver.finalAnswers.size() - before;
  }

  /** How many of a hundred requests are shed at once while answers take three times the usual. */
  private static long shedAtOnce(boolean failing) {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2, 5, 6);
    driver.reportedInFlight = 1;
    for (int i = 0; i < 60; i++) {
      SentAttempt attempt = submitOne(driver);
      driver.advance(new TimeSpan(WORK_US));
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    long shedAtOnce = 0;
    for (int i = 0; i < 100; i++) {
      int attemptsBefore = driver.attempts.size();
      long finalAnswersBefore = driver.finalAnswers.size();
      Request request = driver.submit("p", WORK_US);
      shedAtOnce += driver.finalAnswers.size() - finalAnswersBefore;
      if (driver.attempts.size() == attemptsBefore) {
        continue;
      }
      boolean fails = failing && i % 4 != 0;
      driver.advance(new TimeSpan(fails ? WORK_US / 10 : 3 * WORK_US));
      if (driver.inFlight.containsKey(request.id())) {
        driver.complete(
            driver.inFlight.get(request.id()),
            fails ? AttemptResult.ERROR : AttemptResult.COMPLETED,
            true);
      }
    }
    return shedAtOnce;
  }

  @Test
  void failingEnginesReportNoCapacity() {
    // Reports come with answers alone: a pool of which most does not answer must not look empty by
    // the rest.
    long shedWhileSlow = shedAtOnce(false);
    long shedWhileFailing = shedAtOnce(true);
    assertEquals(0, shedWhileSlow, "slow, but all engines report capacity");
    assertTrue(shedWhileFailing > 0, "slow, and most attempts fail");
  }

  @Test
  void shedHasNoRetryAfterWhereTheDeploymentAllowsNone() {
    DispatcherDriver driver = newDriver(NO_CANCEL, 2, 1);
    driver.submit("p", WORK_US);
    // Every attempt is rejected before it runs until none is left; then the request is given up.
    while (!driver.inFlight.isEmpty()) {
      driver.complete(
          driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
      driver.advance(new TimeSpan(20_000));
    }
    // It never ran: the one final answer is a shed, without a retry delay.
    assertEquals(1, driver.finalAnswers.size(), "one final answer");
    Placement placement = driver.finalAnswers.values().iterator().next();
    assertEquals(Placement.Decision.SHED, placement.decision());
    assertEquals(TimeSpan.ZERO, placement.retryAfter());
  }
}
