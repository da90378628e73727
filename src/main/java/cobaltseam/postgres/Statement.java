package cobaltseam.postgres;

/**
 * A statement of a client, with the fields of its leading comment, which describe its request.
 *
 * @param requestClass the name of the request class
 * @param callId the id that the client gave the request, 16 hex digits
 * @param timeToLiveMs the time to live that the client gave the request, in milliseconds
 * @param tenant the name of the tenant, or null
 * @param workMs the estimated work, in milliseconds on one engine thread; 0 if none is given
 * @param memoryMb the estimated memory, in megabytes; 0 if none is given
 * @param dataSetId the number of the data set that the statement uses; negative if there is none
 * @param idempotencyKey the key by which engines recognise a retry, or null
 * @param text the statement as received, but without the comment that contains the fields
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
