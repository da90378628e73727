package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;

/** Learns from the outcome of an attempt how its engine and its request class do. */
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

  /** Records an outcome and frees the attempt's threads. */
  void record(Attempt attempt, EngineState engine, AttemptOutcome outcome, Timestamp now) {
    engine.removeAttempt(attempt);
    engines.redraw(engine, now);
    health.decay(now);
    if (outcome.inFlightAtEngine() >= 0) {
      double queued = Math.max(0, outcome.queuedAtEngine());
      health.addLoad(engine, Math.max(0, outcome.inFlightAtEngine() - queued), now);
    }
    TimeSpan latency = now.since(attempt.sentAt());
    health.addStay(attempt.threads(), latency);
    double ratio =
        Math.max(
            1 / PolicyConstants.MAX_RATIO,
            Math.min(PolicyConstants.MAX_RATIO, latency.dividedBy(attempt.expectedLatency())));
    if (ratio > PolicyConstants.NEAR_RATIO && isExcused(attempt, outcome.result())) {
      if (outcome.result() == AttemptResult.COMPLETED) {
        engine.recordCompletion(now);
      }
      return;
    }
    switch (outcome.result()) {
      case COMPLETED -> recordAnswer(attempt, engine, outcome, ratio, now);
      case TIMED_OUT, CANCELLED -> recordCut(attempt, engine, ratio);
      case ERROR, CONNECTION_LOST, UNREACHABLE, CAPACITY_EXCEEDED -> health.addFailure(engine, 1);
      default -> {}
    }
  }

  /** Whether the latency says nothing: the attempt waited for a load, or is only now read. */
  private boolean isExcused(Attempt attempt, AttemptResult result) {
    boolean answered = result == AttemptResult.COMPLETED;
    return answered && health.isCallLate()
        || attempt.isBlocked() && (answered || result == AttemptResult.CANCELLED);
  }

  private void recordAnswer(
      Attempt attempt, EngineState engine, AttemptOutcome outcome, double ratio, Timestamp now) {
    RequestClassStats requestClass = attempt.requestClass();
    engine.recordCompletion(now);
    health.addFailure(engine, 0);
    if (!attempt.request().work().isPositive()) {
      requestClass.learnWork(workUs(attempt, outcome, now));
    }
    if (outcome.memoryUsedMb() > 0
        || settings.reportsMemoryShortfall() && attempt.memoryShortfallMb() == 0) {
      attempt.learnMemoryNeed(outcome.memoryUsedMb());
    }
    health.addSlowness(engine, requestClass, Math.log(ratio));
    if (ratio <= PolicyConstants.NEAR_RATIO) {
      double more = requestClass.threads() / engine.threadLimit();
      engine.increaseBorrowing(requestClass, more);
      requestClass.increaseBorrowing(more / Math.max(1, engines.sorted().size()));
    } else if (ratio > PolicyConstants.SLOW_RATIO) {
      engine.returnBorrowed(attempt);
    }
    requestClass.learnLatency(ratio, health.hasSpareCapacity(), health.pace());
  }

  private static double workUs(Attempt attempt, AttemptOutcome outcome, Timestamp now) {
    return outcome.workDone().isPositive()
        ? outcome.workDone().us()
        : (double) attempt.requestClass().threads() * now.since(attempt.sentAt()).us();
  }

  private void recordCut(Attempt attempt, EngineState engine, double ratio) {
    double slowness = Math.max(engine.slowness(), Math.log(ratio));
    health.addSlowness(engine, attempt.requestClass(), slowness);
    engine.returnBorrowed(attempt);
    // Guards against an engine that hangs: cut attempts free its budget, and it would draw more. A
    // bad plan does not count, where others were answered meanwhile.
    if (ratio > PolicyConstants.SLOW_RATIO && !engine.hasCompletedSince(attempt.sentAt())) {
      health.addFailure(engine, 1);
    }
  }
}
