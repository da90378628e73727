package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A socket acceptor that survives failed accepts, with backpressure: while the maximum number of
 * client connections is open, it accepts the next one only after another was closed, or after
 * {@link #MAX_WAIT_MS}. Without this delay, hundreds of simultaneous connections would use up the
 * file descriptors that connections to engines need before an idle client could be evicted.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
  /** The longest delay of one accept while the maximum number of connections is open. */
  private static final int MAX_WAIT_MS = 20;

  /**
   * The pause after a failed accept. Without it, a lack of descriptors would be a busy loop; the
   * connections in the backlog wait for it.
   */
  private static final int FAILED_ACCEPT_PAUSE_MS = 2;

  /** The ratio of the maximum number of connections to those that a closing listener accepts. */
  private static final int CONNECTIONS_PER_QUEUED = 8;

  private final IoProcessor<NioSession> processor;
  private final Object connectionsChanged = new Object();
  private final int maxOpen;
  private int openConnections;
  private final Counters counters;

  /** Used on the acceptor's thread only. */
  private final RateLimitedLog log;

  private int delayedAccepts;

  BoundedAcceptor(
      Executor executor,
      IoProcessor<NioSession> processor,
      int maxOpen,
      Clock clock,
      Counters counters) {
    super(executor, processor);
    this.processor = processor;
    this.maxOpen = maxOpen;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(BoundedAcceptor.class.getName()), clock);
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    synchronized (connectionsChanged) {
      if (openConnections >= maxOpen) {
        delayedAccepts++;
        connectionsChanged.wait(MAX_WAIT_MS);
      }
    }
    return countOpen(acceptOrPause(processor, handle));
  }

  private NioSession countOpen(NioSession session) {
    if (session != null) {
      adjustOpenConnections(1);
      session.getCloseFuture().addListener(closed -> adjustOpenConnections(-1));
    }
    return session;
  }

  /**
   * Closes a listener after accepting the connections that are established already: the close would
   * reset them, and their clients may have sent a request.
   */
  @Override
  protected void close(ServerSocketChannel handle) throws Exception {
    try {
      acceptQueued(handle);
    } finally {
      super.close(handle);
    }
  }

  /**
   * Accepts the established connections of a listener, up to a fraction of the maximum number of
   * connections, since the descriptors have to suffice.
   */
  private void acceptQueued(ServerSocketChannel handle) throws Exception {
    // Without a select, only connections that the last one has seen could be accepted.
    wakeup();
    select();
    int maxQueued = Math.max(1, maxOpen / CONNECTIONS_PER_QUEUED);
    for (int accepted = 0; accepted < maxQueued; accepted++) {
      NioSession session = countOpen(acceptOrPause(processor, handle));
      if (session == null) {
        return;
      }
      initSession(session, null, null);
      processor.add(session);
    }
  }

  /**
   * Accepts a connection; returns null after a pause if that fails, which costs no other connection
   * more than the pause. An exception would stop MINA's acceptor for a second. MINA itself pauses
   * for 50 ms if the process has no descriptor left.
   */
  private NioSession acceptOrPause(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    try {
      return super.accept(processor, handle);
    } catch (IOException | RuntimeException e) {
      log.warn(
          "a client connection could not be accepted: {0}; it is tried again after {1} ms",
          Field.of("reason", e.getMessage()),
          Field.of("pauseMs", FAILED_ACCEPT_PAUSE_MS),
          Field.event("client.accept_failed"));
      counters.add(Count.CLIENT_ACCEPTS_FAILED);
      Thread.sleep(FAILED_ACCEPT_PAUSE_MS);
      return null;
    }
  }

  /** Returns the number of client connections that are accepted and not closed; thread-safe. */
  int openConnections() {
    synchronized (connectionsChanged) {
      return openConnections;
    }
  }

  /** Returns how many accepts were delayed since the start; thread-safe. */
  int delayedAccepts() {
    synchronized (connectionsChanged) {
      return delayedAccepts;
    }
  }

  private void adjustOpenConnections(int change) {
    synchronized (connectionsChanged) {
      openConnections += change;
      connectionsChanged.notifyAll();
    }
  }
}
