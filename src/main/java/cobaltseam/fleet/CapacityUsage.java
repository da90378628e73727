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
    double at(long us) {
      for (int i = 0; i < amounts.length; i++) {
        if (us < untilUs[i]) {
          return amounts[i];
        }
      }
      return 0;
    }

    static UsageRecord read(int process, long fromUs, String steps) {
      String[] all = steps.split(" ");
      long[] until = new long[all.length];
      double[] parts = new double[all.length];
      for (int i = 0; i < all.length; i++) {
        parts[i] = Double.parseDouble(all[i].substring(0, all[i].indexOf('@')));
        until[i] = Long.parseLong(all[i].substring(all[i].indexOf('@') + 1));
      }
      return new UsageRecord(process, fromUs, until, parts);
    }
  }

  private record UsageInterval(long fromUs, long untilUs, double amount) {}

  /** The most that was used at one time, and when. */
  record PeakUsage(double amount, long atUs) {}

  private final List<UsageInterval> used = new ArrayList<>();

  /** The last line of each process, until another one takes its place. */
  private final Map<Integer, UsageRecord> last = new HashMap<>();

  /** A process says what it may use from a moment on. */
  synchronized void record(UsageRecord line) {
    recordEnd(line.process, line.fromUs);
    last.put(line.process, line);
  }

  /** A process uses nothing from a moment on: it was killed, or stands still. */
  synchronized void recordEnd(int process, long atUs) {
    UsageRecord before = last.remove(process);
    if (before != null) {
      add(before, atUs);
    }
  }

  private void add(UsageRecord line, long endsUs) {
    long from = line.fromUs;
    for (int i = 0; i < line.amounts.length; i++) {
      long until = Math.min(line.untilUs[i], endsUs);
      if (from < until) {
        used.add(new UsageInterval(from, until, line.amounts[i]));
        from = until;
      }
    }
  }

  /** A process that stood still goes on with what it may use by then, until it says otherwise. */
  synchronized void recordUntil(UsageRecord with, long atUs) {
    if (with != null) {
      last.put(
          with.process,
          new UsageRecord(with.process, Math.max(with.fromUs, atUs), with.untilUs, with.amounts));
    }
  }

  synchronized UsageRecord currentAmount(int process) {
    return last.get(process);
  }

  /** The most of all times, up to now. */
  synchronized PeakUsage peak(long nowUs) {
    record Edge(long atUs, boolean begins, double part) {}
    List<Edge> edges = new ArrayList<>();
    List<UsageInterval> before = List.copyOf(used);
    last.values().forEach(l -> add(l, nowUs));
    List<UsageInterval> all = List.copyOf(used);
    used.clear();
    used.addAll(before);
    for (UsageInterval u : all) {
      if (u.fromUs < u.untilUs) {
        edges.add(new Edge(u.fromUs, true, u.amount));
        edges.add(new Edge(u.untilUs, false, u.amount));
      }
    }
    edges.sort(Comparator.comparingLong(Edge::atUs).thenComparing(Edge::begins));
    double sum = 0;
    PeakUsage most = new PeakUsage(0, 0);
    for (Edge e : edges) {
      sum += e.begins ? e.part : -e.part;
      most = sum > most.amount ? new PeakUsage(sum, e.atUs) : most;
    }
    return most;
  }
}
