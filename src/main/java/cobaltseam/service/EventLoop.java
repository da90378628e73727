package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.service.Counters.Count;
import cobaltseam.service.EventLoopQueue.PostedTask;
import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs the turns of the event-loop thread, which owns all state. A turn runs the tasks that other
 * threads posted, then the timers that are due, then the next steps of the decision module.
 */
final class EventLoop {
  /** The steps of a turn that the owner of the loop implements; called on the event-loop thread. */
  interface Steps {
    /**
     * Called before each task and before timers run. Ends the active role of this process if a peer
     * may have become active meanwhile, and applies the latest state of the fleet.
     */
    void checkAuthority();

    /** Whether any connection is open, from which unread input could be received. */
    boolean hasConnections();

    /** Runs the next steps that follow from the tasks and timers of this turn. */
    void runNextSteps();
  }

  /** The longest wait for a task, in microseconds. */
  private static final TimeSpan MAX_WAIT_US = new TimeSpan(1_000_000);

  /**
   * A timer that is overdue by more than this, in microseconds, shows that the process was stalled.
   * No attempt may start later than 0.1 s after its client has disconnected, so the end of a
   * client's connection must not stay unread for longer than this.
   */
  private static final TimeSpan STALL_THRESHOLD_US = new TimeSpan(50_000);

  /** The maximum number of tasks that run before timers are checked again. */
  static final int MAX_TASKS_PER_TURN = 1024;

  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());

  private final EventLoopQueue inbox;
  private final SocketProcessor sockets;
  private final Clock clock;
  private final Timers timers;
  private final BacklogMonitor backlog;
  private final Counters counters;
  private final Steps steps;

  EventLoop(
      EventLoopQueue inbox,
      SocketProcessor sockets,
      ReadFlowControl flowControl,
      Clock clock,
      Timers timers,
      Counters counters,
      Steps steps) {
    this.inbox = inbox;
    this.sockets = sockets;
    this.clock = clock;
    this.timers = timers;
    backlog = new BacklogMonitor(inbox, flowControl, clock, counters);
    this.counters = counters;
    this.steps = steps;
  }

  /** Runs one turn: the posted tasks, the timers that are due, and the steps that follow. */
  void runTurn() throws InterruptedException {
    // Posted tasks run before timers, or a process that was stalled would time out attempts whose
    // answers are already in the queue.
    runTasks(timers.untilNext(clock.now(), MAX_WAIT_US));
    if (timers.overdue(clock.now()).compareTo(STALL_THRESHOLD_US) > 0 && steps.hasConnections()) {
      runUnreadTasks();
    }
    runTimers();
    steps.runNextSteps();
  }

  /**
   * Waits at most {@code maxWait} for a task, and runs the tasks that are posted by then, at most
   * {@link #MAX_TASKS_PER_TURN}. Tasks that are posted meanwhile have to wait for the next turn, or
   * peers that keep sending could delay the timers.
   */
  private void runTasks(TimeSpan maxWait) throws InterruptedException {
    PostedTask task = inbox.poll(maxWait);
    int remaining = Math.min(inbox.size(), MAX_TASKS_PER_TURN - 1);
    while (task != null) {
      run(task);
      task = remaining-- > 0 ? inbox.poll(TimeSpan.ZERO) : null;
    }
    steps.checkAuthority();
  }

  private void run(PostedTask task) {
    backlog.recordWait(task.waitTime());
    steps.checkAuthority();
    task.run();
  }

  /**
   * Has the I/O thread read all input that arrived while the process was stalled, and runs the
   * tasks that it posts, but none that is posted after them. Waits at most {@link #MAX_WAIT_US}.
   */
  private void runUnreadTasks() throws InterruptedException {
    AtomicBoolean isAllRead = new AtomicBoolean();
    sockets.runAfterReading(() -> inbox.post(null, () -> isAllRead.set(true)));
    Timestamp deadline = clock.now().plus(MAX_WAIT_US);
    for (Timestamp now = clock.now();
        !isAllRead.get() && now.isBefore(deadline);
        now = clock.now()) {
      PostedTask task = inbox.poll(deadline.since(now));
      if (task != null) {
        run(task);
      }
    }
    steps.checkAuthority();
  }

  private void runTimers() {
    for (Runnable timerTask = timers.pollDue(clock.now());
        timerTask != null;
        timerTask = timers.pollDue(clock.now())) {
      try {
        timerTask.run();
      } catch (RuntimeException e) {
        counters.add(Count.FAULTS);
        LOG.log(
            Level.ERROR,
            "a timer task failed and is not run again; a request that depends on it may remain"
                + " unanswered",
            e);
      }
    }
  }
}
