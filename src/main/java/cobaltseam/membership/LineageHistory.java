package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The lineages that this process has left, and the lineages known to have ended. Both sets are
 * bounded and part of the persistent state.
 */
final class LineageHistory {
  /**
   * The largest number of lineages in each set. A process that has left this many joins no other
   * lineage until it restarts without this history.
   */
  private static final int MAX_LINEAGES = 64;

  private final FailureDetector detector;
  private final ActionBuffer actions;

  /**
   * By lineage that this process left, the number of the last view that it had installed. It never
   * installs that view or an earlier one again, because it has discarded the promises made in them.
   */
  private final Map<Long, Long> left = new HashMap<>();

  /** By lineage known to have ended, the number of its last view, which has no successor. */
  private final Map<Long, Long> ended = new HashMap<>();

  LineageHistory(FailureDetector detector, ActionBuffer actions) {
    this.detector = detector;
    this.actions = actions;
  }

  /** Restores both sets from the state of the former process. */
  void restore(PersistentState former) {
    left.putAll(former.leftLineages());
    ended.putAll(former.endedLineages());
  }

  /** By lineage that this process left, the number of its last view there; unmodifiable. */
  Map<Long, Long> leftLineages() {
    return Collections.unmodifiableMap(left);
  }

  /** By lineage known to have ended, the number of its last view; unmodifiable. */
  Map<Long, Long> endedLineages() {
    return Collections.unmodifiableMap(ended);
  }

  /**
   * Records that this process leaves the lineage of a view.
   *
   * @param last the last view that this process had installed
   */
  void recordLeft(ViewId last) {
    left.merge(last.lineage(), last.number(), Math::max);
  }

  boolean hasLeft(long lineage) {
    return left.containsKey(lineage);
  }

  /** Whether this process may install a view with this id while it has none. */
  boolean canJoin(ViewId id) {
    Long leftAt = left.get(id.lineage());
    return id.lineage() != 0
        && (leftAt == null ? left.size() < MAX_LINEAGES : id.number() > leftAt);
  }

  /**
   * Records that a view is the last of its lineage, and reports that to peers from now on, so that
   * processes removed from the view do not wait for a successor.
   */
  void recordEnded(ViewId last) {
    Long known = ended.get(last.lineage());
    if (last.lineage() == 0
        || known != null && known >= last.number()
        || known == null && ended.size() >= MAX_LINEAGES) {
      return;
    }
    ended.put(last.lineage(), last.number());
    actions.recordEvent(
        MembershipEvent.LINE_ENDED, detector.self().name(), "view " + last + " has no successor");
    reportLatestEnded();
  }

  /** Reports the last view of the latest ended lineage to peers. */
  void reportLatestEnded() {
    ended.keySet().stream()
        .max(Long::compare)
        .ifPresent(lineage -> detector.reportEndedView(new ViewId(lineage, ended.get(lineage))));
  }

  /** Whether the lineage of a view has ended with that view or a later one. */
  boolean hasEnded(ViewId id) {
    Long last = ended.get(id.lineage());
    return last != null && id.number() <= last;
  }

  /** Whether the lineage of a view has ended with a later view. */
  boolean hasEndedLater(ViewId id) {
    Long last = ended.get(id.lineage());
    return last != null && id.number() < last;
  }
}
