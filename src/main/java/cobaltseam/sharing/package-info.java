/**
 * Gossip of small figures between the members of the fleet.
 *
 * <p>Entry point: {@link cobaltseam.sharing.StateGossip}. Each member states figures of itself
 * under a rising version; members request what is newer from each other, so that the age of each
 * figure is bounded by the own clock.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread. Times are microseconds of a monotonic clock.
 */
package cobaltseam.sharing;
