package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.HashMap;
import java.util.Map;

/** The state of one request, until its final answer and the outcome of its last attempt. */
final class TrackedRequest {
  private final Request request;
  private final long arrivalNumber;
  private final Timestamp acceptedAt;
  private final Timestamp objectiveDueAt;
  private final boolean overQuota;
  private RequestClassStats requestClass;
  private RequestRules rules;
  private Timestamp giveUpAt;
  private boolean expectedLate;
  private boolean dropped;
  private boolean finished;

  /**
   * Valid while queued: threads times expected latency, and the priority weight per unit of that
   * product.
   */
  private double threadTimeUs;

  private double weightPerThreadTime;

  private int attempts;
  private Attempt attempt;
  private EngineState attemptEngine;

  /**
   * Engines on which attempts were reported to wait for a load of the data set, and the time of the
   * report.
   */
  private Map<EngineState, Timestamp> blockedAt = Map.of();

  /** The first attempt that may have run: when and where it was sent; null if none may have run. */
  private Timestamp mayHaveRunSince;

  private GroupId mayHaveRunGroup;
  private LocationId mayHaveRunLocation;

  TrackedRequest(
      Request request,
      RequestClassStats requestClass,
      long arrivalNumber,
      boolean overQuota,
      Timestamp now) {
    this.request = request;
    this.requestClass = requestClass;
    this.arrivalNumber = arrivalNumber;
    this.overQuota = overQuota;
    rules = requestClass.rules();
    acceptedAt = now;
    double objectiveExtensionUs =
        requestClass.definition().objectivePerWork() * workUs() / requestClass.threads();
    objectiveDueAt =
        now.plus(requestClass.definition().latencyObjective())
            .plus(new TimeSpan(Math.round(objectiveExtensionUs)));
  }

  Request request() {
    return request;
  }

  RequestClassStats requestClass() {
    return requestClass;
  }

  RequestRules rules() {
    return rules;
  }

  /** Returns the position of this request in the order in which requests were accepted. */
  long arrivalNumber() {
    return arrivalNumber;
  }

  Timestamp acceptedAt() {
    return acceptedAt;
  }

  /** Returns when an answer is due according to the latency objective. */
  Timestamp objectiveDueAt() {
    return objectiveDueAt;
  }

  boolean isOverQuota() {
    return overQuota;
  }

  /** Returns the work of this request in microseconds: its estimate, or the mean of its class. */
  double workUs() {
    return requestClass.workUs(request);
  }

  TimeSpan baselineLatency() {
    return requestClass.baselineLatency(request);
  }

  /** Returns whether its class gives an answer after the latency objective any weight. */
  boolean isUsefulLate() {
    return requestClass.definition().latePriorityWeight() > 0;
  }

  /** Returns whether this request must run in the order of its key. */
  boolean isSequenced() {
    return rules.isOrdered() && request.sequenceKey() != null;
  }

  /** Continues under changed settings, in compliance with both sets of rules. */
  void applySettings(RequestClassStats newClass) {
    requestClass = newClass;
    RequestRules both = rules.stricterOf(newClass.rules());
    rules = both.equals(newClass.rules()) ? newClass.rules() : both;
    dropped |= rules.allowsNoEngine();
    if (attempt != null) {
      attempt.setRequestClass(newClass);
    }
  }

  /**
   * Returns whether only its class restricts the engines of this request, and not an earlier
   * attempt, an order or earlier settings.
   */
  boolean isRestrictedByClassOnly() {
    return attempts == 0 && rules == requestClass.rules() && !rules.isOrdered();
  }

  /** Excludes this request from further attempts; it is given up when it is next placed. */
  void drop() {
    dropped = true;
  }

  boolean isDropped() {
    return dropped;
  }

  /** Marks this request as having its final answer, or as having no client any more. */
  void finish() {
    finished = true;
  }

  boolean isFinished() {
    return finished;
  }

  /**
   * Returns whether this request was expected to miss its latency objective when that was last
   * evaluated.
   */
  boolean isExpectedLate() {
    return expectedLate;
  }

  void updateExpectedLate(TimeSpan expectedLatency, Timestamp now) {
    expectedLate = objectiveDueAt.isBefore(now.plus(expectedLatency));
  }

