package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.postgres.ClientParser;
import cobaltseam.service.ClientSession.ReceivedMessage;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Parses the input of client connections on the I/O thread, posts the messages to the event loop,
 * and limits the memory that the messages of all clients take.
 */
final class ClientInput extends IoHandlerAdapter {
  /** Receives the connections and messages of clients, on the event-loop thread. */
  interface Listener extends ClientSession.StatementListener {
    void opened(ClientSession client);

    void received(ClientSession client, ReceivedMessage message);

    void closed(ClientSession client);
  }

  /**
   * The maximum number of messages of one client that wait for processing; at most one of those
   * that wait for the answer to a statement is itself a statement.
   */
  static final int MAX_PENDING_MESSAGES = 32;

  private static final ClientMessage.Malformed OVERLOAD =
      new ClientMessage.Malformed(
          "too much is held for all clients, trying again is harmless", true);

  private static final String CLIENT_ATTRIBUTE = "client";

  /** The ratio of the process's memory to the memory that clients' messages may use. */
  private static final int MEMORY_PER_BUFFERED_BYTE = 32;

  /**
   * A client whose incomplete message takes no more than this, and whose complete ones that wait
   * for the event loop take no more than one of the maximum length, keeps its connection when the
   * messages of all clients exceed their memory limit.
   */
  private static final int MAX_EXEMPT_BYTES = 4096;

  /**
   * A connection whose output has ended is closed at once when it has received more bytes than this
   * since then.
   */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;

  /** Bytes of all clients' messages, complete or not, that have not been processed yet. */
  private final AtomicLong bufferedBytes = new AtomicLong();

  private final long maxBufferedBytes;
  private final IncompleteMessages incompleteMessages = new IncompleteMessages();

  /**
   * Cancel requests that were read and are not processed yet; at most {@link #MAX_PENDING_MESSAGES}
   * of each connection.
   */
  private final Queue<ClientMessage.Cancel> pendingCancels = new ConcurrentLinkedQueue<>();

  /**
   * @param memoryBytes the memory limit of the process
   */
  ClientInput(Listener listener, long memoryBytes, SocketProcessor sockets, EventLoopQueue inbox) {
    this.listener = listener;
    maxBufferedBytes = memoryBytes / MEMORY_PER_BUFFERED_BYTE;
    this.sockets = sockets;
    this.inbox = inbox;
  }

  @Override
  public void sessionCreated(IoSession session) {
    ClientSession client = new ClientSession(session, listener);
    session.setAttribute(CLIENT_ATTRIBUTE, client);
    inbox.post(session, () -> listener.opened(client));
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    ClientSession client = (ClientSession) session.getAttribute(CLIENT_ATTRIBUTE);
    IoBuffer input = (IoBuffer) message;
    if (client.outputEnded || client.parser.isBroken()) {
      discard(client, input.remaining());
      return;
    }
    Timestamp readAt = sockets.arrivalTime();
    client.receivedBytes += input.remaining();
    client.lastReceivedAt = readAt;
    client.parser.parse(input.buf(), clientMessage -> post(client, clientMessage, readAt));
    updateParserBytes(client, client.parser.bufferBytes());
    if (client.isFlooding) {
      rejectFurtherInput(
          client, new ClientMessage.Malformed("too many messages at once", false), readAt);
    }
    releaseMemory(client, readAt);
    if (client.parser.isBroken()) {
      suspendRead(client);
    }
  }

  /**
   * While the messages of all clients exceed their memory limit, rejects clients that have stopped
   * in the middle of a message, and the one that was read last if that is not enough.
   */
  private void releaseMemory(ClientSession client, Timestamp now) {
    while (bufferedBytes.get() > maxBufferedBytes) {
      ClientSession stalled = incompleteMessages.longestStalled(now);
      if (stalled == null) {
        break;
      }
      rejectFurtherInput(stalled, OVERLOAD, now);
      suspendRead(stalled);
    }
    if (bufferedBytes.get() > maxBufferedBytes && holdsTooMuch(client)) {
      rejectFurtherInput(client, OVERLOAD, now);
    }
  }

  private static boolean holdsTooMuch(ClientSession client) {
    return client.parser.bufferBytes() > MAX_EXEMPT_BYTES
        || client.unprocessedBytes.get() > ClientParser.MAX_MESSAGE_BYTES;
  }

  /**
   * Reads no more from a client whose connection will be closed, until the event loop has processed
   * its earlier messages. Otherwise a client could have its connection closed for its further
   * input, connect again, and so have any number of messages wait for the event loop.
   */
  private static void suspendRead(ClientSession client) {
    client.isReadSuspended = true;
    client.session.suspendRead();
  }

