package cobaltseam.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News that is still to be spread, the least told first, each so often that it reaches all with
 * high probability: some times the logarithm of how many there are (Demers et al., "Epidemic
 * Algorithms", 1987; Das et al., "SWIM", 2002). One news of a name at most, so no more are held
 * than there are names.
 */
final class GossipQueue {
  private static final double TIMES = 3;

  private record QueuedUpdate(int told, long turn, MemberUpdate news)
      implements Comparable<QueuedUpdate> {
    @Override
    public int compareTo(QueuedUpdate other) {
      int order = Integer.compare(told, other.told);
      return order != 0 ? order : Long.compare(turn, other.turn);
    }
  }

  private final TreeSet<QueuedUpdate> waiting = new TreeSet<>();
  private final Map<MemberName, QueuedUpdate> byName = new HashMap<>();
  private long turns;

  void add(MemberUpdate news) {
    QueuedUpdate old = byName.remove(news.member().name());
    if (old != null) {
      waiting.remove(old);
    }
    put(new QueuedUpdate(0, turns++, news));
  }

  private void put(QueuedUpdate update) {
    waiting.add(update);
    byName.put(update.news.member().name(), update);
  }

  /** What to tell next, no more than this many, among so many members. */
  List<MemberUpdate> next(int most, int members) {
    List<QueuedUpdate> told = new ArrayList<>();
    while (told.size() < most && !waiting.isEmpty()) {
      told.add(waiting.pollFirst());
    }
    int limit = (int) Math.ceil(TIMES * Math.log(members + 1) / Math.log(2));
    for (QueuedUpdate r : told) {
      byName.remove(r.news.member().name());
      if (r.told + 1 < limit) {
        put(new QueuedUpdate(r.told + 1, r.turn, r.news));
      }
    }
    return new ArrayList<>(told.stream().map(QueuedUpdate::news).toList());
  }

  int size() {
    return waiting.size();
  }
}
