package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
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
 * The connections of all clients on the event-loop thread: bounds their number, evicts idle ones,
 * writes to them and closes them.
 */
final class ClientConnections {
  /** Unread bytes written to one client at which its connection is closed. */
  private static final int MAX_UNREAD_BYTES = 1 << 16;

  /** Unread bytes written to all clients from which on each has to read before the next answer. */
  private static final int MAX_TOTAL_UNREAD_BYTES = 1 << 23;

  /** A client that has sent no statement by then loses its connection; in microseconds. */
  private static final TimeSpan FIRST_STATEMENT_TIMEOUT_US = new TimeSpan(2_000_000);

  private final ClientInput input;
  private final RequestTable requests;
  private final RandomGenerator secrets;
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

  /** Clients that are closed unless a message has come meanwhile. */
  private int evictingClients;

  /** Whether this dispatcher shuts down: no new statement is admitted. */
  private boolean isShuttingDown;

  /** Whether a shutdown no longer waits for clients that go on sending. */
  private boolean isShutdownForced;

  /**
   * @param maxSockets how many descriptors the process may have
   */
  ClientConnections(
      int maxSockets,
      ClientInput input,
      RequestTable requests,
      RandomGenerator secrets,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters,
      RateLimitedLog log) {
    this.input = input;
    this.requests = requests;
    this.secrets = secrets;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    // More than the third of the descriptors that clients usually hold, and less than the half that
    // may be accepted: a client that comes at this bound is accepted at once, and the one that is
    // idle the longest is evicted.
    maxClients = maxSockets * 5 / 12;
    slots = new SlotTable<>(maxAccepted(maxSockets));
    idleClients = new IdleClients(maxClients);
    closingClients = new ClosingClients(maxClients, clock, timers);
  }