  /**
   * Reads from a client again, to discard the input and to see the end of the connection; called on
   * the event-loop thread.
   */
  void resumeRead(ClientSession client) {
    sockets.runBeforeSelect(
        () -> {
          if (client.isReadSuspended) {
            sockets.resumeRead(client.session);
            client.isReadSuspended = false;
          }
        });
  }

  /**
   * Discards input, since closing a socket with unread input would reset the connection. A client
   * that exceeds {@link #MAX_DISCARDED_BYTES} is closed nevertheless.
   */
  private void discard(ClientSession client, int bytes) {
    client.discardedBytes += bytes;
    if (client.discardedBytes > MAX_DISCARDED_BYTES) {
      client.session.closeNow();
    }
  }

  /**
   * Posts a message to the event loop, unless too many of this client wait there already. A {@link
   * ClientMessage.Malformed} message, which closes the connection, is always posted.
   */
  private void post(ClientSession client, ClientMessage message, Timestamp readAt) {
    client.isFlooding |= client.unprocessedMessages.incrementAndGet() > MAX_PENDING_MESSAGES;
    if (client.isFlooding && !(message instanceof ClientMessage.Malformed)) {
      client.unprocessedMessages.decrementAndGet();
      return;
    }
    ReceivedMessage received = new ReceivedMessage(message, readAt);
    client.postedMessages++;
    client.unprocessedBytes.addAndGet(received.sizeBytes());
    bufferedBytes.addAndGet(received.sizeBytes());
    if (message instanceof ClientMessage.Cancel cancel) {
      pendingCancels.add(cancel);
      // The statement to cancel was written earlier on another connection, and has to be processed
      // before its cancel request.
      sockets.runAfterReading(() -> enqueue(client, received));
    } else {
      // Delayed until all input of the connection is read, when it is known whether it ended behind
      // this message: its client has then disconnected, possibly long ago.
      sockets.runWhenRead(client.session, () -> enqueue(client, received));
    }
  }

  private void enqueue(ClientSession client, ReceivedMessage received) {
    client.inbox.add(received);
    if (client.inboxSize.getAndIncrement() == 0) {
      postNext(client);
    }
  }

  /**
   * Has the event loop process the next message of a client. The further ones are posted one after
   * another, behind what other connections have posted meanwhile, so that a client with many
   * messages does not delay all others.
   */
  private void postNext(ClientSession client) {
    inbox.post(
        client.session,
        () -> {
          ReceivedMessage received = client.inbox.remove();
          client.unprocessedMessages.decrementAndGet();
          client.unprocessedBytes.addAndGet(-received.sizeBytes());
          try {
            listener.received(client, received);
          } finally {
            if (client.inboxSize.decrementAndGet() > 0) {
              postNext(client);
            }
          }
        });
  }

  /**
   * Parses nothing more from a client: posts a protocol error, at which the event loop closes the
   * connection.
   */
  private void rejectFurtherInput(
      ClientSession client, ClientMessage.Malformed reason, Timestamp readAt) {
    client.parser.fail(reason, message -> post(client, message, readAt));
    updateParserBytes(client, client.parser.bufferBytes());
  }

  private void updateParserBytes(ClientSession client, int bytes) {
    incompleteMessages.update(client, bytes > MAX_EXEMPT_BYTES);
    bufferedBytes.addAndGet(bytes - client.parserBytes);
    client.parserBytes = bytes;
  }

  @Override
  public void sessionClosed(IoSession session) {
    ClientSession client = (ClientSession) session.getAttribute(CLIENT_ATTRIBUTE);
    updateParserBytes(client, 0);
    inbox.post(null, () -> listener.closed(client));
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }

  /** Releases the memory accounted for processed messages; called on the event-loop thread. */
  void release(int bytes) {
    bufferedBytes.addAndGet(-bytes);
  }

  /** Whether a cancel request for this session was read and is not processed yet. */
  boolean isCancelPending(ClientSession client) {
    return pendingCancels.stream().anyMatch(client::isTargetOf);
  }

  /**
   * Whether input of a client is known to be unread, behind which it may have disconnected;
   * thread-safe.
   */
  boolean hasUnreadInput(ClientSession client) {
    return client.isReadSuspended || sockets.hasUnreadInput(client.session);
  }

  /**
   * Runs a task on the event-loop thread when the input of a client that is unread now is read, or
   * when its connection is closed; thread-safe.
   */
  void runWhenRead(ClientSession client, Runnable task) {
    sockets.runBeforeSelect(() -> postWhenRead(client, task));
  }

  private void postWhenRead(ClientSession client, Runnable task) {
    sockets.runWhenRead(
        client.session,
        () -> {
          if (client.isReadSuspended && !client.session.isClosing()) {
            postWhenRead(client, task);
          } else {
            inbox.post(client.session, task);
          }
        });
  }

  /** Removes a cancel request that the event loop is about to process. */
  void removeCancel(ClientMessage.Cancel cancel) {
    pendingCancels.remove(cancel);
  }
}
