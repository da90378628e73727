package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.mastership.HealthScore.HealthSignal;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.EnumMap;
import java.util.Map;

/** Measures the values that the health score of this dispatcher is judged by. */
final class HealthSignals {
  private static final double US_PER_SECOND = 1e6;

  private HealthSignals() {}

  /**
   * The value of each signal now; a signal that can't be measured yet is left out.
   *
   * @param watchSilence for how long the endpoint watch has received nothing
   * @param enginesInService the number of engines that may be given requests
   * @param failingShare the part of the engines that fail, 0 to 1
   * @param descriptorShare the part of the file descriptors in use, 0 to 1
   * @param timerDelay by how much the event loop runs its timers late
   */
  static Map<HealthSignal, Double> measure(
      TimeSpan watchSilence,
      int enginesInService,
      double failingShare,
      double descriptorShare,
      TimeSpan timerDelay) {
    Map<HealthSignal, Double> values = new EnumMap<>(HealthSignal.class);
    values.put(HealthSignal.BUS_SILENT, watchSilence.us() / US_PER_SECOND);
    values.put(HealthSignal.NO_ENGINE, enginesInService == 0 ? 1.0 : 0.0);
    values.put(HealthSignal.ENGINES_FAILING, failingShare);
    values.put(HealthSignal.DESCRIPTORS, descriptorShare);
    values.put(HealthSignal.LATE, timerDelay.us() / US_PER_SECOND);
    double memory = heapShareAfterCollection();
    if (memory >= 0) {
      values.put(HealthSignal.MEMORY, memory);
    }
    return values;
  }

  /** The part of the heap in use after the last collection, or -1 before the first one. */
  private static double heapShareAfterCollection() {
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
