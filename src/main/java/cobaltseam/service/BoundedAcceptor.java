package cobaltseam.service;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts clients no faster than room is made for them: beyond its bound one is accepted only after
 * another has closed, or a while has passed. Connections that come by hundreds would otherwise take
 * the descriptors that the engines' connections need, before anything can give way.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
  private static final int WAIT_MS = 20;

  private final Object changed = new Object();
  private final int most;
  private int open;
  private int waits;

  BoundedAcceptor(Executor threads, IoProcessor<NioSession> processor, int most) {
    super(threads, processor);
    this.most = most;
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
      throws Exception {
    synchronized (changed) {
      if (open >= most) {
        waits++;
        changed.wait(WAIT_MS);
      }
    }
    NioSession session = super.accept(processor, handle);
    if (session != null) {
      count(1);
      session.getCloseFuture().addListener(closed -> count(-1));
    }
    return session;
  }

  /** Clients' connections that are open, whether or not anything was read from them yet. */
  int open() {
    synchronized (changed) {
      return open;
    }
  }

  /** How often one was not accepted at once. */
  int waits() {
    synchronized (changed) {
      return waits;
    }
  }

  private void count(int more) {
    synchronized (changed) {
      open += more;
      changed.notifyAll();
    }
  }
}
