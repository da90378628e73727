package cobaltseam.dispatch;

import java.util.Arrays;

/**
 * Estimates latency, failures and load over all engines, and assesses each engine against these
 * estimates: an outlier gets a smaller share, down to almost no traffic.
 */
final class EngineHealth {
  /** The half-life of all estimates, in multiples of the shortest latency objective. */
  private static final double HALF_LIFE_OBJECTIVES = 4;

  private final EngineTable engines;
  private final RequestClassTable requestClasses;
  private PolicySettings settings;

  private Timestamp refreshedAt;
  private Timestamp decayedAt;

  /** The time by which the caller was asked to call again. */
  private Timestamp nextCallDue;

  private boolean isCallOverdue;

  private final DecayingAverage latencySamples = new DecayingAverage();
  private final DecayingAverage failureSamples = new DecayingAverage();

  /** Samples of the requests in flight per core, as engines report them. */
  private final DecayingAverage loadSamples = new DecayingAverage();

  private double medianLatencyRatio = 1;
  private double utilization = PolicyConstants.MAX_OBSERVATION_RATIO;

  /**
   * Mean thread count and residence time of an attempt on its engine, both weighted by residence
   * time.
   */
  private double meanThreads = 1;

  private TimeSpan meanResidenceTime;

  EngineHealth(EngineTable engines, RequestClassTable requestClasses, PolicySettings settings) {
    this.engines = engines;
    this.requestClasses = requestClasses;
    this.settings = settings;
    meanResidenceTime = settings.shortestObjective();
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** Returns the ratio of current to baseline latency on the median engine; at least 1. */
  double medianLatencyRatio() {
    return medianLatencyRatio;
  }

  /**
   * Returns the latency ratio of one class; at least 1. Classes differ, since requests that need
   * many threads may wait long while those that need few are answered quickly.
   */
  double latencyRatio(RequestClassStats requestClass) {
    return Math.exp(Math.max(0, requestClass.meanLogLatencyRatio(Math.log(medianLatencyRatio))));
  }

  /** Returns the expected latency of a request at the current latency ratio of its class. */
  TimeSpan expectedLatency(TrackedRequest request) {
    return request.baselineLatency().times(latencyRatio(request.requestClass()));
  }

  /** Returns the latency ratio of a class or of an engine, whichever is higher. */
  double latencyRatioOn(EngineState engine, RequestClassStats requestClass) {
    return Math.max(latencyRatio(requestClass), Math.exp(engine.logLatencyRatio()));
  }

  /**
   * Returns the ratio of threads in use to the thread limit over all engines, as reported; above 1
   * if no engine reports load.
   */
  double utilization() {
    return utilization;
  }

  /** Returns whether engines report spare capacity and few attempts fail. */
  boolean hasSpareCapacity() {
    return utilization <= 1 / PolicyConstants.TOLERANCE_FACTOR
        && failureSamples.mean(0) <= PolicyConstants.SMOOTHING_FACTOR;
  }

  boolean hasLoadReports() {
    return !loadSamples.isEmpty();
  }

  /**
   * Returns whether an engine has this many spare threads, according to the requests that it last
   * reported in flight. This keeps all dispatchers from borrowing the same capacity. Returns true
   * if no engine reports load.
   */
  boolean hasSpareThreads(EngineState engine, double threads, Timestamp now) {
    if (loadSamples.isEmpty()) {
      return true;
    }
    double inFlight =
        engine.estimatedInFlight(loadSamples.mean(), settings.shortestObjective(), now);
    double otherThreads = Math.max(0, inFlight - engine.attempts().size()) * meanThreads;
    return engine.threadsInUse() + otherThreads + threads <= engine.usableThreads(now);
  }

  /**
   * Returns whether the current call is so late that the events which it reports may have happened
   * long before.
   */
  boolean isCallOverdue() {
    return isCallOverdue;
  }

  void expectCallBy(Timestamp due) {
    nextCallDue = due;
  }

  // ---- samples

  void addLoad(EngineState engine, double inFlight, Timestamp at) {
    engine.recordLoad(inFlight, at);
    loadSamples.add(inFlight / engine.cores(), PolicyConstants.SMOOTHING_FACTOR);
  }

  void addLatencySample(EngineState engine, RequestClassStats requestClass, double logRatio) {
    engine.addLatencySample(logRatio);
    requestClass.addLatencySample(logRatio);
    latencySamples.add(
        Math.min(logRatio, Math.log(PolicyConstants.SLOW_LATENCY_RATIO)),
        PolicyConstants.SMOOTHING_FACTOR);
  }

  /** Adds a failure sample: 1 for a failed attempt and 0 for an answer. */
  void addFailure(EngineState engine, double sample) {
    engine.addFailure(sample);
    failureSamples.add(sample, PolicyConstants.SMOOTHING_FACTOR);
  }

  void addResidenceTime(double threads, TimeSpan residenceTime) {
    double weight =
        Math.min(1, residenceTime.dividedBy(settings.shortestObjective()))
            * PolicyConstants.SMOOTHING_FACTOR;
    meanThreads += (threads - meanThreads) * weight;
    meanResidenceTime =
        meanResidenceTime.plus(residenceTime.minus(meanResidenceTime).times(weight));
  }

  // ---- changes with time

  /** Makes the next refresh assess the engines again, even at the same time. */
  void invalidate() {
    refreshedAt = null;
  }

  /** Decays the weight of all estimates by the time since the last call. */
  void decay(Timestamp now) {
    if (now.equals(decayedAt)) {
      return;
    }
    // A process that was suspended reads answers late, and the latencies that it measures then say
    // nothing about the engines.
    isCallOverdue =
        nextCallDue != null && now.since(nextCallDue).compareTo(settings.refreshInterval()) > 0;
    double elapsedObjectives =
        decayedAt == null ? 0 : now.since(decayedAt).dividedBy(settings.shortestObjective());
    double keep = Math.pow(0.5, elapsedObjectives / HALF_LIFE_OBJECTIVES);
    decayedAt = now;
    latencySamples.decay(keep);
    failureSamples.decay(keep);
    loadSamples.decay(keep);
    for (RequestClassStats requestClass : requestClasses.all()) {
      TimeSpan objective = requestClass.definition().latencyObjective();
      requestClass.decayLatencySamples(
          Math.pow(keep, settings.shortestObjective().dividedBy(objective)));
    }
    engines.sortedById().forEach(e -> e.decayHealthSamples(keep));
  }

  /** Updates the assessment of each engine, the median latency ratio and the random samples. */
  void refresh(Timestamp now) {
    if (now.equals(refreshedAt)) {
      return;
    }
    refreshedAt = now;
    decay(now);
    double meanLogRatio = latencySamples.mean(0);
    double meanFailureRate = failureSamples.mean(0);
    updateUtilization(meanFailureRate);
    TimeSpan resampleInterval = resampleInterval();
    double[] logLatencyRatios = new double[engines.sortedById().size()];
    for (int i = 0; i < logLatencyRatios.length; i++) {
      EngineState engine = engines.sortedById().get(i);
      reduceBorrowingForOverdueAttempts(engine, now);
      engine.assess(meanLogRatio, meanFailureRate, medianLatencyRatio);
      logLatencyRatios[i] = engine.logLatencyRatio();
      if (engine.warmup().sinceSample(now).compareTo(resampleInterval) >= 0) {
        engines.resample(engine, now);
      }
    }
    Arrays.sort(logLatencyRatios);
    medianLatencyRatio =
        logLatencyRatios.length == 0
            ? 1
            : Math.exp(Math.max(0, logLatencyRatios[(logLatencyRatios.length - 1) / 2]));
  }

  private void updateUtilization(double meanFailureRate) {
    utilization =
        loadSamples.isEmpty()
            ? PolicyConstants.MAX_OBSERVATION_RATIO
            : loadSamples.mean() * meanThreads / PolicyConstants.THREADS_PER_CORE;
    // Engines report load only with answers: those that fail or do not respond must not appear to
    // be idle.
    utilization += Math.max(0, 1 - utilization) * meanFailureRate;
  }

  /**
   * Returns the interval after which random samples are renewed: a short one, or, when latency or
   * utilization is high, the mean residence time of an attempt, so that the mean of the threads in
   * use matches the share. This prevents hundreds of dispatchers from filling the engines by
   * chance.
   */
  private TimeSpan resampleInterval() {
    boolean isSlow =
        medianLatencyRatio > PolicyConstants.TOLERANCE_FACTOR
            && utilization > PolicyConstants.ONE_THREAD_PER_CORE_SHARE;
    boolean isFull = hasLoadReports() && utilization > 1 / PolicyConstants.TOLERANCE_FACTOR;
    return isSlow || isFull ? meanResidenceTime : meanResidenceTime.min(settings.refreshInterval());
  }

  private void reduceBorrowingForOverdueAttempts(EngineState engine, Timestamp now) {
    if (isCallOverdue) {
      return;
    }
    for (Attempt attempt : engine.attempts()) {
      double latencyRatio = now.since(attempt.sentAt()).dividedBy(attempt.baselineLatency());
      if (latencyRatio > PolicyConstants.SLOW_LATENCY_RATIO) {
        engine.reduceBorrowing(attempt);
      }
    }
  }
}
