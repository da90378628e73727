/**
 * Connects the decision modules of the fleet.
 *
 * <p>Entry point: {@link cobaltseam.coordination.FleetCoordinator}. It routes each message to its
 * module and updates the modules in a fixed order: membership, lease, agreement, gossip, capacity
 * leases, retry budget, load reports.
 *
 * <p>This package does no I/O and starts no thread: the caller passes the time, calls from one
 * thread, and carries out the effects.
 */
package cobaltseam.coordination;
