package cobaltseam.dispatch;

/** Identifies a request class. */
public record RequestClassId(String value) {}
