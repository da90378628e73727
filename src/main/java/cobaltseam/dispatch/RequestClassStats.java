package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RequestClass;

/** One class of requests: its definition, and what its attempts have shown of it so far. */
final class RequestClassStats {
  /** The usual latency is this quantile of those seen: followed in steps no smaller than these. */
  private static final double USUAL_QUANTILE = 0.3;

  private static final double MIN_USUAL_STEP = 1.0 / 512;

  private static final double MIN_PATIENCE_PER_OBJECTIVE = 0.25;

  private final RequestClass definition;
  private final RequestRules rules;
  private final int threads;
  private final int enginePriority;
  private int index;

  /** Belongs to earlier settings: accepted requests go on, and no new ones are accepted. */
  private boolean retired;

  /** Usual latency over estimated work per thread. */
  private double usualRatio = 1;

  private long answers;
  private double usualWorkUs;
  private long workSamples;

  /** Logarithm of mean latency over usual latency, while engines have capacity to spare. */
  private double meanExcess;

  private long excessSamples;

  /** Part of the other dispatchers' budget to borrow at engines without recent answers, 0 to 1. */
  private double borrowing;

  private MemoryNeed memoryNeed = new MemoryNeed();

  /** Logarithm of latency over expected latency, over all engines. */
  private DecayingAverage slowness = new DecayingAverage();

  RequestClassStats(RequestClass definition, RequestRules rules, int enginePriority, int index) {
    this.definition = definition;
    this.rules = rules;
    this.enginePriority = enginePriority;
    this.index = index;
    threads = Math.max(1, definition.threads());
    usualWorkUs = threads * definition.latencyObjective().us() / PolicyConstants.PATIENCE;
  }

  /** Continues what the same class has shown under earlier settings. */
  void continueFrom(RequestClassStats earlier) {
    usualRatio = earlier.usualRatio;
    usualWorkUs = earlier.usualWorkUs;
    workSamples = earlier.workSamples;
    answers = earlier.answers;
    meanExcess = earlier.meanExcess;
    excessSamples = earlier.excessSamples;
    memoryNeed = earlier.memoryNeed;
    slowness = earlier.slowness;
  }

  void retire(int newIndex) {
    retired = true;
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

  /** Its position in arrays with one element per class. */
  int index() {
    return index;
  }

  boolean isRetired() {
    return retired;
  }

  MemoryNeed memoryNeed() {
    return memoryNeed;
  }

  /**
   * The time that any attempt may take before another engine is tried: small requests meet pauses
   * and connection set-up too.
   */
  TimeSpan minPatience() {
    return definition.latencyObjective().times(MIN_PATIENCE_PER_OBJECTIVE);
  }

  double usualWorkUs() {
    return usualWorkUs;
  }

  /** The work of a request, in microseconds: its estimate, or else the usual work of its class. */
  double workUs(Request request) {
    return request.work().isPositive() ? request.work().us() : usualWorkUs;
  }

  void learnWork(double workUs) {
    usualWorkUs +=
        (workUs - usualWorkUs) * Math.max(PolicyConstants.SAMPLE_WEIGHT / 4, 1.0 / ++workSamples);
  }

  /** The latency to expect at usual speed. */
  TimeSpan usualLatency(Request request) {
    double ratio = usualRatio * Math.exp(meanExcess);
    return new TimeSpan(1 + Math.round(workUs(request) / threads * ratio));
  }

  /**
   * Learns from an answer's latency. A congested pool must not become the usual: unless engines
   * have capacity to spare, only the first answers raise the usual latency fast. Nor may estimates
   * be so low that everything looks congested.
   *
   * @param ratio latency over expected latency
   * @param pace how many times their usual latency all answers take
   */
  void learnLatency(double ratio, boolean engineCapacitySpare, double pace) {
    double usualMultiple = ratio * Math.exp(meanExcess);
    if (engineCapacitySpare) {
      learnExcess(Math.log(usualMultiple));
    }
    double direction = usualMultiple > 1 ? USUAL_QUANTILE - 1 : USUAL_QUANTILE;
    boolean fast =
        ++answers * PolicyConstants.SAMPLE_WEIGHT <= 1
            || ratio <= 1
            || pace <= PolicyConstants.NEAR_RATIO
            || engineCapacitySpare;
    double fastStep = fast ? 1 / (1 / PolicyConstants.SAMPLE_WEIGHT + answers) : 0;
    usualRatio *= Math.exp(-direction * Math.max(MIN_USUAL_STEP, fastStep));
  }

  /**
   * Guards against rough estimates and data not yet in memory that look like overload. Harm:
   * engines that are slow for another cause while few requests are in flight.
   */
  private void learnExcess(double excess) {
    double step =
        Math.max(
            PolicyConstants.SAMPLE_WEIGHT / 4,
            1.0 / (1 / PolicyConstants.SAMPLE_WEIGHT + ++excessSamples));
    meanExcess = Math.max(0, meanExcess + (excess - meanExcess) * step);
  }

  void addSlowness(double logRatio) {
    slowness.add(logRatio, PolicyConstants.SAMPLE_WEIGHT / 4);
  }

  void decaySlowness(double keep) {
    slowness.decay(keep);
  }

  double meanSlowness(double prior) {
    return slowness.mean(prior);
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
