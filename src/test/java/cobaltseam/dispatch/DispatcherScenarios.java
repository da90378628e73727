package cobaltseam.dispatch;

import static cobaltseam.dispatch.DispatcherDriver.CAPABILITIES;
import static cobaltseam.dispatch.DispatcherDriver.RULES;
import static cobaltseam.dispatch.DispatcherDriver.TICK;
import static cobaltseam.dispatch.DispatcherDriver.deployment;
import static cobaltseam.dispatch.DispatcherDriver.requestClass;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.DispatcherDriver.SentAttempt;
import java.util.List;
import java.util.stream.LongStream;

/** Drivers, deployments and request sequences that several tests share. */
final class DispatcherScenarios {
  static final long WORK_US = 100_000;

  static final Capabilities NO_CANCEL =
      new Capabilities(TICK, 5, false, false, false, TimeSpan.ZERO, new TimeSpan(2_000_000));

  static final Capabilities WITH_REPORTS =
      new Capabilities(
          TICK, 5, true, true, true, new TimeSpan(500_000), new TimeSpan(1_000_000), true);

  private DispatcherScenarios() {}

  /**
   * Creates a driver with the classes "p", which uses one thread, and "wide", which uses {@code
   * threads} of them.
   */
  static DispatcherDriver newDriver(
      int dispatcherIndex, int dispatchers, int threads, long... engines) {
    RequestClass narrow = requestClass("p", 1);
    RequestClass wide = requestClass("wide", threads);
    return newDriver(
        deployment(dispatcherIndex, dispatchers, RULES, CAPABILITIES, narrow, wide), engines);
  }

  /** Creates a driver with the class "p", which uses one thread. */
  static DispatcherDriver newDriver(Capabilities capabilities, int dispatchers, long... engines) {
    return newDriver(
        deployment(0, dispatchers, RULES, capabilities, requestClass("p", 1)), engines);
  }

  private static DispatcherDriver newDriver(Deployment deployment, long... engines) {
    DispatcherDriver driver = new DispatcherDriver(deployment, 7);
    driver.updateEndpoints(
        true, LongStream.of(engines).mapToObj(DispatcherDriver::up).toArray(EndpointStatus[]::new));
    return driver;
  }

  /** Returns the engines of all attempts so far, in order. */
  static List<Long> attemptedEngines(DispatcherDriver driver) {
    return driver.attempts.stream().map(s -> s.engine().value()).toList();
  }

  /** Submits requests one after another and answers each after a latency in microseconds. */
  static void answerRequests(DispatcherDriver driver, int count, long latency) {
    for (int i = 0; i < count; i++) {
      driver.submit("p", WORK_US);
      driver.advance(new TimeSpan(latency));
      List.copyOf(driver.inFlight.values())
          .forEach(attempt -> driver.complete(attempt, AttemptResult.COMPLETED, true));
    }
  }

  /** Submits eighteen requests at once. */
  static void submitBurst(DispatcherDriver driver) {
    for (int i = 0; i < 18; i++) {
      driver.submit("p", WORK_US);
    }
  }

  /** Submits a request and returns the latest attempt. */
  static SentAttempt submitOne(DispatcherDriver driver) {
    driver.submit("p", WORK_US);
    return driver.attempts.get(driver.attempts.size() - 1);
  }

  /** Creates a deployment with a single dispatcher. */
  static Deployment singleDispatcher(
      Rules rules, Capabilities capabilities, RequestClass... requestClasses) {
    return deployment(0, 1, rules, capabilities, requestClasses);
  }

  /** Creates capabilities with cancellation and retry delays, but without progress reports. */
  static Capabilities withMaxAttempts(int maxAttempts) {
    return new Capabilities(
        TICK, maxAttempts, true, false, true, new TimeSpan(500_000), TimeSpan.ZERO);
  }

  /** Creates rules with a retry budget over ten seconds, and no rest of sequence keys. */
  static Rules withRetryBudget(double freeRetries, double retryRatio) {
    return new Rules(
        0.3,
        new TimeSpan(15_000_000),
        2,
        new TimeSpan(3_000_000),
        TimeSpan.ZERO,
        freeRetries,
        retryRatio,
        new TimeSpan(10_000_000));
  }

  /** Creates a driver and submits a number of requests of the class "p". */
  static DispatcherDriver newBusyDriver(
      Deployment deployment, int requests, EndpointStatus... engines) {
    DispatcherDriver driver = new DispatcherDriver(deployment, 7);
    driver.updateEndpoints(true, engines);
    for (int i = 0; i < requests; i++) {
      driver.submit("p", WORK_US);
    }
    return driver;
  }

  /** Applies changed settings and follows the next steps. */
  static void applySettings(DispatcherDriver driver, Deployment deployment) {
    driver.dispatcher.applySettings(deployment, driver.now);
    driver.followNextSteps();
  }
}
