package cobaltseam.service;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** Receives the bytes of engines; see {@link FlowControlledInput}. */
final class EngineInput extends FlowControlledInput<EngineConnection> {
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

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;

  EngineInput(
      Listener listener,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      ReadFlowControl flowControl) {
    super(flowControl);
    this.listener = listener;
    this.sockets = sockets;
    this.inbox = inbox;
  }

  /**
   * Posts a task only at the end of the current read round: an answer may lead to a retry, and the
   * end of the client's connection may still be unread in the same round.
   */
  @Override
  void post(IoSession session, Runnable task) {
    sockets.runAtRoundEnd(() -> inbox.post(session, task));
  }

  @Override
  void process(EngineConnection connection, byte[] bytes) {
    listener.received(connection, ByteBuffer.wrap(bytes));
  }

  @Override
  void processClose(EngineConnection connection, long writtenMessages) {
    listener.closed(connection, writtenMessages);
  }
}
