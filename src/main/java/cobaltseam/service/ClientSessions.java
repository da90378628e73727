package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.postgres.ServerMessageWriter;
import cobaltseam.postgres.Statement;
import cobaltseam.postgres.StatementScanner;
import cobaltseam.service.ClientSession.ReceivedMessage;
import cobaltseam.service.Counters.Count;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandler;

/**
 * The sessions of all clients: processes their messages and answers their statements. All methods
 * run on the event-loop thread.
 */
final class ClientSessions implements ClientInput.Listener {
  /**
   * How long a client's next message has to wait after a second consecutive rejected statement, in
   * microseconds; doubled after each further one, {@link #MAX_PAUSE_DOUBLINGS} times at most.
   */
  private static final TimeSpan REJECTION_PAUSE_US = new TimeSpan(50_000);

  private static final int MAX_PAUSE_DOUBLINGS = 4;

  /** Decides which local addresses of client connections this dispatcher serves. */
  interface AdmissionGate {
    /** Whether new requests are admitted at this local address. */
    boolean admits(SocketAddress localAddress);

    /** Whether sessions at this local address may stay open. */
    boolean keepsSessions(SocketAddress localAddress);

    /** Returns the delay to suggest to a client whose request isn't admitted; zero if unknown. */
    TimeSpan retryAfter(SocketAddress localAddress);
  }

  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final RequestTable requests;
  private final ClientInput input;
  private final ClientConnections connections;
  private final ShowStatements showStatements = new ShowStatements();

  /** Decides whether requests are admitted; null if this dispatcher is always active. */
  private AdmissionGate gate;

