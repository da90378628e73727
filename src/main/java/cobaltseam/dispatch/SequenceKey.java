package cobaltseam.dispatch;

/** Identifies requests that have to run one after another. */
public record SequenceKey(String value) {}
