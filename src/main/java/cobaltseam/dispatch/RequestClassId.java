package cobaltseam.dispatch;

/** Names one class of requests. */
public record RequestClassId(String value) {}
