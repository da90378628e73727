package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.postgres.ServerMessageWriter;
import cobaltseam.service.Counters.Count;
import java.net.SocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;

/**
 * Manages the connections of all clients: limits their number, evicts idle ones, writes to them and
 * closes them. All methods run on the event-loop thread.
 */
final class ClientConnections {
  /** A client with more unsent bytes than this when the next reply is written is disconnected. */
  private static final int MAX_UNSENT_BYTES = 1 << 16;

  /**
   * While more bytes than this are scheduled and unsent for all clients together, a client that
   * still has unsent bytes when the next reply is written is disconnected.
   */
  private static final int MAX_TOTAL_UNSENT_BYTES = 1 << 23;

  /**
   * A client that sends no complete statement for this long is evicted; in microseconds. Clients
   * close connections themselves that were idle for 4 s, so that one which is silent for longer
   * will send nothing.
   */
  private static final TimeSpan FIRST_STATEMENT_TIMEOUT_US = new TimeSpan(5_000_000);

  /** A client that sends no more of an incomplete message for this long counts as idle. */
  private static final TimeSpan MESSAGE_TIMEOUT_US = FIRST_STATEMENT_TIMEOUT_US;

  private final ClientInput input;
  private final RequestTable requests;
  private final RandomGenerator cancelSecrets;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final int maxClients;
  private final SlotTable<ClientSession> slots;
  private final IdleClients idleClients;
  private final ClosingClients closingClients;

  /** The number of clients with an eviction in progress; see {@link ClientSession#isEvicting}. */
  private int evictingClients;

  /** Whether the shutdown has begun and new statements are rejected. */
  private boolean isShuttingDown;

  /** Whether the shutdown no longer waits for clients that are still sending a message. */
  private boolean isShutdownForced;

  /**
   * @param maxSockets the number of file descriptors that the process may open
   * @param cancelSecrets generates the numbers that authenticate cancel requests
   */
  ClientConnections(
      int maxSockets,
      ClientInput input,
      RequestTable requests,
      RandomGenerator cancelSecrets,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters,
      RateLimitedLog log) {
    this.input = input;
    this.requests = requests;
    this.cancelSecrets = cancelSecrets;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    // Above the third of the descriptors that client connections normally use, and below the half
    // at which the acceptor delays connections. A client that connects at this limit is accepted at
    // once, and a client that has been idle for long is evicted for it.
    maxClients = maxSockets * 5 / 12;
    slots = new SlotTable<>(maxAcceptedConnections(maxSockets));
    idleClients = new IdleClients(maxClients);
    closingClients = new ClosingClients(maxClients, clock, timers);
  }

  /**
   * Returns how many client connections may be open at once, including those that are closing.
   *
   * @param maxSockets the number of file descriptors that the process may open
   */
  static int maxAcceptedConnections(int maxSockets) {
    return maxSockets / 2;
  }

  /** Returns the number of clients that are open; those that are closing don't count. */
  int size() {
    return slots.size();
  }

  boolean isShuttingDown() {
    return isShuttingDown;
  }

  void forEach(Consumer<ClientSession> action) {
    slots.forEach(action);
  }

  /**
   * Registers a client that has just connected, and evicts an idle one if the limit is reached.
   *
   * @return whether the client was registered; a client that was not is being closed
   */
  boolean add(ClientSession client) {
    if (slots.size() - evictingClients >= maxClients) {
      evictIdle();
    }
    client.slotKey = slots.add(client);
    if (client.slotKey == SlotTable.NONE) {
      counters.add(Count.CLIENTS_TURNED_AWAY);
      write(
          client,
          new ServerMessageWriter()
              .errorResponse("FATAL", ServerMessageWriter.SQLSTATE_SHED, "too many clients"));
      close(client);
      return false;
    }
    counters.add(Count.CLIENTS_OPENED);
    client.cancelSecret = cancelSecrets.nextInt();
    idleClients.update(client, true);
    startFirstStatementTimeout(client);
    // During a shutdown the connection is read before it is closed: it may carry a cancel request.
    client.closeWhenIdle = isShuttingDown;
    return true;
  }

