/**
 * Joins the decision modules of the fleet.
 *
 * <p>Entry point: {@link cobaltseam.coordination.FleetCoordinator}. It routes each message to its
 * module and lets the modules follow each other in a fixed order: membership, lease, agreement,
 * gossip, capacity leases, retry budget, load reports.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time, calls from one thread,
 * and carries out the effects.
 */
package cobaltseam.coordination;
