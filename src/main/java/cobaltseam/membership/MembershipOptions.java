package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a membership is set to.
 *
 * @param healthCheckInterval the time between two probes of this process, from 50 ms to 10 s
 * @param healthCheckTimeout periods, beside one for each tenfold of members, for which one that is
 *     suspected by several may refute
 * @param relayCount how many are asked to probe in its place one that does not answer
 * @param bootstrapMembers the names that found the first view, all of them together
 * @param seeds addresses to ask for members; some may be dead
 * @param maxSendDelay after which nothing that a process had sent to engines can still hold them
 */
public record MembershipOptions(
    TimeSpan healthCheckInterval,
    double healthCheckTimeout,
    int relayCount,
    List<MemberName> bootstrapMembers,
    List<InetSocketAddress> seeds,
    TimeSpan maxSendDelay) {
  public MembershipOptions {
    bootstrapMembers = bootstrapMembers.stream().sorted().toList();
    seeds = List.copyOf(seeds);
  }
}
