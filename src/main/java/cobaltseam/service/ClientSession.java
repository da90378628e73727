package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.postgres.ClientParser;
import cobaltseam.postgres.ServerMessageWriter;
import cobaltseam.resp.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * The state of one client connection, and the response handle of its open statement. The parser and
 * the fields that say so belong to the I/O thread, all others to the event-loop thread.
 */
final class ClientSession implements ResponseHandle {
  /** Sends the final answer to the statement that a session has open. */
  interface StatementListener {
    void finish(ClientSession client, ServerMessageWriter replies);

    /**
     * Whether a cancel request for this session has been read that the event loop has not processed
     * yet.
     */
    boolean isCancelPending(ClientSession client);
  }

  /**
   * One message of a client.
   *
   * @param readAt when its last byte was read
   */
  record ReceivedMessage(ClientMessage message, Timestamp readAt) {
    /** Bytes that this message counts toward the memory bound; only statements count. */
    int sizeBytes() {
      return message instanceof ClientMessage.Query query ? query.text().length : 0;
    }
  }

  final IoSession session;

  /** The I/O thread's own. */
  final ClientParser parser = new ClientParser();

  /** Messages that wait until the open statement has its answer. */
  final Deque<ReceivedMessage> pendingMessages = new ArrayDeque<>();

  /** Messages that were posted to the event loop and are not processed yet. */
  final AtomicInteger unprocessedMessages = new AtomicInteger();

  /** Complete messages posted since the connection was opened; written by the I/O thread. */
  volatile int postedMessages;

  /** Whether it is closed unless a message has come meanwhile. */
  boolean isEvicting;

  /** Whether it is closed as soon as no answer is owed on it. */
  boolean closeWhenIdle;

  int statementCount;

  /** Bytes that the parser holds of incomplete messages; the I/O thread's own. */
  int parserBytes;

  /** Whether it sent more messages at once than may wait; the I/O thread's own. */
  boolean isFlooding;

  long slotKey = SlotTable.NONE;
  int cancelSecret;

  /** Closes the connection unless it is cancelled before. */
  Timers.Timer closeTimer;

  /** Whether its output has ended: further input is discarded. */
  volatile boolean outputEnded;

  /** Bytes received; wraps around. Written by the I/O thread. */
  volatile int receivedBytes;

  /** Bytes discarded since the output ended; the I/O thread's own. */
  int discardedBytes;

  /** The last write, or null if there was none. */
  WriteFuture lastWrite;

  /** Whether messages of the extended protocol are ignored until the next Sync. */
  boolean isSkippingToSync;

  /** Whether the next message has to wait: for an answer, or for the pause after bad statements. */
  boolean isBusy;

  /** The key of its open request in the {@link RequestTable}, or NONE. */
  long requestKey = SlotTable.NONE;

  byte[] statementText;

  /** Bytes of the statement that is being answered. */
  int statementBytes;

  /** Consecutive statements that could not be used. */
  int consecutiveUnusable;

  /** Ends the pause after a statement that could not be used. */
  Timers.Timer pauseTimer;

  private final StatementListener listener;

  ClientSession(IoSession session, StatementListener listener) {
    this.session = session;
    this.listener = listener;
  }

  @Override
  public void complete(Result result) {
    listener.finish(this, ClientReplies.rows(result, statementText));
  }

  @Override
  public void shed(TimeSpan retryAfter) {
    listener.finish(this, ClientReplies.shed(retryAfter));
  }

  @Override
  public void fail() {
    listener.finish(this, ClientReplies.failed());
  }

  @Override
  public boolean isClientDisconnected() {
    return session.isClosing() || listener.isCancelPending(this);
  }

  /** Whether a cancel request names this session and its secret. */
  boolean isNamedBy(ClientMessage.Cancel cancel) {
    return (int) slotKey == cancel.session() && cancelSecret == cancel.secret();
  }
}
