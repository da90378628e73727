package cobaltseam.dispatch;

/**
 * How one attempt ended.
 *
 * @param attempt the number of the attempt; the attempts of each request are numbered from 0
 * @param latency how long the attempt took
 * @param isLast whether the request needs no further attempt
 * @param workDone the time that the answer took on one engine thread; negative if unknown
 * @param memoryUsedMb the memory that the answer needed, in megabytes; negative if unknown
 * @param queuedAtEngine requests of all dispatchers that are queued at the engine; negative if
 *     unknown
 * @param inFlightAtEngine requests of all dispatchers that are in flight at the engine, with the
 *     queued ones; negative if unknown
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
  /** The result of an attempt. */
  public enum AttemptResult {
    COMPLETED(false),
    ERROR(false),
    CAPACITY_EXCEEDED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    CONNECTION_LOST(false),
    CANCELLED(false),
    NEVER_SENT(true),
    /**
     * The attempt was not sent for a reason on this side, which says nothing of engines: no
     * connection could be opened, or the client has disconnected before.
     */
    LOCAL_FAILURE(true);

    private final boolean neverRan;

    AttemptResult(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** Returns whether the result proves that no engine ran the request. */
    public boolean hasNeverRun() {
      return neverRan;
    }
  }
}
