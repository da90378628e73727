package cobaltseam.postgres;

/**
 * A request, as the fields in the comment of its statement describe it.
 *
 * @param profile the name of its request class
 * @param call the client's id of the request, 16 hex digits
 * @param timeToLiveMs the client's time to live, in milliseconds
 * @param share the name of its tenant, or null
 * @param workMs the estimated work, in milliseconds of one thread, or 0
 * @param memoryMb the estimated memory, in megabytes, or 0
 * @param dataSet the number of the data set that it uses, or below zero
 * @param idempotencyKey by which engines recognise a retry, or null
 * @param text the statement as received, without the comment with the fields
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
