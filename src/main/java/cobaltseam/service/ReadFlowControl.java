package cobaltseam.service;

import cobaltseam.service.Counters.Count;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.session.IoSession;

/**
 * Flow control of the input of engines and discovery: reads no more from a connection while too
 * much of its own input waits for the event loop, or while the input of all connections together
 * exceeds a share of the process's memory. The peer then has to wait by the flow control of TCP,
 * and other connections are still read.
 */
final class ReadFlowControl {
  /** The input of one connection on its way to the event loop. */
  private static final class ConnectionInput {
    final AtomicInteger unprocessedBytes = new AtomicInteger();

    /** Written on the I/O thread only. */
    volatile boolean isSuspended;
  }

  /**
   * The number of unprocessed bytes at which reading from one connection is suspended: two reads,
   * so that the event loop has input to process while the next read is on its way.
   */
  static final int MAX_CONNECTION_BYTES = 1 << 15;

  /** The ratio of the process's memory to the unprocessed input of all connections. */
  static final int MEMORY_PER_UNPROCESSED_BYTE = 64;

  private static final String INPUT_ATTRIBUTE = "input";

  private final SocketProcessor sockets;
  private final Counters counters;
  private final long maxTotalBytes;
  private final AtomicLong totalBytes = new AtomicLong();

  /**
   * @param memoryBytes the memory limit of the process
   */
  ReadFlowControl(SocketProcessor sockets, long memoryBytes, Counters counters) {
    this.sockets = sockets;
    this.counters = counters;
    maxTotalBytes = memoryBytes / MEMORY_PER_UNPROCESSED_BYTE;
  }

  /** Starts to control a new connection; to be called before any of its input is received. */
  void opened(IoSession session) {
    session.setAttribute(INPUT_ATTRIBUTE, new ConnectionInput());
  }

  private static ConnectionInput input(IoSession session) {
    return (ConnectionInput) session.getAttribute(INPUT_ATTRIBUTE);
  }

  /** Records received bytes, before they are posted; to be called on the I/O thread. */
  void received(IoSession session, int bytes) {
    ConnectionInput input = input(session);
    int connectionBytes = input.unprocessedBytes.addAndGet(bytes);
    long total = totalBytes.addAndGet(bytes);
    counters.raiseTo(Count.UNPROCESSED_INPUT_PEAK_BYTES, total);
    if (connectionBytes >= MAX_CONNECTION_BYTES || total >= maxTotalBytes) {
      counters.add(Count.READS_SUSPENDED);
      input.isSuspended = true;
      session.suspendRead();
    }
  }

  /** Records that received bytes were processed; to be called on the event-loop thread. */
  void processed(IoSession session, int bytes) {
    ConnectionInput input = input(session);
    int connectionBytes = input.unprocessedBytes.addAndGet(-bytes);
    long total = totalBytes.addAndGet(-bytes);
    // A connection without unprocessed input is always read, so that others can't starve it.
    boolean mayRead =
        connectionBytes == 0 || connectionBytes < MAX_CONNECTION_BYTES && total < maxTotalBytes;
    if (input.isSuspended && mayRead) {
      sockets.runBeforeSelect(() -> resume(session, input));
    }
  }

  private static void resume(IoSession session, ConnectionInput input) {
    if (input.isSuspended) {
      input.isSuspended = false;
      session.resumeRead();
    }
  }

  /** Returns the number of bytes of all connections that are not processed; thread-safe. */
  long unprocessedBytes() {
    return totalBytes.get();
  }
}
