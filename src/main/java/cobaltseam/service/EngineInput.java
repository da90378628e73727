package cobaltseam.service;

import cobaltseam.resp.EngineResponse;
import cobaltseam.resp.RespParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/** Turns the bytes of engine connections into answers on the I/O thread, for the event loop. */
final class EngineInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener {
    /**
     * Answers have come.
     *
     * @param answers an element is null where an array is no answer
     * @param protocolError what is wrong with what came behind them, or null
     */
    void received(EngineConnection connection, List<EngineResponse> answers, String protocolError);

    /**
     * The connection was closed.
     *
     * @param writtenMessages how many messages were written completely
     */
    void closed(EngineConnection connection, long writtenMessages);
  }

  private static final String PARSER_ATTRIBUTE = "parser";
  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final String UNPROCESSED_ATTRIBUTE = "unheard";

  /** Bytes of one connection that may wait to be processed: results of many attempts. */
  private static final int MAX_UNPROCESSED_BYTES = 1 << 21;

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;

  EngineInput(Listener listener, SocketProcessor sockets, EventLoopQueue inbox) {
    this.listener = listener;
    this.sockets = sockets;
    this.inbox = inbox;
  }

  /** Tells the handler which connection a session belongs to, before it is used. */
  static void attach(IoSession session, EngineConnection connection) {
    session.setAttribute(CONNECTION_ATTRIBUTE, connection);
  }

  private static EngineConnection connection(IoSession session) {
    return (EngineConnection) session.getAttribute(CONNECTION_ATTRIBUTE);
  }

  @Override
  public void sessionCreated(IoSession session) {
    session.setAttribute(PARSER_ATTRIBUTE, new RespParser());
    session.setAttribute(UNPROCESSED_ATTRIBUTE, new AtomicInteger());
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    List<EngineResponse> answers = new ArrayList<>();
    RespParser parser = (RespParser) session.getAttribute(PARSER_ATTRIBUTE);
    AtomicInteger unprocessedBytes = (AtomicInteger) session.getAttribute(UNPROCESSED_ATTRIBUTE);
    IoBuffer input = (IoBuffer) message;
    int bytes = input.remaining();
    boolean isTooMuch = unprocessedBytes.addAndGet(bytes) > MAX_UNPROCESSED_BYTES;
    String protocolError =
        isTooMuch
            ? "more than is asked for"
            : parser.parse(input.buf(), items -> answers.add(EngineResponse.parse(items)));
    if (protocolError != null) {
      session.closeNow();
    }
    // Not at once: a retry may follow, and the end of the client's connection may lie unread in the
    // same round of reading.
    sockets.runAtRoundEnd(
        () ->
            inbox.post(
                session,
                () -> {
                  unprocessedBytes.addAndGet(-bytes);
                  listener.received(connection(session), answers, protocolError);
                }));
  }

  @Override
  public void sessionClosed(IoSession session) {
    long writtenMessages = session.getWrittenMessages();
    // At the end of the round too, or the close would overtake an answer that was read before it.
    sockets.runAtRoundEnd(
        () -> inbox.post(null, () -> listener.closed(connection(session), writtenMessages)));
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }
}
