package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The members that views removed: how often, which delays their readmission, and until when
 * attempts that they sent may still occupy engines.
 */
final class RemovedMembers implements ViewListener {
  private static final int MAX_REMOVALS = 4096;

  /** How long a new member must be alive before it is admitted. */
  private static final double ADMISSION_PERIODS = 1;

  /** The same for a member that was removed once; it doubles with each removal. */
  private static final double READMISSION_PERIODS = 10;

  private static final int MAX_DOUBLINGS = 6;

  private final MembershipOptions options;

  /** How often each process was removed; the one removed last comes last. */
  private final Map<Member, Integer> removals = new LinkedHashMap<>();

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
      while (removals.size() > MAX_REMOVALS) {
        removals.remove(removals.keySet().iterator().next());
      }
    }
    view.members().forEach(occupiedUntil::remove);
  }

  private void recordRemoval(Member member, Timestamp now) {
    occupiedUntil.put(member, now.plus(options.maxAttemptDuration()));
    Integer former = removals.remove(member);
    removals.put(member, former == null ? 1 : former + 1);
  }

  /** How long a process must have been alive before it is added to the view. */
  TimeSpan admissionDelay(Member member) {
    Integer count = removals.get(member);
    double periods =
        count == null
            ? ADMISSION_PERIODS
            : READMISSION_PERIODS * (1 << Math.min(MAX_DOUBLINGS, count - 1));
    return options.healthCheckInterval().times(periods);
  }

  /** The number of removed members whose attempts may still occupy engines. */
  int occupyingCount(Timestamp now) {
    occupiedUntil.values().removeIf(until -> !now.isBefore(until));
    return occupiedUntil.size();
  }

  /** When {@link #occupyingCount} next falls; null if it is zero. */
  Timestamp nextExpiry() {
    return occupiedUntil.values().stream().min(Timestamp::compareTo).orElse(null);
  }
}
