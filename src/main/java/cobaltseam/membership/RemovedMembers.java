package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the members that views removed. The number of removalCounts of a member delays its
 * readmission; until the attempts that a removed member sent have certainly ended, they may occupy
 * engines.
 */
final class RemovedMembers implements ViewListener {
  /** The maximum number of members whose removalCounts are counted. */
  private static final int MAX_COUNTED_MEMBERS = 4096;

  /** How long a process must be alive before it is admitted for the first time. */
  private static final double ADMISSION_PERIODS = 1;

  /**
   * How long a process that was removed once must be alive before it is admitted again. The time
   * doubles with each further removal, at most {@link #MAX_DOUBLINGS} times.
   */
  private static final double READMISSION_PERIODS = 10;

  private static final int MAX_DOUBLINGS = 6;

  private final MembershipOptions options;

  /** How often each process was removed, in the order of the latest removal of each. */
  private final Map<Member, Integer> removalCounts = new LinkedHashMap<>();

  /** Until when attempts of each removed member may occupy engines. */
  private final Map<Member, Timestamp> occupiedUntil = new HashMap<>();

  RemovedMembers(MembershipOptions options) {
    this.options = options;
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    if (view == null) {
      return;
    }
    if (before != null && before.id().lineage() == view.id().lineage()) {
      for (Member member : before.members()) {
        if (!view.contains(member.name(), member.incarnation())) {
          recordRemoval(member, now);
        }
      }
      while (removalCounts.size() > MAX_COUNTED_MEMBERS) {
        removalCounts.remove(removalCounts.keySet().iterator().next());
      }
    }
    view.members().forEach(occupiedUntil::remove);
  }

  private void recordRemoval(Member member, Timestamp now) {
    occupiedUntil.put(member, now.plus(options.maxAttemptDuration()));
    Integer previousCount = removalCounts.remove(member);
    removalCounts.put(member, previousCount == null ? 1 : previousCount + 1);
  }

  /** How long a process must have been alive before the view may admit it. */
  TimeSpan admissionDelay(Member member) {
    Integer count = removalCounts.get(member);
    double periods =
        count == null
            ? ADMISSION_PERIODS
            : READMISSION_PERIODS * (1 << Math.min(MAX_DOUBLINGS, count - 1));
    return options.healthCheckInterval().times(periods);
  }

  /** The number of removed members whose attempts may still occupy engines. */
  int occupyingMemberCount(Timestamp now) {
    occupiedUntil.values().removeIf(until -> !now.isBefore(until));
    return occupiedUntil.size();
  }

  /** When {@link #occupyingMemberCount} next decreases; null if it is zero. */
  Timestamp nextExpiry() {
    return occupiedUntil.values().stream().min(Timestamp::compareTo).orElse(null);
  }
}
