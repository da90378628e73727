package cobaltseam.dispatch;

/** Identifies a request; the caller reuses no id while a request with that id is open. */
public record RequestId(String value) {}
