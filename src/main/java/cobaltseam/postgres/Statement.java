package cobaltseam.postgres;

/**
 * A request, as the fields in the comment of its statement describe it.
 *
 * @param requestClass the name of its request class
 * @param callId the client's id of the request, 16 hex digits
 * @param timeToLiveMs the client's time to live, in milliseconds
 * @param tenant the name of its tenant, or null
 * @param workMs the estimated work, in milliseconds of one thread, or 0
 * @param memoryMb the estimated memory, in megabytes, or 0
 * @param dataSetId the number of the data set that it uses, or below zero
 * @param idempotencyKey by which engines recognise a retry, or null
 * @param text the statement as received, without the comment with the fields
 */
public record Statement(
    String requestClass,
    String callId,
    long timeToLiveMs,
    String tenant,
    double workMs,
    double memoryMb,
    long dataSetId,
    String idempotencyKey,
    byte[] text) {}
