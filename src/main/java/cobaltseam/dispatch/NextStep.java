package cobaltseam.dispatch;

/**
 * What to ask about next, and when: a held command (ask {@code place}), an engine to probe, a
 * command whose send to call off, or, with none named, only when to ask {@code pause} again. A span
 * of zero means now; a null span means that nothing waits.
 */
public record NextStep(Request request, EngineId healthCheck, int cancelAttempt, TimeSpan delay) {
  private static final int NONE = -1;

  public static NextStep placeAgain(Request command) {
    return new NextStep(command, null, NONE, TimeSpan.ZERO);
  }

  public static NextStep healthCheck(EngineId engine) {
    return new NextStep(null, engine, NONE, TimeSpan.ZERO);
  }

  public static NextStep cancelAttempt(Request command, int send) {
    return new NextStep(command, null, send, TimeSpan.ZERO);
  }

  public static NextStep waitFor(TimeSpan span) {
    return new NextStep(null, null, NONE, span);
  }
}
