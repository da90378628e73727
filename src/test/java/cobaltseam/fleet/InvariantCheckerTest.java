package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.fleet.InvariantChecker.Live;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The checker reports each kind of violation in histories that no correct fleet records. */
class InvariantCheckerTest {
  private static final Set<Live> LIVE = Set.of(new Live(0, "a", 1), new Live(1, "b", 2));

  private static RecordedEvent installed(
      int process, long incarnation, String view, String... members) {
    return new RecordedEvent(1, process, incarnation, view, List.of(members));
  }

  private static List<RecordedEvent> validHistory() {
    return new ArrayList<>(
        List.of(
            installed(0, 1, "7/1", "a#1"),
            installed(0, 1, "7/2", "a#1", "b#2"),
            installed(1, 2, "7/2", "a#1", "b#2")));
  }

  private static void assertFinds(String violation, RecordedEvent invalid) {
    List<RecordedEvent> events = validHistory();
    events.add(invalid);
    List<String> violations = InvariantChecker.check(events, LIVE, true);
    assertTrue(
        violations.stream().anyMatch(found -> found.startsWith(violation)),
        violation + " in " + violations);
  }

  @Test
  void validHistoryHasNoViolations() {
    assertEquals(List.of(), InvariantChecker.check(validHistory(), LIVE, true));
  }

  @Test
  void eachViolationIsReported() {
    assertFinds("one number, two sets", installed(1, 2, "7/2", "b#2"));
    assertFinds("numbers fall", installed(0, 1, "7/1", "a#1"));
    assertFinds("numbers fall", installed(0, 1, "7/2", "a#1", "b#2"));
    assertFinds("no predecessor", installed(1, 2, "7/4", "a#1", "b#2"));
    assertFinds("a view of others", installed(1, 3, "7/3", "a#1", "b#2"));
    assertFinds("several views at the end", installed(0, 1, "7/3", "a#1"));
    assertFinds("not just the living", installed(0, 1, "7/3", "a#1"));
    assertFinds("not taken in", installed(1, 2, null));
  }

  @Test
  void processWithoutEventsIsReportedAsNotTakenIn() {
    List<String> violations =
        InvariantChecker.check(
            validHistory(),
            Set.of(new Live(0, "a", 1), new Live(1, "b", 2), new Live(2, "c", 9)),
            true);
    assertTrue(
        violations.stream().anyMatch(found -> found.startsWith("not taken in")),
        violations.toString());
  }
}
