package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.service.Counters.Count;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The processor of the I/O thread that serves all sockets. It adds two functions to those of Apache
 * MINA: it runs tasks after all available input was read, since a connection that looks silent to
 * the event loop may have bytes in the kernel's buffers; it shuts down the output of a connection
 * that is still read; and it bounds the time that input was unread.
 */
final class SocketProcessor extends NioProcessor {
  /** The timeout of a select while tasks wait for its end. */
  private static final int PENDING_TASKS_TIMEOUT_MS = 1;

  /**
   * The longest wait for input, so that a suspension can be told from a wait. MINA takes a shorter
   * one than 100 ms that returns nothing for a broken selector.
   */
  private static final int MAX_WAIT_MS = 110;

  private static final int US_PER_MS = 1000;

  /**
   * For how many rounds {@link #runAfterReading} waits at most while reads fill their buffers: a
   * peer that never stops writing must not hold up its tasks.
   */
  private static final int MAX_HELD_BACK_ROUNDS = 16;

  /**
   * A time between two reads of all input that is longer than this shows that the process was
   * suspended or starved; in microseconds.
   */
  private static final TimeSpan MAX_READ_INTERVAL_US = new TimeSpan(130_000);

  private final Clock clock;
  private final Counters counters;

  /** When all available input was last looked for; used on the I/O thread. */
  private Timestamp lastSelectedAt;

  /** The earliest time at which input of the current round can have arrived. */
  private Timestamp earliestArrival;

  /** Tasks that any thread has passed to {@link #runAfterReading}. */
  private final Queue<Runnable> requestedTasks = new ConcurrentLinkedQueue<>();

  /** Tasks that any thread has passed to {@link #runBeforeSelect}. */
  private final Queue<Runnable> immediateTasks = new ConcurrentLinkedQueue<>();

  /** Tasks requested before the last select; they run after its input is read. */
  private List<Runnable> tasksAfterSelect = List.of();

  /** Tasks that run after all input of the current select is read. */
  private List<Runnable> roundEndTasks = new ArrayList<>();

  private final UnreadInput unreadInput = new UnreadInput();

  /** The number of rounds in a row for which {@link #tasksAfterSelect} were held back. */
  private int heldBackRounds;

  SocketProcessor(Executor threads, Clock clock, Counters counters) {
    super(threads);
    this.clock = clock;
    this.counters = counters;
    lastSelectedAt = clock.now();
    earliestArrival = lastSelectedAt;
  }

  /**
   * Returns when input that is read now has arrived: now, or, if the process was suspended, the
   * earliest time that is possible. To be called on the I/O thread.
   */
  Timestamp arrivalTime() {
    Timestamp now = clock.now();
    return isTooLong(now.since(earliestArrival)) ? earliestArrival : now;
  }

  private static boolean isTooLong(TimeSpan interval) {
    return interval.compareTo(MAX_READ_INTERVAL_US) > 0;
  }

  /**
   * Runs a task on the I/O thread after all input that had arrived before this call is read and
   * posted, which takes several rounds for a connection with more unread input than one read takes,
   * {@link #MAX_HELD_BACK_ROUNDS} at most; thread-safe.
   */
  void runAfterReading(Runnable task) {
    requestedTasks.add(task);
    wakeup();
  }

  /**
   * Runs a task on the I/O thread as soon as possible, and before any task that is passed to {@link
   * #runAfterReading} later; thread-safe.
   */
  void runBeforeSelect(Runnable task) {
    immediateTasks.add(task);
    wakeup();
  }

  /**
   * Runs a task at the end of the current read round, when it is known whether a connection ended
   * directly after the input that was read from it. To be called on the I/O thread.
   */
  void runAtRoundEnd(Runnable task) {
    roundEndTasks.add(task);
  }

  /**
   * Runs a task at the end of the first read round in which no read from a connection fills its
   * buffer. All input that had arrived is read then, and whether the connection ended behind it is
   * known. To be called on the I/O thread.
   */
  void runWhenRead(IoSession session, Runnable task) {
    runAtRoundEnd(
        () -> {
          if (unreadInput.isAddedInRound(session)) {
            wakeup();
            runWhenRead(session, task);
          } else {
            task.run();
          }
        });
  }

