package cobaltseam.service;

import cobaltseam.capacity.CapacityLeases;
import cobaltseam.dispatch.Deployment;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What the fleet's thread knows, for the thread that owns the module: made whole, published whole,
 * never changed. It tells what follows from it as time passes, so that a reader whose fleet's
 * thread is held up still steps back in time.
 *
 * @param carriers over how many dispatchers engines are shared; 0 if no view tells
 * @param acts the settings to act on until {@code untilUs}, or null where the fleet agrees on none
 * @param back the settings to act on from then on
 * @param untilUs in microseconds of the service's clock
 * @param stepsUs until when each of {@code parts} of the engines may be used, rising; null where
 *     parts are even
 */
record FleetSnapshot(
    int carriers, Deployment acts, Deployment back, long untilUs, long[] stepsUs, double[] parts) {
  static final FleetSnapshot NONE = new FleetSnapshot(0, null, null, Long.MAX_VALUE, null, null);

  /** The same with parts that follow from holdings. */
  FleetSnapshot with(List<CapacityLeases.CapacityStep> steps, long whole) {
    long[] ends =
        steps.stream()
            .mapToLong(s -> s.until() == null ? Long.MAX_VALUE : s.until().us())
            .toArray();
    double[] of = steps.stream().mapToDouble(s -> (double) s.amount() / whole).toArray();
    return new FleetSnapshot(carriers, acts, back, untilUs, ends, of);
  }

  /** Whether nothing new is in it. */
  boolean isLike(FleetSnapshot o) {
    return carriers == o.carriers
        && acts == o.acts
        && back == o.back
        && untilUs == o.untilUs
        && Arrays.equals(stepsUs, o.stepsUs)
        && Arrays.equals(parts, o.parts);
  }

  /** Each part and until when it may be used, for audits. */
  String stepsText() {
    return IntStream.range(0, parts.length)
        .mapToObj(i -> parts[i] + "@" + stepsUs[i])
        .collect(Collectors.joining(" "));
  }

  /** The part of the engines that may be used at this moment. */
  double part(long nowUs) {
    int i = 0;
    while (i < stepsUs.length - 1 && nowUs >= stepsUs[i]) {
      i++;
    }
    return parts[i];
  }

  /** Before then nothing of it changes by itself. */
  long changesUs(long nowUs) {
    long next = nowUs < untilUs ? untilUs : Long.MAX_VALUE;
    for (int i = 0; stepsUs != null && i < stepsUs.length; i++) {
      if (stepsUs[i] > nowUs) {
        return Math.min(next, stepsUs[i]);
      }
    }
    return next;
  }
}
