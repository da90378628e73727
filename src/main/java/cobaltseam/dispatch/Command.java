package cobaltseam.dispatch;

/**
 * A command as it was taken. Its work is the estimated time on one thread, zero where none is
 * given, and so its memory. The key and the data set are null where the command has none, the share
 * where the deployment has none.
 */
public record Command(
    CommandId id,
    ProfileId profile,
    ShareId share,
    OrderKey key,
    Moment clientTimeout,
    Span work,
    DataSetId dataSet,
    double memoryMb) {}
