package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.postgres.ClientMessage;
import cobaltseam.postgres.ClientParser;
import cobaltseam.postgres.Replies;
import cobaltseam.postgres.Statement;
import cobaltseam.postgres.StatementScanner;
import cobaltseam.resp.Result;
import cobaltseam.service.Counters.Count;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/** The clients' connections: their sessions, statements and answers. */
final class ClientSessions extends IoHandlerAdapter {
  private static final String CLIENT = "client";

  /**
   * Messages that may wait behind a statement, one of them a statement; bytes that may wait to be
   * read.
   */
  private static final int MOST_WAITING = 32;

  private static final int MOST_UNREAD = 1 << 16;
  private static final int MOST_UNREAD_ALL = 1 << 23;

  /**
   * All clients' messages may take this part of the memory; a client that holds little is never at
   * fault.
   */
  private static final int HELD_PART = 32;

  private static final int LITTLE = 4096;

  /** A client rests after a statement that can't be used, twice as long after each in a row. */
  private static final TimeSpan REST = new TimeSpan(50_000);

  private static final int MOST_DOUBLED = 4;
  private static final int COLUMNS = 3;

  /** What is written last gets this long to be read before its connection is closed. */
  private static final TimeSpan CLOSE_WITHIN = new TimeSpan(1_000_000);

  /**
   * A connection whose output has ended is closed at once when more than this still comes on it.
   */
  private static final int MOST_DISCARDED = 1 << 18;

  /**
   * Of the connections that clients may hold, at most this part may await the other side's close.
   */
  private static final int ENDING_PART = 8;

  private static final String SHUTS_DOWN =
      "this dispatcher shuts down, trying again elsewhere is harmless";

  /** A client that has asked nothing whole by then holds a connection for nothing. */
  private static final TimeSpan ASK_WITHIN = new TimeSpan(2_000_000);

  private static final String SHOW = "show cobaltseam.";
  private static final String COUNTERS = "counters";
  private static final int LONGEST_SHOW = 64;
  private static final String INSERT = "insert";
  private static final int US_PER_MS = 1000;

  /**
   * One connection. The parser belongs to the I/O thread, all else to the one that owns the state.
   */
  private final class ClientSession implements RequestTable.ResponseHandle {
    final IoSession session;
    final ClientParser parser = new ClientParser();
    final Deque<ReceivedMessage> waiting = new ArrayDeque<>();

    /** Messages handed over and not yet heard. */
    final AtomicInteger unheard = new AtomicInteger();

    /** Whole messages handed over since it came. */
    volatile int spoken;

    boolean leaving;

    /** Whether it is to be closed once nothing is owed on it. */
    boolean going;

    int statements;

    /** What its parser holds; and whether it has sent more at once than is handed over. */
    int parsing;

    boolean flooding;
    long key = SlotTable.NONE;
    int secret;

    /** When it is closed, if nothing else comes before. */
    Timers.Timer closeAt;

    /** Whether its output has ended: what still comes is discarded. */
    volatile boolean ending;

    /** Bytes that have come on it, counted round and round. */
    volatile int received;

    /** Bytes discarded since its output ended; the I/O thread's own. */
    int discarded;

    /** The last write to it; null until there is one. */
    WriteFuture lastWrite;

    boolean started;
    boolean skipping;

    /**
     * Whether something is to be done before the next message: a statement, or a rest after a bad
     * one.
     */
    boolean busy;

    long command = SlotTable.NONE;
    byte[] text;

    /** Bytes of the message that is being answered. */
    int holding;

    /** Statements in a row that could not be used. */
    int unusable;

    Timers.Timer rest;

    ClientSession(IoSession session) {
      this.session = session;
    }

    @Override
    public void complete(Result result) {
      finish(this, rows(result, text));
    }

    @Override
    public void shed(TimeSpan comeBack) {
      finish(
          this,
          new Replies()
              .error("ERROR", Replies.SHED, "shed, trying again is harmless" + advice(comeBack)));
    }

    @Override
    public void fail() {
      finish(this, new Replies().error("ERROR", Replies.FAILED, "failed"));
    }

    @Override
    public boolean hasClientLeft() {
      return session.isClosing() || cancelsRead.stream().anyMatch(this::isNamedBy);
    }

    boolean isNamedBy(ClientMessage.Cancel cancel) {
      return (int) key == cancel.session() && secret == cancel.secret();
    }
  }

