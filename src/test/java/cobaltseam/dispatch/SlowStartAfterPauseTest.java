package cobaltseam.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Slow start of an engine, when the dispatchers sent no request for a while. */
class SlowStartAfterPauseTest {
  private static final int CORES = 8;
  private static final long ENGINE = 1;
  private static final TimeSpan WORK = new TimeSpan(100_000);
  private static final TimeSpan FLOOD_DURATION = new TimeSpan(4_000_000);
  private static final TimeSpan REQUEST_INTERVAL = new TimeSpan(10_000);

  /**
   * Guards against allowance that accumulates while no request is sent: all dispatchers would spend
   * it at once and overload the engine.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 2, true", "1, 10, true", "1, 10, false",
    "3, 2, true", "3, 10, true", "3, 10, false",
    "24, 2, true", "24, 10, true", "24, 10, false"
  })
  void allDispatchersTogetherKeepToSlowStartAfterPause(
      int dispatchers, double pauseS, boolean isSuspended) {
    TimeSpan pause = new TimeSpan((long) (pauseS * PolicyConstants.MICROS_PER_SECOND));
    List<SentAttempt> attempts = new ArrayList<>();
    Timestamp startedAt = null;
    for (int index = 0; index < dispatchers; index++) {
      DispatcherDriver driver = newDriver(index, dispatchers);
      startedAt = driver.now;
      if (isSuspended) {
        driver.now = driver.now.plus(pause);
      } else {
        driver.advance(pause);
      }
      flood(driver);
      attempts.addAll(driver.attempts);
    }
    assertTrue(attempts.size() > dispatchers, "the engine receives attempts: " + attempts.size());
    assertKeepsToSlowStart(attempts, startedAt);
  }

  private static DispatcherDriver newDriver(int index, int dispatchers) {
    DispatcherDriver driver =
        new DispatcherDriver(
            DispatcherDriver.deployment(
                index,
                dispatchers,
                DispatcherDriver.RULES,
                DispatcherDriver.CAPABILITIES,
                DispatcherDriver.requestClass("p", 1)),
            index);
    driver.updateEndpoints(
        true, DispatcherDriver.status(ENGINE, EndpointState.UP, driver.now.us()));
    return driver;
  }

  /** Submits more requests than the engine may be sent; an attempt takes as long as its work. */
  private static void flood(DispatcherDriver driver) {
    Timestamp until = driver.now.plus(FLOOD_DURATION);
    while (driver.now.isBefore(until)) {
      driver.submit("p", WORK.us());
      for (SentAttempt attempt : List.copyOf(driver.inFlight.values())) {
        if (!driver.now.isBefore(attempt.sentAt().plus(WORK))) {
          driver.complete(attempt, AttemptResult.COMPLETED, true);
        }
      }
      driver.advance(REQUEST_INTERVAL);
    }
  }

  private static void assertKeepsToSlowStart(List<SentAttempt> attempts, Timestamp startedAt) {
    TimeSpan window = DispatcherDriver.RULES.slowStartWindow();
    for (SentAttempt first : attempts) {
      Timestamp until = first.sentAt().plus(window);
      long sent =
          attempts.stream()
              .filter(a -> !a.sentAt().isBefore(first.sentAt()) && a.sentAt().isBefore(until))
              .count();
      double maxAttempts = maxAttemptsInWindow(first.sentAt().since(startedAt));
      assertTrue(
          sent <= maxAttempts,
          sent
              + " attempts in a window of "
              + window
              + ", at most "
              + maxAttempts
              + " are allowed");
    }
  }

  /**
   * Returns the attempts that the engine may be sent in a window which begins this long after its
   * start, plus a tolerance for random variation.
   */
  private static double maxAttemptsInWindow(TimeSpan sinceStart) {
    Rules rules = DispatcherDriver.RULES;
    TimeSpan middle = sinceStart.plus(rules.slowStartWindow().times(0.5));
    double progress = Math.min(1, middle.dividedBy(rules.slowStartDuration()));
    double capacity = rules.slowStartFraction() + (1 - rules.slowStartFraction()) * progress;
    double windowsOfWork = rules.slowStartWindow().dividedBy(WORK);
    double allowed = rules.slowStartLimitFactor() * CORES * capacity * windowsOfWork;
    return allowed + 2 * Math.sqrt(allowed) + 2;
  }
}