  /**
   * Starts the timeout for the first statement. The timeout starts again if the client has sent a
   * part of a message in the meantime, so that a slow writer isn't evicted.
   */
  private void startFirstStatementTimeout(ClientSession client) {
    int receivedBytesAtStart = client.receivedBytes;
    client.closeTimer =
        timers.set(
            clock.now().plus(FIRST_STATEMENT_TIMEOUT_US),
            () -> {
              if (client.receivedBytes != receivedBytesAtStart && client.parser.isInMessage()) {
                startFirstStatementTimeout(client);
              } else {
                counters.add(Count.CLIENTS_TIMED_OUT);
                evict(client);
              }
            });
  }

  private void evictIdle() {
    Timestamp now = clock.now();
    ClientSession candidate =
        idleClients.evictionCandidate(client -> client.isSendingMessage(now, MESSAGE_TIMEOUT_US));
    if (candidate != null) {
      counters.add(Count.CLIENTS_GAVE_WAY);
      evict(candidate);
    }
  }

  /**
   * Closes an idle connection unless input is received in the meantime, since every statement that
   * is received completely has to be answered. Sends no message first: the client could take it for
   * the answer to a statement that it has just sent.
   */
  private void evict(ClientSession client) {
    if (client.isEvicting || !isOpen(client)) {
      return;
    }
    client.isEvicting = true;
    evictingClients++;
    idleClients.update(client, false);
    int processedMessages = client.postedMessages - client.unprocessedMessages.get();
    int receivedBytes = client.receivedBytes;
    boolean wasInMessage = client.parser.isInMessage();
    WriteFuture lastWrite = client.lastWrite;
    sockets.runAfterReading(
        () -> {
          boolean hasStayedIdle =
              client.postedMessages == processedMessages
                  && client.receivedBytes == receivedBytes
                  && (wasInMessage || !client.parser.isInMessage());
          if (hasStayedIdle) {
            // Ends the output here and now: later input is discarded, and the client that sent it
            // has to see the end of the connection soon afterwards.
            client.outputEnded = true;
            sockets.shutdownOutputOnIoThread(client.session, lastWrite);
          }
          inbox.post(client.session, () -> finishEviction(client, hasStayedIdle));
        });
  }

  private void finishEviction(ClientSession client, boolean hasStayedIdle) {
    if (!isOpen(client)) {
      return;
    }
    evictingClients--;
    client.isEvicting = false;
    if (hasStayedIdle) {
      close(client);
      return;
    }
    if (!client.isBusy) {
      idleClients.update(client, true);
    }
    if (client.statementCount == 0) {
      startFirstStatementTimeout(client);
    }
    closeIfIdle(client);
  }

  /**
   * Ends the output after all scheduled bytes are sent. The connection is closed when the client
   * has closed it, or after {@link ClosingClients#CLOSE_TIMEOUT_US}. Until then input is read and
   * discarded, since a close with unread input would reset the connection.
   */
  void close(ClientSession client) {
    remove(client);
    client.outputEnded = true;
    sockets.shutdownOutput(client.session, client.lastWrite);
    if (!client.session.isClosing()) {
      closingClients.add(client);
    }
  }

  /** Handles the end of a connection, whichever side closed it. */
  void closed(ClientSession client) {
    remove(client);
    closingClients.remove(client);
  }

  /** Unregisters a client, and cancels its open request. */
  private void remove(ClientSession client) {
    if (isOpen(client)) {
      counters.add(Count.CLIENTS_CLOSED);
      timers.cancel(client.closeTimer);
      timers.cancel(client.messageTimer);
      slots.free(client.slotKey);
      evictingClients -= client.isEvicting ? 1 : 0;
      idleClients.update(client, false);
      timers.cancel(client.rejectionPauseTimer);
      client.pendingMessages.forEach(message -> input.release(message.sizeBytes()));
      client.pendingMessages.clear();
      requests.clientDisconnected(client.requestKey);
      client.requestKey = SlotTable.NONE;
      releaseStatement(client);
    }
  }

  /** Whether a client is registered and neither closed nor closing. */
  boolean isOpen(ClientSession client) {
    return slots.get(client.slotKey) == client;
  }

