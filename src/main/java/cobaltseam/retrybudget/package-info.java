/**
 * A limit on the ratio of retries that holds over the whole fleet.
 *
 * <p>Entry point: {@link cobaltseam.retrybudget.RetryBudget}. First attempts earn retries, which
 * may be spent within one window, either here or at another member that they are transferred to.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread; only the remaining retries are shared with the thread that spends
 * them. Amounts are thousandths of a retry; times are microseconds of a monotonic clock.
 */
package cobaltseam.retrybudget;
