package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a membership is set to.
 *
 * @param period the time between two probes of this process, from 50 ms to 10 s
 * @param patience periods, beside one for each tenfold of members, for which one that is suspected
 *     by several may refute
 * @param helpers how many are asked to probe in its place one that does not answer
 * @param founders the names that found the first view, all of them together
 * @param seeds addresses to ask for members; some may be dead
 * @param longestSend after which nothing that a process had sent to engines can still hold them
 */
public record Terms(
    TimeSpan period,
    double patience,
    int helpers,
    List<MemberName> founders,
    List<InetSocketAddress> seeds,
    TimeSpan longestSend) {
  public Terms {
    founders = founders.stream().sorted().toList();
    seeds = List.copyOf(seeds);
  }
}
