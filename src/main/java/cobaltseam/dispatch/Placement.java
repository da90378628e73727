package cobaltseam.dispatch;

/**
 * The decision on a request.
 *
 * @param engine the engine to send the request to; null unless the decision is SEND
 * @param attemptTimeout how long the attempt may take; zero unless the decision is SEND
 * @param priority the engine priority; -1 leaves it to the engine
 * @param retryAfter the delay after which the client may retry; zero names no delay; only with SHED
 * @param memoryGrantMb the memory granted, in megabytes; 0 leaves it to the engine
 * @param maxStartDelay the longest delay until the attempt starts, for example while it waits for a
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
   * Sends the request, queues it, or gives one of the two final answers: SHED, after which a client
   * may safely retry, or FAIL.
   */
  public enum Decision {
    SEND,
    QUEUE,
    SHED,
    FAIL
  }

  /** Sends the request without a memory grant and without a bound on its start. */
  public static Placement send(EngineId engine, TimeSpan timeout, int priority) {
    return send(engine, timeout, priority, 0, null);
  }

  /** Sends the request; the parameters are those of the record. */
  public static Placement send(
      EngineId engine,
      TimeSpan timeout,
      int priority,
      double memoryGrantMb,
      TimeSpan maxStartDelay) {
    return new Placement(
        Decision.SEND, engine, timeout, priority, TimeSpan.ZERO, memoryGrantMb, maxStartDelay);
  }

  /** Leaves the request queued, or its attempt in flight: there is nothing to do now. */
  public static Placement queue() {
    return new Placement(Decision.QUEUE, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }

  /** Sheds the request; a delay of zero does not say when the client may retry. */
  public static Placement shed(TimeSpan retryAfter) {
    return new Placement(Decision.SHED, null, TimeSpan.ZERO, -1, retryAfter, 0, null);
  }

  /** Fails the request, which may have run and must not run again. */
  public static Placement fail() {
    return new Placement(Decision.FAIL, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }
}