  /** Releases the memory that is accounted for the statement processed last. */
  void releaseStatement(ClientSession client) {
    input.release(client.statementBytes);
    client.statementBytes = 0;
  }

  /** Sets whether a client's next message has to wait; a client that isn't busy is idle. */
  void setBusy(ClientSession client, boolean isBusy) {
    client.isBusy = isBusy;
    idleClients.update(client, !isBusy && isOpen(client));
  }

  /**
   * Withdraws the open requests of all clients at the given local addresses: queued requests are
   * shed, and running attempts are still awaited and answered.
   *
   * @param closesSessions whether each of these sessions is closed as soon as no answer is pending
   */
  void withdrawRequests(Predicate<SocketAddress> localAddresses, boolean closesSessions) {
    slots.forEach(
        client -> {
          if (localAddresses.test(client.session.getLocalAddress())) {
            requests.withdraw(client.requestKey);
            client.closeWhenIdle |= closesSessions;
            closeIfIdle(client);
          }
        });
  }

  /**
   * Closes a connection that is marked to be closed, if no answer is pending on it. A client that
   * has not sent its first statement or is in the middle of a message may send it first, and gets
   * an answer, unless its timeout expires or the shutdown no longer waits.
   */
  void closeIfIdle(ClientSession client) {
    if (!client.closeWhenIdle
        || client.isBusy
        || !client.pendingMessages.isEmpty()
        || !isOpen(client)) {
      return;
    }
    if (isShutdownForced) {
      close(client);
    } else if (client.statementCount > 0 && !client.parser.isInMessage()) {
      evict(client);
    } else if (client.statementCount > 0 && client.messageTimer == null) {
      startMessageTimeout(client);
    }
  }

  /** Starts the timeout for the rest of a message, which starts again while more is received. */
  private void startMessageTimeout(ClientSession client) {
    int receivedBytesAtStart = client.receivedBytes;
    client.messageTimer =
        timers.set(
            clock.now().plus(MESSAGE_TIMEOUT_US),
            () -> {
              client.messageTimer = null;
              if (client.receivedBytes != receivedBytesAtStart) {
                closeIfIdle(client);
              } else if (!client.isBusy) {
                evict(client);
              }
            });
  }

  /**
   * Begins the shutdown: open requests are still answered, new statements are rejected at once, and
   * each connection is closed as soon as no answer is pending on it. A client in the middle of a
   * message may finish it within {@link ClosingClients#CLOSE_TIMEOUT_US}.
   */
  void shutDown() {
    isShuttingDown = true;
    slots.forEach(client -> client.closeWhenIdle = true);
    closeIdle();
    timers.set(
        clock.now().plus(ClosingClients.CLOSE_TIMEOUT_US),
        () -> {
          // No longer waits for incomplete messages; pending answers are still sent.
          isShutdownForced = true;
          closeIdle();
        });
  }

  /** Closes each connection that is marked to be closed and has no pending answer. */
  void closeIdle() {
    slots.forEach(this::closeIfIdle);
  }

  /** Counts a complete statement; the first one cancels the first-statement timeout. */
  void countStatement(ClientSession client) {
    if (client.statementCount++ == 0) {
      timers.cancel(client.closeTimer);
    }
    idleClients.update(client, true);
  }

  /** Writes to a client, or closes its connection if too much earlier output is still unsent. */
  void write(ClientSession client, ServerMessageWriter replies) {
    long unsentBytes = client.session.getScheduledWriteBytes();
    boolean isTotalExceeded =
        client.session.getService().getScheduledWriteBytes() > MAX_TOTAL_UNSENT_BYTES;
    if (unsentBytes > MAX_UNSENT_BYTES || unsentBytes > 0 && isTotalExceeded) {
      log.warn(
          "client {0} closed: too many unsent bytes, since it does not read its replies",
          Field.of("client", client.session.getRemoteAddress()), Field.event("client.closed"));
      client.session.closeNow();
      remove(client);
      return;
    }
    client.lastWrite = client.session.write(IoBuffer.wrap(replies.toByteArray()));
  }
}
