/**
 * Membership of the fleet: which dispatchers belong to it, as a sequence of views each of which a
 * majority has agreed on, and the lease under which a process may act on its installed view.
 *
 * <p>Entry points are {@link cobaltseam.membership.Membership} and {@link
 * cobaltseam.membership.Lease}. The lower layer, the failure detector, follows SWIM (Das et al.,
 * 2002) with the extensions of Lifeguard (Dadgar et al., 2018): health checks, indirect checks
 * through relays, suspicions, refutations and gossip. The upper layer chooses the successor of each
 * view with a single-decree Paxos among its members, as view changes in Rapid (Suresh et al., 2018)
 * do. Views form lineages; a lineage begins with a bootstrap, and each further view of it follows
 * from its predecessor.
 *
 * <p>The package does no I/O and starts no thread. Time (microseconds, as {@code Timestamp} and
 * {@code TimeSpan}), randomness and received messages are arguments; messages to send, states to
 * persist and events to log are results. Instances are not thread-safe. Constants and settings
 * whose name ends in "periods" are multiples of {@link
 * cobaltseam.membership.MembershipOptions#healthCheckInterval}.
 */
package cobaltseam.membership;
