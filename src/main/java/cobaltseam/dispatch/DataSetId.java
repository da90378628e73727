package cobaltseam.dispatch;

/** Identifies a data set that requests read. */
public record DataSetId(long value) {}
