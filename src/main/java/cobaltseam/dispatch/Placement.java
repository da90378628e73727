package cobaltseam.dispatch;

/**
 * Where a command goes. Only SEND names an engine; a priority of -1 leaves it to the engine. Only
 * SHED may advise when to come back. A grant of memory of 0 leaves it to the engine. A send that
 * has a {@code startWithin} must not begin after that span, however long it waits for a connection;
 * null sets no bound.
 */
public record Placement(
    Verdict verdict,
    EngineId engine,
    Span sendTimeout,
    int priority,
    Span comeBack,
    double grantMb,
    Span startWithin) {
  /** Send it there, write nothing for now, or give it one of the two final answers. */
  public enum Verdict {
    SEND,
    HOLD,
    SHED,
    FAIL
  }

  public static Placement send(EngineId engine, Span timeout, int priority) {
    return send(engine, timeout, priority, 0, null);
  }

  public static Placement send(
      EngineId engine, Span timeout, int priority, double grantMb, Span startWithin) {
    return new Placement(Verdict.SEND, engine, timeout, priority, Span.ZERO, grantMb, startWithin);
  }

  public static Placement hold() {
    return new Placement(Verdict.HOLD, null, Span.ZERO, -1, Span.ZERO, 0, null);
  }

  public static Placement shed(Span comeBack) {
    return new Placement(Verdict.SHED, null, Span.ZERO, -1, comeBack, 0, null);
  }

  public static Placement fail() {
    return new Placement(Verdict.FAIL, null, Span.ZERO, -1, Span.ZERO, 0, null);
  }
}
