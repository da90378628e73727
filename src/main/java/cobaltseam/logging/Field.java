package cobaltseam.logging;

/**
 * A named parameter of a log record. A JSON log line has a separate field for it; a text log line
 * contains only the value.
 */
public record Field(String name, Object value) {
  /** The name of the field that holds the event id; text log lines do not contain it. */
  static final String EVENT = "event";

  /** Creates the field that holds the event id of a log record; see docs/on-call.md. */
  public static Field event(String name) {
    return new Field(EVENT, name);
  }

  /** Creates a field. */
  public static Field of(String name, Object value) {
    return new Field(name, value);
  }

  @Override
  public String toString() {
    return String.valueOf(value);
  }
}
