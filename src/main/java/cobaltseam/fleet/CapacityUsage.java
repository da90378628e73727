package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of a whole real processes used, by their own logs alone: each line says from when on
 * a part is used and until when at the longest. All on one machine, so that their clocks are one.
 * It knows nothing of how parts come about.
 */
final class CapacityUsage {
  /**
   * One process might use these parts from a moment on, each until its own: in microseconds, in
   * order.
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

    static UsageRecord read(int process, long fromUs, String steps) {
      String[] fields = steps.split(" ");
      long[] until = new long[fields.length];
      double[] amounts = new double[fields.length];
      for (int i = 0; i < fields.length; i++) {
        amounts[i] = Double.parseDouble(fields[i].substring(0, fields[i].indexOf('@')));
        until[i] = Long.parseLong(fields[i].substring(fields[i].indexOf('@') + 1));
      }
      return new UsageRecord(process, fromUs, until, amounts);
    }
  }

  private record UsageInterval(long fromUs, long untilUs, double amount) {}

  /** The most that was used at one time, and when. */
  record PeakUsage(double amount, long atUs) {}

  private final List<UsageInterval> intervals = new ArrayList<>();

  /** The last line of each process, until another one takes its place. */
  private final Map<Integer, UsageRecord> latest = new HashMap<>();

  /** A process says what it may use from a moment on. */
  synchronized void record(UsageRecord usage) {
    recordEnd(usage.process, usage.fromUs);
    latest.put(usage.process, usage);
  }

  /** A process uses nothing from a moment on: it was killed, or stands still. */
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

  /** A process that stood still goes on with what it may use by then, until it says otherwise. */
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

  /** The most of all times, up to now. */
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
