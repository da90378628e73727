package cobaltseam.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Updates that are still to be spread, the least often sent first. Each is sent a multiple of the
 * logarithm of the number of members, which reaches all of them with high probability (Demers et
 * al., "Epidemic Algorithms", 1987; Das et al., "SWIM", 2002). It keeps at most one update a name.
 */
final class GossipQueue {
  private static final double TRANSMISSION_FACTOR = 3;

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

  /** Adds an update in place of an earlier one of the same name. */
  void add(MemberUpdate update) {
    QueuedUpdate old = byName.remove(update.member().name());
    if (old != null) {
      queue.remove(old);
    }
    put(new QueuedUpdate(0, nextSequence++, update));
  }

  private void put(QueuedUpdate queued) {
    queue.add(queued);
    byName.put(queued.update.member().name(), queued);
  }

  /** Up to {@code maxUpdates} updates to send next, in a fleet of so many members; modifiable. */
  List<MemberUpdate> next(int maxUpdates, int members) {
    List<QueuedUpdate> sent = new ArrayList<>();
    while (sent.size() < maxUpdates && !queue.isEmpty()) {
      sent.add(queue.pollFirst());
    }
    int limit = (int) Math.ceil(TRANSMISSION_FACTOR * Math.log(members + 1) / Math.log(2));
    for (QueuedUpdate queued : sent) {
      byName.remove(queued.update.member().name());
      if (queued.transmissions + 1 < limit) {
        put(new QueuedUpdate(queued.transmissions + 1, queued.sequence, queued.update));
      }
    }
    return new ArrayList<>(sent.stream().map(QueuedUpdate::update).toList());
  }
}
