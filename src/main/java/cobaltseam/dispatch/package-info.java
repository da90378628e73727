/**
 * The dispatch policy of one dispatcher: which engine runs a request, when it waits, when it is
 * retried and when it is shed.
 *
 * <p>{@link cobaltseam.dispatch.Dispatcher} is the entry point and the only class with behaviour
 * that callers use. The other public types are values that pass in and out of it. The
 * package-private classes behind it have one job each and own the state that they change.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: every call carries the present
 * time, and randomness comes from a seed. It is not thread safe; one thread owns a dispatcher.
 * Times are microseconds ({@link cobaltseam.dispatch.Timestamp}, {@link
 * cobaltseam.dispatch.TimeSpan}), memory is in megabytes, and work is the time that a request takes
 * on a single engine thread.
 */
package cobaltseam.dispatch;
