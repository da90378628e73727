package cobaltseam.dispatch;

/** Names what requests that have to run one after another have in common. */
public record SequenceKey(String value) {}
