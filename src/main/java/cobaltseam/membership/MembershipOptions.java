package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of {@link Membership}.
 *
 * @param healthCheckInterval the time between two health check rounds, from 50 ms to 10 s
 * @param suspicionTimeoutPeriods the base of the time, in health check intervals, within which a
 *     member suspected by several others can refute; one interval is added for each factor of ten
 *     in the number of members
 * @param relayCount the number of relays that are asked to check a member that does not answer a
 *     direct health check
 * @param bootstrapMembers the names of the members that create the first view together
 * @param seeds addresses of possible members, which are asked for their state; some may be
 *     unreachable
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
  /** Sorts the bootstrap members by name and copies the lists. */
  public MembershipOptions {
    bootstrapMembers = bootstrapMembers.stream().sorted().toList();
    seeds = List.copyOf(seeds);
  }
}
