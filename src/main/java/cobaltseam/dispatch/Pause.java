package cobaltseam.dispatch;

/**
 * What to ask about next, and when: a held command (ask {@code place}), an engine to probe, a
 * command whose send to call off, or, with none named, only when to ask {@code pause} again. A span
 * of zero means now; a null span means that nothing waits.
 */
public record Pause(Command command, EngineId probe, int callOff, Span span) {
  private static final int NONE = -1;

  public static Pause ask(Command command) {
    return new Pause(command, null, NONE, Span.ZERO);
  }

  public static Pause probe(EngineId engine) {
    return new Pause(null, engine, NONE, Span.ZERO);
  }

  public static Pause callOff(Command command, int send) {
    return new Pause(command, null, send, Span.ZERO);
  }

  public static Pause until(Span span) {
    return new Pause(null, null, NONE, span);
  }
}
