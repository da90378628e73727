package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.mastership.HealthScore.HealthSignal;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.EnumMap;
import java.util.Map;

/** Measures the health signals from which the health score of this dispatcher is derived. */
final class HealthSignals {
  private static final double US_PER_SECOND = 1e6;

  private HealthSignals() {}

  /**
   * Returns the current value of each signal, without those that can't be measured yet.
   *
   * @param watchSilence the time since the endpoint watch last received data
   * @param enginesInService the number of engines that requests may be sent to
   * @param failingRatio the ratio of engines that fail, 0 to 1
   * @param descriptorRatio the ratio of file descriptors in use, 0 to 1
   * @param timerDelay the delay with which the event loop runs its timers
   */
  static Map<HealthSignal, Double> measure(
      TimeSpan watchSilence,
      int enginesInService,
      double failingRatio,
      double descriptorRatio,
      TimeSpan timerDelay) {
    Map<HealthSignal, Double> values = new EnumMap<>(HealthSignal.class);
    values.put(HealthSignal.BUS_SILENT, watchSilence.us() / US_PER_SECOND);
    values.put(HealthSignal.NO_ENGINE, enginesInService == 0 ? 1.0 : 0.0);
    values.put(HealthSignal.ENGINES_FAILING, failingRatio);
    values.put(HealthSignal.DESCRIPTORS, descriptorRatio);
    values.put(HealthSignal.LATE, timerDelay.us() / US_PER_SECOND);
    double heapUse = heapUseAfterCollection();
    if (heapUse >= 0) {
      values.put(HealthSignal.MEMORY, heapUse);
    }
    return values;
  }

  /** The ratio of the heap in use after the last garbage collection, or -1 before the first one. */
  private static double heapUseAfterCollection() {
    long used = 0;
    long max = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage usage = pool.getType() == MemoryType.HEAP ? pool.getCollectionUsage() : null;
      used += usage == null ? 0 : usage.getUsed();
      max += usage == null || usage.getMax() < 0 ? 0 : usage.getMax();
    }
    return max == 0 || used == 0 ? -1 : (double) used / max;
  }
}
