package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Holds what processes noted of themselves against what must be so. It knows nothing of the
 * program: it reads {@link RecordedEvent}s, and who lived at the end.
 */
public final class InvariantChecker {
  /** A process that lived when the run ended. */
  public record Live(int process, String name, long birth) {
    String identity() {
      return name + "#" + birth;
    }
  }

  private final List<String> broken = new ArrayList<>();

  /** What broke, each with when and between whom; empty if nothing did. */
  public static List<String> check(List<RecordedEvent> events, Set<Live> live, boolean settles) {
    InvariantChecker checker = new InvariantChecker();
    checker.oneSetANumber(events);
    checker.numbersRise(events);
    checker.successors(events);
    if (settles) {
      checker.settled(events, live);
    }
    return checker.broken;
  }

  /** Two processes never hold differing sets under one number. */
  private void oneSetANumber(List<RecordedEvent> events) {
    Map<String, RecordedEvent> first = new HashMap<>();
    for (RecordedEvent h : events) {
      RecordedEvent other = h.view() == null ? null : first.putIfAbsent(h.view(), h);
      if (other != null && !other.members().equals(h.members())) {
        broken.add(
            "one number, two sets: "
                + h.view()
                + " is "
                + other.members()
                + " at process "
                + other.process()
                + " ("
                + other.atS()
                + " s) and "
                + h.members()
                + " at process "
                + h.process()
                + " ("
                + h.atS()
                + " s)");
      }
    }
  }

  static long number(String view) {
    return Long.parseLong(view.substring(view.indexOf('/') + 1));
  }

  static String line(String view) {
    return view.substring(0, view.indexOf('/'));
  }

  /** In one process, numbers of one line only rise. */
  private void numbersRise(List<RecordedEvent> events) {
    Map<String, Long> highest = new HashMap<>();
    Set<Integer> resumes = new HashSet<>();
    for (RecordedEvent h : events) {
      if (h.isStart()) {
        resumes.add(h.process());
      } else if (h.view() != null) {
        Long before =
            highest.put(h.process() + "#" + h.incarnation() + line(h.view()), number(h.view()));
        // One that goes on from its folder begins with the view that it had.
        boolean again = before != null && before == number(h.view()) && resumes.remove(h.process());
        if (before != null && before >= number(h.view()) && !again) {
          broken.add(
              "numbers fall: process "
                  + h.process()
                  + " had "
                  + before
                  + " and holds "
                  + h.view()
                  + " at "
                  + h.atS()
                  + " s");
        }
      }
    }
  }

  /** A view holds whom it holds it, and each number follows one that somebody held. */
  private void successors(List<RecordedEvent> events) {
    Set<String> held = new TreeSet<>();
    events.stream().filter(h -> h.view() != null).forEach(h -> held.add(h.view()));
    for (RecordedEvent h : events) {
      if (h.view() != null
          && number(h.view()) > 1
          && !held.contains(line(h.view()) + "/" + (number(h.view()) - 1))) {
        broken.add(
            "no predecessor: " + h.view() + " at process " + h.process() + ", " + h.atS() + " s");
      }
      if (h.view() != null
          && h.members().stream().noneMatch(m -> m.endsWith("#" + h.incarnation()))) {
        broken.add(
            "a view of others: " + h.view() + " at process " + h.process() + ", " + h.atS() + " s");
      }
    }
  }

  /** Once messages flow again: one view at all that live, and it holds just these. */
  private void settled(List<RecordedEvent> events, Set<Live> live) {
    Map<String, RecordedEvent> last = new HashMap<>();
    events.forEach(h -> last.put(h.process() + "#" + h.incarnation(), h));
    Set<String> views = new TreeSet<>();
    Set<String> alive = new TreeSet<>();
    live.forEach(l -> alive.add(l.identity()));
    for (Live l : live) {
      RecordedEvent h = last.get(l.process() + "#" + l.birth());
      if (h == null || h.view() == null) {
        broken.add("not taken in: " + l);
      } else if (views.add(h.view()) && !new TreeSet<>(h.members()).equals(alive)) {
        broken.add(
            "not just the living: "
                + h.view()
                + " of process "
                + l.process()
                + " is "
                + h.members()
                + ", alive "
                + alive);
      }
    }
    if (views.size() > 1) {
      broken.add("several views at the end: " + views);
    }
  }
}
