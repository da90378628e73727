package cobaltseam.dispatch;

import java.util.Arrays;

/**
 * Estimates over all engines: latency, failures and load. Assesses each engine against them, which
 * ejects outliers by shrinking their share.
 */
final class EngineHealth {
  /** Shortest latency objectives after which an estimate has lost half of its weight. */
  private static final double HALF_LIFE_OBJECTIVES = 4;

  private final EngineTable engines;
  private final RequestClassTable requestClasses;
  private PolicySettings settings;

  private Timestamp refreshedAt;
  private Timestamp decayedAt;

  /** When the caller was asked to call again. */
  private Timestamp nextCallDue;

  private boolean callLate;

  private final DecayingAverage slownessSamples = new DecayingAverage();
  private final DecayingAverage failureSamples = new DecayingAverage();

  /** Requests in flight per core, as engines report them. */
  private final DecayingAverage loadSamples = new DecayingAverage();

  private double pace = 1;
  private double utilization = PolicyConstants.MAX_RATIO;

  /** Threads of a request and its stay on its engine, both weighted by time spent there. */
  private double meanThreads = 1;

  private TimeSpan meanStay;

  EngineHealth(EngineTable engines, RequestClassTable requestClasses, PolicySettings settings) {
    this.engines = engines;
    this.requestClasses = requestClasses;
    this.settings = settings;
    meanStay = settings.shortestObjective();
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** How many times their usual latency the answers of the middle engine take; at least 1. */
  double pace() {
    return pace;
  }

  /** The pace of one class: wide requests may wait long while narrow ones are quick. */
  double pace(RequestClassStats requestClass) {
    return Math.exp(Math.max(0, requestClass.meanSlowness(Math.log(pace))));
  }

  /** The latency to expect of a request at the present pace. */
  TimeSpan expectedLatency(TrackedRequest request) {
    return request.usualLatency().times(pace(request.requestClass()));
  }

  /** The pace of one class on one engine: that of the slower of the two. */
  double paceOn(EngineState engine, RequestClassStats requestClass) {
    return Math.max(pace(requestClass), Math.exp(engine.slowness()));
  }

  /** Threads in use on all engines over their limit, as reported; above 1 if nothing is. */
  double utilization() {
    return utilization;
  }

  /** Whether engines report capacity to spare, and few attempts fail. */
  boolean hasSpareCapacity() {
    return utilization <= 1 / PolicyConstants.NEAR_RATIO
        && failureSamples.mean(0) <= PolicyConstants.SAMPLE_WEIGHT;
  }

  boolean hasLoadReports() {
    return !loadSamples.isEmpty();
  }

  /**
   * Whether an engine has this many threads to spare, by the requests that it last reported in
   * flight. Guards against all dispatchers borrowing the same capacity; true if nothing is
   * reported.
   */
  boolean hasThreadsToSpare(EngineState engine, double threads, Timestamp now) {
    if (loadSamples.isEmpty()) {
      return true;
    }
    double inFlight =
        engine.estimatedInFlight(loadSamples.mean(), settings.shortestObjective(), now);
    double others = Math.max(0, inFlight - engine.attempts().size()) * meanThreads;
    return engine.threadsInUse() + others + threads <= engine.usableThreads(now);
  }

  /** Whether this call came so late that what it brings may have happened at any time before. */
  boolean isCallLate() {
    return callLate;
  }

  void expectCallBy(Timestamp due) {
    nextCallDue = due;
  }

  // ---- samples

  void addLoad(EngineState engine, double inFlight, Timestamp at) {
    engine.recordLoad(inFlight, at);
    loadSamples.add(inFlight / engine.cores(), PolicyConstants.SAMPLE_WEIGHT);
  }

  void addSlowness(EngineState engine, RequestClassStats requestClass, double logRatio) {
    engine.addSlowness(logRatio);
    requestClass.addSlowness(logRatio);
    slownessSamples.add(
        Math.min(logRatio, Math.log(PolicyConstants.SLOW_RATIO)), PolicyConstants.SAMPLE_WEIGHT);
  }

  /** A sample is 1 for a failed attempt and 0 for an answer. */
  void addFailure(EngineState engine, double sample) {
    engine.addFailure(sample);
    failureSamples.add(sample, PolicyConstants.SAMPLE_WEIGHT);
  }

  void addStay(double threads, TimeSpan stay) {
    double weight =
        Math.min(1, stay.dividedBy(settings.shortestObjective())) * PolicyConstants.SAMPLE_WEIGHT;
    meanThreads += (threads - meanThreads) * weight;
    meanStay = meanStay.plus(stay.minus(meanStay).times(weight));
  }

  // ---- what changes with time

  /** Lets the next refresh assess the engines anew, even at the same time. */
  void invalidate() {
    refreshedAt = null;
  }

  /** Lets all estimates lose weight by the time since the last call. */
  void decay(Timestamp now) {
    if (now.equals(decayedAt)) {
      return;
    }
    // Guards against a dispatcher that was paused.
    callLate =
        nextCallDue != null && now.since(nextCallDue).compareTo(settings.refreshInterval()) > 0;
    double objectives =
        decayedAt == null ? 0 : now.since(decayedAt).dividedBy(settings.shortestObjective());
    double keep = Math.pow(0.5, objectives / HALF_LIFE_OBJECTIVES);
    decayedAt = now;
    slownessSamples.decay(keep);
    failureSamples.decay(keep);
    loadSamples.decay(keep);
    for (RequestClassStats each : requestClasses.all()) {
      TimeSpan objective = each.definition().latencyObjective();
      each.decaySlowness(Math.pow(keep, settings.shortestObjective().dividedBy(objective)));
    }
    engines.sorted().forEach(e -> e.decayHealthSamples(keep));
  }

  /** Brings the assessment of each engine, the pace and the random draws up to date. */
  void refresh(Timestamp now) {
    if (now.equals(refreshedAt)) {
      return;
    }
    refreshedAt = now;
    decay(now);
    double allSlowness = slownessSamples.mean(0);
    double allFailures = failureSamples.mean(0);
    updateUtilization(allFailures);
    TimeSpan renewal = drawInterval();
    double[] slowness = new double[engines.sorted().size()];
    for (int i = 0; i < slowness.length; i++) {
      EngineState engine = engines.sorted().get(i);
      returnBorrowedOfOverdue(engine, now);
      engine.assess(allSlowness, allFailures, pace);
      slowness[i] = engine.slowness();
      if (engine.warmup().sinceDraw(now).compareTo(renewal) >= 0) {
        engines.redraw(engine, now);
      }
    }
    Arrays.sort(slowness);
    pace = slowness.length == 0 ? 1 : Math.exp(Math.max(0, slowness[(slowness.length - 1) / 2]));
  }

  private void updateUtilization(double allFailures) {
    utilization =
        loadSamples.isEmpty()
            ? PolicyConstants.MAX_RATIO
            : loadSamples.mean() * meanThreads / PolicyConstants.THREADS_PER_CORE;
    // Reports come with answers alone: engines that fail or stay silent report no spare capacity.
    utilization += Math.max(0, 1 - utilization) * allFailures;
  }

  /**
   * Draws are renewed soon, or, away from usual load, once in the stay of an attempt: the threads
   * in use then match the share in the mean. Guards against hundreds of dispatchers that fill the
   * engines by chance.
   */
  private TimeSpan drawInterval() {
    boolean slow = pace > PolicyConstants.NEAR_RATIO && utilization > PolicyConstants.MIN_SHARE;
    boolean full = hasLoadReports() && utilization > 1 / PolicyConstants.NEAR_RATIO;
    return slow || full ? meanStay : meanStay.min(settings.refreshInterval());
  }

  private void returnBorrowedOfOverdue(EngineState engine, Timestamp now) {
    if (callLate) {
      return;
    }
    for (Attempt attempt : engine.attempts()) {
      double ratio = now.since(attempt.sentAt()).dividedBy(attempt.expectedLatency());
      if (ratio > PolicyConstants.SLOW_RATIO) {
        engine.returnBorrowed(attempt);
      }
    }
  }
}
