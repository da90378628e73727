package cobaltseam.dispatch;

/** Names one profile of commands. */
public record ProfileId(String value) {}
