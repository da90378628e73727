package cobaltseam.dispatch;

/**
 * A request as it was accepted.
 *
 * @param tenant null if the deployment has no quotas
 * @param sequenceKey null if the request has no order to keep
 * @param deadline when its client stops waiting
 * @param work the estimated time on one engine thread; zero if unknown
 * @param dataSet null if it reads none, or if unknown
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
