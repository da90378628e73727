package cobaltseam.dispatch;

/**
 * How one send ended. {@code over} is true when nothing more is owed for the command. The work and
 * memory that an answer needed, and the engine's queue and commands in hand, are below zero where
 * they are not told.
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
  /** What became of a send, and whether that proves that it never ran. */
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

    public boolean neverRan() {
      return neverRan;
    }
  }
}
