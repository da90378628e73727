package cobaltseam.dispatch;

/** Names the caller's name for one command. */
public record RequestId(String value) {}
