package cobaltseam.dispatch;

/**
 * Where a command goes. Only SEND names an engine; a priority of -1 leaves it to the engine. Only
 * SHED may advise when to come back. A grant of memory of 0 leaves it to the engine. A send that
 * has a {@code startWithin} must not begin after that span, however long it waits for a connection;
 * null sets no bound.
 */
public record Placement(
    Decision decision,
    EngineId engine,
    TimeSpan attemptTimeout,
    int priority,
    TimeSpan retryAfter,
    double memoryGrantMb,
    TimeSpan startWithin) {
  /** Send it there, write nothing for now, or give it one of the two final answers. */
  public enum Decision {
    SEND,
    QUEUE,
    SHED,
    FAIL
  }

  public static Placement send(EngineId engine, TimeSpan timeout, int priority) {
    return send(engine, timeout, priority, 0, null);
  }

  public static Placement send(
      EngineId engine, TimeSpan timeout, int priority, double memoryGrantMb, TimeSpan startWithin) {
    return new Placement(
        Decision.SEND, engine, timeout, priority, TimeSpan.ZERO, memoryGrantMb, startWithin);
  }

  public static Placement queue() {
    return new Placement(Decision.QUEUE, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }

  public static Placement shed(TimeSpan retryAfter) {
    return new Placement(Decision.SHED, null, TimeSpan.ZERO, -1, retryAfter, 0, null);
  }

  public static Placement fail() {
    return new Placement(Decision.FAIL, null, TimeSpan.ZERO, -1, TimeSpan.ZERO, 0, null);
  }
}
