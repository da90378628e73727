package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of {@link Membership}.
 *
 * @param healthCheckInterval the time between two health check rounds, from 50 ms to 10 s
 * @param suspicionTimeoutPeriods the time, in health check intervals, that a member suspected by
 *     several has to refute; one more is added for each factor of ten in the number of members
 * @param relayCount how many relays check a member that does not answer a direct health check
 * @param bootstrapMembers the names of the members that create the first view together
 * @param seeds addresses to ask for members; not all have to answer
 * @param maxAttemptDuration the time after which no attempt that a process sent can still occupy an
 *     engine
 */
public record MembershipOptions(
    TimeSpan healthCheckInterval,
    double suspicionTimeoutPeriods,
    int relayCount,
    List<MemberName> bootstrapMembers,
    List<InetSocketAddress> seeds,
    TimeSpan maxAttemptDuration) {
  /** Sorts the bootstrap members by name. */
  public MembershipOptions {
    bootstrapMembers = bootstrapMembers.stream().sorted().toList();
    seeds = List.copyOf(seeds);
  }
}