  /** Updates the values by which requests are compared while they are queued. */
  void updateQueueValues(Timestamp giveUp, TimeSpan expectedLatency, double overQuotaWeight) {
    giveUpAt = giveUp;
    threadTimeUs = requestClass.threads() * (double) expectedLatency.us();
    weightPerThreadTime =
        requestClass.definition().priorityWeight()
            * (overQuota ? overQuotaWeight : 1)
            * (expectedLate ? requestClass.definition().latePriorityWeight() : 1)
            / threadTimeUs;
  }

  Timestamp giveUpAt() {
    return giveUpAt;
  }

  void setGiveUpAt(Timestamp giveUp) {
    giveUpAt = giveUp;
  }

  double threadTimeUs() {
    return threadTimeUs;
  }

  double weightPerThreadTime() {
    return weightPerThreadTime;
  }

  // ---- attempts

  int attempts() {
    return attempts;
  }

  boolean hasAttemptLeft() {
    return attempts < rules.maxAttempts();
  }

  /** Returns whether another attempt may follow one that was ended early. */
  boolean allowsReplacementAttempt() {
    return hasAttemptLeft() && rules.retrySafety() == RetrySafety.IDEMPOTENT;
  }

  Attempt startAttempt(EngineState engine, Timestamp now) {
    double threads = engine.threadsFor(request, requestClass);
    attempt = new Attempt(request, requestClass, arrivalNumber, attempts++, now, threads);
    attemptEngine = engine;
    return attempt;
  }

  /** Returns the attempt in flight, or null. */
  Attempt attempt() {
    return attempt;
  }

  /** Returns the engine of the attempt in flight, or null. */
  EngineState attemptEngine() {
    return attemptEngine;
  }

  void endAttempt() {
    attempt = null;
    attemptEngine = null;
  }

  /** Records that an attempt may have run; only the first such attempt is kept. */
  void recordMayHaveRun(Attempt ran, EngineState engine) {
    if (mayHaveRunSince == null) {
      mayHaveRunSince = ran.sentAt();
      mayHaveRunGroup = engine.group();
      mayHaveRunLocation = engine.location();
    }
  }

  /**
   * Returns whether one more attempt can do no harm, considering the earlier attempts that may have
   * run.
   */
  boolean isSafeToSend(Timestamp now) {
    return mayHaveRunSince == null
        || rules.retrySafety() == RetrySafety.IDEMPOTENT
        || rules.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
            && now.since(mayHaveRunSince).compareTo(rules.deduplicationWindow()) < 0;
  }

  /** Returns whether its client may safely send the request again. */
  boolean isSafeForClientRetry() {
    return mayHaveRunSince == null || rules.allowsClientRetry();
  }

  /** Returns the longest delay until an attempt may start; null if there is no bound. */
  TimeSpan maxStartDelay(Timestamp now) {
    return mayHaveRunSince == null || rules.retrySafety() != RetrySafety.IDEMPOTENT_WITH_KEY
        ? null
        : rules.deduplicationWindow().minus(now.since(mayHaveRunSince));
  }

  /** Returns whether the rules and the slow start allow an attempt on this engine now. */
  boolean mayRunOn(EngineState engine, Timestamp now) {
    if (!engine.isUp() || !rules.allowsPlacement(engine.location(), engine.machineType())) {
      return false;
    }
    if (mayHaveRunSince != null
        && !rules.allowsRetryElsewhere(
            mayHaveRunLocation, mayHaveRunGroup, engine.location(), engine.group())) {
      return false;
    }
    return engine.warmup().allows(warmupWorkUs(), now);
  }

  /**
   * Returns the work in microseconds that counts against an engine's allowance while it warms up.
   */
  double warmupWorkUs() {
    return Math.max(requestClass.meanWorkUs(), workUs());
  }

  /** Records that the attempt in flight waits for a load of the data set. */
  void markBlocked(Timestamp now) {
    attempt.markBlocked();
    if (blockedAt.isEmpty()) {
      blockedAt = new HashMap<>();
    }
    blockedAt.put(attemptEngine, now);
  }

  boolean hasBeenBlocked() {
    return !blockedAt.isEmpty();
  }

  /**
   * Returns whether the request would have to wait for a load on that engine, according to a recent
   * report.
   */
  boolean isBlockedOn(EngineState engine, Timestamp now) {
    Timestamp since = blockedAt.get(engine);
    return since != null && now.since(since).compareTo(requestClass.minTimeout()) < 0;
  }
}
