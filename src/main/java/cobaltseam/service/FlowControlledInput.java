package cobaltseam.service;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Receives the bytes of peers on the I/O thread and posts them to the event loop unparsed, since
 * parsed messages take several times as much memory. {@link ReadFlowControl} limits how many wait.
 *
 * @param <C> the state of a connection
 */
abstract class FlowControlledInput<C> extends IoHandlerAdapter {
  private static final String CONNECTION_ATTRIBUTE = "connection";

  private final ReadFlowControl flowControl;

  FlowControlledInput(ReadFlowControl flowControl) {
    this.flowControl = flowControl;
  }

  /** Associates a session with its connection, before the session receives anything. */
  static void attach(IoSession session, Object connection) {
    session.setAttribute(CONNECTION_ATTRIBUTE, connection);
  }

  /**
   * Posts a task to the event loop, in the order of the calls.
   *
   * @param session the connection that a failure of the task closes, or null
   */
  abstract void post(IoSession session, Runnable task);

  /** Processes received bytes; called on the event-loop thread. */
  abstract void process(C connection, byte[] bytes);

  /**
   * Processes the end of a connection, whichever side closed it; called on the event-loop thread.
   *
   * @param writtenMessages the number of messages that were written to it completely
   */
  abstract void processClose(C connection, long writtenMessages);

  @SuppressWarnings("unchecked")
  private C connection(IoSession session) {
    return (C) session.getAttribute(CONNECTION_ATTRIBUTE);
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
    post(
        session,
        () -> {
          flowControl.processed(session, bytes.length);
          process(connection(session), bytes);
        });
  }

  @Override
  public void sessionClosed(IoSession session) {
    long writtenMessages = session.getWrittenMessages();
    post(null, () -> processClose(connection(session), writtenMessages));
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }
}
