package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.postgres.ClientParser;
import cobaltseam.postgres.ServerMessageWriter;
import cobaltseam.resp.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * The state of one client connection, and the response handle of its open statement. The event-loop
 * thread owns all fields but the parser and those that are marked as owned or written by the I/O
 * thread.
 */
final class ClientSession implements ResponseHandle {
  /** Receives the final answer to the open statement of a session. */
  interface StatementListener {
    /** Sends the final answer; called once for each statement unless its client disconnects. */
    void finish(ClientSession client, ServerMessageWriter replies);

    /** Whether a cancel request for this session was read and is not processed yet. */
    boolean isCancelPending(ClientSession client);

    /** Whether input of this session is known to be unread. */
    boolean hasUnreadInput(ClientSession client);

    /** Runs a task on the event-loop thread when that input is read. */
    void runWhenRead(ClientSession client, Runnable task);
  }

  /**
   * A message of a client, with the time of its arrival.
   *
   * @param readAt when its last byte was read
   */
  record ReceivedMessage(ClientMessage message, Timestamp readAt) {
    /** Returns the bytes that count toward the memory limit; only statements count. */
    int sizeBytes() {
      return message instanceof ClientMessage.Query query ? query.text().length : 0;
    }
  }

  final IoSession session;

  /** Parses the input; owned by the I/O thread. */
  final ClientParser parser = new ClientParser();

  /** Messages that wait until the open statement is answered. */
  final Deque<ReceivedMessage> pendingMessages = new ArrayDeque<>();

  /** Messages that were read and are not processed yet. */
  final AtomicInteger unprocessedMessages = new AtomicInteger();

  /** Bytes of the statements among them. */
  final AtomicInteger unprocessedBytes = new AtomicInteger();

  /** Messages for the event loop, which processes one of them a task. */
  final Queue<ReceivedMessage> inbox = new ConcurrentLinkedQueue<>();

  /** The number of messages in the inbox, including the one that is being processed. */
  final AtomicInteger inboxSize = new AtomicInteger();

  /** The number of messages posted since the connection opened; written by the I/O thread. */
  volatile int postedMessages;

  /**
   * Whether an eviction is in progress: the connection is closed unless a message is received
   * before the I/O thread has read all input.
   */
  boolean isEvicting;

  /** Whether the connection is closed as soon as no answer is pending. */
  boolean closeWhenIdle;

  int statementCount;

  /** Bytes of incomplete messages in the parser; owned by the I/O thread. */
  int parserBytes;

  /** Whether the client exceeded the limit of waiting messages; owned by the I/O thread. */
  boolean isFlooding;

  /** Whether reading is suspended; written by the I/O thread. */
  volatile boolean isReadSuspended;

  long slotKey = SlotTable.NONE;
  int cancelSecret;

  /**
   * The timeout for the first statement, or after the end of the output the timeout for the client
   * to close the connection.
   */
  Timers.Timer closeTimer;

  /** The timeout for the rest of a message, on a connection that closes after its answer. */
  Timers.Timer messageTimer;

  /** Whether the output has ended; further input is discarded. */
  volatile boolean outputEnded;

  /** The number of bytes received, modulo 2^32; written by the I/O thread. */
  volatile int receivedBytes;

  /** When bytes were received last, or null; written by the I/O thread. */
  volatile Timestamp lastReceivedAt;

  /** Bytes discarded since the output ended; owned by the I/O thread. */
  int discardedBytes;

  /** The last write, or null if there was none. */
  WriteFuture lastWrite;

  /** Whether messages of the extended protocol are ignored until the next Sync. */
  boolean isSkippingToSync;

  /** Whether the next message has to wait, for an answer or for the pause after rejections. */
  boolean isBusy;

  /** The key of the open request in the {@link RequestTable}, or NONE. */
  long requestKey = SlotTable.NONE;

  byte[] statementText;

  /** Bytes of the statement that is being processed. */
  int statementBytes;

  /** The number of statements rejected since the last admitted one. */
  int consecutiveRejections;

  /** Ends the pause after repeated rejections. */
  Timers.Timer rejectionPauseTimer;

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

  @Override
  public boolean hasUnreadInput() {
    return listener.hasUnreadInput(this);
  }

  @Override
  public void runWhenRead(Runnable task) {
    listener.runWhenRead(this, task);
  }

  /** Whether the client has sent a part of a message, and some of it within this time. */
  boolean isSendingMessage(Timestamp now, TimeSpan within) {
    Timestamp lastReceived = lastReceivedAt;
    return parser.isInMessage()
        && lastReceived != null
        && now.since(lastReceived).compareTo(within) < 0;
  }

  /** Whether a cancel request names this session and has its secret. */
  boolean isTargetOf(ClientMessage.Cancel cancel) {
    return (int) slotKey == cancel.session() && cancelSecret == cancel.secret();
  }
}
