package cobaltseam.service;

import cobaltseam.resp.EngineResponse;
import cobaltseam.resp.RespParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Parses the bytes received from engines into answers on the I/O thread and posts them to the event
 * loop.
 */
final class EngineInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /**
     * Called when answers were received.
     *
     * @param answers an element is null for an array that is not an engine answer
     * @param protocolError the error in the input that follows these answers, or null
     */
    void received(EngineConnection connection, List<EngineResponse> answers, String protocolError);

    /**
     * Called when a connection was closed.
     *
     * @param writtenMessages the number of messages that were written to it completely
     */
    void closed(EngineConnection connection, long writtenMessages);
  }

  private static final String PARSER_ATTRIBUTE = "parser";
  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final String UNPROCESSED_BYTES_ATTRIBUTE = "unheard";

  /**
   * The number of bytes of one connection that may wait for the event loop, enough for the results
   * of many attempts. A connection that exceeds it is closed.
   */
  private static final int MAX_UNPROCESSED_BYTES = 1 << 21;

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final UnprocessedInput total;

  EngineInput(
      Listener listener, SocketProcessor sockets, EventLoopQueue inbox, UnprocessedInput total) {
    this.listener = listener;
    this.sockets = sockets;
    this.inbox = inbox;
    this.total = total;
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
    session.setAttribute(PARSER_ATTRIBUTE, new RespParser());
    session.setAttribute(UNPROCESSED_BYTES_ATTRIBUTE, new AtomicInteger());
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    List<EngineResponse> answers = new ArrayList<>();
    RespParser parser = (RespParser) session.getAttribute(PARSER_ATTRIBUTE);
    AtomicInteger unprocessedBytes =
        (AtomicInteger) session.getAttribute(UNPROCESSED_BYTES_ATTRIBUTE);
    IoBuffer input = (IoBuffer) message;
    int bytes = input.remaining();
    total.add(bytes);
    boolean exceedsLimit = unprocessedBytes.addAndGet(bytes) > MAX_UNPROCESSED_BYTES;
    String protocolError =
        exceedsLimit
            ? "too many unprocessed bytes"
            : parser.parse(input.buf(), items -> answers.add(EngineResponse.parse(items)));
    if (protocolError != null) {
      session.closeNow();
    }
    // Posted only at the end of this read round: the answer may lead to a retry, and the end of the
    // client's connection may still be unread in the same round.
    sockets.runAtRoundEnd(
        () ->
            inbox.post(
                session,
                () -> {
                  unprocessedBytes.addAndGet(-bytes);
                  total.release(bytes);
                  listener.received(connection(session), answers, protocolError);
                }));
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
