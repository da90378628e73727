package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.fleet.InvariantChecker.Live;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The checker finds each thing that must not be; it is given what no sound fleet notes. */
class InvariantCheckerTest {
  private static final Set<Live> LIVE = Set.of(new Live(0, "a", 1), new Live(1, "b", 2));

  private static RecordedEvent held(int process, long birth, String view, String... members) {
    return new RecordedEvent(1, process, birth, view, List.of(members));
  }

  private static List<RecordedEvent> sound() {
    return new ArrayList<>(
        List.of(
            held(0, 1, "7/1", "a#1"),
            held(0, 1, "7/2", "a#1", "b#2"),
            held(1, 2, "7/2", "a#1", "b#2")));
  }

  private static void finds(String what, RecordedEvent more) {
    List<RecordedEvent> happenings = sound();
    happenings.add(more);
    List<String> broken = InvariantChecker.check(happenings, LIVE, true);
    assertTrue(broken.stream().anyMatch(b -> b.startsWith(what)), what + " in " + broken);
  }

  @Test
  void aSoundHistoryIsSound() {
    assertEquals(List.of(), InvariantChecker.check(sound(), LIVE, true));
  }

  @Test
  void eachBreachIsFound() {
    finds("one number, two sets", held(1, 2, "7/2", "b#2"));
    finds("numbers fall", held(0, 1, "7/1", "a#1"));
    finds("numbers fall", held(0, 1, "7/2", "a#1", "b#2"));
    finds("no predecessor", held(1, 2, "7/4", "a#1", "b#2"));
    finds("a view of others", held(1, 3, "7/3", "a#1", "b#2"));
    finds("several views at the end", held(0, 1, "7/3", "a#1"));
    finds("not just the living", held(0, 1, "7/3", "a#1"));
    finds("not taken in", held(1, 2, null));
  }

  @Test
  void oneWhoNeverSaidAnythingIsNotTakenIn() {
    List<String> broken =
        InvariantChecker.check(
            sound(), Set.of(new Live(0, "a", 1), new Live(1, "b", 2), new Live(2, "c", 9)), true);
    assertTrue(broken.stream().anyMatch(b -> b.startsWith("not taken in")), broken.toString());
  }
}
