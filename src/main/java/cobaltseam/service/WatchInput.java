package cobaltseam.service;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Receives the bytes of the event bus on the I/O thread and posts them to the event loop. {@link
 * ReadFlowControl} limits how many wait there.
 */
final class WatchInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /** Called when bytes were received. */
    void received(WatchConnection connection, byte[] bytes);

    /** Called when a connection was closed, whichever side closed it. */
    void closed(WatchConnection connection);
  }

  private static final String CONNECTION_ATTRIBUTE = "connection";

  private final Listener listener;
  private final EventLoopQueue inbox;
  private final ReadFlowControl flowControl;

  WatchInput(Listener listener, EventLoopQueue inbox, ReadFlowControl flowControl) {
    this.listener = listener;
    this.inbox = inbox;
    this.flowControl = flowControl;
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
    flowControl.opened(session);
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    byte[] bytes = new byte[((IoBuffer) message).remaining()];
    ((IoBuffer) message).get(bytes);
    flowControl.received(session, bytes.length);
    inbox.post(
        session,
        () -> {
          flowControl.processed(session, bytes.length);
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
