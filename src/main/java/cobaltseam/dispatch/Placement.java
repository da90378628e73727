package cobaltseam.dispatch;

/**
 * Where a command goes. Only SEND names an engine; a grant of 0 and a priority of -1 leave both
 * to the engine. Only SHED may advise when to come back.
 */
public record Placement(Verdict verdict, EngineId engine, Span sendTimeout, double grantMb,
                        int priority, Span comeBack) {
    /** Send it there, write nothing for now, or give it one of the two final answers. */
    public enum Verdict { SEND, HOLD, SHED, FAIL }

    public static Placement send(EngineId engine, Span timeout, double grantMb, int priority) {
        return new Placement(Verdict.SEND, engine, timeout, grantMb, priority, Span.ZERO);
    }

    public static Placement hold() {
        return new Placement(Verdict.HOLD, null, Span.ZERO, 0, -1, Span.ZERO);
    }

    public static Placement shed(Span comeBack) {
        return new Placement(Verdict.SHED, null, Span.ZERO, 0, -1, comeBack);
    }

    public static Placement fail() {
        return new Placement(Verdict.FAIL, null, Span.ZERO, 0, -1, Span.ZERO);
    }
}
