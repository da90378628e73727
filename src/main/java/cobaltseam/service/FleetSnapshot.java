package cobaltseam.service;

import cobaltseam.capacity.CapacityLeases;
import cobaltseam.dispatch.Deployment;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * An immutable snapshot of the fleet's state for the event loop. It includes the changes that take
 * effect as time passes, so that the event loop changes to conservative settings and a smaller
 * capacity share in time even if the fleet's thread does not run. Times are microseconds of the
 * service's clock.
 *
 * @param engineSharers the number of dispatchers that share the engines; 0 if there is no view
 * @param active the dispatch settings to use until {@code activeUntilUs}, or null if the fleet does
 *     not agree on settings
 * @param fallback the dispatch settings to use from {@code activeUntilUs} on
 * @param activeUntilUs when {@code active} ends
 * @param shareEndsUs when each of {@code capacityShares} ends, ascending; null if all dispatchers
 *     have equal shares
 * @param capacityShares the usable shares of the engine capacity, from 0 to 1, one after the other;
 *     null if all dispatchers have equal shares
 */
record FleetSnapshot(
    int engineSharers,
    Deployment active,
    Deployment fallback,
    long activeUntilUs,
    long[] shareEndsUs,
    double[] capacityShares) {
  /** The snapshot before any other is published, or without a fleet. */
  static final FleetSnapshot NONE = new FleetSnapshot(0, null, null, Long.MAX_VALUE, null, null);

  /**
   * A copy with the capacity shares that capacity leases permit.
   *
   * @param steps the usable amounts, in ascending order of their ends; the last never ends
   * @param total the amount that stands for the total engine capacity
   */
  FleetSnapshot withCapacityShares(List<CapacityLeases.CapacityStep> steps, long total) {
    long[] ends =
        steps.stream()
            .mapToLong(step -> step.until() == null ? Long.MAX_VALUE : step.until().us())
            .toArray();
    double[] shares = steps.stream().mapToDouble(step -> (double) step.amount() / total).toArray();
    return new FleetSnapshot(engineSharers, active, fallback, activeUntilUs, ends, shares);
  }

  /** Whether all values equal those of another snapshot; settings are compared by identity. */
  boolean isLike(FleetSnapshot other) {
    return engineSharers == other.engineSharers
        && active == other.active
        && fallback == other.fallback
        && activeUntilUs == other.activeUntilUs
        && Arrays.equals(shareEndsUs, other.shareEndsUs)
        && Arrays.equals(capacityShares, other.capacityShares);
  }

  /** Each capacity share with its end in microseconds, for the audit log. */
  String sharesText() {
    return IntStream.range(0, capacityShares.length)
        .mapToObj(i -> capacityShares[i] + "@" + shareEndsUs[i])
        .collect(Collectors.joining(" "));
  }

  /** The capacity share that may be used at this time; to be called only if shares are set. */
  double usableShare(long nowUs) {
    int step = 0;
    while (step < shareEndsUs.length - 1 && nowUs >= shareEndsUs[step]) {
      step++;
    }
    return capacityShares[step];
  }

  /**
   * When the settings or the capacity share of this snapshot next change as time passes, or {@link
   * Long#MAX_VALUE} if they never do.
   */
  long nextChangeUs(long nowUs) {
    long settingsChangeUs = nowUs < activeUntilUs ? activeUntilUs : Long.MAX_VALUE;
    for (int i = 0; shareEndsUs != null && i < shareEndsUs.length; i++) {
      if (shareEndsUs[i] > nowUs) {
        return Math.min(settingsChangeUs, shareEndsUs[i]);
      }
    }
    return settingsChangeUs;
  }
}
