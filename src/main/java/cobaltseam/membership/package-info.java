/**
 * Membership of the fleet: which dispatchers belong to it, as views that a majority agrees on, and
 * the lease under which a process may act on its view.
 *
 * <p>Entry points are {@link cobaltseam.membership.Membership} and {@link
 * cobaltseam.membership.Lease}. The lower layer, the failure detector, follows SWIM (Das et al.,
 * 2002) with the changes of Lifeguard (Dadgar et al., 2018): health checks, relays, suspicions,
 * refutations and gossip. The upper layer chooses the successor of each view with a single-decree
 * Paxos among its members, as view changes in Rapid (Suresh et al., 2018) do. Views form lineages;
 * a lineage begins with a bootstrap.
 *
 * <p>The package does no I/O and starts no thread. Time (microseconds, as {@code Timestamp} and
 * {@code TimeSpan}), randomness and received messages are arguments; messages to send, states to
 * persist and events to log are results. Instances are not thread-safe. Periods are multiples of
 * {@link cobaltseam.membership.MembershipOptions#healthCheckInterval}.
 */
package cobaltseam.membership;
