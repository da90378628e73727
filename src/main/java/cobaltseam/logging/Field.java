package cobaltseam.logging;

/** A parameter of a log line: in JSON it is a field of its own, as text only its value shows. */
public record Field(String name, Object value) {
  /** The name of the event field: it never shows in text. */
  static final String EVENT = "event";

  /** The event id of a line; see docs/on-call.md. */
  public static Field event(String name) {
    return new Field(EVENT, name);
  }

  /** A named value. */
  public static Field of(String name, Object value) {
    return new Field(name, value);
  }

  @Override
  public String toString() {
    return String.valueOf(value);
  }
}
