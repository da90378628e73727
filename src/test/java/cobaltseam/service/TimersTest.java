package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of timers. */
class TimersTest {
  @Test
  void timersRunInTheOrderOfTheirTimeAndThenOfTheirSetting() {
    Timers timers = new Timers();
    Timestamp now = new Timestamp(50);
    List<Integer> run = new ArrayList<>();
    timers.set(now, () -> run.add(2));
    timers.set(now, () -> run.add(3));
    Timers.Timer cancelled = timers.set(now, () -> run.add(4));
    timers.set(new Timestamp(40), () -> run.add(1));
    timers.set(new Timestamp(51), () -> run.add(5));
    timers.cancel(cancelled);
    timers.cancel(null);
    for (Runnable due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
      due.run();
    }
    assertEquals(List.of(1, 2, 3), run);
    assertEquals(1, timers.untilNext(now, new TimeSpan(9)).us());
  }
}
