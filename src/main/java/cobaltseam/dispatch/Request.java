package cobaltseam.dispatch;

/**
 * A command as it was taken. Its work is the estimated time on one thread, zero where none is
 * given, and so its memory. The key and the data set are null where the command has none, the share
 * where the deployment has none.
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
