package cobaltseam.service;

import cobaltseam.capacity.CapacityLeases;
import cobaltseam.dispatch.Deployment;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * An immutable snapshot of the fleet for the event loop. It also says what follows from it as time
 * passes, so that the event loop steps back in time even while the fleet's thread stands still.
 * Times are microseconds of the service's clock.
 *
 * @param carriers over how many dispatchers engines are shared; 0 if no view says so
 * @param active the settings to act on until {@code untilUs}, or null where the fleet agrees on
 *     none
 * @param fallback the settings to act on from then on
 * @param activeUntilUs when {@code acts} ends
 * @param stepsUs until when each of {@code parts} of the engines may be used, rising; null where
 *     parts are even
 * @param parts the usable part of the engines, from 0 to 1, in each of these steps; null where
 *     parts are even
 */
record FleetSnapshot(
    int carriers,
    Deployment active,
    Deployment fallback,
    long activeUntilUs,
    long[] stepsUs,
    double[] parts) {
  /** Nothing is known of a fleet. */
  static final FleetSnapshot NONE = new FleetSnapshot(0, null, null, Long.MAX_VALUE, null, null);

  /**
   * The same with the parts of the engines that capacity leases allow.
   *
   * @param steps the usable amounts, the end of each rising; the last never ends
   * @param whole the amount that is all of the engines
   */
  FleetSnapshot withParts(List<CapacityLeases.CapacityStep> steps, long whole) {
    long[] ends =
        steps.stream()
            .mapToLong(step -> step.until() == null ? Long.MAX_VALUE : step.until().us())
            .toArray();
    double[] amounts = steps.stream().mapToDouble(step -> (double) step.amount() / whole).toArray();
    return new FleetSnapshot(carriers, active, fallback, activeUntilUs, ends, amounts);
  }

  /** Whether it says the same as another; settings are compared by identity. */
  boolean isLike(FleetSnapshot other) {
    return carriers == other.carriers
        && active == other.active
        && fallback == other.fallback
        && activeUntilUs == other.activeUntilUs
        && Arrays.equals(stepsUs, other.stepsUs)
        && Arrays.equals(parts, other.parts);
  }

  /** Each part and until when it may be used, for audits. */
  String stepsText() {
    return IntStream.range(0, parts.length)
        .mapToObj(i -> parts[i] + "@" + stepsUs[i])
        .collect(Collectors.joining(" "));
  }

  /** The part of the engines that may be used at this time; only where parts are not even. */
  double usablePart(long nowUs) {
    int step = 0;
    while (step < stepsUs.length - 1 && nowUs >= stepsUs[step]) {
      step++;
    }
    return parts[step];
  }

  /** When what follows from this snapshot next changes by itself; the largest long for never. */
  long nextChangeUs(long nowUs) {
    long settingsChangeUs = nowUs < activeUntilUs ? activeUntilUs : Long.MAX_VALUE;
    for (int i = 0; stepsUs != null && i < stepsUs.length; i++) {
      if (stepsUs[i] > nowUs) {
        return Math.min(settingsChangeUs, stepsUs[i]);
      }
    }
    return settingsChangeUs;
  }
}
