package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.deployment;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;
import static cobaltseam.dispatch.DispatcherDriver.status;
import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.WITH_REPORTS;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.answerRequests;
import static cobaltseam.dispatch.DispatcherScenarios.attemptedEngines;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static cobaltseam.dispatch.DispatcherScenarios.submitBurst;
import static cobaltseam.dispatch.DispatcherScenarios.submitOne;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The choice of an engine, and the requests that are queued. */
class EngineChoiceTest {
  @Test
  void tiesAreBrokenByEngineIdFromTheDispatcherIndex() {
    DispatcherDriver driver = newDriver(1, 4, 1, 8, 4, 6);
    driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    assertEquals(List.of(6L, 8L, 4L), attemptedEngines(driver));
  }

  @Test
  void engineWithMostBudgetLeftPerCoreIsChosen() {
    // Engine 3 has half the cores: with one thread in use on each engine, less budget per core is
    // left there.
    DispatcherDriver driver = newDriver(0, 1, 1, 3, 4);
    for (int i = 0; i < 6; i++) {
      driver.submit("p", WORK_US);
    }
    assertEquals(2, attemptedEngines(driver).stream().filter(engine -> engine == 3).count());
  }

  @Test
  void withoutAnswersARequestIsQueuedBeyondTheEvenShare() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    for (int i = 0; i < 6; i++) {
      driver.submit("p", WORK_US);
    }
    assertEquals(4, driver.inFlight.size(), "16 threads over 4 dispatchers");
  }

  @Test
  void enginesAreSharedByDispatchersThatCarryTraffic() {
    DispatcherDriver driver = newDriver(0, 4, 1, 4);
    driver.dispatcher.setSharingDispatchers(2);
    submitBurst(driver);
    assertEquals(8, driver.inFlight.size(), "16 threads over 2 dispatchers");
    driver.dispatcher.setSharingDispatchers(1);
    driver.followNextSteps();
    assertEquals(16, driver.inFlight.size(), "all threads for the only dispatcher");
    driver.dispatcher.setSharingDispatchers(0);
    driver.followNextSteps();
    assertEquals(16, driver.inFlight.size(), "never more attempts than the engine's threads");
  }

  @Test
  void outcomeFreesThreadsForTheOldestQueuedRequestThatFits() {
    DispatcherDriver driver = newDriver(0, 8, 2, 4);
    driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    Request wide = driver.submit("wide", WORK_US);
    Request oldest = driver.submit("p", WORK_US);
    driver.submit("p", WORK_US);
    driver.complete(driver.inFlight.values().iterator().next(), AttemptResult.CANCELLED, true);
    assertTrue(
        driver.inFlight.containsKey(oldest.id()),
        "the wide request fits no engine and does not block those behind it");
    assertTrue(!driver.inFlight.containsKey(wide.id()));
    assertEquals(2, driver.inFlight.size());
  }

  @Test
  void shareBelowThreadsOfOneRequestIsKeptOnAverageWithOneAttemptAtATime() {
    DispatcherDriver driver = newDriver(0, 64, 1, 4);
    driver.reportedInFlight = 16;
    int totalInFlight = 0;
    for (int i = 0; i < 2000; i++) {
      driver.submit("p", 10 * WORK_US);
      assertTrue(driver.inFlight.size() <= 1);
      totalInFlight += driver.inFlight.size();
      driver.advance(new TimeSpan(WORK_US));
      List.copyOf(driver.inFlight.values()).stream()
          .filter(attempt -> driver.now.since(attempt.sentAt()).us() >= 10 * WORK_US)
          .forEach(attempt -> driver.complete(attempt, AttemptResult.CANCELLED, true));
    }
    assertTrue(
        totalInFlight > 250 && totalInFlight < 800,
        "busy engines receive a quarter of a thread on average, not " + totalInFlight / 2000.0);
  }

  @Test
  void memoryBeyondShareOfRequestThreadsCountsAsThreads() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4);
    driver.memoryMb = 4096;
    for (int i = 0; i < 8; i++) {
      driver.submit("p", WORK_US);
    }
    assertEquals(
        2, driver.inFlight.size(), "half of the four requests of 4 GB that fit into 16 GB");
  }

  @Test
  void restartedEngineReceivesTrafficOnlyAsItWarmsUp() {
    DispatcherDriver driver = newDriver(0, 2, 1, 5);
    answerRequests(driver, 30, WORK_US);
    driver.updateEndpoints(false, status(4, EndpointState.UP, driver.now.us()));
    int attemptsBefore = driver.attempts.size();
    for (int i = 0; i < 20; i++) {
      driver.submit("p", WORK_US);
    }
    assertTrue(
        attemptedEngines(driver).stream().skip(attemptsBefore).noneMatch(engine -> engine == 4),
        "no allowance is available right after the start");
    driver.advance(new TimeSpan(1_000_000));
    answerRequests(driver, 30, WORK_US);
    assertTrue(
        attemptedEngines(driver).stream().skip(attemptsBefore).anyMatch(engine -> engine == 4),
        "the engine is used as it warms up");
  }

  @Test
  void engineInTheHomeLocationWinsTies() {
    Deployment withoutLocation = deployment(1, 1, RULES, WITH_REPORTS, requestClass("p", 1));
    Deployment withLocation =
        new Deployment(
            withoutLocation.dispatcherIndex(),
            withoutLocation.dispatcherCount(),
            withoutLocation.requestClasses(),
            withoutLocation.machineTypes(),
            withoutLocation.quotas(),
            withoutLocation.overQuotaWeight(),
            withoutLocation.rules(),
            withoutLocation.capabilities(),
            new Deployment.DispatcherSite(new LocationId("l1"), true));
    DispatcherDriver driver = new DispatcherDriver(withLocation, 7);
    driver.updateEndpoints(true, up(1), up(2), up(4), up(5));
    for (int i = 0; i < 2; i++) {
      SentAttempt attempt = submitOne(driver);
      assertEquals(
          1,
          attempt.engine().value() % 3,
          "engines 1 and 4 are in location l1: " + attempt.engine());
    }
  }
}
