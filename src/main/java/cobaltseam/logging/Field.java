package cobaltseam.logging;

/**
 * A value in a log line that has a name of its own where lines are written as JSON; as text only
 * its value shows.
 */
public record Field(String name, Object value) {
  /** The name of the event field: it never shows in text. */
  static final String EVENT = "event";

  /** Names what a line tells of; see docs/on-call.md. */
  public static Field event(String name) {
    return new Field(EVENT, name);
  }

  public static Field of(String name, Object value) {
    return new Field(name, value);
  }

  @Override
  public String toString() {
    return String.valueOf(value);
  }
}
