package cobaltseam.service;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A socket acceptor with backpressure: while the maximum number of client connections is open, it
 * accepts the next one only after another was closed, or after {@link #MAX_WAIT_MS}. Without this
 * delay, hundreds of simultaneous connections would use up the file descriptors that connections to
 * engines need before an idle client could be evicted.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
  /** The longest delay of one accept while the maximum number of connections is open. */
  private static final int MAX_WAIT_MS = 20;

  private final Object connectionsChanged = new Object();
  private final int maxOpen;
  private int openConnections;
  private int delayedAccepts;

  BoundedAcceptor(Executor executor, IoProcessor<NioSession> processor, int maxOpen) {
    super(executor, processor);
    this.maxOpen = maxOpen;
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
    NioSession session = super.accept(processor, handle);
    if (session != null) {
      adjustOpenConnections(1);
      session.getCloseFuture().addListener(closed -> adjustOpenConnections(-1));
    }
    return session;
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
