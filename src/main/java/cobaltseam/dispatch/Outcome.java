package cobaltseam.dispatch;

/**
 * How one send ended. {@code over} is true when nothing more is owed for the command. The work and
 * memory that an answer needed, and the engine's queue and commands in hand, are below zero where
 * they are not told.
 */
public record Outcome(
    CommandId command,
    int send,
    EngineId engine,
    Ending ending,
    Span latency,
    boolean over,
    Span workDone,
    double memoryMb,
    double queue,
    double inHand) {
  /** What became of a send, and whether that proves that it never ran. */
  public enum Ending {
    ANSWERED(false),
    ERROR(false),
    NO_ROOM(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    CUT(false),
    CANCELLED(false),
    NEVER_SENT(true);

    private final boolean neverRan;

    Ending(boolean neverRan) {
      this.neverRan = neverRan;
    }

    public boolean neverRan() {
      return neverRan;
    }
  }
}
