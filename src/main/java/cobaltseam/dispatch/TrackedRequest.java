package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.HashMap;
import java.util.Map;

/** One request, until its final answer and the outcome of its last attempt. */
final class TrackedRequest {
  private final Request request;
  private final long arrivalNumber;
  private final Timestamp acceptedAt;
  private final Timestamp targetAt;
  private final boolean overQuota;
  private RequestClassStats requestClass;
  private RequestRules rules;
  private Timestamp giveUpAt;
  private boolean late;
  private boolean dropped;
  private boolean finished;

  /** While queued: threads times expected latency, and its priority weight for that. */
  private double threadTimeUs;

  private double weightPerThreadTime;

  private int attempts;
  private Attempt attempt;
  private EngineState attemptEngine;

  /** Engines where attempts waited for a load of the data set, and since when. */
  private Map<EngineState, Timestamp> blockedAt = Map.of();

  /** The first attempt that may have run: when it was sent, and where to; null if none. */
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
    double extraUs =
        requestClass.definition().objectivePerWork() * workUs() / requestClass.threads();
    targetAt =
        now.plus(requestClass.definition().latencyObjective())
            .plus(new TimeSpan(Math.round(extraUs)));
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

  /** The order in which requests were accepted. */
  long arrivalNumber() {
    return arrivalNumber;
  }

  Timestamp acceptedAt() {
    return acceptedAt;
  }

  /** When an answer is due by its latency objective. */
  Timestamp targetAt() {
    return targetAt;
  }

  boolean isOverQuota() {
    return overQuota;
  }

  double workUs() {
    return requestClass.workUs(request);
  }

  TimeSpan usualLatency() {
    return requestClass.usualLatency(request);
  }

  /** Whether its class gives an answer after the latency objective any weight. */
  boolean isUsefulLate() {
    return requestClass.definition().latePriorityWeight() > 0;
  }

  /** Whether it must be answered in the order of its key. */
  boolean isSequenced() {
    return rules.inOrder() && request.sequenceKey() != null;
  }

  /** Goes on under other settings: keeps to the rules of both. */
  void applySettings(RequestClassStats newClass) {
    requestClass = newClass;
    RequestRules both = rules.stricterOf(newClass.rules());
    rules = both.equals(newClass.rules()) ? newClass.rules() : both;
    dropped |= rules.allowsNoEngine();
    if (attempt != null) {
      attempt.setRequestClass(newClass);
    }
  }

  /** Whether all requests like it of its class fit the same engines. */
  boolean isOrdinary() {
    return attempts == 0 && rules == requestClass.rules() && !rules.inOrder();
  }

  /** Is not to be sent any more, and is given up when next placed. */
  void drop() {
    dropped = true;
  }

  boolean isDropped() {
    return dropped;
  }

  /** Has its final answer, or its client has left. */
  void finish() {
    finished = true;
  }

  boolean isFinished() {
    return finished;
  }

  /** Whether it was expected to miss its latency objective when last checked. */
  boolean isLate() {
    return late;
  }

  void checkLate(TimeSpan expectedLatency, Timestamp now) {
    late = targetAt.isBefore(now.plus(expectedLatency));
  }

  /** Fixes the figures by which it is compared while it is queued. */
  void updateQueueFigures(Timestamp giveUp, TimeSpan expectedLatency, double overQuotaWeight) {
    giveUpAt = giveUp;
    threadTimeUs = requestClass.threads() * (double) expectedLatency.us();
    weightPerThreadTime =
        requestClass.definition().priorityWeight()
            * (overQuota ? overQuotaWeight : 1)
            * (late ? requestClass.definition().latePriorityWeight() : 1)
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

  /** Whether another attempt may follow one that was cut short. */
  boolean canBeReplaced() {
    return hasAttemptLeft() && rules.retrySafety() == RetrySafety.IDEMPOTENT;
  }

  Attempt startAttempt(EngineState engine, Timestamp now) {
    double threads = engine.threadsFor(request, requestClass);
    attempt = new Attempt(request, requestClass, arrivalNumber, attempts++, now, threads);
    attemptEngine = engine;
    return attempt;
  }

  /** The attempt in flight, or null. */
  Attempt attempt() {
    return attempt;
  }

  /** The engine of the attempt in flight, or null. */
  EngineState attemptEngine() {
    return attemptEngine;
  }

  void endAttempt() {
    attempt = null;
    attemptEngine = null;
  }

  /** Notes that an attempt may have run; the first one counts. */
  void recordMayHaveRun(Attempt ran, EngineState engine) {
    if (mayHaveRunSince == null) {
      mayHaveRunSince = ran.sentAt();
      mayHaveRunGroup = engine.group();
      mayHaveRunLocation = engine.location();
    }
  }

  /** Whether one more attempt can do no harm, by what is known of those before. */
  boolean isSafeToSend(Timestamp now) {
    return mayHaveRunSince == null
        || rules.retrySafety() == RetrySafety.IDEMPOTENT
        || rules.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
            && now.since(mayHaveRunSince).compareTo(rules.deduplicationWindow()) < 0;
  }

  /** Whether its client may send it again without harm. */
  boolean isSafeForClientRetry() {
    return mayHaveRunSince == null || rules.allowsClientRetry();
  }

  /** How long from now an attempt may start at the latest; null without bound. */
  TimeSpan maxStartDelay(Timestamp now) {
    return mayHaveRunSince == null || rules.retrySafety() != RetrySafety.IDEMPOTENT_WITH_KEY
        ? null
        : rules.deduplicationWindow().minus(now.since(mayHaveRunSince));
  }

  /** Whether the rules let it go to this engine now. */
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

  /** The work that counts against an engine's allowance while it warms up, in microseconds. */
  double warmupWorkUs() {
    return Math.max(requestClass.usualWorkUs(), workUs());
  }

  /** Notes that the attempt in flight waits for a load of the data set. */
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

  /** Whether it would have to wait for a load on that engine, as far as known. */
  boolean isBlockedOn(EngineState engine, Timestamp now) {
    Timestamp since = blockedAt.get(engine);
    return since != null && now.since(since).compareTo(requestClass.minPatience()) < 0;
  }
}
