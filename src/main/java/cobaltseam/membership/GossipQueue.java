package cobaltseam.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The updates that this process still disseminates, the least often sent first. The number of
 * transmissions of each update is a multiple of the logarithm of the number of members, which
 * reaches all of them with high probability (Demers et al., "Epidemic Algorithms", 1987; Das et
 * al., "SWIM", 2002). The queue contains at most one update for each member name.
 */
final class GossipQueue {
  private static final double TRANSMISSION_FACTOR = 3;

  /**
   * A queued update; the queue is ordered by transmissions, then by age.
   *
   * @param transmissions how often the update has been sent
   * @param sequence the number of the update in the order in which updates were added
   */
  private record QueuedUpdate(int transmissions, long sequence, MemberUpdate update)
      implements Comparable<QueuedUpdate> {
    @Override
    public int compareTo(QueuedUpdate other) {
      int order = Integer.compare(transmissions, other.transmissions);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  private final TreeSet<QueuedUpdate> queue = new TreeSet<>();
  private final Map<MemberName, QueuedUpdate> byName = new HashMap<>();
  private long nextSequence;

  /** Adds an update and removes an earlier one about a member of the same name. */
  void add(MemberUpdate update) {
    QueuedUpdate replaced = byName.remove(update.member().name());
    if (replaced != null) {
      queue.remove(replaced);
    }
    put(new QueuedUpdate(0, nextSequence++, update));
  }

  private void put(QueuedUpdate queued) {
    queue.add(queued);
    byName.put(queued.update.member().name(), queued);
  }

  /**
   * Takes the updates to send next and counts a transmission of each.
   *
   * @param maxUpdates the maximum number of updates
   * @param memberCount the number of members of the fleet
   * @return a modifiable list
   */
  List<MemberUpdate> next(int maxUpdates, int memberCount) {
    List<QueuedUpdate> sent = new ArrayList<>();
    while (sent.size() < maxUpdates && !queue.isEmpty()) {
      sent.add(queue.pollFirst());
    }
    int maxTransmissions =
        (int) Math.ceil(TRANSMISSION_FACTOR * Math.log(memberCount + 1) / Math.log(2));
    for (QueuedUpdate queued : sent) {
      byName.remove(queued.update.member().name());
      if (queued.transmissions + 1 < maxTransmissions) {
        put(new QueuedUpdate(queued.transmissions + 1, queued.sequence, queued.update));
      }
    }
    return new ArrayList<>(sent.stream().map(QueuedUpdate::update).toList());
  }
}