  ClientSessions(
      ServiceConfiguration configuration,
      RequestTable requests,
      RandomGenerator cancelSecrets,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters) {
    this.requests = requests;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(ClientSessions.class.getName()), clock);
    showStatements.register(
        "counters",
        () ->
            Arrays.stream(Count.values())
                .map(count -> new String[] {count.label(), Long.toString(counters.get(count))})
                .toList());
    input = new ClientInput(this, configuration.memoryBytes(), sockets, inbox);
    connections =
        new ClientConnections(
            configuration.maxSockets(),
            input,
            requests,
            cancelSecrets,
            sockets,
            inbox,
            clock,
            timers,
            counters,
            log);
  }

  /** Returns the handler of client connections, which MINA calls on the I/O thread. */
  IoHandler ioHandler() {
    return input;
  }

  /** Sets the gate that every new request has to pass. */
  void setAdmissionGate(AdmissionGate admissionGate) {
    gate = admissionGate;
  }

  /** Registers the rows that {@code SHOW cobaltseam.NAME} returns, each a name and a value. */
  void registerShow(String name, Supplier<List<String[]>> rows) {
    showStatements.register(name, rows);
  }

  /** Returns the number of connected clients. */
  int openClients() {
    return connections.size();
  }

  /**
   * Withdraws the open requests of all clients at the given local addresses: queued requests are
   * shed, and running attempts are still awaited and answered. New requests are rejected by the
   * {@link AdmissionGate}.
   *
   * @param closesSessions whether each of these sessions is closed as soon as no answer is pending
   */
  void withdrawRequests(Predicate<SocketAddress> localAddresses, boolean closesSessions) {
    connections.withdrawRequests(localAddresses, closesSessions);
  }

  /**
   * Begins the shutdown: open requests are still answered, new statements are rejected at once, and
   * each connection is closed as soon as no answer is pending on it. A client in the middle of a
   * message may finish it within {@link ClosingClients#CLOSE_TIMEOUT_US}.
   */
  void shutDown() {
    connections.shutDown();
  }

  /** Closes each connection that is marked to be closed and has no pending answer. */
  void closeIdle() {
    connections.closeIdle();
  }

  // ---- connections

  @Override
  public void opened(ClientSession client) {
    if (connections.add(client) && !keepsSession(client)) {
      client.closeWhenIdle = true;
    }
  }

  /** Whether this dispatcher serves the local address of a client's connection. */
  private boolean keepsSession(ClientSession client) {
    return gate == null || gate.keepsSessions(client.session.getLocalAddress());
  }

  @Override
  public void closed(ClientSession client) {
    connections.closed(client);
  }

  // ---- messages

  @Override
  public void received(ClientSession client, ReceivedMessage received) {
    if (received.message() instanceof ClientMessage.Cancel cancel) {
      // Processed even if the connection that carried it is already closed.
      input.removeCancel(cancel);
      cancel(cancel);
      client.session.closeNow();
      return;
    }
    if (received.message() instanceof ClientMessage.Malformed) {
      input.resumeRead(client);
    }
    boolean isStatement = received.message() instanceof ClientMessage.Query;
    // No more is read from a client whose input is broken, so that it may have disconnected.
    if (!connections.isOpen(client) || isStatement && client.parser.isBroken()) {
      if (received.sizeBytes() > 0) {
        counters.add(Count.STATEMENTS_UNHEARD);
      }
      input.release(received.sizeBytes());
    } else if (!client.isBusy) {
      process(client, received);
      connections.closeIfIdle(client);
    } else if (received.message() instanceof ClientMessage.Terminate) {
      client.session.closeNow();
    } else if (canWait(client, received)) {
      client.pendingMessages.addLast(received);
    } else {
      input.release(received.sizeBytes());
      protocolError(client, "too many messages behind a statement");
    }
  }

  /**
   * Whether a message may wait for the answer to the open statement: at most {@link
   * ClientInput#MAX_PENDING_MESSAGES} may, only one of them a statement.
   */
  private static boolean canWait(ClientSession client, ReceivedMessage received) {
    return client.pendingMessages.size() < ClientInput.MAX_PENDING_MESSAGES
        && !(received.message() instanceof ClientMessage.Query
            && client.pendingMessages.stream()
                .anyMatch(pending -> pending.message() instanceof ClientMessage.Query));
  }

  private void process(ClientSession client, ReceivedMessage received) {
    ClientMessage message = received.message();
    if (message instanceof ClientMessage.Startup) {
      startUp(client);
    } else if (message instanceof ClientMessage.EncryptionRequest) {
      client.lastWrite = client.session.write(IoBuffer.wrap(new byte[] {'N'}));
    } else if (message instanceof ClientMessage.Query query) {
      client.isSkippingToSync = false;
      connections.countStatement(client);
      client.statementBytes = received.sizeBytes();
      processQuery(client, query.text(), received.readAt());
      if (client.requestKey == SlotTable.NONE) {
        connections.releaseStatement(client);
      }
    } else if (message instanceof ClientMessage.Terminate) {
      client.session.closeNow();
    } else if (message instanceof ClientMessage.Sync) {
      client.isSkippingToSync = false;
      connections.write(client, new ServerMessageWriter().readyForQuery());
    } else if (message instanceof ClientMessage.Unsupported unsupported) {
      if (!client.isSkippingToSync) {
        client.isSkippingToSync = true;
        connections.write(client, ClientReplies.unsupportedMessage(unsupported.type()));
      }
    } else if (message instanceof ClientMessage.Malformed malformed) {
      if (malformed.isOverload()) {
        closeWithError(client, ServerMessageWriter.SQLSTATE_SHED, malformed.reason());
      } else {
        protocolError(client, malformed.reason());
      }
    }
  }

  private void startUp(ClientSession client) {
    if (connections.isShuttingDown()) {
      connections.write(client, ClientReplies.shuttingDown("FATAL"));
      connections.close(client);
    } else if (!keepsSession(client)) {
      counters.add(Count.MASTERSHIP_TURNED_AWAY);
      TimeSpan retryAfter = gate.retryAfter(client.session.getLocalAddress());
      connections.write(client, ClientReplies.notActive("FATAL", retryAfter));
      connections.close(client);
    } else {
      connections.write(
          client,
          new ServerMessageWriter().startupResponse((int) client.slotKey, client.cancelSecret));
    }
  }

  private void protocolError(ClientSession client, String reason) {
    counters.add(Count.CLIENT_PROTOCOL_ERRORS);
    closeWithError(client, ServerMessageWriter.SQLSTATE_PROTOCOL_VIOLATION, reason);
  }

  private void closeWithError(ClientSession client, String sqlState, String reason) {
    log.warn(
        "client {0} closed: {1}",
        Field.of("client", client.session.getRemoteAddress()),
        Field.of("reason", reason),
        Field.event("client.closed"));
    connections.write(client, new ServerMessageWriter().errorResponse("FATAL", sqlState, reason));
    connections.close(client);
  }

  @Override
  public boolean isCancelPending(ClientSession client) {
    return input.isCancelPending(client);
  }

  @Override
  public boolean hasUnreadInput(ClientSession client) {
    return input.hasUnreadInput(client);
  }

  @Override
  public void runWhenRead(ClientSession client, Runnable task) {
    input.runWhenRead(client, task);
  }

  /** Cancels the open request of the session that is named; its statement gets no answer. */
  private void cancel(ClientMessage.Cancel cancel) {
    connections.forEach(
        client -> {
          if (client.isTargetOf(cancel) && client.requestKey != SlotTable.NONE) {
            long requestKey = client.requestKey;
            client.requestKey = SlotTable.NONE;
            connections.setBusy(client, false);
            connections.releaseStatement(client);
            requests.clientDisconnected(requestKey);
            processPending(client);
            connections.closeIfIdle(client);
          }
        });
  }

  // ---- statements and answers

  private void processQuery(ClientSession client, byte[] text, Timestamp readAt) {
    if (StatementScanner.isEmpty(text)) {
      connections.write(client, new ServerMessageWriter().emptyQueryResponse().readyForQuery());
      return;
    }
    ServerMessageWriter showReply = showStatements.replyTo(text);
    if (showReply != null) {
      connections.write(client, showReply.readyForQuery());
      return;
    }
    if (connections.isShuttingDown()) {
      counters.add(Count.STATEMENTS_AFTER_SHUTDOWN);
      connections.write(client, ClientReplies.shuttingDown("ERROR").readyForQuery());
      return;
    }
    SocketAddress localAddress = client.session.getLocalAddress();
    if (gate != null && !gate.admits(localAddress)) {
      counters.add(Count.MASTERSHIP_TURNED_AWAY);
      connections.write(
          client, ClientReplies.notActive("ERROR", gate.retryAfter(localAddress)).readyForQuery());
      return;
    }
    Statement statement;
    try {
      statement = StatementScanner.scan(text);
    } catch (StatementScanner.InvalidStatementException e) {
      rejectStatement(client, e.getMessage());
      return;
    }
    startRequest(client, statement, readAt);
  }

  private void startRequest(ClientSession client, Statement statement, Timestamp readAt) {
    String rejectionReason = requests.rejectionReason(statement);
    if (rejectionReason != null) {
      rejectStatement(client, rejectionReason);
      return;
    }
    long requestKey = requests.add(statement, client);
    if (requestKey == SlotTable.NONE) {
      rejectStatement(client, "too many commands in hand");
      return;
    }
    client.consecutiveRejections = 0;
    connections.setBusy(client, true);
    client.statementText = statement.text();
    client.requestKey = requestKey;
    requests.start(requestKey, readAt);
  }

  private void rejectStatement(ClientSession client, String reason) {
    counters.add(Count.STATEMENTS_UNUSABLE);
    log.warn(
        "client {0}: {1}",
        Field.of("client", client.session.getRemoteAddress()),
        Field.of("reason", reason),
        Field.event("statement.unusable"));
    connections.write(
        client,
        new ServerMessageWriter()
            .errorResponse("ERROR", ServerMessageWriter.SQLSTATE_SYNTAX_ERROR, reason)
            .readyForQuery());
    // Without a pause, a client that sends invalid statements in a loop would take all the CPU time
    // of this thread.
    int earlierRejections = client.consecutiveRejections++;
    if (earlierRejections > 0 && connections.isOpen(client)) {
      client.isBusy = true;
      TimeSpan pause =
          REJECTION_PAUSE_US.times(1 << Math.min(earlierRejections - 1, MAX_PAUSE_DOUBLINGS));
      client.rejectionPauseTimer =
          timers.set(
              clock.now().plus(pause),
              () -> {
                client.isBusy = false;
                processPending(client);
                connections.closeIfIdle(client);
              });
    }
  }

  @Override
  public void finish(ClientSession client, ServerMessageWriter replies) {
    connections.setBusy(client, false);
    client.requestKey = SlotTable.NONE;
    client.statementText = null;
    connections.releaseStatement(client);
    connections.write(client, replies.readyForQuery());
    processPending(client);
    connections.closeIfIdle(client);
  }

  /** Processes waiting messages until one of them makes the client busy. */
  private void processPending(ClientSession client) {
    while (!client.isBusy && !client.pendingMessages.isEmpty()) {
      process(client, client.pendingMessages.removeFirst());
    }
  }
}
