package cobaltseam.postgres;

/**
 * What a statement says of its command. The profile, the call and the time to live are there in
 * each that can be used; the share is null where none is named, the estimates are zero where none
 * are given, the data set is below zero where none is read. The idempotency key, by which engines
 * know a repeat, is null where the client names none. The text is the statement as it came, without
 * the comment that holds the fields.
 */
public record Statement(
    String profile,
    String call,
    long timeToLiveMs,
    String share,
    double workMs,
    double memoryMb,
    long dataSet,
    String idempotencyKey,
    byte[] text) {}
