package cobaltseam.dispatch;

/** Names the data set that a command reads. */
public record DataSetId(long value) {}