  /**
   * How many client connections may be open at once, those that are closing included.
   *
   * @param maxSockets how many descriptors the process may have
   */
  static int maxAccepted(int maxSockets) {
    return maxSockets / 2;
  }

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
   * Adds a client that has just connected, and evicts an idle one if there are too many.
   *
   * @return whether it was added; if not, it is being closed
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
    client.cancelSecret = secrets.nextInt();
    idleClients.update(client, true);
    startFirstStatementTimeout(client);
    // During a shutdown it is read first: it may bring a cancel request.
    client.closeWhenIdle = isShuttingDown;
    return true;
  }

  /** Evicts a client that sends nothing; one that writes slowly may go on while more comes. */
  private void startFirstStatementTimeout(ClientSession client) {
    int receivedBefore = client.receivedBytes;
    client.closeTimer =
        timers.set(
            clock.now().plus(FIRST_STATEMENT_TIMEOUT_US),
            () -> {
              if (client.receivedBytes != receivedBefore && client.parser.isInMessage()) {
                startFirstStatementTimeout(client);
              } else {
                counters.add(Count.CLIENTS_TIMED_OUT);
                evict(client);
              }
            });
  }

  private void evictIdle() {
    ClientSession candidate = idleClients.evictionCandidate();
    if (candidate != null) {
      counters.add(Count.CLIENTS_GAVE_WAY);
      evict(candidate);
    }
  }

  /**
   * Closes an idle connection, without any message that the client could take for the answer to a
   * statement that it has just sent, and only if no complete message has come meanwhile: a
   * statement that was read is answered.
   */
  private void evict(ClientSession client) {
    if (client.isEvicting || !isOpen(client)) {
      return;
    }
    client.isEvicting = true;
    evictingClients++;
    idleClients.update(client, false);
    int processed = client.postedMessages - client.unprocessedMessages.get();
    WriteFuture lastWrite = client.lastWrite;
    sockets.afterReading(
        () -> {
          boolean isSilent = client.postedMessages == processed;
          if (isSilent) {
            // On this thread and at once: what comes from now on is discarded, and its sender has
            // to see the end of the connection soon after it.
            client.outputEnded = true;
            sockets.endOutputOnThisThread(client.session, lastWrite);
          }
          inbox.post(client.session, () -> finishEviction(client, isSilent));
        });
  }

  private void finishEviction(ClientSession client, boolean isSilent) {
    if (!isOpen(client)) {
      return;
    }
    evictingClients--;
    client.isEvicting = false;
    if (isSilent) {
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
   * Ends the output once what was written is out; the connection is closed when the other side has
   * closed it, or after a timeout. Until then input is discarded, since unread bytes would turn the
   * close into a reset.
   */
  void close(ClientSession client) {
    remove(client);
    client.outputEnded = true;
    sockets.endOutput(client.session, client.lastWrite);
    if (!client.session.isClosing()) {
      closingClients.add(client);
    }
  }

  /** The connection is closed, by whichever side. */
  void closed(ClientSession client) {
    remove(client);
    closingClients.remove(client);
  }

  /** Forgets a client, and withdraws its open request. */
  private void remove(ClientSession client) {
    if (isOpen(client)) {
      counters.add(Count.CLIENTS_CLOSED);
      timers.cancel(client.closeTimer);
      slots.free(client.slotKey);
      evictingClients -= client.isEvicting ? 1 : 0;
      idleClients.update(client, false);
      timers.cancel(client.pauseTimer);
      client.pendingMessages.forEach(message -> input.release(message.sizeBytes()));
      client.pendingMessages.clear();
      requests.clientDisconnected(client.requestKey);
      client.requestKey = SlotTable.NONE;
      releaseStatement(client);
    }
  }

  /** Whether a client was added and is neither closed nor closing. */
  boolean isOpen(ClientSession client) {
    return slots.get(client.slotKey) == client;
  }

  /** The bytes of the statement that was processed last are no longer needed. */
  void releaseStatement(ClientSession client) {
    input.release(client.statementBytes);
    client.statementBytes = 0;
  }

  /** A client's next message has to wait, or no longer has to; it is idle then. */
  void setBusy(ClientSession client, boolean isBusy) {
    client.isBusy = isBusy;
    idleClients.update(client, !isBusy && isOpen(client));
  }

  /**
   * Admits no more requests at these local addresses: queued ones are shed, those sent are awaited
   * and answered. Where sessions end with it, each is closed as soon as no answer is owed on it.
   */
  void withdrawRequests(Predicate<SocketAddress> at, boolean endsSessions) {
    slots.forEach(
        client -> {
          if (at.test(client.session.getLocalAddress())) {
            requests.withdraw(client.requestKey);
            client.closeWhenIdle |= endsSessions;
            closeIfIdle(client);
          }
        });
  }

  /** Closes a connection that is to be closed, if no answer is owed on it. */
  void closeIfIdle(ClientSession client) {
    if (client.closeWhenIdle
        && !client.isBusy
        && client.pendingMessages.isEmpty()
        && isOpen(client)) {
      if (isShutdownForced) {
        close(client);
      } else if (!isShuttingDown || !client.parser.isInMessage()) {
        evict(client);
      }
    }
  }

  /**
   * Begins the shutdown: open requests are still answered, a new statement is refused at once, and
   * each connection is closed as soon as no answer is owed on it. A client that is in the middle of
   * a message may finish it.
   */
  void shutDown() {
    isShuttingDown = true;
    slots.forEach(client -> client.closeWhenIdle = true);
    closeIdle();
    timers.set(
        clock.now().plus(ClosingClients.CLOSE_TIMEOUT_US),
        () -> {
          // From here on clients that go on sending are not waited for; those that are owed an
          // answer still get it.
          isShutdownForced = true;
          closeIdle();
        });
  }

  /** Closes each connection that is to be closed and on which no answer is owed. */
  void closeIdle() {
    slots.forEach(this::closeIfIdle);
  }

  /** Counts a complete statement; the first one ends the timeout for it. */
  void countStatement(ClientSession client) {
    if (client.statementCount++ == 0) {
      timers.cancel(client.closeTimer);
    }
    idleClients.update(client, true);
  }

  /** Writes to a client, or closes its connection if it does not read what was written before. */
  void write(ClientSession client, ServerMessageWriter replies) {
    long unreadBytes = client.session.getScheduledWriteBytes();
    boolean isTotalExceeded =
        client.session.getService().getScheduledWriteBytes() > MAX_TOTAL_UNREAD_BYTES;
    if (unreadBytes > MAX_UNREAD_BYTES || unreadBytes > 0 && isTotalExceeded) {
      log.warn(
          "client {0} closed: it does not read",
          Field.of("client", client.session.getRemoteAddress()), Field.event("client.closed"));
      client.session.closeNow();
      remove(client);
      return;
    }
    client.lastWrite = client.session.write(IoBuffer.wrap(replies.toByteArray()));
  }
}
