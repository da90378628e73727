/**
 * The dispatch policy of one dispatcher: which engine runs a request, when it waits, when it is
 * retried and when it is shed.
 *
 * <p>{@link cobaltseam.dispatch.Dispatcher} is the entry point and the only class with behaviour
 * that callers use. The other public types are values that are passed to it or returned by it. Each
 * package-private class behind it has a single responsibility and owns the state that it changes.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: every call is given the current
 * time, and random numbers come from a seeded generator. The package is not thread-safe; a single
 * thread owns a dispatcher. Times are in microseconds ({@link cobaltseam.dispatch.Timestamp},
 * {@link cobaltseam.dispatch.TimeSpan}), memory is in megabytes, and work is the time that a
 * request takes on a single engine thread.
 */
package cobaltseam.dispatch;
