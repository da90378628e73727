package cobaltseam.dispatch;

/** The caller's name for one request; not used for another while that one is open. */
public record RequestId(String value) {}
