package cobaltseam.dispatch;

/**
 * What to ask about next, and when: a held command (ask {@code place}), an engine to probe, or,
 * with neither named, only when to ask {@code pause} again. A span of zero means now; a null span
 * means that nothing waits.
 */
public record Pause(Command command, EngineId probe, Span span) {
    public static Pause ask(Command command) {
        return new Pause(command, null, Span.ZERO);
    }

    public static Pause probe(EngineId engine) {
        return new Pause(null, engine, Span.ZERO);
    }

    public static Pause until(Span span) {
        return new Pause(null, null, span);
    }
}
