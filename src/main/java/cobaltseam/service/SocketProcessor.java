package cobaltseam.service;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;

/**
 * The I/O thread of all sockets. Beyond what Apache MINA offers, it runs tasks after all that has
 * come was read, since a connection that looks silent to the event loop may have bytes in the
 * kernel's buffers, and it ends the output of a connection that is still read.
 */
final class SocketProcessor extends NioProcessor {
  /** How long a select waits while tasks wait for it to end. */
  private static final int PENDING_TASKS_TIMEOUT_MS = 1;

  /** Tasks for after reading, from any thread. */
  private final Queue<Runnable> requestedTasks = new ConcurrentLinkedQueue<>();

  /** Requested before the last select; run after what it selected is read. */
  private List<Runnable> tasksAfterSelect = List.of();

  /** Run after all that this select selected is read. */
  private List<Runnable> roundEndTasks = new ArrayList<>();

  SocketProcessor(Executor threads) {
    super(threads);
  }

  /** Runs a task on the I/O thread, after all that had come by now is read and posted. */
  void runAfterReading(Runnable task) {
    requestedTasks.add(task);
    wakeup();
  }

  /**
   * Runs a task at the end of this round of reading, when it is known whether a connection ended
   * right behind what was read from it. To be called on the I/O thread.
   */
  void runAtRoundEnd(Runnable task) {
    roundEndTasks.add(task);
  }

  /**
   * Ends the output of a connection as soon as all that was written to it is out, and goes on
   * reading. Closing a socket with unread bytes would reset the connection, and the other side
   * might lose an answer that it has not read.
   *
   * @param lastWrite the last write to this connection, or null if there was none
   */
  void shutdownOutput(IoSession session, WriteFuture lastWrite) {
    runAfterReading(() -> shutdownOutputOnIoThread(session, lastWrite));
  }

  /** The same without delay; to be called on the I/O thread. */
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
      // The other side is gone: nobody is left to read the rest.
      session.closeNow();
    }
  }

  /** When this is called, everything that the last call selected has been read. */
  @Override
  protected int select(long timeout) throws Exception {
    List<Runnable> endTasks = roundEndTasks;
    roundEndTasks = new ArrayList<>();
    endTasks.forEach(Runnable::run);
    List<Runnable> dueTasks = tasksAfterSelect;
    tasksAfterSelect = new ArrayList<>();
    for (Runnable task = requestedTasks.poll(); task != null; task = requestedTasks.poll()) {
      tasksAfterSelect.add(task);
    }
    dueTasks.forEach(Runnable::run);
    if (tasksAfterSelect.isEmpty()) {
      return super.select(timeout);
    }
    int selected = super.select(PENDING_TASKS_TIMEOUT_MS);
    // Or MINA would take a select that returned at once with nothing for a broken selector.
    wakeupCalled.set(true);
    return selected;
  }
}
