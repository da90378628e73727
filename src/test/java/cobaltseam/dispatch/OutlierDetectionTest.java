package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.up;
import static cobaltseam.dispatch.DispatcherScenarios.WORK_US;
import static cobaltseam.dispatch.DispatcherScenarios.answerRequests;
import static cobaltseam.dispatch.DispatcherScenarios.attemptedEngines;
import static cobaltseam.dispatch.DispatcherScenarios.newDriver;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Engines that fail, hang or do not respond lose traffic. */
class OutlierDetectionTest {
  @Test
  void engineThatFailsFastDoesNotAttractRequests() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6);
    for (int i = 0; i < 300; i++) {
      driver.submit("p", WORK_US);
      List.copyOf(driver.inFlight.values()).stream()
          .filter(attempt -> attempt.engine().value() == 4)
          .forEach(attempt -> driver.complete(attempt, AttemptResult.ERROR, false));
      driver.advance(new TimeSpan(WORK_US));
      List.copyOf(driver.inFlight.values())
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    }
    assertTrue(
        attemptedEngines(driver).stream().filter(engine -> engine == 4).count() < 60,
        "less than a fifth of all requests");
  }

  @Test
  void unresponsiveEngineReceivesNoFurtherRequests() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6);
    answerRequests(driver, 30, WORK_US);
    for (int i = 0; i < 100; i++) {
      driver.submit("p", WORK_US);
      driver.advance(new TimeSpan(WORK_US));
      List.copyOf(driver.inFlight.values()).stream()
          .filter(attempt -> attempt.engine().value() != 4)
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    }
    assertTrue(
        driver.inFlight.values().stream().filter(attempt -> attempt.engine().value() == 4).count()
            <= 8);
    assertTrue(attemptedEngines(driver).stream().skip(60).noneMatch(engine -> engine == 4));
  }

  @Test
  void hangingEngineReceivesFewRequestsWhileItsAttemptsTimeOut() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6);
    answerRequests(driver, 30, WORK_US);
    int attemptsBefore = driver.attempts.size();
    for (int i = 0; i < 300; i++) {
      driver.submit("p", WORK_US);
      driver.advance(new TimeSpan(WORK_US));
      List.copyOf(driver.inFlight.values())
          .forEach(
              attempt -> {
                boolean hangs = attempt.engine().value() == 4;
                if (!hangs || driver.now.since(attempt.sentAt()).us() > 3 * WORK_US) {
                  driver.complete(
                      attempt, hangs ? AttemptResult.TIMED_OUT : AttemptResult.COMPLETED, !hangs);
                }
              });
    }
    long attemptsOnEngine =
        attemptedEngines(driver).stream()
            .skip(attemptsBefore)
            .filter(engine -> engine == 4)
            .count();
    assertTrue(
        attemptsOnEngine < 50,
        "a hanging engine receives less than a sixth of all requests: " + attemptsOnEngine);
  }

  @Test
  void engineWithoutAnswersIsAssumedToBeLikeAllOthers() {
    DispatcherDriver driver = newDriver(0, 2, 1, 4, 5, 6, 8);
    answerRequests(driver, 30, WORK_US);
    answerRequests(driver, 30, 2 * WORK_US);
    driver.updateEndpoints(false, up(9));
    int attemptsBefore = driver.attempts.size();
    for (int i = 0; i < 100; i++) {
      driver.submit("p", WORK_US);
    }
    long attemptsOnEngine =
        attemptedEngines(driver).stream()
            .skip(attemptsBefore)
            .filter(engine -> engine == 9)
            .count();
    assertTrue(
        attemptsOnEngine >= 1 && attemptsOnEngine < 8,
        "engine 9 is used, but less than its even share of eight threads: " + attemptsOnEngine);
  }
}
