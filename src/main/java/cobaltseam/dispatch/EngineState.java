package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/** One engine, for as long as it is listed or has attempts in flight. */
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

  /** Threads of this dispatcher's attempts. */
  private double threadsInUse;

  /** Requests in flight there, of all dispatchers, as last reported; below zero if never. */
  private double reportedInFlight = -1;

  private Timestamp reportedAt;
  private Timestamp completedAt;

  /** For each request class the part of the other dispatchers' budget to borrow, from 0 to 1. */
  private double[] borrowing;

  /** Logarithm of latency over expected latency, over all request classes. */
  private final DecayingAverage slownessSamples = new DecayingAverage();

  /** 1 for a failed attempt, 0 for an answer. */
  private final DecayingAverage failureSamples = new DecayingAverage();

  private double slowness;
  private double health = 1;

  EngineState(EngineId id, int requestClasses, double draw, Timestamp now) {
    this.id = id;
    warmup = new EngineWarmup(draw, now);
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

  /** Threads that all dispatchers together may use. */
  double threadLimit() {
    return threadLimit;
  }

  double threadsInUse() {
    return threadsInUse;
  }

  List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  /** Takes over its line of the endpoint list; a restart forgets what was learnt. */
  void update(EndpointStatus status, MachineType type, SlowStart slowStart, Timestamp now) {
    boolean restarted = warmup.isRestart(status.startedAt());
    location = status.location();
    machineType = status.machineType();
    group = status.group();
    state = status.state();
    resize(type);
    warmup.start(status.startedAt(), slowStart, now);
    if (restarted) {
      slownessSamples.decay(0);
      failureSamples.decay(0);
      Arrays.fill(borrowing, 0);
      reportedInFlight = -1;
    }
  }

  void markGone() {
    state = EndpointState.REMOVED;
  }

  /** One that started lately may be listed again, and what it was sent still counts. */
  boolean canBeForgotten(Timestamp now) {
    return state == EndpointState.REMOVED && threadsInUse == 0 && !warmup.isWarmingUp(now);
  }

  /** Goes on under other settings; borrowing starts afresh. */
  void applySettings(MachineType type, SlowStart slowStart, int requestClasses, Timestamp now) {
    warmup.applySettings(slowStart, now);
    borrowing = new double[requestClasses];
    resize(type);
  }

  /** A null type counts as one core of unknown memory. */
  private void resize(MachineType type) {
    cores = type == null ? 1 : type.cores();
    threadLimit = cores * PolicyConstants.THREADS_PER_CORE;
    memoryPerThreadMb = type == null ? 0 : type.memoryMb() / threadLimit;
  }

  /**
   * The threads that a request counts here: its class's, or as many as its part of the engine's
   * memory goes with. Guards against mixes that spill while threads are left. Harm: estimates that
   * are too high.
   */
  double threadsFor(Request request, RequestClassStats requestClass) {
    double byMemory = memoryPerThreadMb > 0 ? request.memoryMb() / memoryPerThreadMb : 0;
    return Math.max(requestClass.threads(), Math.min(byMemory, threadLimit));
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
    completedAt = now;
  }

  boolean hasCompletedSince(Timestamp when) {
    return completedAt != null && !completedAt.isBefore(when);
  }

  // ---- load, as the engine reports it

  /** Whether a report of this time is newer than the last one, and of the engine's present run. */
  boolean isNewReport(Timestamp at) {
    return (reportedAt == null || reportedAt.isBefore(at)) && warmup.isStartedBefore(at);
  }

  void recordLoad(double inFlight, Timestamp at) {
    reportedInFlight = inFlight;
    reportedAt = at;
  }

  /**
   * Requests in flight here, of all dispatchers: the last report, which loses weight with time to
   * the mean of all engines.
   */
  double estimatedInFlight(double meanPerCore, TimeSpan halfLife, Timestamp now) {
    double weight =
        reportedInFlight < 0 ? 0 : Math.pow(0.5, now.since(reportedAt).dividedBy(halfLife));
    return reportedInFlight * weight + meanPerCore * cores * (1 - weight);
  }

  // ---- borrowing

  /** The part to borrow, as the answers here suggest, or, with few of them, all answers. */
  double borrowing(RequestClassStats requestClass) {
    double weight = slownessSamples.weight();
    return (borrowing[requestClass.index()] * weight
            + requestClass.borrowing() * DecayingAverage.PRIOR_WEIGHT)
        / (weight + DecayingAverage.PRIOR_WEIGHT);
  }

  void increaseBorrowing(RequestClassStats requestClass, double by) {
    int index = requestClass.index();
    borrowing[index] = Math.min(1, borrowing[index] + by);
  }

  /** Gives back half of what is borrowed, once an attempt: it was slow, or is overdue. */
  void returnBorrowed(Attempt attempt) {
    if (attempt.markSlow()) {
      borrowing[attempt.requestClass().index()] /= 2;
      attempt.requestClass().halveBorrowing();
    }
  }

  // ---- health

  void addSlowness(double logRatio) {
    slownessSamples.add(logRatio, PolicyConstants.SAMPLE_WEIGHT);
  }

  void addFailure(double sample) {
    failureSamples.add(sample, PolicyConstants.SAMPLE_WEIGHT);
  }

  void decayHealthSamples(double keep) {
    slownessSamples.decay(keep);
    failureSamples.decay(keep);
  }

  /** Logarithm of how many times their usual latency its answers take, as last assessed. */
  double slowness() {
    return slowness;
  }

  /**
   * Assesses the part of its budget that the engine can bear. Slowness guards against mixes that
   * pass its peak while all dispatchers keep to their budgets, and against slow-downs of any cause.
   * Failures guard against an engine that fails quickly and would draw all requests by being always
   * free. Lag behind the middle engine guards against engines that slow down alone. Harm: an engine
   * slowed from outside could do more, and a sound one that was unlucky gets less until that
   * decays.
   *
   * @param allSlowness the mean slowness of all engines, a logarithm
   * @param allFailures the part of attempts that fail on all engines
   * @param pace how many times their usual latency the answers of the middle engine take
   */
  void assess(double allSlowness, double allFailures, double pace) {
    slowness = slownessSamples.mean(allSlowness);
    double near = PolicyConstants.NEAR_RATIO;
    double speed = Math.min(1, Math.max(PolicyConstants.MIN_SHARE, near / Math.exp(slowness)));
    double success = Math.min(1, (1 - failureSamples.mean(allFailures)) / (1 - allFailures));
    double lag = Math.min(1, near * pace / Math.exp(slowness));
    health = speed * success * success * lag;
  }

  /** This dispatcher's even share of the engine's threads, as far as it is healthy and warm. */
  double threadShare(double dispatchers, Timestamp now) {
    return threadLimit / dispatchers * health * warmup.capacityFraction(now);
  }

  /** Threads that all dispatchers may use, as far as the engine is healthy and warm. */
  double usableThreads(Timestamp now) {
    return threadLimit * health * warmup.capacityFraction(now);
  }
}
