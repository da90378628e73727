package cobaltseam.service;

import org.apache.mina.core.session.IoSession;

/** Receives the bytes of the event bus; see {@link FlowControlledInput}. */
final class WatchInput extends FlowControlledInput<WatchConnection> {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /** Called when bytes were received. */
    void received(WatchConnection connection, byte[] bytes);

    /** Called when a connection was closed, whichever side closed it. */
    void closed(WatchConnection connection);
  }

  private final Listener listener;
  private final EventLoopQueue inbox;

  WatchInput(Listener listener, EventLoopQueue inbox, ReadFlowControl flowControl) {
    super(flowControl);
    this.listener = listener;
    this.inbox = inbox;
  }

  @Override
  void post(IoSession session, Runnable task) {
    inbox.post(session, task);
  }

  @Override
  void process(WatchConnection connection, byte[] bytes) {
    listener.received(connection, bytes);
  }

  @Override
  void processClose(WatchConnection connection, long writtenMessages) {
    listener.closed(connection);
  }
}