  /** One message, and when its last byte was read. */
  private record ReceivedMessage(ClientMessage message, Timestamp read) {
    int size() {
      return message instanceof ClientMessage.Query query ? query.text().length : 0;
    }
  }

  /**
   * Tells whether commands are taken at an address of ours, and else after how long it may be worth
   * asking again.
   */
  interface AdmissionGate {
    boolean admits(SocketAddress at);

    /** Whether sessions at this address may stay open. */
    boolean stays(SocketAddress at);

    TimeSpan comeBack(SocketAddress at);
  }

  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers deadlines;
  private final Counters counters;
  private final RateLimitedLog log;
  private final RequestTable commands;
  private final RandomGenerator secrets;
  private final SocketProcessor sockets;
  private final int most;

  /** Bytes of clients' messages, whole or not, until they are done with; and their bound. */
  private final AtomicLong held = new AtomicLong();

  private final long mostHeld;
  private final SlotTable<ClientSession> slots;

  /**
   * Cancel requests that were read and not heard yet: of one connection no more than {@link
   * #MOST_WAITING}.
   */
  private final Queue<ClientMessage.Cancel> cancelsRead = new ConcurrentLinkedQueue<>();

  /**
   * Clients with no statement open, the longest idle first: by whether they asked never, once, or
   * more.
   */
  private final Set<ClientSession> unasked = new LinkedHashSet<>();

  private final Set<ClientSession> askedOnce = new LinkedHashSet<>();
  private final Set<ClientSession> resting = new LinkedHashSet<>();

  /** Clients that are to be closed unless they have spoken. */
  private int leaving;

  /** Clients whose output has ended and that have not closed yet, the first to end first. */
  private final Set<ClientSession> ending = new LinkedHashSet<>();

  /** Whether this dispatcher shuts down: nothing new is taken. */
  private boolean shutsDown;

  /** Whether a shutdown has waited long enough for clients that go on speaking. */
  private boolean shutsDownNow;

  /** Whether traffic is taken at an address of ours; null where nothing can stand by. */
  private AdmissionGate gate;

  private final Map<String, Supplier<List<String[]>>> shown = new HashMap<>();

