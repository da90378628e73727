/**
 * Gossip of small figures between the members of the fleet.
 *
 * <p>Entry point: {@link cobaltseam.sharing.StateGossip}. Each member publishes figures about
 * itself under a rising version. Members request newer figures from each other, so that a member
 * bounds the age of each figure by its own clock.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread. Times are microseconds of a monotonic clock.
 */
package cobaltseam.sharing;
