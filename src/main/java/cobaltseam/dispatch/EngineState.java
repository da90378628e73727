package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * The state of one engine, kept while the engine is listed, has attempts in flight or is warming
 * up.
 */
final class EngineState {
  private final EngineId id;
  private final EngineWarmup warmup;
  private LocationId location;
  private MachineTypeId machineType;
  private GroupId group;
  private EndpointState state;
  private double cores;
  private double threadLimit;
  private double memoryPerThreadMb;

  private final List<Attempt> attempts = new ArrayList<>();

  /** Engine threads that the attempts of this dispatcher use. */
  private double threadsInUse;

  /**
   * Requests of all dispatchers in flight at this engine, as last reported; negative if never
   * reported.
   */
  private double reportedInFlight = -1;

  private Timestamp reportedAt;
  private Timestamp lastCompletedAt;

  /**
   * For each request class, the fraction of the other dispatchers' budget that may be borrowed,
   * from 0 to 1.
   */
  private double[] borrowing;

  /** Samples of the logarithm of the latency ratio, over all request classes. */
  private final DecayingAverage latencySamples = new DecayingAverage();

  /** Samples of 1 for each failed attempt and 0 for each answer. */
  private final DecayingAverage failureSamples = new DecayingAverage();

  private double logLatencyRatio;
  private double healthFactor = 1;

  EngineState(EngineId id, int requestClasses, double randomSample, Timestamp now) {
    this.id = id;
    warmup = new EngineWarmup(randomSample, now);
    borrowing = new double[requestClasses];
  }

  EngineId id() {
    return id;
  }

  EngineWarmup warmup() {
    return warmup;
  }

  LocationId location() {
    return location;
  }

  MachineTypeId machineType() {
    return machineType;
  }

  GroupId group() {
    return group;
  }

  boolean isUp() {
    return state == EndpointState.UP;
  }

  double cores() {
    return cores;
  }

  /** Returns the threads that all dispatchers together may use. */
  double threadLimit() {
    return threadLimit;
  }

  double threadsInUse() {
    return threadsInUse;
  }

  List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  /** Applies the entry of this engine in an endpoint list; a restart resets the estimates. */
  void update(EndpointStatus status, MachineType type, SlowStart slowStart, Timestamp now) {
    boolean isRestarted = warmup.isRestart(status.startedAt());
    location = status.location();
    machineType = status.machineType();
    group = status.group();
    state = status.state();
    applyMachineType(type);
    warmup.start(status.startedAt(), slowStart, now);
    if (isRestarted) {
      latencySamples.decay(0);
      failureSamples.decay(0);
      Arrays.fill(borrowing, 0);
      reportedInFlight = -1;
    }
  }

  void markRemoved() {
    state = EndpointState.REMOVED;
  }

  /**
   * Returns whether this state can be deleted. It is kept while the engine warms up, since the
   * engine may be listed again, and the work sent to it still counts against its allowance.
   */
  boolean canBeDeleted(Timestamp now) {
    return state == EndpointState.REMOVED && threadsInUse == 0 && !warmup.isWarmingUp(now);
  }

  /** Continues under changed settings; borrowing starts from zero. */
  void applySettings(MachineType type, SlowStart slowStart, int requestClasses, Timestamp now) {
    warmup.applySettings(slowStart, now);
    borrowing = new double[requestClasses];
    applyMachineType(type);
  }

  /** Derives the limits from the machine type; null counts as one core with unknown memory. */
  private void applyMachineType(MachineType type) {
    cores = type == null ? 1 : type.cores();
    threadLimit = cores * PolicyConstants.THREADS_PER_CORE;
    memoryPerThreadMb = type == null ? 0 : type.memoryMb() / threadLimit;
  }

