package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;

/** Updates the estimates of an engine and a request class from the outcome of an attempt. */
final class OutcomeRecorder {
  private final EngineTable engines;
  private final EngineHealth health;
  private PolicySettings settings;

  OutcomeRecorder(EngineTable engines, EngineHealth health, PolicySettings settings) {
    this.engines = engines;
    this.health = health;
    this.settings = settings;
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** Records an outcome and releases the attempt's threads. */
  void record(Attempt attempt, EngineState engine, AttemptOutcome outcome, Timestamp now) {
    engine.removeAttempt(attempt);
    engines.resample(engine, now);
    health.decay(now);
    if (outcome.inFlightAtEngine() >= 0) {
      double queued = Math.max(0, outcome.queuedAtEngine());
      health.addLoad(engine, Math.max(0, outcome.inFlightAtEngine() - queued), now);
    }
    TimeSpan latency = now.since(attempt.sentAt());
    health.addResidenceTime(attempt.threads(), latency);
    double latencyRatio =
        Math.max(
            1 / PolicyConstants.MAX_OBSERVATION_RATIO,
            Math.min(
                PolicyConstants.MAX_OBSERVATION_RATIO,
                latency.dividedBy(attempt.baselineLatency())));
    if (latencyRatio > PolicyConstants.TOLERANCE_FACTOR
        && isLatencyUnrepresentative(attempt, outcome.result())) {
      if (outcome.result() == AttemptResult.COMPLETED) {
        engine.recordCompletion(now);
      }
      return;
    }
    switch (outcome.result()) {
      case COMPLETED -> recordAnswer(attempt, engine, outcome, latencyRatio, now);
      case TIMED_OUT, CANCELLED -> recordEndedEarly(attempt, engine, latencyRatio);
      case ERROR, CONNECTION_LOST, UNREACHABLE, CAPACITY_EXCEEDED -> health.addFailure(engine, 1);
      default -> {}
    }
  }

  /**
   * Returns whether the latency says nothing about the engine: the attempt waited for a load, or
   * its answer was read late.
   */
  private boolean isLatencyUnrepresentative(Attempt attempt, AttemptResult result) {
    boolean isAnswered = result == AttemptResult.COMPLETED;
    return isAnswered && health.isCallOverdue()
        || attempt.isBlocked() && (isAnswered || result == AttemptResult.CANCELLED);
  }

  private void recordAnswer(
      Attempt attempt,
      EngineState engine,
      AttemptOutcome outcome,
      double latencyRatio,
      Timestamp now) {
    RequestClassStats requestClass = attempt.requestClass();
    engine.recordCompletion(now);
    health.addFailure(engine, 0);
    if (!attempt.request().work().isPositive()) {
      requestClass.updateWork(workUs(attempt, outcome, now));
    }
    if (outcome.memoryUsedMb() > 0
        || settings.reportsMemoryShortfall() && attempt.memoryShortfallMb() == 0) {
      attempt.updateMemoryNeed(outcome.memoryUsedMb());
    }
    health.addLatencySample(engine, requestClass, Math.log(latencyRatio));
    if (latencyRatio <= PolicyConstants.TOLERANCE_FACTOR) {
      double borrowingIncrease = requestClass.threads() / engine.threadLimit();
      engine.increaseBorrowing(requestClass, borrowingIncrease);
      requestClass.increaseBorrowing(borrowingIncrease / Math.max(1, engines.sortedById().size()));
    } else if (latencyRatio > PolicyConstants.SLOW_LATENCY_RATIO) {
      engine.reduceBorrowing(attempt);
    }
    requestClass.updateLatency(
        latencyRatio, health.hasSpareCapacity(), health.medianLatencyRatio());
  }

  private static double workUs(Attempt attempt, AttemptOutcome outcome, Timestamp now) {
    return outcome.workDone().isPositive()
        ? outcome.workDone().us()
        : (double) attempt.requestClass().threads() * now.since(attempt.sentAt()).us();
  }

  private void recordEndedEarly(Attempt attempt, EngineState engine, double latencyRatio) {
    double logLatencyRatio = Math.max(engine.logLatencyRatio(), Math.log(latencyRatio));
    health.addLatencySample(engine, attempt.requestClass(), logLatencyRatio);
    engine.reduceBorrowing(attempt);
    // Detects an engine that hangs: its ended attempts free its budget, which would attract further
    // requests. A bad query plan does not count as a failure if other attempts were answered
    // meanwhile.
    if (latencyRatio > PolicyConstants.SLOW_LATENCY_RATIO
        && !engine.hasCompletedSince(attempt.sentAt())) {
      health.addFailure(engine, 1);
    }
  }
}
