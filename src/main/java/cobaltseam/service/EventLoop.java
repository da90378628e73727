package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The turns of the event-loop thread, which owns all state: runs the tasks that other threads
 * posted, then the timers that are due, then the next steps of the decision module.
 */
final class EventLoop {
  /** What the loop drives; called on the event-loop thread. */
  interface Steps {
    /** Is called before each task and before timers: state that may have become invalid ends. */
    void checkAuthority();

    /** Whether anything could be read that has not been read yet. */
    boolean hasConnections();

    /** Carries out what follows from the tasks and timers of this turn. */
    void runNextSteps();
  }

  /** The longest wait for a task, in microseconds. */
  private static final TimeSpan MAX_WAIT_US = new TimeSpan(1_000_000);

  /**
   * A timer that is overdue by more than this, in microseconds, shows that the process was held up.
   * No attempt may start later than 0.1 s after its client has left, so the end of a client's
   * connection must not lie unread for longer than this.
   */
  private static final TimeSpan HELD_UP_AFTER_US = new TimeSpan(50_000);

  /** The number of tasks that run before timers are looked at again. */
  static final int MAX_TASKS_PER_TURN = 1024;

  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());

  private final EventLoopQueue inbox;
  private final SocketProcessor sockets;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final Steps steps;

  EventLoop(
      EventLoopQueue inbox,
      SocketProcessor sockets,
      Clock clock,
      Timers timers,
      Counters counters,
      Steps steps) {
    this.inbox = inbox;
    this.sockets = sockets;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.steps = steps;
  }

  /** Runs the tasks that were posted, the timers that are due, and the steps that follow. */
  void runTurn() throws InterruptedException {
    // All posted tasks run before a timer acts, or a process that was held up would time attempts
    // out whose answers are already in the queue.
    runTasks(timers.untilNext(clock.now(), MAX_WAIT_US));
    if (timers.overdue(clock.now()).compareTo(HELD_UP_AFTER_US) > 0 && steps.hasConnections()) {
      runUnreadTasks();
    }
    runTimers();
    steps.runNextSteps();
  }

  /** Runs the tasks that were posted, waiting at most this long for the first of them. */
  private void runTasks(TimeSpan maxWait) throws InterruptedException {
    Runnable task = inbox.poll(maxWait);
    for (int count = 1;
        task != null;
        task = count++ < MAX_TASKS_PER_TURN ? inbox.poll(TimeSpan.ZERO) : null) {
      steps.checkAuthority();
      task.run();
    }
    steps.checkAuthority();
  }

  /** Has the I/O thread read all that came while the process was held up, and runs its tasks. */
  private void runUnreadTasks() throws InterruptedException {
    AtomicBoolean isAllRead = new AtomicBoolean();
    sockets.runAfterReading(() -> inbox.post(null, () -> isAllRead.set(true)));
    Timestamp deadline = clock.now().plus(MAX_WAIT_US);
    for (Timestamp now = clock.now();
        !isAllRead.get() && now.isBefore(deadline);
        now = clock.now()) {
      runTasks(deadline.since(now));
    }
  }

  private void runTimers() {
    for (Runnable due = timers.pollDue(clock.now());
        due != null;
        due = timers.pollDue(clock.now())) {
      try {
        due.run();
      } catch (RuntimeException e) {
        counters.add(Count.FAULTS);
        LOG.log(Level.ERROR, "a fault at a deadline", e);
      }
    }
  }
}
