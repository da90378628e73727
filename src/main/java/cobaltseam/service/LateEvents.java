package cobaltseam.service;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The events of the endpoint watch that were skipped as lost, so that one which arrives after all
 * is still applied, but undoes no later change. Confined to the event-loop thread.
 */
final class LateEvents {
  private static final long NONE = -1;

  /** After this many events beyond a skipped one, the skipped ones count as lost for good. */
  private static final int MAX_LATER_EVENTS = 4096;

  /** The offset of the first event that was skipped, or {@link #NONE}. */
  private long firstSkipped = NONE;

  /** The offsets of the events that were applied since {@link #firstSkipped}. */
  private final Set<Long> applied = new HashSet<>();

  /** The offset of the last event since {@link #firstSkipped} that changed each engine. */
  private final Map<EngineId, Long> lastChanges = new HashMap<>();

  /** Records that the event at this offset, and possibly some that follow, were skipped. */
  void skip(long offset) {
    if (firstSkipped == NONE) {
      firstSkipped = offset;
    }
  }

  /** Returns the offset after which to request events: before the first that was skipped. */
  long requestOffset(long lastOffset) {
    return firstSkipped == NONE ? lastOffset : firstSkipped - 1;
  }

  /** Whether the event at this offset, which is not beyond the last one, was skipped. */
  boolean isSkipped(long offset) {
    return firstSkipped != NONE && offset >= firstSkipped && !applied.contains(offset);
  }

  /** Records an event that is applied in its order. */
  void recordApplied(WatchEvent event) {
    if (event.isComplete() || applied.size() >= MAX_LATER_EVENTS) {
      clear();
    } else {
      recordAppliedLate(event);
    }
  }

  /** Records a skipped event that is applied. */
  void recordAppliedLate(WatchEvent event) {
    if (firstSkipped != NONE) {
      applied.add(event.offset());
      event
          .endpoints()
          .forEach(status -> lastChanges.merge(status.engine(), event.offset(), Math::max));
    }
  }

  private void clear() {
    firstSkipped = NONE;
    applied.clear();
    lastChanges.clear();
  }

  /**
   * Returns the part of a skipped event that no later event has changed. A complete list becomes a
   * list of changes if any later event was applied, since engines may have been added by it.
   */
  WatchEvent withoutLaterChanges(WatchEvent event) {
    List<EndpointStatus> endpoints =
        event.endpoints().stream()
            .filter(status -> lastChanges.getOrDefault(status.engine(), NONE) < event.offset())
            .toList();
    boolean isLatest = applied.stream().allMatch(offset -> offset < event.offset());
    return new WatchEvent(
        event.offset(), event.isComplete() && isLatest, endpoints, event.addresses());
  }
}
