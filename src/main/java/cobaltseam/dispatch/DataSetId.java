package cobaltseam.dispatch;

/** Names the data set that a request reads. */
public record DataSetId(long value) {}
