package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.service.ClientSession.ReceivedMessage;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Turns the bytes of client connections into messages on the I/O thread, posts them to the event
 * loop, and bounds the memory that all clients' messages take.
 */
final class ClientInput extends IoHandlerAdapter {
  /** Is notified on the event-loop thread. */
  interface Listener extends ClientSession.StatementListener {
    void opened(ClientSession client);

    void received(ClientSession client, ReceivedMessage message);

    void closed(ClientSession client);
  }

  /** Messages that may wait behind a statement, one of them a statement. */
  static final int MAX_PENDING_MESSAGES = 32;

  private static final String CLIENT_ATTRIBUTE = "client";

  /** One part of this many of the process's memory may hold clients' messages. */
  private static final int MEMORY_PER_HELD = 32;

  /** A client that holds no more than this is not closed for the memory that all hold together. */
  private static final int MAX_SMALL_BYTES = 4096;

  /** A connection whose output has ended is closed at once when more than this comes on it. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  private final Listener listener;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final Clock clock;

  /** Bytes of clients' messages, complete or not, until they are processed. */
  private final AtomicLong heldBytes = new AtomicLong();

  private final long maxHeldBytes;

  /**
   * Cancel requests that were read and are not processed yet: of one connection no more than {@link
   * #MAX_PENDING_MESSAGES}.
   */
  private final Queue<ClientMessage.Cancel> pendingCancels = new ConcurrentLinkedQueue<>();

  /**
   * @param memoryBytes the memory of the process
   */
  ClientInput(
      Listener listener,
      long memoryBytes,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock) {
    this.listener = listener;
    maxHeldBytes = memoryBytes / MEMORY_PER_HELD;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
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
    Timestamp readAt = clock.now();
    client.receivedBytes += input.remaining();
    client.parser.parse(input.buf(), parsed -> post(client, parsed, readAt));
    updateParserBytes(client, client.parser.bufferBytes());
    if (client.isFlooding) {
      refuse(client, "too many messages at once", readAt);
    } else if (heldBytes.get() > maxHeldBytes && client.parser.bufferBytes() > MAX_SMALL_BYTES) {
      refuse(client, "too much is held for all clients", readAt);
    }
  }

  /**
   * Reads on without keeping anything, since closing a socket with unread bytes resets the
   * connection. A client that sends without end is closed all the same.
   */
  private void discard(ClientSession client, int bytes) {
    client.discardedBytes += bytes;
    if (client.discardedBytes > MAX_DISCARDED_BYTES) {
      client.session.closeNow();
    }
  }

  /** Posts a message to the event loop, but no more of them than may wait behind a statement. */
  private void post(ClientSession client, ClientMessage message, Timestamp readAt) {
    client.isFlooding |= client.unprocessedMessages.incrementAndGet() > MAX_PENDING_MESSAGES;
    if (client.isFlooding && !(message instanceof ClientMessage.Malformed)) {
      client.unprocessedMessages.decrementAndGet();
      return;
    }
    ReceivedMessage received = new ReceivedMessage(message, readAt);
    client.postedMessages++;
    heldBytes.addAndGet(received.sizeBytes());
    Runnable post =
        () ->
            inbox.post(
                client.session,
                () -> {
                  client.unprocessedMessages.decrementAndGet();
                  listener.received(client, received);
                });
    if (message instanceof ClientMessage.Cancel cancel) {
      pendingCancels.add(cancel);
      // The statement that it names was written before it on another connection, and has to be
      // processed first.
      sockets.afterReading(post);
    } else {
      // Not at once: a client whose connection ends right behind its statement has left, possibly
      // long ago.
      sockets.atRoundEnd(post);
    }
  }

  /** Reads nothing more from a client: its connection is closed once the event loop gets to it. */
  private void refuse(ClientSession client, String reason, Timestamp readAt) {
    client.parser.fail(reason, message -> post(client, message, readAt));
    updateParserBytes(client, client.parser.bufferBytes());
  }

  private void updateParserBytes(ClientSession client, int bytes) {
    heldBytes.addAndGet(bytes - client.parserBytes);
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

  /** These bytes of processed messages are no longer needed; from the event-loop thread. */
  void release(int bytes) {
    heldBytes.addAndGet(-bytes);
  }

  /** Whether a cancel request that was read and is not processed yet names this session. */
  boolean isCancelPending(ClientSession client) {
    return pendingCancels.stream().anyMatch(client::isNamedBy);
  }

  /** The event loop processes this cancel request now. */
  void removeCancel(ClientMessage.Cancel cancel) {
    pendingCancels.remove(cancel);
  }
}
