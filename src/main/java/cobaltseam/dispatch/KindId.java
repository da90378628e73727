package cobaltseam.dispatch;

/** Names one kind of machine. */
public record KindId(String value) {}
