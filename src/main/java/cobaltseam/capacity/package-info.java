/**
 * Division of the engines' capacity between the members of the fleet.
 *
 * <p>Entry points: {@link cobaltseam.capacity.CapacityLeases} says which part of a whole this
 * process may use, such that the parts of all members never exceed the whole; {@link
 * cobaltseam.capacity.LoadReports} spreads the latest load report of each engine; {@link
 * cobaltseam.capacity.DemandEstimate} turns a running sum into a decaying average rate.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread. Times are microseconds of a monotonic clock unless a name says
 * otherwise; amounts are indivisible units of the whole.
 */
package cobaltseam.capacity;
