package cobaltseam.service;

import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/** Receives the bytes of the event bus on the I/O thread and posts them to the event loop. */
final class WatchInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /** Called when bytes were received. */
    void received(WatchConnection connection, byte[] bytes);

    /** Called when a connection was closed, whichever side closed it. */
    void closed(WatchConnection connection);
  }

  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final String UNPROCESSED_BYTES_ATTRIBUTE = "unheard";

  /** A connection of which more bytes wait for the event loop is closed. */
  private static final int MAX_UNPROCESSED_BYTES = 2 << 20;

  private final Listener listener;
  private final EventLoopQueue inbox;

  WatchInput(Listener listener, EventLoopQueue inbox) {
    this.listener = listener;
    this.inbox = inbox;
  }

  /** Associates a session with its connection, before the session receives anything. */
  static void attach(IoSession session, WatchConnection connection) {
    session.setAttribute(CONNECTION_ATTRIBUTE, connection);
  }

  private static WatchConnection connection(IoSession session) {
    return (WatchConnection) session.getAttribute(CONNECTION_ATTRIBUTE);
  }

  @Override
  public void sessionCreated(IoSession session) {
    session.setAttribute(UNPROCESSED_BYTES_ATTRIBUTE, new AtomicInteger());
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    byte[] bytes = new byte[((IoBuffer) message).remaining()];
    ((IoBuffer) message).get(bytes);
    AtomicInteger unprocessedBytes =
        (AtomicInteger) session.getAttribute(UNPROCESSED_BYTES_ATTRIBUTE);
    if (unprocessedBytes.addAndGet(bytes.length) > MAX_UNPROCESSED_BYTES) {
      session.closeNow();
      return;
    }
    inbox.post(
        session,
        () -> {
          unprocessedBytes.addAndGet(-bytes.length);
          listener.received(connection(session), bytes);
        });
  }

  @Override
  public void sessionClosed(IoSession session) {
    inbox.post(null, () -> listener.closed(connection(session)));
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }
}
