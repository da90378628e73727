package cobaltseam.dispatch;

import java.util.TreeSet;

/**
 * Determines how long requests wait and attempts run, and which attempts are cancelled so that
 * another one can follow.
 */
final class AttemptTimeouts {
  private final EngineHealth health;
  private PolicySettings settings;

  /** Attempts that may be cancelled, ordered by cancellation time. */
  private final TreeSet<Attempt> cancellations = new TreeSet<>(Attempt.BY_CANCEL_TIME);

  AttemptTimeouts(EngineHealth health, PolicySettings settings) {
    this.health = health;
    this.settings = settings;
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /**
   * Returns the time from which a queued request is given up, as an answer would arrive too late to
   * be of use.
   */
  Timestamp giveUpAt(TrackedRequest request) {
    Timestamp latest = request.request().deadline().minus(settings.deadlineMargin());
    TimeSpan expected = health.expectedLatency(request);
    if (request.isUsefulLate()) {
      Timestamp startLimit = latest.minus(expected);
      return startLimit.isBefore(request.acceptedAt()) ? latest : startLimit;
    }
    Timestamp startLimitForObjective = request.objectiveDueAt().minus(expected);
    return startLimitForObjective.isBefore(latest) ? startLimitForObjective : latest;
  }

  /** Returns how long an attempt that starts now can be of use; at least the deadline margin. */
  TimeSpan maxUsefulDuration(TrackedRequest request, Timestamp now) {
    TimeSpan remaining = request.request().deadline().minus(settings.deadlineMargin()).since(now);
    if (request.requestClass().definition().latePriorityWeight() == 0) {
      remaining =
          remaining.min(
              request.objectiveDueAt().since(now).times(PolicyConstants.TOLERANCE_FACTOR));
    }
    return remaining.max(settings.deadlineMargin());
  }

  /**
   * Returns the timeout of the attempt in flight, which starts now, and schedules its cancellation
   * where the settings allow one.
   */
  TimeSpan start(TrackedRequest request, Timestamp now) {
    TimeSpan timeout = timeout(request, now);
    if (!settings.reportsProgress() || !request.allowsReplacementAttempt()) {
      return timeout;
    }
    // Without a progress report by then, slow work is indistinguishable from a bad query plan.
    TimeSpan reportDelay = settings.progressInterval().times(PolicyConstants.TOLERANCE_FACTOR);
    boolean isReportInTime = reportDelay.compareTo(request.objectiveDueAt().since(now)) < 0;
    Attempt attempt = request.attempt();
    attempt.setCancelAt(now.plus(isReportInTime ? timeout.max(reportDelay) : timeout));
    cancellations.add(attempt);
    return maxUsefulDuration(request, now);
  }

  /**
   * Returns how long an attempt may run before another one may replace it. The timeout ends
   * attempts that never answer, hang or have a bad query plan: these hold threads, and the sooner
   * they end, the sooner a better one starts. The disadvantage: a slow but sound attempt may be
   * ended and its work lost. For this reason the timeout is proportional to the latency ratio of
   * the class or the engine.
   */
  private TimeSpan timeout(TrackedRequest request, Timestamp now) {
    TimeSpan longest = maxUsefulDuration(request, now);
    // Where a timeout does not end the work on the engine, another attempt would only add to it.
    if (!request.allowsReplacementAttempt() || !settings.canCancel()) {
      return longest;
    }
    double latencyRatio = health.latencyRatioOn(request.attemptEngine(), request.requestClass());
    TimeSpan shortest = request.requestClass().minTimeout();
    return request
        .baselineLatency()
        .times(PolicyConstants.ATTEMPT_TIMEOUT_FACTOR * latencyRatio)
        .max(shortest)
        .min(longest);
  }

  /**
   * Reschedules the cancellation according to a progress report, in order to end attempts with a
   * bad query plan and keep those that are merely slow. An attempt is cancelled at once if its
   * projected total duration exceeds a multiple of its baseline latency at the current latency
   * ratio of the class or engine. Otherwise it is given the time that it still needs. The
   * disadvantage: an inaccurate report that is far too low costs the work done.
   *
   * @param done the fraction of the work that is done, above 0 and up to 1
   */
  void updateProgress(TrackedRequest request, double done, Timestamp now) {
    TimeSpan elapsed = now.since(request.attempt().sentAt());
    TimeSpan remaining = elapsed.times((1 - Math.min(1, done)) / done);
    double latencyRatio = health.latencyRatioOn(request.attemptEngine(), request.requestClass());
    TimeSpan longest =
        request.baselineLatency().times(PolicyConstants.MAX_OBSERVATION_RATIO * latencyRatio);
    boolean hasBadPlan = elapsed.plus(remaining).compareTo(longest) > 0;
    // Near the end, an inaccurate report leaves too little time and would end an almost complete
    // attempt.
    TimeSpan extension =
        remaining
            .times(PolicyConstants.ATTEMPT_TIMEOUT_FACTOR)
            .max(elapsed.times(PolicyConstants.TOLERANCE_FACTOR - 1));
    reschedule(request.attempt(), hasBadPlan ? now : now.plus(extension));
  }

  void cancelImmediately(Attempt attempt, Timestamp now) {
    reschedule(attempt, now);
  }

  private void reschedule(Attempt attempt, Timestamp newCancelAt) {
    if (attempt.cancelAt() != null && cancellations.remove(attempt)) {
      attempt.setCancelAt(newCancelAt);
      cancellations.add(attempt);
    }
  }

  /** Unschedules the cancellation of an attempt that has ended or may run until its timeout. */
  void unschedule(Attempt attempt) {
    if (attempt.cancelAt() != null) {
      cancellations.remove(attempt);
    }
  }

  /**
   * Unschedules the cancellation of an attempt if the changed settings do not allow cancellation.
   */
  void applyCancellationSetting(Attempt attempt) {
    boolean isScheduled = attempt.cancelAt() != null;
    if (!settings.canCancel() && isScheduled && cancellations.remove(attempt)) {
      attempt.setCancelAt(null);
    }
  }

  /** Returns the next attempt to cancel, or null. */
  Attempt nextCancellation() {
    return cancellations.isEmpty() ? null : cancellations.first();
  }
}
