package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.session.IoSession;

/**
 * The queue of tasks that other threads post to the event-loop thread. Posting never blocks, since
 * a flood from one peer would otherwise stop input from all others. The queue is unbounded: callers
 * limit how much each peer may have in it.
 */
final class EventLoopQueue {
  private static final System.Logger LOG = System.getLogger(EventLoopQueue.class.getName());

  /**
   * A posted task.
   *
   * @param postedAtNanos when it was posted, as {@link System#nanoTime}
   */
  record PostedTask(Runnable action, long postedAtNanos) {
    void run() {
      action.run();
    }

    /** Returns how long the task has waited. */
    TimeSpan waitTime() {
      return new TimeSpan((System.nanoTime() - postedAtNanos) / NANOS_PER_MICRO);
    }
  }

  private static final int NANOS_PER_MICRO = 1000;

  private final BlockingQueue<PostedTask> tasks = new LinkedBlockingQueue<>();
  private final Counters counters;

  EventLoopQueue(Counters counters) {
    this.counters = counters;
  }

  /**
   * Posts a task; thread-safe. A runtime exception in the task is counted and logged, closes the
   * connection, and has no other effect.
   *
   * @param connection the connection whose input the task processes, or null
   */
  void post(IoSession connection, Runnable task) {
    tasks.add(new PostedTask(() -> runGuarded(connection, task), System.nanoTime()));
  }

  private void runGuarded(IoSession connection, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      counters.add(Count.FAULTS);
      LOG.log(
          Level.ERROR,
          "an event-loop task failed; its connection, if any, is closed, and requests on it"
              + " end as after a disconnect",
          e);
      if (connection != null) {
        connection.closeNow();
      }
    }
  }

  /** Returns the number of posted tasks that were not taken yet. */
  int size() {
    return tasks.size();
  }

  /** Takes the next task, or returns null if none is posted within {@code maxWait}. */
  PostedTask poll(TimeSpan maxWait) throws InterruptedException {
    PostedTask task = tasks.poll();
    return task != null || !maxWait.isPositive()
        ? task
        : tasks.poll(maxWait.us(), TimeUnit.MICROSECONDS);
  }
}
