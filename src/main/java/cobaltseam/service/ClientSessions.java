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
 * The sessions of all clients on the event-loop thread: processes their messages, and answers their
 * statements.
 */
final class ClientSessions implements ClientInput.Listener {
  /**
   * The pause after a second consecutive statement that can't be used, in microseconds; doubled
   * after each further one.
   */
  private static final TimeSpan UNUSABLE_PAUSE_US = new TimeSpan(50_000);

  private static final int MAX_PAUSE_DOUBLINGS = 4;

  /**
   * Decides whether requests are admitted at a local address, and if not, after how long a retry is
   * worthwhile.
   */
  interface AdmissionGate {
    boolean admits(SocketAddress at);

    /** Whether sessions at this address may stay open. */
    boolean keepsSessions(SocketAddress at);

    TimeSpan retryAfter(SocketAddress at);
  }

  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final RequestTable requests;
  private final ClientInput input;
  private final ClientConnections connections;
  private final ShowStatements showStatements = new ShowStatements();

  /** Decides whether requests are admitted; null where this dispatcher is always active. */
  private AdmissionGate gate;

  ClientSessions(
      ServiceConfiguration configuration,
      RequestTable requests,
      RandomGenerator secrets,
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
    input = new ClientInput(this, configuration.memoryBytes(), sockets, inbox, clock);
    connections =
        new ClientConnections(
            configuration.maxSockets(),
            input,
            requests,
            secrets,
            sockets,
            inbox,
            clock,
            timers,
            counters,
            log);
  }

  /** What receives the bytes of the clients' connections on the I/O thread. */
  IoHandler ioHandler() {
    return input;
  }

  /** From now on requests are admitted only where and while this gate admits them. */
  void setAdmissionGate(AdmissionGate admissionGate) {
    gate = admissionGate;
  }

  /** {@code SHOW cobaltseam.NAME} returns these rows from now on. */
  void registerShow(String name, Supplier<List<String[]>> rows) {
    showStatements.register(name, rows);
  }

  /** How many clients are connected. */
  int openClients() {
    return connections.size();
  }

  /**
   * Admits no more requests at these local addresses: queued ones are shed, those sent are awaited
   * and answered. Where sessions end with it, each is closed as soon as no answer is owed on it.
   */
  void withdrawRequests(Predicate<SocketAddress> at, boolean endsSessions) {
    connections.withdrawRequests(at, endsSessions);
  }

  /**
   * Begins the shutdown: open requests are still answered, a new statement is refused at once, and
   * each connection is closed as soon as no answer is owed on it. A client that is in the middle of
   * a message may finish it.
   */
  void shutDown() {
    connections.shutDown();
  }

  /** Closes each connection that is to be closed and on which no answer is owed. */
  void closeIdle() {
    connections.closeIdle();
  }

  // ---- connections

  @Override
  public void opened(ClientSession client) {
    boolean isAdded = connections.add(client);
    if (isAdded && gate != null && !gate.keepsSessions(client.session.getLocalAddress())) {
      client.closeWhenIdle = true;
      connections.closeIfIdle(client);
    }
  }

  @Override
  public void closed(ClientSession client) {
    connections.closed(client);
  }

  // ---- messages

  @Override
  public void received(ClientSession client, ReceivedMessage received) {
    if (received.message() instanceof ClientMessage.Cancel cancel) {
      // Also when its own connection was closed right behind it.
      input.removeCancel(cancel);
      cancel(cancel);
      client.session.closeNow();
      return;
    }
    if (!connections.isOpen(client)) {
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
      protocolError(client, malformed.reason());
    }
  }

  private void startUp(ClientSession client) {
    if (connections.isShuttingDown()) {
      connections.write(client, ClientReplies.shuttingDown("FATAL"));
      connections.close(client);
    } else {
      connections.write(
          client,
          new ServerMessageWriter().startupResponse((int) client.slotKey, client.cancelSecret));
    }
  }

  private void protocolError(ClientSession client, String reason) {
    counters.add(Count.CLIENT_PROTOCOL_ERRORS);
    log.warn(
        "client {0} closed: {1}",
        Field.of("client", client.session.getRemoteAddress()),
        Field.of("reason", reason),
        Field.event("client.closed"));
    connections.write(
        client,
        new ServerMessageWriter()
            .errorResponse("FATAL", ServerMessageWriter.SQLSTATE_PROTOCOL_VIOLATION, reason));
    connections.close(client);
  }

  @Override
  public boolean isCancelPending(ClientSession client) {
    return input.isCancelPending(client);
  }

  /** Withdraws the open request of the session that is named; its statement gets no answer. */
  private void cancel(ClientMessage.Cancel cancel) {
    connections.forEach(
        client -> {
          if (client.isNamedBy(cancel) && client.requestKey != SlotTable.NONE) {
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
    ServerMessageWriter shown = showStatements.replyTo(text);
    if (shown != null) {
      connections.write(client, shown.readyForQuery());
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
          client, ClientReplies.standingBy(gate.retryAfter(localAddress)).readyForQuery());
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
    client.consecutiveUnusable = 0;
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
    // A client that sends the next such statement at once, whatever the answer, would otherwise
    // take all the time of a processor.
    int before = client.consecutiveUnusable++;
    if (before > 0 && connections.isOpen(client)) {
      client.isBusy = true;
      TimeSpan pause = UNUSABLE_PAUSE_US.times(1 << Math.min(before - 1, MAX_PAUSE_DOUBLINGS));
      client.pauseTimer =
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

  private void processPending(ClientSession client) {
    while (!client.isBusy && !client.pendingMessages.isEmpty()) {
      process(client, client.pendingMessages.removeFirst());
    }
  }
}
