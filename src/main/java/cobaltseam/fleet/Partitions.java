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
final class Partitions {
  /**
   * One process might use these parts from a moment on, each until its own: in microseconds, in
   * order.
   */
  record Line(int process, long fromUs, long[] untilUs, double[] parts) {
    double at(long us) {
      for (int i = 0; i < parts.length; i++) {
        if (us < untilUs[i]) {
          return parts[i];
        }
      }
      return 0;
    }

    static Line read(int process, long fromUs, String steps) {
      String[] all = steps.split(" ");
      long[] until = new long[all.length];
      double[] parts = new double[all.length];
      for (int i = 0; i < all.length; i++) {
        parts[i] = Double.parseDouble(all[i].substring(0, all[i].indexOf('@')));
        until[i] = Long.parseLong(all[i].substring(all[i].indexOf('@') + 1));
      }
      return new Line(process, fromUs, until, parts);
    }
  }

  private record Used(long fromUs, long untilUs, double part) {}

  /** The most that was used at one time, and when. */
  record Most(double part, long atUs) {}

  private final List<Used> used = new ArrayList<>();

  /** The last line of each process, until another one takes its place. */
  private final Map<Integer, Line> last = new HashMap<>();

  /** A process says what it may use from a moment on. */
  synchronized void uses(Line line) {
    ends(line.process, line.fromUs);
    last.put(line.process, line);
  }

  /** A process uses nothing from a moment on: it was killed, or stands still. */
  synchronized void ends(int process, long atUs) {
    Line before = last.remove(process);
    if (before != null) {
      add(before, atUs);
    }
  }

  private void add(Line line, long endsUs) {
    long from = line.fromUs;
    for (int i = 0; i < line.parts.length; i++) {
      long until = Math.min(line.untilUs[i], endsUs);
      if (from < until) {
        used.add(new Used(from, until, line.parts[i]));
        from = until;
      }
    }
  }

  /** A process that stood still goes on with what it may use by then, until it says otherwise. */
  synchronized void goesOn(Line with, long atUs) {
    if (with != null) {
      last.put(
          with.process,
          new Line(with.process, Math.max(with.fromUs, atUs), with.untilUs, with.parts));
    }
  }

  synchronized Line now(int process) {
    return last.get(process);
  }

  /** The most of all times, up to now. */
  synchronized Most most(long nowUs) {
    record Edge(long atUs, boolean begins, double part) {}
    List<Edge> edges = new ArrayList<>();
    List<Used> before = List.copyOf(used);
    last.values().forEach(l -> add(l, nowUs));
    List<Used> all = List.copyOf(used);
    used.clear();
    used.addAll(before);
    for (Used u : all) {
      if (u.fromUs < u.untilUs) {
        edges.add(new Edge(u.fromUs, true, u.part));
        edges.add(new Edge(u.untilUs, false, u.part));
      }
    }
    edges.sort(Comparator.comparingLong(Edge::atUs).thenComparing(Edge::begins));
    double sum = 0;
    Most most = new Most(0, 0);
    for (Edge e : edges) {
      sum += e.begins ? e.part : -e.part;
      most = sum > most.part ? new Most(sum, e.atUs) : most;
    }
    return most;
  }
}
