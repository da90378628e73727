/**
 * Division of the engines' capacity between the members of the fleet.
 *
 * <p>Entry points: {@link cobaltseam.capacity.CapacityLeases} determines the amount of the total
 * capacity that this process may use, such that the amounts of all members never exceed the total;
 * {@link cobaltseam.capacity.LoadReports} exchanges the latest load report of each engine between
 * members; {@link cobaltseam.capacity.DemandEstimate} turns a running sum into a decaying average
 * rate.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread. Times are microseconds of a monotonic clock unless a name says
 * otherwise; amounts are indivisible units of the total capacity.
 */
package cobaltseam.capacity;
