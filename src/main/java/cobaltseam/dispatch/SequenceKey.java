package cobaltseam.dispatch;

/** Names what commands that run in turn have in common. */
public record SequenceKey(String value) {}
