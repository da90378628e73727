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

/** Load shedding in overload, over quota and without engines. */
class LoadSheddingTest {
  @Test
  void requestWithShorterDeadlineIsSent() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4);
    answerRequests(driver, 20, WORK_US);
    Request urgent =
        new Request(
            new RequestId("urgent"),
            new RequestClassId("p"),
            null,
            null,
            driver.now.plus(new TimeSpan(1_000_000)),
            new TimeSpan(WORK_US),
            null,
            0);
    driver.submit(urgent);
    assertTrue(
        driver.inFlight.containsKey(urgent.id()), "a request is sent despite a short deadline");
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
    assertTrue(driver.finalAnswers.isEmpty(), "a single queued request is not shed");
    for (int i = 0; i < 60; i++) {
      driver.submit("wide", WORK_US);
    }
    assertEquals(
        heavy.id(),
        driver.finalAnswers.keySet().iterator().next(),
        "the request with the least weight per thread is shed first");
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
    int finalAnswersBefore = driver.finalAnswers.size();
    for (int i = 0; i < 400; i++) {
      driver.submit("p", WORK_US);
    }
    assertTrue(
        driver.finalAnswers.size() - finalAnswersBefore > 300,
        "requests over quota are shed at once in overload");
  }

  @Test
  void tenantWithFewRequestsPerSecondStaysWithinQuota() {
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
        "a few requests per second are answered: " + driver.finalAnswers.size());
  }

  @Test
  void overloadShedsOnlySomeOfEqualRequests() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6, 8);
    answerRequests(driver, 30, WORK_US);
    answerRequests(driver, 40, 2 * WORK_US);
    int finalAnswersBefore = driver.finalAnswers.size();
    int attemptsBefore = driver.attempts.size();
    answerRequests(driver, 100, 2 * WORK_US);
    assertTrue(
        driver.finalAnswers.size() - finalAnswersBefore > 20
            && driver.attempts.size() - attemptsBefore > 20,
        "some requests are shed and some are sent");
  }

  @Test
  void lowWorkEstimatesCauseNoSheddingWhileEnginesReportCapacity() {
    assertEquals(
        0,
        shedWithLatencyFourTimesTheEstimate(0.2),
        "every engine has spare capacity: no request is shed");
    int shed = shedWithLatencyFourTimesTheEstimate(30);
    assertTrue(
        shed > 20, shed + " requests shed: the same latencies on full engines indicate overload");
  }

  /**
   * Counts the requests shed among the last hundred, while engines report this many requests in
   * flight.
   */
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

  /**
   * Counts how many of a hundred requests are shed on arrival, while answers take three times the
   * baseline latency.
   */
  private static long shedOnArrival(boolean isFailing) {
    DispatcherDriver driver = newDriver(WITH_REPORTS, 1, 1, 2, 5, 6);
    driver.reportedInFlight = 1;
    for (int i = 0; i < 60; i++) {
      SentAttempt attempt = submitOne(driver);
      driver.advance(new TimeSpan(WORK_US));
      driver.complete(attempt, AttemptResult.COMPLETED, true);
    }
    long shedOnArrival = 0;
    for (int i = 0; i < 100; i++) {
      int attemptsBefore = driver.attempts.size();
      long finalAnswersBefore = driver.finalAnswers.size();
      Request request = driver.submit("p", WORK_US);
      shedOnArrival += driver.finalAnswers.size() - finalAnswersBefore;
      if (driver.attempts.size() == attemptsBefore) {
        continue;
      }
      boolean attemptFails = isFailing && i % 4 != 0;
      driver.advance(new TimeSpan(attemptFails ? WORK_US / 10 : 3 * WORK_US));
      if (driver.inFlight.containsKey(request.id())) {
        driver.complete(
            driver.inFlight.get(request.id()),
            attemptFails ? AttemptResult.ERROR : AttemptResult.COMPLETED,
            true);
      }
    }
    return shedOnArrival;
  }

  @Test
  void failingEnginesDoNotCountAsSpareCapacity() {
    // Engines report load only with answers: a pool in which most attempts fail must not appear
    // idle because of the others.
    long shedWhileSlow = shedOnArrival(false);
    long shedWhileFailing = shedOnArrival(true);
    assertEquals(0, shedWhileSlow, "answers are slow, but all engines report capacity");
    assertTrue(shedWhileFailing > 0, "answers are slow, and most attempts fail");
  }

  @Test
  void shedRequestHasNoRetryDelayWhereTheDeploymentAllowsNone() {
    DispatcherDriver driver = newDriver(NO_CANCEL, 2, 1);
    driver.submit("p", WORK_US);
    // Every attempt is rejected before it runs until none is left; then the request is given up.
    while (!driver.inFlight.isEmpty()) {
      driver.complete(
          driver.inFlight.values().iterator().next(), AttemptResult.CAPACITY_EXCEEDED, false);
      driver.advance(new TimeSpan(20_000));
    }
    // The request never ran: its final answer is a shed without a retry delay.
    assertEquals(1, driver.finalAnswers.size(), "one final answer");
    Placement placement = driver.finalAnswers.values().iterator().next();
    assertEquals(Placement.Decision.SHED, placement.decision());
    assertEquals(TimeSpan.ZERO, placement.retryAfter());
  }
}
