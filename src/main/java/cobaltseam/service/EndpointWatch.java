package cobaltseam.service;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketConnector;

/** Follows the event bus from the last event known, over as many connections as that takes. */
final class EndpointWatch {
  private static final String LIFE = "life";
  private static final String LINE = "line";
  private static final String UNHEARD = "unheard";
  private static final int LONGEST_LINE = 1 << 20;

  /** The bus writes at least this often. */
  private static final TimeSpan BEAT = new TimeSpan(1_000_000);

  private static final TimeSpan SILENCE = BEAT.times(2.5);
  private static final TimeSpan RETRY = BEAT.times(0.25);

  private InetSocketAddress address;
  private final SocketConnector connector;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers deadlines;
  private final Counters counters;
  private final RateLimitedLog log;
  private final Consumer<WatchEvent> listener;
  private final JsonFactory json = new JsonFactory();
  private long last;
  private long askedAnewFrom = -1;

  /** Whether the last number heard on this connection lay beyond the last event. */
  private boolean behind;

  /** Counts connections; what an earlier one still says is passed over. */
  private long life;

  private ConnectFuture future;
  private Timers.Timer next;
  private Timestamp heard;

  /** When it was first asked; null until then. */
  private Timestamp askedAt;

  private boolean numberHeard;

  EndpointWatch(
      ServiceConfiguration told,
      SocketConnector connector,
      EventLoopQueue inbox,
      Clock clock,
      Timers deadlines,
      Counters counters,
      Consumer<WatchEvent> listener) {
    address = told.bus();
    last = told.knownOffset();
    this.connector = connector;
    this.inbox = inbox;
    this.clock = clock;
    this.deadlines = deadlines;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(EndpointWatch.class.getName()), clock);
    this.listener = listener;
    heard = clock.now();
    connector.setHandler(new WatchConnectionHandler());
  }

  // ---- on the I/O thread: bytes to lines

  private final class WatchConnectionHandler extends IoHandlerAdapter {
    @Override
    public void sessionCreated(IoSession session) {
      session.setAttribute(LINE, new ByteArrayOutputStream());
      session.setAttribute(UNHEARD, new AtomicInteger());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      ByteArrayOutputStream line = (ByteArrayOutputStream) session.getAttribute(LINE);
      long from = (Long) session.getAttribute(LIFE);
      AtomicInteger unheard = (AtomicInteger) session.getAttribute(UNHEARD);
      IoBuffer in = (IoBuffer) message;
      while (in.hasRemaining()) {
        byte b = in.get();
        if (b != '\n') {
          line.write(b);
          if (line.size() > LONGEST_LINE) {
            session.closeNow();
            return;
          }
        } else {
          String text = line.toString(StandardCharsets.UTF_8).strip();
          line.reset();
          int size = text.length() + 1;
          if (unheard.addAndGet(size) > 2 * LONGEST_LINE) {
            session.closeNow();
            return;
          }
          inbox.post(
              session,
              () -> {
                unheard.addAndGet(-size);
                said(from, text);
              });
        }
      }
    }

    @Override
    public void sessionClosed(IoSession session) {
      long from = (Long) session.getAttribute(LIFE);
      inbox.post(null, () -> lost(from, "closed"));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  // ---- connections

  void connect() {
    long mine = ++life;
    future = connector.connect(address, (session, f) -> session.setAttribute(LIFE, mine));
    future.addListener((ConnectFuture f) -> inbox.post(null, () -> connected(mine, f)));
    next = deadlines.set(clock.now().plus(BEAT), () -> lost(mine, "no connection"));
  }

  /**
   * Whether what the bus had when it was first asked has come: its number has, or there was time
   * enough for it.
   */
  boolean isCaughtUp(Timestamp now) {
    return numberHeard || askedAt != null && now.since(askedAt).compareTo(RETRY) >= 0;
  }

  /** How long the bus has said nothing; since the start, if it never did. */
  TimeSpan silent(Timestamp now) {
    return now.since(heard);
  }

  /** The bus is at another address from now on; its numbers go on there. */
  void moved(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      leave();
      connect();
    }
  }

  /**
   * Events told by other means: of these, each that follows what is known, or tells the whole list.
   */
  void told(List<WatchEvent> events) {
    for (WatchEvent event : events) {
      if (event.offset() > last && (event.whole() || event.offset() == last + 1)) {
        last = event.offset();
        listener.accept(event);
      }
    }
  }

  private void connected(long mine, ConnectFuture f) {
    if (!f.isConnected()) {
      lost(mine, "no connection");
    } else if (mine != life) {
      f.getSession().closeNow();
    } else {
      counters.add(Count.BUS_CONNECTIONS);
      f.getSession()
          .write(IoBuffer.wrap(("from " + last + "\n").getBytes(StandardCharsets.US_ASCII)));
      await(mine);
      if (askedAt == null) {
        askedAt = clock.now();
        // Ends a wait for what it tells.
        deadlines.set(askedAt.plus(RETRY), () -> {});
      }
    }
  }

  private void await(long mine) {
    deadlines.cancel(next);
    next = deadlines.set(clock.now().plus(SILENCE), () -> lost(mine, "silent"));
  }

  private void lost(long mine, String why) {
    if (mine != life) {
      return;
    }
    log.warn(
        "event bus: {0}; asking again from {1}",
        Field.of("reason", why), Field.of("offset", last), Field.event("bus.lost"));
    leave();
    next = deadlines.set(clock.now().plus(RETRY), this::connect);
  }

  private void leave() {
    life++;
    behind = false;
    deadlines.cancel(next);
    if (future.isConnected()) {
      future.getSession().closeNow();
    } else {
      future.cancel();
    }
  }

  // ---- lines

  private void said(long mine, String line) {
    if (mine != life || line.isEmpty()) {
      return;
    }
    await(mine);
    heard = clock.now();
    try {
      if (line.matches("[0-9]{1,18}")) {
        number(mine, Long.parseLong(line));
      } else {
        event(mine, line);
      }
    } catch (IOException | InvalidInputException e) {
      log.warn(
          "event bus: a line can''t be used: {0}",
          Field.of("reason", e.getMessage()), Field.event("bus.line_unusable"));
    }
  }

  /**
   * The number of the last event, alone: all up to it should have come. One more beat is waited for
   * where events were asked for anew, as the number may overtake them: passed over, a drain among
   * them would never be heard.
   */
  private void number(long mine, long number) {
    numberHeard = true;
    boolean again = behind;
    behind = number > last;
    if (behind && !missing(mine) && again) {
      last = number;
      behind = false;
    }
  }

  private void event(long mine, String line) throws IOException {
    JsonObjectReader event;
    try (JsonParser parser = json.createParser(line)) {
      event = JsonObjectReader.of(parser);
    }
    long offset = event.whole(WatchEvent.OFFSET);
    boolean whole =
        event.has(WatchEvent.EVENT) && event.object(WatchEvent.EVENT).flag(WatchEvent.WHOLE);
    // A whole list makes up for what is missing before it.
    if (offset <= last || offset > last + 1 && !whole && missing(mine)) {
      return;
    }
    last = offset;
    behind = false;
    counters.add(Count.BUS_EVENTS);
    if (event.has(WatchEvent.EVENT)) {
      listener.accept(WatchEvent.of(event));
    }
  }

  /**
   * Events are missing: asks for them anew, but only once, or one that can't be used would hold up
   * all.
   */
  private boolean missing(long mine) {
    if (askedAnewFrom == last) {
      return false;
    }
    askedAnewFrom = last;
    counters.add(Count.BUS_GAPS);
    lost(mine, "events are missing");
    return true;
  }
}
