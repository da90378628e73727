package cobaltseam.dispatch;

/**
 * Where a request goes.
 *
 * @param engine where to send it; null unless the decision is SEND
 * @param attemptTimeout how long the attempt may take; zero unless the decision is SEND
 * @param priority the engine priority; -1 leaves it to the engine
 * @param retryAfter when the client may retry; zero says nothing of that; only with SHED
 * @param memoryGrantMb the memory granted, in megabytes; 0 leaves it to the engine
 * @param maxStartDelay the attempt must not start later than this, however long it waits for a
 *     connection; null sets no bound
 */
public record Placement(
    Decision decision,
    EngineId engine,
    TimeSpan attemptTimeout,
    int priority,
    TimeSpan retryAfter,
    double memoryGrantMb,
    TimeSpan maxStartDelay) {
  /**
   * Send it, do nothing for now, or give it one of the two final answers: SHED, which a client may
   * safely retry, or FAIL.
   */
  public enum Decision {
    SEND,
    QUEUE,
    SHED,
    FAIL
  }

  /** Sends it without a memory grant, to start at any time. */
  public static Placement send(EngineId engine, TimeSpan timeout, int priority) {
    return send(engine, timeout, priority, 0, null);
  }

  /** Sends it; the parameters are as those of the record. */
  public static Placement send(
      EngineId engine,
      TimeSpan timeout,
      int priority,
      double memoryGrantMb,
      TimeSpan maxStartDelay) {
    return new Placement(
        Decision.SEND, engine, timeout, priority, TimeSpan.ZERO, memoryGrantMb, maxStartDelay);
  }

  /** Does nothing for now. */
  public static Placement queue() {
    return new Placement(Decision.QUEUE, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }

  /** Sheds it; a delay of zero does not say when the client may retry. */
  public static Placement shed(TimeSpan retryAfter) {
    return new Placement(Decision.SHED, null, TimeSpan.ZERO, -1, retryAfter, 0, null);
  }

  /** Fails it: it may have run, and must not run again. */
  public static Placement fail() {
    return new Placement(Decision.FAIL, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }
}
