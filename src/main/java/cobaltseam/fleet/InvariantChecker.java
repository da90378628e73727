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

  private final List<String> violations = new ArrayList<>();

  /** What broke, each with when and between whom; empty if nothing did. */
  public static List<String> check(
      List<RecordedEvent> events, Set<Live> live, boolean expectsSettled) {
    InvariantChecker checker = new InvariantChecker();
    checker.checkOneMemberSetPerView(events);
    checker.checkViewNumbersIncrease(events);
    checker.checkPredecessorsAndOwnMembership(events);
    if (expectsSettled) {
      checker.checkSettled(events, live);
    }
    return checker.violations;
  }

  /** Two processes never hold differing sets under one number. */
  private void checkOneMemberSetPerView(List<RecordedEvent> events) {
    Map<String, RecordedEvent> first = new HashMap<>();
    for (RecordedEvent event : events) {
      RecordedEvent other = event.view() == null ? null : first.putIfAbsent(event.view(), event);
      if (other != null && !other.members().equals(event.members())) {
        violations.add(
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

  static String lineage(String view) {
    return view.substring(0, view.indexOf('/'));
  }

  /** In one process, numbers of one line only rise. */
  private void checkViewNumbersIncrease(List<RecordedEvent> events) {
    Map<String, Long> highest = new HashMap<>();
    Set<Integer> restarted = new HashSet<>();
    for (RecordedEvent event : events) {
      if (event.isStart()) {
        restarted.add(event.process());
      } else if (event.view() != null) {
        Long previous =
            highest.put(
                event.process() + "#" + event.incarnation() + lineage(event.view()),
                number(event.view()));
        // One that goes on from its folder begins with the view that it had.
        boolean isRestartedView =
            previous != null
                && previous == number(event.view())
                && restarted.remove(event.process());
        if (previous != null && previous >= number(event.view()) && !isRestartedView) {
          violations.add(
              "numbers fall: process "
                  + event.process()
                  + " had "
                  + previous
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
  private void checkPredecessorsAndOwnMembership(List<RecordedEvent> events) {
    Set<String> installedViews = new TreeSet<>();
    events.stream()
        .filter(event -> event.view() != null)
        .forEach(event -> installedViews.add(event.view()));
    for (RecordedEvent event : events) {
      if (event.view() != null
          && number(event.view()) > 1
          && !installedViews.contains(lineage(event.view()) + "/" + (number(event.view()) - 1))) {
        violations.add(
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
        violations.add(
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
  private void checkSettled(List<RecordedEvent> events, Set<Live> live) {
    Map<String, RecordedEvent> last = new HashMap<>();
    events.forEach(event -> last.put(event.process() + "#" + event.incarnation(), event));
    Set<String> views = new TreeSet<>();
    Set<String> alive = new TreeSet<>();
    live.forEach(process -> alive.add(process.identity()));
    for (Live process : live) {
      RecordedEvent event = last.get(process.process() + "#" + process.birth());
      if (event == null || event.view() == null) {
        violations.add("not taken in: " + process);
      } else if (views.add(event.view()) && !new TreeSet<>(event.members()).equals(alive)) {
        violations.add(
            "not just the living: "
                + event.view()
                + " of process "
                + process.process()
                + " is "
                + event.members()
                + ", alive "
                + alive);
      }
    }
    if (views.size() > 1) {
      violations.add("several views at the end: " + views);
    }
  }
}
