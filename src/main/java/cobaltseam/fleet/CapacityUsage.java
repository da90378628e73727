package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reconstructs from the logs of real processes how much of the total capacity they used over time.
 * Each log line gives the amounts that a process may use from a time on and how long each of them
 * is valid. All processes run on one machine and so share its monotonic clock, by which all times
 * here are measured; each process counts its own times from the wall clock at its start, which may
 * have been stepped between two starts. This class is independent of the code that grants capacity.
 */
final class CapacityUsage {
  /**
   * The amounts that one process may use from {@code fromUs} on, in chronological order, each until
   * its own end; times in microseconds of the machine's monotonic clock.
   */
  record UsageRecord(int process, long fromUs, long[] untilUs, double[] amounts) {
    double amountAt(long us) {
      for (int i = 0; i < amounts.length; i++) {
        if (us < untilUs[i]) {
          return amounts[i];
        }
      }
      return 0;
    }

    /**
     * Reads a log line.
     *
     * @param loggedUs the time of the line by the clock of the process
     * @param machineUs the same time by the machine's monotonic clock
     * @param steps the amounts, each with its end by the clock of the process
     */
    static UsageRecord read(int process, long loggedUs, long machineUs, String steps) {
      String[] fields = steps.split(" ");
      long[] until = new long[fields.length];
      double[] amounts = new double[fields.length];
      for (int i = 0; i < fields.length; i++) {
        amounts[i] = Double.parseDouble(fields[i].substring(0, fields[i].indexOf('@')));
        long untilUs = Long.parseLong(fields[i].substring(fields[i].indexOf('@') + 1));
        until[i] = untilUs == Long.MAX_VALUE ? untilUs : untilUs - loggedUs + machineUs;
      }
      return new UsageRecord(process, machineUs, until, amounts);
    }
  }

  private record UsageInterval(long fromUs, long untilUs, double amount) {}

  /** The largest total usage at one time, and when it was reached. */
  record PeakUsage(double amount, long atUs) {}

  private final List<UsageInterval> intervals = new ArrayList<>();

  /** The latest record of each process that still applies. */
  private final Map<Integer, UsageRecord> latest = new HashMap<>();

  /** Records what a process may use from a time on; replaces its previous record. */
  synchronized void record(UsageRecord usage) {
    recordEnd(usage.process, usage.fromUs);
    latest.put(usage.process, usage);
  }

  /** Records that a process uses nothing from a time on because it was killed or suspended. */
  synchronized void recordEnd(int process, long atUs) {
    UsageRecord previous = latest.remove(process);
    if (previous != null) {
      add(previous, atUs);
    }
  }

  private void add(UsageRecord usage, long endUs) {
    long from = usage.fromUs;
    for (int i = 0; i < usage.amounts.length; i++) {
      long until = Math.min(usage.untilUs[i], endUs);
      if (from < until) {
        intervals.add(new UsageInterval(from, until, usage.amounts[i]));
        from = until;
      }
    }
  }

  /**
   * Records that a resumed process may use what is left of an earlier record, until its next one.
   */
  synchronized void recordUntil(UsageRecord usage, long atUs) {
    if (usage != null) {
      latest.put(
          usage.process,
          new UsageRecord(
              usage.process, Math.max(usage.fromUs, atUs), usage.untilUs, usage.amounts));
    }
  }

  synchronized UsageRecord current(int process) {
    return latest.get(process);
  }

  /** Returns the largest total usage up to now. */
  synchronized PeakUsage peak(long nowUs) {
    record Edge(long atUs, boolean isStart, double amount) {}
    List<Edge> edges = new ArrayList<>();
    List<UsageInterval> previous = List.copyOf(intervals);
    latest.values().forEach(usage -> add(usage, nowUs));
    List<UsageInterval> intervalsToNow = List.copyOf(intervals);
    intervals.clear();
    intervals.addAll(previous);
    for (UsageInterval interval : intervalsToNow) {
      if (interval.fromUs < interval.untilUs) {
        edges.add(new Edge(interval.fromUs, true, interval.amount));
        edges.add(new Edge(interval.untilUs, false, interval.amount));
      }
    }
    edges.sort(Comparator.comparingLong(Edge::atUs).thenComparing(Edge::isStart));
    double sum = 0;
    PeakUsage peak = new PeakUsage(0, 0);
    for (Edge edge : edges) {
      sum += edge.isStart ? edge.amount : -edge.amount;
      peak = sum > peak.amount ? new PeakUsage(sum, edge.atUs) : peak;
    }
    return peak;
  }
}
