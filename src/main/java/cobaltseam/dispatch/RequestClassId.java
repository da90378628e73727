package cobaltseam.dispatch;

/** Names one profile of commands. */
public record RequestClassId(String value) {}
