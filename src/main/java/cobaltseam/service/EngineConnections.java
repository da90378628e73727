package cobaltseam.service;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.EngineAnswer;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.RespParser;
import cobaltseam.resp.Result;
import cobaltseam.service.Counters.Count;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketConnector;

/** The engines: connections to them, the sends that are out, and the pages of their results. */
final class EngineConnections {
  /** Who hears of a send: its progress, and its one outcome. */
  interface Listener {
    void progressed(Attempt send, double share, Timestamp now);

    /** It spills to disk, for want of so many megabytes. */
    void spills(Attempt send, double missingMb);

    /** It stands still while a load holds what it reads. */
    void blocked(Attempt send, Timestamp now);

    /** Whether anybody still waits for its answer, as far as the I/O thread has read. */
    boolean isWanted(Attempt send);

    void ended(Attempt send, AttemptResult ending, Timestamp now);
  }

  private static final String PARSER = "parser";
  private static final String CONNECTION = "connection";
  private static final String UNHEARD = "unheard";

  /** Bytes of one connection that may wait to be heard: some results for each of many sends. */
  private static final int MOST_UNHEARD = 1 << 21;

  /**
   * A connection idle for more than this part of the time after which engines close it is not used.
   */
  private static final double IDLE_USED = 0.9;

  /** The engines' word, in a note of a send that stands still, for one that waits for a load. */
  private static final double BLOCKED_BY_A_LOAD = 2;

  /** One engine of the list. */
  private static final class EngineState {
    InetSocketAddress address;
    EndpointStatus.EndpointState standing;

    /** When its process started, as the list has it. */
    Timestamp started;

    /** Whether the last connection to it, or send on one, did not come to anything. */
    boolean failed;

    final List<EngineConnection> connections = new ArrayList<>();
  }

  private final SocketConnector connector;
  private final SocketProcessor sockets;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers deadlines;
  private final Counters counters;
  private final RateLimitedLog log;
  private TimeSpan connectTimeout;
  private TimeSpan idle;
  private int sendsPerConnection;
  private final Map<EngineId, EngineState> states = new HashMap<>();
  private final SlotTable<EngineConnection> connections;
  private Listener listener;

