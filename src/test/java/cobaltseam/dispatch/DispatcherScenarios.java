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

/** Drivers, deployments and exchanges that several tests share. */
final class DispatcherScenarios {
  static final long WORK_US = 100_000;

  static final Capabilities NO_CANCEL =
      new Capabilities(TICK, 5, false, false, false, TimeSpan.ZERO, new TimeSpan(2_000_000));

  static final Capabilities WITH_REPORTS =
      new Capabilities(
          TICK, 5, true, true, true, new TimeSpan(500_000), new TimeSpan(1_000_000), true);

  private DispatcherScenarios() {}

  /** A driver with the classes "p" on one thread and "wide" on a number of them. */
  static DispatcherDriver newDriver(
      int dispatcherIndex, int dispatchers, int threads, long... engines) {
    RequestClass narrow = requestClass("p", 1);
    RequestClass wide = requestClass("wide", threads);
    return newDriver(
        deployment(dispatcherIndex, dispatchers, RULES, CAPABILITIES, narrow, wide), engines);
  }

  /** A driver with the class "p" on one thread. */
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

  /** The engines of all attempts so far, in order. */
  static List<Long> attemptedEngines(DispatcherDriver driver) {
    return driver.attempts.stream().map(s -> s.engine().value()).toList();
  }

  /** Submits requests one after another, each answered after a latency. */
  static void answerRequests(DispatcherDriver driver, int times, long latency) {
    for (int i = 0; i < times; i++) {
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

  /** Submits a request and returns the last attempt made. */
  static SentAttempt submitOne(DispatcherDriver driver) {
    driver.submit("p", WORK_US);
    return driver.attempts.get(driver.attempts.size() - 1);
  }

  /** A deployment with one dispatcher. */
  static Deployment soleDispatcher(
      Rules rules, Capabilities capabilities, RequestClass... requestClasses) {
    return deployment(0, 1, rules, capabilities, requestClasses);
  }

  /** Capabilities with cancellation and retry delays, but without reports. */
  static Capabilities withMaxAttempts(int maxAttempts) {
    return new Capabilities(
        TICK, maxAttempts, true, false, true, new TimeSpan(500_000), TimeSpan.ZERO);
  }

  /** Rules with a retry budget over ten seconds, and keys that need no rest. */
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

  /** A driver that has submitted a number of requests of the class "p". */
  static DispatcherDriver newBusyDriver(
      Deployment deployment, int requests, EndpointStatus... engines) {
    DispatcherDriver driver = new DispatcherDriver(deployment, 7);
    driver.updateEndpoints(true, engines);
    for (int i = 0; i < requests; i++) {
      driver.submit("p", WORK_US);
    }
    return driver;
  }

  /** Applies other settings and does what follows from them. */
  static void applySettings(DispatcherDriver driver, Deployment deployment) {
    driver.dispatcher.applySettings(deployment, driver.now);
    driver.followNextSteps();
  }
}
