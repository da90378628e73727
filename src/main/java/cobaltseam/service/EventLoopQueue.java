package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.session.IoSession;

/**
 * What other threads hand over to the one that owns all state. It never holds them up: a flood from
 * one peer would else stop what comes from all others. Who hands over bounds what each peer may
 * have in here.
 */
final class EventLoopQueue {
  private static final System.Logger LOG = System.getLogger(EventLoopQueue.class.getName());

  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final Counters counters;

  EventLoopQueue(Counters counters) {
    this.counters = counters;
  }

  /** Hands a task over; what it throws ends no more than this connection. */
  void post(IoSession connection, Runnable task) {
    tasks.add(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            counters.add(Count.FAULTS);
            LOG.log(Level.ERROR, "connection closed by a fault", e);
            if (connection != null) {
              connection.closeNow();
            }
          }
        });
  }

  /** Tasks that were handed over and not taken yet. */
  int size() {
    return tasks.size();
  }

  /** The next task, or null if none comes within this span. */
  Runnable next(TimeSpan most) throws InterruptedException {
    Runnable task = tasks.poll();
    return task != null || !most.isPositive() ? task : tasks.poll(most.us(), TimeUnit.MICROSECONDS);
  }
}
