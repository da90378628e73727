package cobaltseam.service;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts clients no faster than others are evicted: above its bound a client is accepted only
 * after another connection was closed, or after a short delay. Hundreds of connections at once
 * would otherwise take the descriptors that connections to engines need, before any can be evicted.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
  private static final int MAX_WAIT_MS = 20;

  private final Object changed = new Object();
  private final int maxOpen;
  private int openConnections;
  private int delayedAccepts;

  BoundedAcceptor(Executor threads, IoProcessor<NioSession> processor, int maxOpen) {
    super(threads, processor);
    this.maxOpen = maxOpen;
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    synchronized (changed) {
      if (openConnections >= maxOpen) {
        delayedAccepts++;
        changed.wait(MAX_WAIT_MS);
      }
    }
    NioSession session = super.accept(processor, handle);
    if (session != null) {
      addOpen(1);
      session.getCloseFuture().addListener(closed -> addOpen(-1));
    }
    return session;
  }

  /** The number of client connections that are accepted and not closed. */
  int openConnections() {
    synchronized (changed) {
      return openConnections;
    }
  }

  /** How often a connection was not accepted at once. */
  int delayedAccepts() {
    synchronized (changed) {
      return delayedAccepts;
    }
  }

  private void addOpen(int change) {
    synchronized (changed) {
      openConnections += change;
      changed.notifyAll();
    }
  }
}
