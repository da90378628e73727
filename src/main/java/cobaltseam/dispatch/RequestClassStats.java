package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RequestClass;

/** One request class: its definition, and the estimates derived from its attempts so far. */
final class RequestClassStats {
  /**
   * The quantile of latency over work that the baseline is derived from. It is tracked in steps of
   * at least {@link #MIN_QUANTILE_STEP}.
   */
  private static final double LATENCY_QUANTILE = 0.3;

  private static final double MIN_QUANTILE_STEP = 1.0 / 512;

  private static final double MIN_TIMEOUT_PER_OBJECTIVE = 0.25;

  private final RequestClass definition;
  private final RequestRules rules;
  private final int threads;
  private final int enginePriority;
  private int index;

  /**
   * Whether only earlier settings define this class: its accepted requests continue, and no new
   * ones are accepted.
   */
  private boolean isRetired;

  /** The tracked quantile of latency over estimated work per thread. */
  private double quantileLatencyPerWork = 1;

  private long answerCount;
  private double meanWorkUs;
  private long workSampleCount;

  /**
   * Logarithm of mean latency over the quantile latency, learned while engines have spare capacity.
   */
  private double meanLogExcess;

  private long excessSampleCount;

  /**
   * Fraction of the other dispatchers' budget to borrow on engines without recent answers, from 0
   * to 1.
   */
  private double borrowing;

  private MemoryNeed memoryNeed = new MemoryNeed();

  /** Samples of the logarithm of the latency ratio, over all engines. */
  private DecayingAverage latencySamples = new DecayingAverage();

  RequestClassStats(RequestClass definition, RequestRules rules, int enginePriority, int index) {
    this.definition = definition;
    this.rules = rules;
    this.enginePriority = enginePriority;
    this.index = index;
    threads = Math.max(1, definition.threads());
    meanWorkUs =
        threads * definition.latencyObjective().us() / PolicyConstants.ATTEMPT_TIMEOUT_FACTOR;
  }

  /** Takes over the estimates of the same class under earlier settings. */
  void continueFrom(RequestClassStats earlier) {
    quantileLatencyPerWork = earlier.quantileLatencyPerWork;
    meanWorkUs = earlier.meanWorkUs;
    workSampleCount = earlier.workSampleCount;
    answerCount = earlier.answerCount;
    meanLogExcess = earlier.meanLogExcess;
    excessSampleCount = earlier.excessSampleCount;
    memoryNeed = earlier.memoryNeed;
    latencySamples = earlier.latencySamples;
  }

  void retire(int newIndex) {
    isRetired = true;
    index = newIndex;
  }

  RequestClass definition() {
    return definition;
  }

  RequestRules rules() {
    return rules;
  }

  int threads() {
    return threads;
  }

  int enginePriority() {
    return enginePriority;
  }

  /** Returns the index of this class in arrays with one element per class. */
  int index() {
    return index;
  }

  boolean isRetired() {
    return isRetired;
  }

  MemoryNeed memoryNeed() {
    return memoryNeed;
  }

  /**
   * Returns the shortest timeout of an attempt. Even short requests are delayed by pauses of an
   * engine and by connection setup.
   */
  TimeSpan minTimeout() {
    return definition.latencyObjective().times(MIN_TIMEOUT_PER_OBJECTIVE);
  }

  double meanWorkUs() {
    return meanWorkUs;
  }

  /** Returns the work of a request in microseconds: its estimate, or the mean work of its class. */
  double workUs(Request request) {
    return request.work().isPositive() ? request.work().us() : meanWorkUs;
  }

  void updateWork(double workUs) {
    meanWorkUs +=
        (workUs - meanWorkUs)
            * Math.max(PolicyConstants.SMOOTHING_FACTOR / 4, 1.0 / ++workSampleCount);
  }

  /**
   * Returns the baseline latency of a request: the latency to expect while engines are not
   * congested.
   */
  TimeSpan baselineLatency(Request request) {
    double latencyPerWork = quantileLatencyPerWork * Math.exp(meanLogExcess);
    return new TimeSpan(1 + Math.round(workUs(request) / threads * latencyPerWork));
  }

  /**
   * Updates the baseline with the latency of an answer. The latencies of a congested pool must not
   * become the baseline: unless engines have spare capacity, only the first answers raise the
   * baseline quickly. Conversely, the baseline must not be so low that all answers appear to come
   * from a congested pool.
   *
   * @param ratio the latency of the answer over its baseline latency
   * @param medianLatencyRatio the ratio of current to baseline latency on the median engine
   */
  void updateLatency(double ratio, boolean hasSpareCapacity, double medianLatencyRatio) {
    double ratioToQuantile = ratio * Math.exp(meanLogExcess);
    if (hasSpareCapacity) {
      updateExcess(Math.log(ratioToQuantile));
    }
    double quantileGradient = ratioToQuantile > 1 ? LATENCY_QUANTILE - 1 : LATENCY_QUANTILE;
    boolean isFastStep =
        ++answerCount * PolicyConstants.SMOOTHING_FACTOR <= 1
            || ratio <= 1
            || medianLatencyRatio <= PolicyConstants.TOLERANCE_FACTOR
            || hasSpareCapacity;
    double fastStep = isFastStep ? 1 / (1 / PolicyConstants.SMOOTHING_FACTOR + answerCount) : 0;
    quantileLatencyPerWork *= Math.exp(-quantileGradient * Math.max(MIN_QUANTILE_STEP, fastStep));
  }

  /**
   * Updates the excess of mean latency over the quantile latency. This keeps inaccurate estimates,
   * and data that is not yet in memory, from appearing as overload. The disadvantage: a slowdown of
   * engines from another cause, while few requests are in flight, raises the baseline too.
   */
  private void updateExcess(double excess) {
    double step =
        Math.max(
            PolicyConstants.SMOOTHING_FACTOR / 4,
            1.0 / (1 / PolicyConstants.SMOOTHING_FACTOR + ++excessSampleCount));
    meanLogExcess = Math.max(0, meanLogExcess + (excess - meanLogExcess) * step);
  }

  void addLatencySample(double logRatio) {
    latencySamples.add(logRatio, PolicyConstants.SMOOTHING_FACTOR / 4);
  }

  void decayLatencySamples(double keep) {
    latencySamples.decay(keep);
  }

  double meanLogLatencyRatio(double prior) {
    return latencySamples.mean(prior);
  }

  double borrowing() {
    return borrowing;
  }

  void increaseBorrowing(double by) {
    borrowing = Math.min(1, borrowing + by);
  }

  void halveBorrowing() {
    borrowing /= 2;
  }
}
