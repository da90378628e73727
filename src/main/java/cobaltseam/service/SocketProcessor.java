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
 * The I/O thread of all sockets. It can be asked to read all that has come first: what looks silent
 * to the thread that owns the state may have spoken, with the bytes still in the machine's buffers.
 * It can also end the output of a connection that still reads, which Apache MINA alone does not
 * offer.
 */
final class SocketProcessor extends NioProcessor {
  private static final int AT_ONCE_MS = 1;

  private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();

  /** Asked for before the last look at the sockets; the I/O thread's own. */
  private List<Runnable> looked = List.of();

  /** To be run when all that was read in this round is known; the I/O thread's own. */
  private List<Runnable> roundEnd = new ArrayList<>();

  SocketProcessor(Executor threads) {
    super(threads);
  }

  /** Runs a task on the I/O thread, once all that had come by now is read and handed over. */
  void afterReading(Runnable task) {
    asked.add(task);
    wakeup();
  }

  /**
   * Runs a task before the I/O thread next waits. By then it is known whether a connection ended
   * right behind what was read from it. To be called on the I/O thread.
   */
  void atRoundEnd(Runnable task) {
    roundEnd.add(task);
  }

  /**
   * Ends the output of a connection once all that was written to it is out, and goes on reading.
   * Closing a socket with unread bytes resets the connection, and the other side may then lose an
   * answer that it has not read.
   *
   * @param last the last write to this connection, or null if there was none
   */
  void endOutput(IoSession session, WriteFuture last) {
    afterReading(() -> endOutputHere(session, last));
  }

  /** The same, to be called on the I/O thread. */
  void endOutputHere(IoSession session, WriteFuture last) {
    if (last == null) {
      endOutput(session);
    } else {
      last.addListener(written -> endOutput(session));
    }
  }

  private void endOutput(IoSession session) {
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session && key.isValid()) {
        endOutput(session, (SocketChannel) key.channel());
      }
    }
  }

  private static void endOutput(IoSession session, SocketChannel channel) {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // The other side is gone: nobody is left to read the rest.
      session.closeNow();
    }
  }

  /** Everything selected before this call is read. */
  @Override
  protected int select(long timeout) throws Exception {
    List<Runnable> ended = roundEnd;
    roundEnd = new ArrayList<>();
    ended.forEach(Runnable::run);
    List<Runnable> due = looked;
    looked = new ArrayList<>();
    for (Runnable task = asked.poll(); task != null; task = asked.poll()) {
      looked.add(task);
    }
    due.forEach(Runnable::run);
    if (looked.isEmpty()) {
      return super.select(timeout);
    }
    int selected = super.select(AT_ONCE_MS);
    // Or the loop would take a look that found nothing at once for a broken selector.
    wakeupCalled.set(true);
    return selected;
  }
}