  /**
   * Returns the threads that a request counts for on this engine: those of its class, or the
   * threads that correspond to its fraction of the engine's memory, if those are more. This avoids
   * combinations of requests that spill while threads are left. The disadvantage: estimates that
   * are too high leave threads idle.
   */
  double threadsFor(Request request, RequestClassStats requestClass) {
    double threadsByMemory = memoryPerThreadMb > 0 ? request.memoryMb() / memoryPerThreadMb : 0;
    return Math.max(requestClass.threads(), Math.min(threadsByMemory, threadLimit));
  }

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    threadsInUse += attempt.threads();
  }

  void removeAttempt(Attempt attempt) {
    attempts.remove(attempt);
    threadsInUse = attempts.isEmpty() ? 0 : threadsInUse - attempt.threads();
  }

  void recordCompletion(Timestamp now) {
    lastCompletedAt = now;
  }

  boolean hasCompletedSince(Timestamp when) {
    return lastCompletedAt != null && !lastCompletedAt.isBefore(when);
  }

  // ---- reported load

  /**
   * Returns whether a report is newer than the last one, and later than the start of the engine.
   */
  boolean isNewReport(Timestamp at) {
    return (reportedAt == null || reportedAt.isBefore(at)) && warmup.isStartedBefore(at);
  }

  void recordLoad(double inFlight, Timestamp at) {
    reportedInFlight = inFlight;
    reportedAt = at;
  }

  /**
   * Returns an estimate of the requests of all dispatchers in flight at this engine: the last
   * report, whose weight decays with time in favour of the mean of all engines.
   */
  double estimatedInFlight(double meanPerCore, TimeSpan halfLife, Timestamp now) {
    double weight =
        reportedInFlight < 0 ? 0 : Math.pow(0.5, now.since(reportedAt).dividedBy(halfLife));
    return reportedInFlight * weight + meanPerCore * cores * (1 - weight);
  }

  // ---- borrowing

  /**
   * Returns the fraction that may be borrowed, according to the answers of this engine, or, while
   * there are few of them, to those of all engines.
   */
  double borrowing(RequestClassStats requestClass) {
    double weight = latencySamples.weight();
    return (borrowing[requestClass.index()] * weight
            + requestClass.borrowing() * DecayingAverage.PRIOR_WEIGHT)
        / (weight + DecayingAverage.PRIOR_WEIGHT);
  }

  void increaseBorrowing(RequestClassStats requestClass, double by) {
    int index = requestClass.index();
    borrowing[index] = Math.min(1, borrowing[index] + by);
  }

  /**
   * Halves the fraction that may be borrowed, once per attempt, when the attempt was slow or is
   * overdue.
   */
  void reduceBorrowing(Attempt attempt) {
    if (attempt.markSlow()) {
      borrowing[attempt.requestClass().index()] /= 2;
      attempt.requestClass().halveBorrowing();
    }
  }

  // ---- health

  void addLatencySample(double logRatio) {
    latencySamples.add(logRatio, PolicyConstants.SMOOTHING_FACTOR);
  }

  void addFailure(double sample) {
    failureSamples.add(sample, PolicyConstants.SMOOTHING_FACTOR);
  }

  void decayHealthSamples(double keep) {
    latencySamples.decay(keep);
    failureSamples.decay(keep);
  }

  /** Returns the logarithm of the ratio of current to baseline latency, as last assessed. */
  double logLatencyRatio() {
    return logLatencyRatio;
  }

  /**
   * Assesses the fraction of its budget that the engine can handle, as the product of a speed
   * factor, the square of a success factor, and a relative speed factor. The speed factor follows
   * the latency ratio. It protects against request mixes that exceed the peak throughput of an
   * engine while all dispatchers keep to their budgets, and against a slowdown from any cause. The
   * success factor follows the failure rate. It protects against an engine that fails quickly, and
   * would attract all requests because its threads are always free. The relative speed factor
   * compares with the median engine, and protects against an engine that slows down alone. The
   * disadvantages: an engine that is slowed by an external cause could do more, and a healthy
   * engine with a few bad samples gets less traffic until those decay.
   *
   * @param meanLogRatio the mean logarithm of the latency ratio over all engines
   * @param meanFailureRate the fraction of attempts that fail on all engines
   * @param medianLatencyRatio the ratio of current to baseline latency on the median engine
   */
  void assess(double meanLogRatio, double meanFailureRate, double medianLatencyRatio) {
    logLatencyRatio = latencySamples.mean(meanLogRatio);
    double tolerance = PolicyConstants.TOLERANCE_FACTOR;
    double speedFactor =
        Math.min(
            1,
            Math.max(
                PolicyConstants.ONE_THREAD_PER_CORE_SHARE, tolerance / Math.exp(logLatencyRatio)));
    double successFactor =
        Math.min(1, (1 - failureSamples.mean(meanFailureRate)) / (1 - meanFailureRate));
    double relativeSpeedFactor =
        Math.min(1, tolerance * medianLatencyRatio / Math.exp(logLatencyRatio));
    healthFactor = speedFactor * successFactor * successFactor * relativeSpeedFactor;
  }

  /**
   * Returns this dispatcher's even share of the engine's threads, scaled by the engine's health and
   * warm-up.
   */
  double threadShare(double dispatchers, Timestamp now) {
    return threadLimit / dispatchers * healthFactor * warmup.capacityFraction(now);
  }

  /**
   * Returns the threads that all dispatchers may use, scaled by the engine's health and warm-up.
   */
  double usableThreads(Timestamp now) {
    return threadLimit * healthFactor * warmup.capacityFraction(now);
  }
}
