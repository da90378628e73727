package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which timers become due. */
class TimersTest {
  @Test
  void timersRunInOrderOfDueTimeThenOfSetting() {
    Timers timers = new Timers();
    Timestamp now = new Timestamp(50);
    List<Integer> executed = new ArrayList<>();
    timers.set(now, () -> executed.add(2));
    timers.set(now, () -> executed.add(3));
    Timers.Timer cancelled = timers.set(now, () -> executed.add(4));
    timers.set(new Timestamp(40), () -> executed.add(1));
    timers.set(new Timestamp(51), () -> executed.add(5));
    timers.cancel(cancelled);
    timers.cancel(null);
    for (Runnable task = timers.pollDue(now); task != null; task = timers.pollDue(now)) {
      task.run();
    }
    assertEquals(List.of(1, 2, 3), executed);
    assertEquals(1, timers.untilNext(now, new TimeSpan(9)).us());
  }
}
