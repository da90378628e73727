package cobaltseam.dispatch;

/** Names the caller's name for one command. */
public record CommandId(String value) {}
