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
    for (RecordedEvent event : events) {
      RecordedEvent other = event.view() == null ? null : first.putIfAbsent(event.view(), event);
      if (other != null && !other.members().equals(event.members())) {
        broken.add(
            "one number, two sets: "
                + event.view()
                + " is "
                + other.members()
                + " at process "
                + other.process()
                + " ("
                + other.atS()
                + " s) and "
                + event.members()
                + " at process "
                + event.process()
                + " ("
                + event.atS()
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
    for (RecordedEvent event : events) {
      if (event.isStart()) {
        resumes.add(event.process());
      } else if (event.view() != null) {
        Long before =
            highest.put(
                event.process() + "#" + event.incarnation() + line(event.view()),
                number(event.view()));
        // One that goes on from its folder begins with the view that it had.
        boolean again =
            before != null && before == number(event.view()) && resumes.remove(event.process());
        if (before != null && before >= number(event.view()) && !again) {
          broken.add(
              "numbers fall: process "
                  + event.process()
                  + " had "
                  + before
                  + " and holds "
                  + event.view()
                  + " at "
                  + event.atS()
                  + " s");
        }
      }
    }
  }

  /** A view holds whom it holds it, and each number follows one that somebody held. */
  private void successors(List<RecordedEvent> events) {
    Set<String> held = new TreeSet<>();
    events.stream().filter(event -> event.view() != null).forEach(event -> held.add(event.view()));
    for (RecordedEvent event : events) {
      if (event.view() != null
          && number(event.view()) > 1
          && !held.contains(line(event.view()) + "/" + (number(event.view()) - 1))) {
        broken.add(
            "no predecessor: "
                + event.view()
                + " at process "
                + event.process()
                + ", "
                + event.atS()
                + " s");
      }
      if (event.view() != null
          && event.members().stream().noneMatch(m -> m.endsWith("#" + event.incarnation()))) {
        broken.add(
            "a view of others: "
                + event.view()
                + " at process "
                + event.process()
                + ", "
                + event.atS()
                + " s");
      }
    }
  }

  /** Once messages flow again: one view at all that live, and it holds just these. */
  private void settled(List<RecordedEvent> events, Set<Live> live) {
    Map<String, RecordedEvent> last = new HashMap<>();
    events.forEach(event -> last.put(event.process() + "#" + event.incarnation(), event));
    Set<String> views = new TreeSet<>();
    Set<String> alive = new TreeSet<>();
    live.forEach(l -> alive.add(l.identity()));
    for (Live l : live) {
      RecordedEvent event = last.get(l.process() + "#" + l.birth());
      if (event == null || event.view() == null) {
        broken.add("not taken in: " + l);
      } else if (views.add(event.view()) && !new TreeSet<>(event.members()).equals(alive)) {
        broken.add(
            "not just the living: "
                + event.view()
                + " of process "
                + l.process()
                + " is "
                + event.members()
                + ", alive "
                + alive);
      }
    }
    if (views.size() > 1) {
      broken.add("several views at the end: " + views);
    }
  }
}
