package cobaltseam.mastership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.mastership.Exploration.Faults;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores all states of two and three routers under a bounded number of faults. The results of
 * larger explorations are in docs/design-mastership.md.
 */
class ExplorationTest {
  @ParameterizedTest
  @CsvSource({
    "200 100, true, 2, 1, 1, 1, 0",
    "200 100, true, 1, 0, 1, 1, 1",
    "100 100, true, 2, 1, 1, 1, 0",
    "200 100, false, 2, 1, 1, 1, 0",
    "255 100, true, 1, 1, 1, 1, 1",
    "200 150 100, true, 1, 1, 0, 1, 0",
    "200 150 100, false, 1, 0, 1, 1, 0",
    "200 100, true, 0, 2, 0, 2, 0",
    "200 150 100, true, 0, 1, 0, 2, 0",
  })
  void exactlyOneRouterBecomesActiveWhenFaultsEnd(
      String priorities,
      boolean preempts,
      int lost,
      int duplicated,
      int delayed,
      int suspensions,
      int restarts) {
    List<RouterOptions> options =
        Arrays.stream(priorities.split(" "))
            .map(p -> Exploration.routerOptions(Integer.parseInt(p), preempts))
            .toList();
    Faults faults = new Faults(lost, duplicated, delayed, suspensions, restarts);
    Exploration exploration = new Exploration(options, faults);
    exploration.run(faults);
    assertTrue(exploration.states() > 100, "only " + exploration.states() + " states explored");
  }
}
