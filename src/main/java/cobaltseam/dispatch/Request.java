package cobaltseam.dispatch;

/**
 * A request as the dispatcher accepted it.
 *
 * @param tenant null if the deployment has no quotas
 * @param sequenceKey requests with the same key may have to run in order; null if this request has
 *     no such key
 * @param deadline when the client stops waiting for the answer
 * @param work the estimated time on one engine thread; zero if unknown
 * @param dataSet the data set that the request reads; null if it reads none, or if unknown
 * @param memoryMb the estimated memory, in megabytes; zero if unknown
 */
public record Request(
    RequestId id,
    RequestClassId requestClass,
    TenantId tenant,
    SequenceKey sequenceKey,
    Timestamp deadline,
    TimeSpan work,
    DataSetId dataSet,
    double memoryMb) {}
