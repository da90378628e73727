package cobaltseam.service;

import java.nio.ByteBuffer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Receives the bytes of engines on the I/O thread and posts them to the event loop unparsed, since
 * parsed answers take several times as much memory. {@link ReadFlowControl} limits how many wait.
 */
final class EngineInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /** Called when bytes were received. */
    void received(EngineConnection connection, ByteBuffer input);

    /**
     * Called when a connection was closed.
     *
     * @param writtenMessages the number of messages that were written to it completely
     */
    void closed(EngineConnection connection, long writtenMessages);
  }

  private static final String CONNECTION_ATTRIBUTE = "connection";

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final ReadFlowControl flowControl;

  EngineInput(
      Listener listener,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      ReadFlowControl flowControl) {
    this.listener = listener;
    this.sockets = sockets;
    this.inbox = inbox;
    this.flowControl = flowControl;
  }

  /** Associates a session with its connection, before the session receives anything. */
  static void attach(IoSession session, EngineConnection connection) {
    session.setAttribute(CONNECTION_ATTRIBUTE, connection);
  }

  private static EngineConnection connection(IoSession session) {
    return (EngineConnection) session.getAttribute(CONNECTION_ATTRIBUTE);
  }

  @Override
  public void sessionCreated(IoSession session) {
    flowControl.opened(session);
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    // A copy, since the buffer that MINA has read into may be much larger than its content.
    byte[] bytes = new byte[((IoBuffer) message).remaining()];
    ((IoBuffer) message).get(bytes);
    flowControl.received(session, bytes.length);
    // Posted only at the end of this read round: the answer may lead to a retry, and the end of the
    // client's connection may still be unread in the same round.
    sockets.runAtRoundEnd(() -> inbox.post(session, () -> process(session, bytes)));
  }

  private void process(IoSession session, byte[] bytes) {
    flowControl.processed(session, bytes.length);
    listener.received(connection(session), ByteBuffer.wrap(bytes));
  }

  @Override
  public void sessionClosed(IoSession session) {
    long writtenMessages = session.getWrittenMessages();
    // Also at the end of the round, or the close would overtake an answer that was read before it.
    sockets.runAtRoundEnd(
        () -> inbox.post(null, () -> listener.closed(connection(session), writtenMessages)));
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }
}