  ClientSessions(
      ServiceConfiguration told,
      RequestTable commands,
      RandomGenerator secrets,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers deadlines,
      Counters counters) {
    this.commands = commands;
    this.secrets = secrets;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
    this.deadlines = deadlines;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(ClientSessions.class.getName()), clock);
    shown.put(
        COUNTERS,
        () ->
            Arrays.stream(Count.values())
                .map(c -> new String[] {c.label(), Long.toString(counters.of(c))})
                .toList());
    most = mostClients(told);
    mostHeld = told.memoryBytes() / HELD_PART;
    slots = new SlotTable<>(mostAccepted(told));
  }

  /**
   * More than the third of the descriptors that is the usual clients', and less than the half that
   * may be accepted: one that comes at the bound is accepted at once, and makes the longest idle
   * give way.
   */
  private static int mostClients(ServiceConfiguration told) {
    return told.sockets() * 5 / 12;
  }

  static int mostAccepted(ServiceConfiguration told) {
    return told.sockets() / 2;
  }

  // ---- on the I/O thread: bytes to messages

  @Override
  public void sessionCreated(IoSession session) {
    ClientSession client = new ClientSession(session);
    session.setAttribute(CLIENT, client);
    inbox.post(session, () -> opened(client));
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    ClientSession client = (ClientSession) session.getAttribute(CLIENT);
    if (client.ending || client.parser.isBroken()) {
      discard(client, ((IoBuffer) message).remaining());
      return;
    }
    Timestamp read = clock.now();
    client.received += ((IoBuffer) message).remaining();
    client.parser.take(((IoBuffer) message).buf(), m -> handOver(client, m, read));
    holds(client, client.parser.held());
    if (client.flooding) {
      refuse(client, "too many messages at once", read);
    } else if (held.get() > mostHeld && client.parser.held() > LITTLE) {
      refuse(client, "too much is held for all clients", read);
    }
  }

  /**
   * Reads on without keeping anything, so that the close resets nothing; a flood is cut off all the
   * same.
   */
  private void discard(ClientSession client, int bytes) {
    client.discarded += bytes;
    if (client.discarded > MOST_DISCARDED) {
      client.session.closeNow();
    }
  }

  /** Hands over no more than may wait behind a statement: beyond that it is no client's way. */
  private void handOver(ClientSession client, ClientMessage message, Timestamp read) {
    client.flooding |= client.unheard.incrementAndGet() > MOST_WAITING;
    if (client.flooding && !(message instanceof ClientMessage.Malformed)) {
      client.unheard.decrementAndGet();
      return;
    }
    ReceivedMessage heard = new ReceivedMessage(message, read);
    client.spoken++;
    held.addAndGet(heard.size());
    Runnable handsOver =
        () ->
            inbox.post(
                client.session,
                () -> {
                  client.unheard.decrementAndGet();
                  heard(client, heard);
                });
    if (message instanceof ClientMessage.Cancel cancel) {
      cancelsRead.add(cancel);
      // The statement that it names was written before it, on another connection, and is to be
      // heard first.
      sockets.afterReading(handsOver);
    } else {
      // Not at once: a client whose end is read right behind its statement has gone, perhaps long
      // ago.
      sockets.atRoundEnd(handsOver);
    }
  }

  /** Takes nothing more from a client: its connection is closed once this is heard. */
  private void refuse(ClientSession client, String reason, Timestamp read) {
    client.parser.refuse(reason, m -> handOver(client, m, read));
    holds(client, client.parser.held());
  }

  private void holds(ClientSession client, int bytes) {
    held.addAndGet(bytes - client.parsing);
    client.parsing = bytes;
  }

  @Override
  public void sessionClosed(IoSession session) {
    ClientSession client = (ClientSession) session.getAttribute(CLIENT);
    holds(client, 0);
    inbox.post(
        null,
        () -> {
          closed(client);
          ending.remove(client);
          deadlines.cancel(client.closeAt);
        });
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.closeNow();
  }

  // ---- sessions

  private void opened(ClientSession client) {
    if (slots.size() - leaving >= most) {
      makeRoom();
    }
    client.key = slots.take(client);
    if (client.key == SlotTable.NONE) {
      counters.add(Count.CLIENTS_TURNED_AWAY);
      write(client, new Replies().error("FATAL", Replies.SHED, "too many clients"));
      close(client);
      return;
    }
    counters.add(Count.CLIENTS_OPENED);
    client.secret = secrets.nextInt();
    unasked.add(client);
    askSoon(client);
    // One that comes during a shutdown is heard first: it may bring a cancel request.
    client.going = shutsDown;
    if (gate != null && !gate.stays(client.session.getLocalAddress())) {
      client.going = true;
      goIfIdle(client);
    }
  }

  /** Closes a client that says nothing; one that writes slowly may go on while more comes. */
  private void askSoon(ClientSession client) {
    int received = client.received;
    client.closeAt =
        deadlines.set(
            clock.now().plus(ASK_WITHIN),
            () -> {
              if (client.received != received && client.parser.isInMessage()) {
                askSoon(client);
              } else {
                leave(client);
              }
            });
  }

  /**
   * Makes the longest idle connection give way. Those that never asked go first while they hold
   * more than half, then those that asked once, as a client that keeps its connection to use it
   * again does so soon.
   */
  private void makeRoom() {
    Set<ClientSession> from =
        unasked.size() > most / 2
            ? unasked
            : !askedOnce.isEmpty() ? askedOnce : !resting.isEmpty() ? resting : unasked;
    if (!from.isEmpty()) {
      counters.add(Count.CLIENTS_GAVE_WAY);
      leave(from.iterator().next());
    }
  }

  /**
   * Closes a connection that is idle, without a word that could be taken for the answer to a
   * statement on its way, and only if no statement has come whole meanwhile: one that was taken is
   * answered.
   */
  private void leave(ClientSession client) {
    if (client.leaving || slots.get(client.key) != client) {
      return;
    }
    client.leaving = true;
    leaving++;
    idle(client, false);
    int spoken = client.spoken - client.unheard.get();
    WriteFuture last = client.lastWrite;
    sockets.afterReading(
        () -> {
          boolean silent = client.spoken == spoken;
          if (silent) {
            // Here and now: what comes from now on is discarded, and its sender has to see the end
            // soon after it.
            client.ending = true;
            sockets.endOutputHere(client.session, last);
          }
          inbox.post(client.session, () -> left(client, silent));
        });
  }

  private void left(ClientSession client, boolean silent) {
    if (slots.get(client.key) == client) {
      leaving--;
      client.leaving = false;
      if (silent) {
        close(client);
      } else if (!client.busy) {
        idle(client, true);
      }
      if (!silent && client.statements == 0) {
        askSoon(client);
      }
      if (!silent) {
        goIfIdle(client);
      }
    }
  }

  private void closed(ClientSession client) {
    if (slots.get(client.key) == client) {
      counters.add(Count.CLIENTS_CLOSED);
      deadlines.cancel(client.closeAt);
      slots.free(client.key);
      leaving -= client.leaving ? 1 : 0;
      idle(client, false);
      deadlines.cancel(client.rest);
      client.waiting.forEach(this::done);
      client.waiting.clear();
      commands.departed(client.command);
      client.command = SlotTable.NONE;
      answered(client);
    }
  }

  /** The bytes of a message are no longer needed. */
  private void done(ReceivedMessage heard) {
    held.addAndGet(-heard.size());
  }

  /** Nothing is owed for the message that was taken last. */
  private void answered(ClientSession client) {
    held.addAndGet(-client.holding);
    client.holding = 0;
  }

  /** A statement has come whole: what was owed to show that this is a client at all. */
  private void asked(ClientSession client) {
    if (client.statements++ == 0) {
      deadlines.cancel(client.closeAt);
    }
    idle(client, true);
  }

  private void busy(ClientSession client, boolean busy) {
    client.busy = busy;
    idle(client, !busy && slots.get(client.key) == client);
  }

  /** Takes it out of those that are idle, or puts it behind all others there. */
  private void idle(ClientSession client, boolean idle) {
    unasked.remove(client);
    askedOnce.remove(client);
    resting.remove(client);
    if (idle && !client.leaving) {
      (client.statements == 0 ? unasked : client.statements == 1 ? askedOnce : resting).add(client);
    }
  }

  private void heard(ClientSession client, ReceivedMessage heard) {
    if (heard.message() instanceof ClientMessage.Cancel cancel) {
      // Also when its own connection has closed right behind it.
      cancelsRead.remove(cancel);
      cancel(cancel);
      client.session.closeNow();
      return;
    }
    if (slots.get(client.key) != client) {
      if (heard.size() > 0) {
        counters.add(Count.STATEMENTS_UNHEARD);
      }
      done(heard);
    } else if (!client.busy) {
      take(client, heard);
      goIfIdle(client);
    } else if (heard.message() instanceof ClientMessage.Terminate) {
      client.session.closeNow();
    } else if (client.waiting.size() < MOST_WAITING
        && !(heard.message() instanceof ClientMessage.Query
            && client.waiting.stream().anyMatch(h -> h.message() instanceof ClientMessage.Query))) {
      client.waiting.addLast(heard);
    } else {
      done(heard);
      protocolError(client, "too many messages behind a statement");
    }
  }

  private void take(ClientSession client, ReceivedMessage heard) {
    ClientMessage message = heard.message();
    if (message instanceof ClientMessage.Startup && shutsDown) {
      write(client, new Replies().error("FATAL", Replies.STANDS_BY, SHUTS_DOWN));
      close(client);
    } else if (message instanceof ClientMessage.Startup) {
      client.started = true;
      write(client, new Replies().welcome((int) client.key, client.secret));
    } else if (message instanceof ClientMessage.EncryptionRequest) {
      client.lastWrite = client.session.write(IoBuffer.wrap(new byte[] {'N'}));
    } else if (message instanceof ClientMessage.Query query) {
      client.skipping = false;
      asked(client);
      client.holding = heard.size();
      query(client, query.text(), heard.read());
      if (client.command == SlotTable.NONE) {
        answered(client);
      }
    } else if (message instanceof ClientMessage.Terminate) {
      client.session.closeNow();
    } else if (message instanceof ClientMessage.Sync) {
      client.skipping = false;
      write(client, new Replies().ready());
    } else if (message instanceof ClientMessage.Unspoken unspoken) {
      if (!client.skipping) {
        client.skipping = true;
        write(
            client,
            new Replies()
                .error(
                    "ERROR",
                    Replies.NOT_SPOKEN,
                    "only simple queries are spoken here, not message '" + unspoken.type() + "'"));
      }
    } else if (message instanceof ClientMessage.Malformed malformed) {
      protocolError(client, malformed.reason());
    }
  }

  private void protocolError(ClientSession client, String what) {
    counters.add(Count.CLIENT_PROTOCOL_ERRORS);
    log.warn(
        "client {0} closed: {1}",
        Field.of("client", client.session.getRemoteAddress()),
        Field.of("reason", what),
        Field.event("client.closed"));
    write(client, new Replies().error("FATAL", Replies.BAD_PROTOCOL, what));
    close(client);
  }

  /**
   * Ends the output once what was written is out; the connection is closed when the other side has
   * closed it, or soon. Until then what comes is discarded: unread bytes would make the close a
   * reset.
   */
  private void close(ClientSession client) {
    closed(client);
    client.ending = true;
    sockets.endOutput(client.session, client.lastWrite);
    if (client.session.isClosing()) {
      return;
    }
    client.closeAt = deadlines.set(clock.now().plus(CLOSE_WITHIN), client.session::closeNow);
    ending.add(client);
    if (ending.size() > Math.max(1, most / ENDING_PART)) {
      ClientSession first = ending.iterator().next();
      ending.remove(first);
      first.session.closeNow();
    }
  }

  /** Nothing more is owed for the statement of the session that this names. */
  private void cancel(ClientMessage.Cancel cancel) {
    slots.forEach(
        c -> {
          if (c.isNamedBy(cancel) && c.command != SlotTable.NONE) {
            long command = c.command;
            c.command = SlotTable.NONE;
            busy(c, false);
            answered(c);
            commands.departed(command);
            takeWaiting(c);
            goIfIdle(c);
          }
        });
  }

  // ---- statements and answers

  private void query(ClientSession client, byte[] text, Timestamp read) {
    if (StatementScanner.isEmpty(text)) {
      write(client, new Replies().emptyStatement().ready());
      return;
    }
    Supplier<List<String[]>> rows = shown.get(asksToSee(text));
    if (rows != null) {
      Replies replies = new Replies().columns(List.of("name", "value"));
      for (String[] told : rows.get()) {
        byte[] row = (told[0] + '\t' + told[1]).getBytes(StandardCharsets.UTF_8);
        replies.row(row, 0, row.length);
      }
      write(client, replies.complete("SHOW").ready());
      return;
    }
    if (shutsDown) {
      counters.add(Count.STATEMENTS_AFTER_SHUTDOWN);
      write(client, new Replies().error("ERROR", Replies.STANDS_BY, SHUTS_DOWN).ready());
      return;
    }
    if (gate != null && !gate.admits(client.session.getLocalAddress())) {
      counters.add(Count.MASTERSHIP_TURNED_AWAY);
      write(
          client,
          new Replies()
              .error(
                  "ERROR",
                  Replies.STANDS_BY,
                  "another dispatcher is active here, trying "
                      + "again is harmless"
                      + advice(gate.comeBack(client.session.getLocalAddress())))
              .ready());
      return;
    }
    Statement statement;
    try {
      statement = StatementScanner.scan(text);
    } catch (StatementScanner.Unusable e) {
      unusable(client, e.getMessage());
      return;
    }
    String why = commands.unusable(statement);
    long key = why == null ? commands.take(statement, client) : SlotTable.NONE;
    if (key == SlotTable.NONE) {
      unusable(client, why == null ? "too many commands in hand" : why);
    } else {
      client.unusable = 0;
      busy(client, true);
      client.text = statement.text();
      client.command = key;
      commands.start(key, read);
    }
  }

  /** What a SHOW of ours asks to see, or nothing of the kind. */
  private static String asksToSee(byte[] text) {
    if (text.length > LONGEST_SHOW) {
      return "";
    }
    String plain = new String(text, StandardCharsets.UTF_8).strip().toLowerCase(Locale.ROOT);
    return plain.startsWith(SHOW)
        ? plain.substring(SHOW.length()).replaceAll(";$", "").strip()
        : "";
  }

  private static String advice(TimeSpan comeBack) {
    return comeBack.isPositive() ? ", pushback=" + comeBack.us() / US_PER_MS : "";
  }

  // ---- standing by

  /** From now on commands are taken only where and while this gate admits them. */
  void guardedBy(AdmissionGate by) {
    gate = by;
  }

  /** SHOW cobaltseam.NAME tells these rows. */
  void shows(String name, Supplier<List<String[]>> rows) {
    shown.put(name, rows);
  }

  int open() {
    return slots.size();
  }

  /**
   * Takes nothing more at these addresses of ours: what is held is given up, what is out is waited
   * for and answered; where sessions end with it, each is closed once nothing is owed on it.
   */
  void standDown(Predicate<SocketAddress> at, boolean endsSessions) {
    slots.forEach(
        client -> {
          if (at.test(client.session.getLocalAddress())) {
            commands.withdraw(client.command);
            client.going |= endsSessions;
            goIfIdle(client);
          }
        });
  }

  private void goIfIdle(ClientSession client) {
    if (client.going
        && !client.busy
        && client.waiting.isEmpty()
        && slots.get(client.key) == client) {
      if (shutsDownNow) {
        close(client);
      } else if (!shutsDown || !client.parser.isInMessage()) {
        leave(client);
      }
    }
  }

  // ---- shutdown

  /**
   * Takes nothing more: what is in hand is still answered, a statement that comes is refused at
   * once, and each connection is ended once nothing is owed on it. One that is in the middle of a
   * message may finish it.
   */
  void shutDown() {
    shutsDown = true;
    slots.forEach(client -> client.going = true);
    endIdle();
    deadlines.set(clock.now().plus(CLOSE_WITHIN), this::shutDownNow);
  }

  /** Ends each connection that is to go and on which nothing is owed. */
  void endIdle() {
    slots.forEach(this::goIfIdle);
  }

  /**
   * Waits no longer for clients that go on speaking; those that are owed an answer still get it.
   */
  private void shutDownNow() {
    shutsDownNow = true;
    endIdle();
  }

  private void unusable(ClientSession client, String why) {
    counters.add(Count.STATEMENTS_UNUSABLE);
    log.warn(
        "client {0}: {1}",
        Field.of("client", client.session.getRemoteAddress()),
        Field.of("reason", why),
        Field.event("statement.unusable"));
    write(client, new Replies().error("ERROR", Replies.BAD_STATEMENT, why).ready());
    // One that sends the next at once, whatever it is told, would else take all there is of a
    // processor.
    int before = client.unusable++;
    if (before > 0 && slots.get(client.key) == client) {
      client.busy = true;
      TimeSpan rest = REST.times(1 << Math.min(before - 1, MOST_DOUBLED));
      client.rest =
          deadlines.set(
              clock.now().plus(rest),
              () -> {
                client.busy = false;
                takeWaiting(client);
                goIfIdle(client);
              });
    }
  }

  private static Replies rows(Result result, byte[] statement) {
    Replies replies = new Replies().columns(Collections.nCopies(result.columns(COLUMNS), "column"));
    for (byte[] page : result.pages()) {
      int from = 0;
      for (int i = 0; i < page.length; i++) {
        if (page[i] == '\n') {
          replies.row(page, from, i);
          from = i + 1;
        }
      }
    }
    int length = Math.min(statement.length, INSERT.length());
    boolean insert =
        new String(statement, 0, length, StandardCharsets.US_ASCII).equalsIgnoreCase(INSERT);
    return replies.complete((insert ? "INSERT 0 " : "SELECT ") + result.rowCount());
  }

  /** The one answer to the statement that this client has open; then what waits behind it. */
  private void finish(ClientSession client, Replies replies) {
    busy(client, false);
    client.command = SlotTable.NONE;
    client.text = null;
    answered(client);
    write(client, replies.ready());
    takeWaiting(client);
    goIfIdle(client);
  }

  private void takeWaiting(ClientSession client) {
    while (!client.busy && !client.waiting.isEmpty()) {
      take(client, client.waiting.removeFirst());
    }
  }

  private void write(ClientSession client, Replies replies) {
    long unread = client.session.getScheduledWriteBytes();
    boolean all = client.session.getService().getScheduledWriteBytes() > MOST_UNREAD_ALL;
    if (unread > MOST_UNREAD || unread > 0 && all) {
      log.warn(
          "client {0} closed: it does not read",
          Field.of("client", client.session.getRemoteAddress()), Field.event("client.closed"));
      client.session.closeNow();
      closed(client);
      return;
    }
    client.lastWrite = client.session.write(IoBuffer.wrap(replies.bytes()));
  }
}