  /**
   * Whether more input of a connection may be unread than the last read took, or than was read
   * since {@link #resumeRead}; thread-safe.
   */
  boolean hasUnreadInput(IoSession session) {
    return unreadInput.contains(session);
  }

  /**
   * Reads from a connection again after a suspension, during which input may have arrived. To be
   * called on the I/O thread.
   */
  void resumeRead(IoSession session) {
    unreadInput.add(session);
    session.resumeRead();
  }

  /**
   * Shuts down the output of a connection as soon as all data written to it is sent, and continues
   * reading; thread-safe. Closing a socket with unread bytes would reset the connection, and the
   * peer might lose an answer that it has not read.
   *
   * @param lastWrite the last write to this connection, or null if there was none
   */
  void shutdownOutput(IoSession session, WriteFuture lastWrite) {
    runAfterReading(() -> shutdownOutputOnIoThread(session, lastWrite));
  }

  /**
   * Does the same as {@link #shutdownOutput(IoSession, WriteFuture)} without first waiting for
   * unread input; to be called on the I/O thread.
   */
  void shutdownOutputOnIoThread(IoSession session, WriteFuture lastWrite) {
    if (lastWrite == null) {
      shutdownOutput(session);
    } else {
      lastWrite.addListener(written -> shutdownOutput(session));
    }
  }

  private void shutdownOutput(IoSession session) {
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session && key.isValid()) {
        shutdownOutput(session, (SocketChannel) key.channel());
      }
    }
  }

  private static void shutdownOutput(IoSession session, SocketChannel channel) {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // The peer has disconnected, so no reader is left for the remaining output.
      session.closeNow();
    }
  }

  /**
   * Runs the tasks that are due, then selects. MINA calls this method after it has read the input
   * of all sessions that the previous call selected.
   */
  @Override
  protected int select(long timeout) throws Exception {
    unreadInput.endReads();
    List<Runnable> endTasks = roundEndTasks;
    roundEndTasks = new ArrayList<>();
    endTasks.forEach(Runnable::run);
    List<Runnable> dueTasks = takeDueTasks();
    for (Runnable task = requestedTasks.poll(); task != null; task = requestedTasks.poll()) {
      tasksAfterSelect.add(task);
    }
    dueTasks.forEach(Runnable::run);
    unreadInput.beginRound();
    // After the requested tasks were taken, so that each of these sees the effect of all immediate
    // tasks that were added before it.
    for (Runnable task = immediateTasks.poll(); task != null; task = immediateTasks.poll()) {
      task.run();
    }
    Timestamp startedAt = clock.now();
    counters.raiseTo(Count.READ_ROUND_PEAK_MS, startedAt.since(lastSelectedAt).us() / US_PER_MS);
    int selected = selectUpTo(timeout);
    Timestamp now = clock.now();
    earliestArrival = lastSelectedAt;
    // A wait that a suspension interrupts may end without looking for input again.
    lastSelectedAt = selected == 0 && isTooLong(now.since(startedAt)) ? startedAt : now;
    return selected;
  }

  /** Takes the tasks that were requested before the last select, unless input of it is unread. */
  private List<Runnable> takeDueTasks() {
    if (!unreadInput.isRoundEmpty()
        && !tasksAfterSelect.isEmpty()
        && heldBackRounds < MAX_HELD_BACK_ROUNDS) {
      heldBackRounds++;
      return List.of();
    }
    heldBackRounds = 0;
    List<Runnable> dueTasks = tasksAfterSelect;
    tasksAfterSelect = new ArrayList<>();
    return dueTasks;
  }

  /** Reads from a connection, and records whether more of its input may be unread. */
  @Override
  protected int read(NioSession session, IoBuffer buffer) throws Exception {
    int bytes = super.read(session, buffer);
    if (bytes > 0 && !buffer.hasRemaining()) {
      unreadInput.add(session);
    }
    return bytes;
  }

  private int selectUpTo(long timeout) throws Exception {
    if (tasksAfterSelect.isEmpty()) {
      return super.select(Math.min(timeout, MAX_WAIT_MS));
    }
    int selected = super.select(PENDING_TASKS_TIMEOUT_MS);
    // Without this, MINA would take a select that returns early with no keys for a broken selector.
    wakeupCalled.set(true);
    return selected;
  }
}
