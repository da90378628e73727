package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks the recorded histories of processes against the invariants of the membership. It is
 * independent of the code of the membership: its only inputs are {@link RecordedEvent}s and the
 * processes that were alive at the end.
 */
public final class InvariantChecker {
  /**
   * A process that was alive at the end of the run. Results print this record, so that its
   * component names stay.
   *
   * @param birth the incarnation of its member
   */
  public record Live(int process, String name, long birth) {
    String identity() {
      return name + "#" + birth;
    }
  }

  private final List<String> violations = new ArrayList<>();

  /**
   * Returns the violated invariants, each with times and processes; empty if none.
   *
   * @param expectsSettled whether all processes must have installed one view of all live processes
   */
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

  /** All processes that install a view install it with the same members. */
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

  /** The numbers of the views of one lineage that a process installs only increase. */
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
        // A process restarted with its persistent state begins with the view it had installed.
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

  /**
   * Every view except the first follows one with the preceding number, and a process only installs
   * views of which it is a member.
   */
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
          && event.members().stream()
              .noneMatch(member -> member.endsWith("#" + event.incarnation()))) {
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

  /** At the end, all live processes have installed one view, whose members are exactly these. */
  private void checkSettled(List<RecordedEvent> events, Set<Live> live) {
    Map<String, RecordedEvent> last = new HashMap<>();
    events.forEach(event -> last.put(event.process() + "#" + event.incarnation(), event));
    Set<String> views = new TreeSet<>();
    Set<String> alive = new TreeSet<>();
    live.forEach(liveProcess -> alive.add(liveProcess.identity()));
    for (Live liveProcess : live) {
      RecordedEvent event = last.get(liveProcess.process() + "#" + liveProcess.birth());
      if (event == null || event.view() == null) {
        violations.add("not taken in: " + liveProcess);
      } else if (views.add(event.view()) && !new TreeSet<>(event.members()).equals(alive)) {
        violations.add(
            "not just the living: "
                + event.view()
                + " of process "
                + liveProcess.process()
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
