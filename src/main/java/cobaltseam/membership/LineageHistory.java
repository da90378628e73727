package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The lineages of views that this process has left, and those known to have ended. Both are bounded
 * and part of the persistent state.
 */
final class LineageHistory {
  /** Lineages that a process can leave; beyond it, it joins none until it is started again. */
  private static final int MAX_LINEAGES = 64;

  private final FailureDetector detector;
  private final ActionBuffer actions;

  /**
   * The number of the last view held of each lineage that was left. That view and those before it
   * are never accepted again: the promises made in them are forgotten.
   */
  private final Map<Long, Long> left = new HashMap<>();

  /** The number of the last view of each lineage that can have no successor. */
  private final Map<Long, Long> ended = new HashMap<>();

  LineageHistory(FailureDetector detector, ActionBuffer actions) {
    this.detector = detector;
    this.actions = actions;
  }

  void restore(PersistentState former) {
    left.putAll(former.leftLineages());
    ended.putAll(former.endedLineages());
  }

  Map<Long, Long> leftLineages() {
    return Collections.unmodifiableMap(left);
  }

  Map<Long, Long> endedLineages() {
    return Collections.unmodifiableMap(ended);
  }

  /** Records that this process leaves a lineage at this view. */
  void recordLeft(ViewId last) {
    left.merge(last.lineage(), last.number(), Math::max);
  }

  boolean hasLeft(long lineage) {
    return left.containsKey(lineage);
  }

  /** Whether a process without a view may install this one. */
  boolean canJoin(ViewId id) {
    Long leftAt = left.get(id.lineage());
    return id.lineage() != 0
        && (leftAt == null ? left.size() < MAX_LINEAGES : id.number() > leftAt);
  }

  /**
   * Remembers, and reports from now on, that a view has no successor, so that processes that it
   * removed do not wait for one.
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

  /** Reports the youngest ended lineage to the peers. */
  void reportLatestEnded() {
    ended.keySet().stream()
        .max(Long::compare)
        .ifPresent(lineage -> detector.reportEndedView(new ViewId(lineage, ended.get(lineage))));
  }

  /** Whether this view belongs to the ended part of its lineage. */
  boolean hasEnded(ViewId id) {
    Long last = ended.get(id.lineage());
    return last != null && id.number() <= last;
  }

  /** Whether its lineage has ended with a later view. */
  boolean hasEndedLater(ViewId id) {
    Long last = ended.get(id.lineage());
    return last != null && id.number() < last;
  }
}
