package cobaltseam.dispatch;

import java.util.TreeSet;

/**
 * Decides how long requests wait and attempts run, and which attempts are cancelled for another to
 * follow.
 */
final class AttemptTimeouts {
  private final EngineHealth health;
  private PolicySettings settings;

  /** Attempts that may be cancelled, by when. */
  private final TreeSet<Attempt> cancellations = new TreeSet<>(Attempt.BY_CANCEL_TIME);

  AttemptTimeouts(EngineHealth health, PolicySettings settings) {
    this.health = health;
    this.settings = settings;
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** From when on a queued request is given up: it could not be answered in time to be of use. */
  Timestamp giveUpAt(TrackedRequest request) {
    Timestamp last = request.request().deadline().minus(settings.deadlineMargin());
    TimeSpan expected = health.expectedLatency(request);
    if (request.isUsefulLate()) {
      Timestamp late = last.minus(expected);
      return late.isBefore(request.acceptedAt()) ? last : late;
    }
    Timestamp inTime = request.targetAt().minus(expected);
    return inTime.isBefore(last) ? inTime : last;
  }

  /** How long an attempt that starts now can be of use; at least the deadline margin. */
  TimeSpan longestUseful(TrackedRequest request, Timestamp now) {
    TimeSpan left = request.request().deadline().minus(settings.deadlineMargin()).since(now);
    if (request.requestClass().definition().latePriorityWeight() == 0) {
      left = left.min(request.targetAt().since(now).times(PolicyConstants.NEAR_RATIO));
    }
    return left.max(settings.deadlineMargin());
  }

  /** The time-out of the attempt in flight, which starts now; plans its cancellation, if any. */
  TimeSpan start(TrackedRequest request, Timestamp now) {
    TimeSpan timeout = timeout(request, now);
    if (!settings.reportsProgress() || !request.canBeReplaced()) {
      return timeout;
    }
    // Without a report due by then, slow work can't be told from a bad plan.
    TimeSpan report = settings.progressInterval().times(PolicyConstants.NEAR_RATIO);
    boolean reportInTime = report.compareTo(request.targetAt().since(now)) < 0;
    Attempt attempt = request.attempt();
    attempt.setCancelAt(now.plus(reportInTime ? timeout.max(report) : timeout));
    cancellations.add(attempt);
    return longestUseful(request, now);
  }

  /**
   * Guards against attempts that stay silent, hang or have a bad plan, where another may follow:
   * those hold threads, and the sooner they go the sooner a better one starts. Harm: a slow but
   * sound attempt is cut and its work lost; hence the pace of its class or engine.
   */
  private TimeSpan timeout(TrackedRequest request, Timestamp now) {
    TimeSpan longest = longestUseful(request, now);
    // Where a time-out stops no work, another attempt only adds its work to the first one's.
    if (!request.canBeReplaced() || !settings.canCancel()) {
      return longest;
    }
    double pace = health.paceOn(request.attemptEngine(), request.requestClass());
    TimeSpan least = request.requestClass().minPatience();
    return request.usualLatency().times(PolicyConstants.PATIENCE * pace).max(least).min(longest);
  }

  /**
   * Plans the cancellation anew by how far an attempt is. Guards against bad plans, and against
   * cutting what is merely slow: it is cancelled at once if all of it would take a multiple of its
   * usual latency at the engine's pace, and else given the time that it still needs. Harm: a rough
   * report that is far too low costs the work done.
   *
   * @param done the part of the work that is done, above 0 and up to 1
   */
  void updateProgress(TrackedRequest request, double done, Timestamp now) {
    TimeSpan spent = now.since(request.attempt().sentAt());
    TimeSpan rest = spent.times((1 - Math.min(1, done)) / done);
    double pace = health.paceOn(request.attemptEngine(), request.requestClass());
    TimeSpan longest = request.usualLatency().times(PolicyConstants.MAX_RATIO * pace);
    boolean bad = spent.plus(rest).compareTo(longest) > 0;
    // Near its end a rough report promises too little rest, and would cut what is almost done.
    TimeSpan patience =
        rest.times(PolicyConstants.PATIENCE).max(spent.times(PolicyConstants.NEAR_RATIO - 1));
    reschedule(request.attempt(), bad ? now : now.plus(patience));
  }

  void cancelNow(Attempt attempt, Timestamp now) {
    reschedule(attempt, now);
  }

  private void reschedule(Attempt attempt, Timestamp when) {
    if (attempt.cancelAt() != null && cancellations.remove(attempt)) {
      attempt.setCancelAt(when);
      cancellations.add(attempt);
    }
  }

  /** Lets an attempt run to its time-out, or forgets one that has ended. */
  void remove(Attempt attempt) {
    if (attempt.cancelAt() != null) {
      cancellations.remove(attempt);
    }
  }

  /** Where the new settings allow no cancellation, lets an attempt run to its time-out. */
  void keepToSettings(Attempt attempt) {
    boolean isScheduled = attempt.cancelAt() != null;
    if (!settings.canCancel() && isScheduled && cancellations.remove(attempt)) {
      attempt.setCancelAt(null);
    }
  }

  /** The next attempt to cancel, or null. */
  Attempt next() {
    return cancellations.isEmpty() ? null : cancellations.first();
  }
}