  EngineConnections(
      ServiceConfiguration told,
      SocketConnector connector,
      SocketProcessor sockets,
      EventLoopQueue inbox,
      Clock clock,
      Timers deadlines,
      Counters counters) {
    this.connector = connector;
    this.sockets = sockets;
    this.inbox = inbox;
    this.clock = clock;
    this.deadlines = deadlines;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(EngineConnections.class.getName()), clock);
    renewed(told);
    connections = new SlotTable<>(told.sockets() / 3);
    connector.setHandler(new EngineConnectionHandler());
  }

  void listener(Listener to) {
    listener = to;
  }

  /** Takes over what is told of connections. */
  void renewed(ServiceConfiguration told) {
    connectTimeout = told.connectTimeout();
    idle = told.connectionIdle().times(IDLE_USED);
    sendsPerConnection = told.sendsPerConnection();
  }

  // ---- on the I/O thread: bytes to answers

  private final class EngineConnectionHandler extends IoHandlerAdapter {
    @Override
    public void sessionCreated(IoSession session) {
      session.setAttribute(PARSER, new RespParser());
      session.setAttribute(UNHEARD, new AtomicInteger());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      List<EngineAnswer> answers = new ArrayList<>();
      RespParser parser = (RespParser) session.getAttribute(PARSER);
      AtomicInteger unheard = (AtomicInteger) session.getAttribute(UNHEARD);
      int bytes = ((IoBuffer) message).remaining();
      boolean tooMuch = unheard.addAndGet(bytes) > MOST_UNHEARD;
      String wrong =
          tooMuch
              ? "more than is asked for"
              : parser.take(
                  ((IoBuffer) message).buf(), items -> answers.add(EngineAnswer.of(items)));
      if (wrong != null) {
        session.closeNow();
      }
      // Not at once: it may be followed by a retry, and the client's end may lie unread in the same
      // round.
      sockets.atRoundEnd(
          () ->
              inbox.post(
                  session,
                  () -> {
                    unheard.addAndGet(-bytes);
                    answered(connection(session), answers, wrong);
                  }));
    }

    @Override
    public void sessionClosed(IoSession session) {
      long written = session.getWrittenMessages();
      // Nor may this overtake an answer that was read right before it.
      sockets.atRoundEnd(() -> inbox.post(null, () -> closed(connection(session), written)));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  private EngineConnection connection(IoSession session) {
    return (EngineConnection) session.getAttribute(CONNECTION);
  }

  // ---- the list

  void listed(WatchEvent event) {
    if (event.whole()) {
      Set<EngineId> named =
          event.list().stream().map(EndpointStatus::engine).collect(Collectors.toSet());
      states.forEach(
          (engine, state) ->
              state.standing =
                  named.contains(engine) ? state.standing : EndpointStatus.EndpointState.GONE);
    }
    for (EndpointStatus line : event.list()) {
      EngineState state = states.computeIfAbsent(line.engine(), e -> new EngineState());
      boolean changed = line.state() != state.standing || !line.startedAt().equals(state.started);
      state.standing = line.state();
      state.started = line.startedAt();
      InetSocketAddress address = event.addresses().get(line.engine());
      if (address != null) {
        state.address = address;
      }
      // Connections to an earlier life of the process may stay open and silent.
      for (EngineConnection c : List.copyOf(state.connections)) {
        if (line.state() == EndpointStatus.EndpointState.UP
            && c.opened.isBefore(line.startedAt())) {
          drop(c);
        } else if (changed && c.session == null) {
          // What waits for it was decided on when the engine was not draining, or not cold.
          drop(c);
        }
      }
    }
    for (EngineState state : List.copyOf(states.values())) {
      if (state.standing == EndpointStatus.EndpointState.GONE) {
        List.copyOf(state.connections).stream()
            .filter(c -> c.sends.isEmpty() || c.session == null)
            .forEach(this::drop);
      }
    }
    states
        .values()
        .removeIf(m -> m.standing == EndpointStatus.EndpointState.GONE && m.connections.isEmpty());
  }

  // ---- sends

  /** Hands a command to an engine; the listener hears of its one outcome later, never at once. */
  Attempt send(
      RequestId command, int number, Placement placement, Statement statement, Timestamp now) {
    EngineId engine = placement.engine();
    Attempt send =
        new Attempt(command, number, engine, statement, now, now.plus(placement.attemptTimeout()));
    send.startBy = placement.startWithin() == null ? null : now.plus(placement.startWithin());
    counters.add(Count.SENDS);
    EngineState state = states.get(engine);
    EngineConnection connection =
        state == null || state.address == null ? null : pick(state, engine, send.call(), now);
    if (connection == null) {
      send.timeout = deadlines.set(now, () -> end(send, AttemptResult.UNREACHABLE));
      return send;
    }
    send.timeout = deadlines.set(send.until, () -> giveUp(send, AttemptResult.TIMED_OUT));
    send.connection = connection;
    connection.sends.put(send.call(), send);
    if (connection.session != null) {
      write(send, now);
    }
    return send;
  }

  /** A send that is not to leave after all: its outcome is that it was never sent. */
  Attempt neverSend(
      RequestId command, int number, EngineId engine, Statement statement, Timestamp now) {
    Attempt send = new Attempt(command, number, engine, statement, now, now);
    counters.add(Count.SENDS);
    send.timeout = deadlines.set(now, () -> end(send, AttemptResult.NEVER_SENT));
    return send;
  }

  /** A send may take until this moment, if that is later than what it was given before. */
  void letTake(Attempt send, Timestamp until) {
    if (!send.over && send.until.isBefore(until) && send.connection != null) {
      deadlines.cancel(send.timeout);
      send.timeout = deadlines.set(until, () -> giveUp(send, AttemptResult.TIMED_OUT));
    }
  }

  /** Engines that may be sent to, as the list has them. */
  int inService() {
    return (int)
        states.values().stream().filter(m -> m.standing == EndpointStatus.EndpointState.UP).count();
  }

  /** The share of those to which the last connection or send failed, from 0 to 1. */
  double failing() {
    int up = inService();
    return up == 0
        ? 0
        : (double)
                states.values().stream()
                    .filter(m -> m.standing == EndpointStatus.EndpointState.UP && m.failed)
                    .count()
            / up;
  }

  int openConnections() {
    return connections.size();
  }

  /**
   * The connection for one more send: an unused one, the last used first, or a new one; only where
   * no more can be had is one shared. A send that is alone is given up by closing its connection,
   * which holds also where an engine has gone silent, and cuts no other.
   */
  private EngineConnection pick(EngineState state, EngineId engine, String id, Timestamp now) {
    EngineConnection unused = null;
    for (EngineConnection c : List.copyOf(state.connections)) {
      if (c.sends.isEmpty() && idle.isPositive() && now.since(c.idleSince).compareTo(idle) > 0) {
        drop(c);
      } else if (c.sends.isEmpty()
          && c.takes(id, sendsPerConnection)
          && (unused == null || unused.idleSince.isBefore(c.idleSince))) {
        unused = c;
      }
    }
    EngineConnection own = unused == null ? open(state, engine, now) : unused;
    return own != null
        ? own
        : state.connections.stream()
            .filter(c -> c.takes(id, sendsPerConnection))
            .min(Comparator.comparingInt(c -> c.sends.size()))
            .orElse(null);
  }

  private EngineConnection open(EngineState state, EngineId engine, Timestamp now) {
    EngineConnection c = new EngineConnection(engine, now);
    c.key = connections.take(c);
    if (c.key == SlotTable.NONE) {
      return null;
    }
    state.connections.add(c);
    c.future =
        connector.connect(state.address, (session, future) -> session.setAttribute(CONNECTION, c));
    c.connectTimeout =
        deadlines.set(
            now.plus(connectTimeout),
            () -> {
              c.future.cancel();
              failed(c);
            });
    c.future.addListener((ConnectFuture done) -> inbox.post(null, () -> connected(c)));
    return c;
  }

  private void connected(EngineConnection c) {
    if (connections.get(c.key) != c) {
      if (c.future.isConnected()) {
        c.future.getSession().closeNow();
      }
    } else if (!c.future.isConnected()) {
      failed(c);
    } else {
      counters.add(Count.ENGINE_CONNECTIONS);
      deadlines.cancel(c.connectTimeout);
      c.session = c.future.getSession();
      Timestamp now = clock.now();
      c.heard = now;
      for (Attempt send : List.copyOf(c.sends.values())) {
        // It may have waited too long for this connection: what engines remember of the send before
        // may be gone.
        boolean inTime = send.startBy == null || now.isBefore(send.startBy);
        if (inTime && listener.isWanted(send)) {
          write(send, now);
        } else {
          end(send, AttemptResult.UNREACHABLE);
        }
      }
    }
  }

  private void failed(EngineConnection c) {
    if (connections.get(c.key) == c) {
      counters.add(Count.ENGINE_CONNECTIONS_FAILED);
      mark(c, true);
      remove(c, 0);
    }
  }

  private void closed(EngineConnection c, long written) {
    if (connections.get(c.key) == c) {
      counters.add(Count.ENGINE_CONNECTIONS_CLOSED);
      remove(c, written);
    }
  }

  private void mark(EngineConnection c, boolean failed) {
    EngineState state = states.get(c.engine);
    if (state != null) {
      state.failed = failed;
    }
  }

  /** Closes a connection of our own accord. */
  private void drop(EngineConnection c) {
    if (connections.get(c.key) != c) {
      return;
    }
    if (c.session != null) {
      c.session.closeNow();
    } else {
      c.future.cancel();
    }
    remove(c, Long.MAX_VALUE);
  }

  /** Forgets a connection: what was never written whole never ran, the rest may have run. */
  private void remove(EngineConnection c, long written) {
    deadlines.cancel(c.connectTimeout);
    connections.free(c.key);
    EngineState state = states.get(c.engine);
    if (state != null) {
      state.connections.remove(c);
    }
    for (Attempt send : List.copyOf(c.sends.values())) {
      boolean neverRan = send.position == 0 || send.position > written;
      end(send, neverRan ? AttemptResult.UNREACHABLE : AttemptResult.CONNECTION_LOST);
    }
  }

  private void write(Attempt send, Timestamp now) {
    long ms = Math.max(1, (send.until.since(now).us() + 999) / 1000);
    send.position =
        send.connection.write(
            EngineCommands.pull(
                send.call(),
                send.statement.profile(),
                ms,
                send.statement.idempotencyKey(),
                send.statement.text()));
  }

  /** Calls a send off: its outcome is told at once, and its engine told to stop. */
  void callOff(Attempt send) {
    giveUp(send, AttemptResult.CANCELLED);
  }

  private void giveUp(Attempt send, AttemptResult ending) {
    if (send.over) {
      return;
    }
    EngineConnection c = send.connection;
    if (c == null || send.position == 0) {
      end(send, AttemptResult.UNREACHABLE);
      return;
    }
    if (c.sends.size() == 1) {
      c.sends.clear();
      drop(c);
    } else {
      c.remember(send.call());
      c.write(
          send.result == null
              ? EngineCommands.kill(send.call())
              : EngineCommands.discard(send.call()));
    }
    end(send, ending);
  }

  private void end(Attempt send, AttemptResult ending) {
    if (send.over) {
      return;
    }
    send.over = true;
    deadlines.cancel(send.timeout);
    EngineConnection c = send.connection;
    Timestamp now = clock.now();
    if (c != null) {
      c.sends.remove(send.call());
      if (c.sends.isEmpty()) {
        c.idleSince = now;
        EngineState state = states.get(c.engine);
        if (state != null && state.standing == EndpointStatus.EndpointState.GONE) {
          drop(c);
        }
      }
    }
    counters.add(counterOf(ending));
    if (c != null
        && (ending == AttemptResult.TIMED_OUT || ending == AttemptResult.CONNECTION_LOST)) {
      mark(c, true);
    }
    listener.ended(send, ending, now);
  }

  /** Asks an engine whether its connection works. */
  void probe(EngineId engine, Timestamp now) {
    EngineState state = states.get(engine);
    if (state != null && state.address != null) {
      EngineConnection c = pick(state, engine, "", now);
      if (c != null && c.session != null) {
        c.write(EngineCommands.echo("probe"));
      }
    }
  }

  // ---- answers

  private void answered(EngineConnection c, List<EngineAnswer> answers, String wrong) {
    c.heard = clock.now();
    mark(c, false);
    for (EngineAnswer answer : answers) {
      if (connections.get(c.key) != c) {
        return;
      }
      if (answer == null) {
        protocolError(c, "an array that is no answer");
      } else if (!answer.word().equals(EngineAnswer.ALIVE)) {
        take(c, answer);
      }
    }
    if (wrong != null && connections.get(c.key) == c) {
      protocolError(c, wrong);
    }
  }

  private void protocolError(EngineConnection c, String what) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.warn(
        "engine {0} closed: {1}",
        Field.of("engine", Long.toHexString(c.engine.value())),
        Field.of("reason", what),
        Field.event("engine.closed"));
    drop(c);
  }

  private void take(EngineConnection c, EngineAnswer answer) {
    Attempt send = c.sends.get(answer.id());
    if (send == null) {
      late(c, answer);
      return;
    }
    double inHand = answer.reported(DeploymentReader.IN_HAND_REPORT);
    double queue = answer.reported(DeploymentReader.QUEUE_REPORT);
    send.inHand = inHand >= 0 ? inHand : send.inHand;
    send.queue = queue >= 0 ? queue : send.queue;
    switch (answer.word()) {
      case EngineAnswer.STATUS -> {
        counters.add(Count.NOTES);
        String why = answer.fields().getOrDefault("why", "");
        double amount = answer.number("v");
        switch (why) {
          case "progress" -> listener.progressed(send, amount, c.heard);
          case "spill_mb" -> listener.spills(send, amount);
          case "blocked" -> {
            if (amount == BLOCKED_BY_A_LOAD) {
              listener.blocked(send, c.heard);
            }
          }
          default -> {}
        }
      }
      case EngineAnswer.OK -> firstPage(c, send, answer);
      case EngineAnswer.CHUNK -> page(c, send, answer.whole("page"), answer.body());
      case EngineAnswer.FULL, EngineAnswer.OVER -> end(send, AttemptResult.CAPACITY_EXCEEDED);
      case EngineAnswer.ERROR -> end(send, AttemptResult.ERROR);
      default -> protocolError(c, "an answer '" + answer.word() + "'");
    }
  }

  private void late(EngineConnection c, EngineAnswer answer) {
    if (!c.remembers(answer.id())) {
      counters.add(Count.UNKNOWN_ANSWERS);
      log.warn(
          "engine {0}: an answer for unknown id {1}",
          Field.of("engine", Long.toHexString(c.engine.value())),
          Field.of("command", answer.id()),
          Field.event("engine.unknown_answer"));
      if (c.isFlooded()) {
        protocolError(c, "answers without end that nobody asked for");
      }
      return;
    }
    counters.add(Count.LATE_ANSWERS);
    if (answer.word().equals(EngineAnswer.OK) && answer.whole("pages") > 1) {
      c.write(EngineCommands.discard(answer.id()));
    }
  }

  private void firstPage(EngineConnection c, Attempt send, EngineAnswer answer) {
    if (send.result != null) {
      counters.add(Count.SECOND_COPIES);
      return;
    }
    int pages = answer.whole("pages");
    if (!Result.canHave(pages)) {
      spoiled(c, send, "a result of " + pages + " pages");
      return;
    }
    send.result = new Result(pages);
    for (int i = 1; i < pages; i++) {
      counters.add(Count.PAGES_ASKED);
      c.write(EngineCommands.scroll(send.call(), i));
    }
    page(c, send, 0, answer.body());
  }

  private void page(EngineConnection c, Attempt send, int number, byte[] body) {
    if (send.result != null && send.result.has(number)) {
      counters.add(Count.SECOND_COPIES);
      return;
    }
    String wrong = send.result == null ? "a page before the first" : send.result.add(number, body);
    if (wrong != null) {
      spoiled(c, send, wrong);
    } else if (send.result.isWhole()) {
      end(send, AttemptResult.COMPLETED);
    }
  }

  /**
   * What can't be passed on counts as the engine's error; a connection that brought it is of no
   * more use.
   */
  private void spoiled(EngineConnection c, Attempt send, String why) {
    counters.add(Count.ENGINE_PROTOCOL_ERRORS);
    log.warn(
        "engine {0}: {1}",
        Field.of("engine", Long.toHexString(send.engine.value())),
        Field.of("reason", why),
        Field.of("command", send.call()),
        Field.event("engine.bad_result"));
    c.sends.remove(send.call());
    drop(c);
    end(send, AttemptResult.ERROR);
  }

  private static Count counterOf(AttemptResult result) {
    return switch (result) {
      case COMPLETED -> Count.SENDS_ANSWERED;
      case ERROR -> Count.SENDS_ERROR;
      case CAPACITY_EXCEEDED -> Count.SENDS_NO_ROOM;
      case TIMED_OUT -> Count.SENDS_TIMED_OUT;
      case UNREACHABLE -> Count.SENDS_UNREACHABLE;
      case CONNECTION_LOST -> Count.SENDS_CUT;
      case CANCELLED -> Count.SENDS_CANCELLED;
      case NEVER_SENT -> Count.SENDS_NEVER_SENT;
    };
  }
}
