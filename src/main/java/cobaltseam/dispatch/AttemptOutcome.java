package cobaltseam.dispatch;

/**
 * How one attempt ended.
 *
 * @param attempt the number of the attempt, from 0 for each request
 * @param isLast whether the request needs nothing more
 * @param workDone the time on one engine thread that an answer took; below zero if unknown
 * @param memoryUsedMb the memory that an answer needed, in megabytes; below zero if unknown
 * @param queuedAtEngine requests queued at the engine, of all dispatchers; below zero if unknown
 * @param inFlightAtEngine requests in flight at the engine with those queued, of all dispatchers;
 *     below zero if unknown
 */
public record AttemptOutcome(
    RequestId request,
    int attempt,
    EngineId engine,
    AttemptResult result,
    TimeSpan latency,
    boolean isLast,
    TimeSpan workDone,
    double memoryUsedMb,
    double queuedAtEngine,
    double inFlightAtEngine) {
  /** What became of an attempt. */
  public enum AttemptResult {
    COMPLETED(false),
    ERROR(false),
    CAPACITY_EXCEEDED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    CONNECTION_LOST(false),
    CANCELLED(false),
    NEVER_SENT(true);

    private final boolean neverRan;

    AttemptResult(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** Whether the result proves that no engine ran the request. */
    public boolean hasNeverRun() {
      return neverRan;
    }
  }
}
