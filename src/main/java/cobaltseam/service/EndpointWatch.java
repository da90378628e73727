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

/**
 * Watches the endpoint list on the platform's event bus. Requests the events that follow the last
 * known offset, reads them on the I/O thread, and passes them to a listener on the event-loop
 * thread. A connection that is lost or silent is replaced by a new one.
 */
final class EndpointWatch {
  private static final String CONNECTION_NUMBER_ATTRIBUTE = "life";
  private static final String LINE_ATTRIBUTE = "line";
  private static final String UNPROCESSED_BYTES_ATTRIBUTE = "unheard";
  private static final int MAX_LINE_BYTES = 1 << 20;

  /**
   * The event bus writes at least once in this period. In microseconds, as are the constants below.
   */
  private static final TimeSpan HEARTBEAT_PERIOD_US = new TimeSpan(1_000_000);

  private static final TimeSpan SILENCE_TIMEOUT_US = HEARTBEAT_PERIOD_US.times(2.5);
  private static final TimeSpan RECONNECT_BACKOFF_US = HEARTBEAT_PERIOD_US.times(0.25);

  private static final int US_PER_MS = 1000;

  private InetSocketAddress address;
  private final SocketConnector connector;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final Consumer<WatchEvent> listener;
  private final JsonFactory json = new JsonFactory();

  /** The offset of the last event that was applied or skipped. */
  private long lastOffset;

  /**
   * The value of {@link #lastOffset} when missing events were last requested again; -1 if they
   * never were.
   */
  private long lastRefetchOffset = -1;

  /** Whether the last heartbeat on this connection had an offset beyond {@link #lastOffset}. */
  private boolean isOffsetAhead;

  /** The number of the current connection; callbacks of earlier ones are ignored. */
  private long connectionNumber;

  private ConnectFuture future;

  /** Ends the current connection for silence, or opens the next one. */
  private Timers.Timer connectionTimer;

  /** When the current connection was begun. */
  private Timestamp connectedAt;

  /** The number of lines received on the current connection. */
  private int receivedLines;

  /** When the last line was received; at first, the time of construction. */
  private Timestamp lastReceivedAt;

  /** When events were first requested; null until then. */
  private Timestamp firstRequestedAt;

  /** Whether any heartbeat has been received. */
  private boolean hasReceivedOffset;

  EndpointWatch(
      ServiceConfiguration configuration,
      SocketConnector connector,
      EventLoopQueue inbox,
      Clock clock,
      Timers timers,
      Counters counters,
      Consumer<WatchEvent> listener) {
    address = configuration.watchAddress();
    lastOffset = configuration.knownOffset();
    this.connector = connector;
    this.inbox = inbox;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(EndpointWatch.class.getName()), clock);
    this.listener = listener;
    lastReceivedAt = clock.now();
    connector.setHandler(new WatchConnectionHandler());
  }

  // ---- on the I/O thread: bytes to lines

  private final class WatchConnectionHandler extends IoHandlerAdapter {
    @Override
    public void sessionCreated(IoSession session) {
      session.setAttribute(LINE_ATTRIBUTE, new ByteArrayOutputStream());
      session.setAttribute(UNPROCESSED_BYTES_ATTRIBUTE, new AtomicInteger());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      ByteArrayOutputStream line = (ByteArrayOutputStream) session.getAttribute(LINE_ATTRIBUTE);
      long number = (Long) session.getAttribute(CONNECTION_NUMBER_ATTRIBUTE);
      AtomicInteger unprocessedBytes =
          (AtomicInteger) session.getAttribute(UNPROCESSED_BYTES_ATTRIBUTE);
      IoBuffer input = (IoBuffer) message;
      while (input.hasRemaining()) {
        byte next = input.get();
        if (next != '\n') {
          line.write(next);
          if (line.size() > MAX_LINE_BYTES) {
            session.closeNow();
            return;
          }
        } else {
          String text = line.toString(StandardCharsets.UTF_8).strip();
          line.reset();
          int size = text.length() + 1;
          if (unprocessedBytes.addAndGet(size) > 2 * MAX_LINE_BYTES) {
            session.closeNow();
            return;
          }
          inbox.post(
              session,
              () -> {
                unprocessedBytes.addAndGet(-size);
                processLine(number, text);
              });
        }
      }
    }

    @Override
    public void sessionClosed(IoSession session) {
      long number = (Long) session.getAttribute(CONNECTION_NUMBER_ATTRIBUTE);
      inbox.post(null, () -> reconnect(number, "closed"));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  // ---- connections

  /** Opens a connection and requests the events that follow the last known offset. */
  void connect() {
    long number = ++connectionNumber;
    connectedAt = clock.now();
    receivedLines = 0;
    future =
        connector.connect(
            address,
            (session, connecting) -> session.setAttribute(CONNECTION_NUMBER_ATTRIBUTE, number));
    future.addListener(
        (ConnectFuture connecting) -> inbox.post(null, () -> connected(number, connecting)));
    connectionTimer =
        timers.set(clock.now().plus(HEARTBEAT_PERIOD_US), () -> reconnect(number, "no connection"));
  }

  /**
   * Whether the events that the event bus had at the first request can be taken as received: a
   * heartbeat was received, or {@link #RECONNECT_BACKOFF_US} has passed since that request.
   */
  boolean isCaughtUp(Timestamp now) {
    return hasReceivedOffset
        || firstRequestedAt != null
            && now.since(firstRequestedAt).compareTo(RECONNECT_BACKOFF_US) >= 0;
  }

  /** Returns the time since the last line was received, or since construction if none was. */
  TimeSpan silenceDuration(Timestamp now) {
    return now.since(lastReceivedAt);
  }

  /**
   * Moves the watch to an event bus at another address, which continues the same sequence of
   * offsets.
   */
  void moveTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      disconnect();
      connect();
    }
  }

  /**
   * Applies events from the configuration. An event is skipped if its offset is not beyond the last
   * one, or if it neither directly follows the last one nor holds the complete list.
   */
  void applyEvents(List<WatchEvent> events) {
    for (WatchEvent event : events) {
      if (event.offset() > lastOffset && (event.isComplete() || event.offset() == lastOffset + 1)) {
        lastOffset = event.offset();
        listener.accept(event);
      }
    }
  }

  private void connected(long number, ConnectFuture connecting) {
    if (!connecting.isConnected()) {
      reconnect(number, "no connection");
    } else if (number != connectionNumber) {
      connecting.getSession().closeNow();
    } else {
      counters.add(Count.BUS_CONNECTIONS);
      connecting
          .getSession()
          .write(IoBuffer.wrap(("from " + lastOffset + "\n").getBytes(StandardCharsets.US_ASCII)));
      restartSilenceTimeout(number);
      if (firstRequestedAt == null) {
        firstRequestedAt = clock.now();
        // Wakes the event loop, which waits for isCaughtUp() at the start.
        timers.set(firstRequestedAt.plus(RECONNECT_BACKOFF_US), () -> {});
      }
    }
  }

  private void restartSilenceTimeout(long number) {
    timers.cancel(connectionTimer);
    connectionTimer =
        timers.set(clock.now().plus(SILENCE_TIMEOUT_US), () -> reconnect(number, "silent"));
  }

  private void reconnect(long number, String reason) {
    if (number != connectionNumber) {
      return;
    }
    log.warn(
        "endpoint watch connection lost: {0}; requesting events again from offset {1}; it lasted"
            + " {2} ms with {3} lines",
        Field.of("reason", reason),
        Field.of("offset", lastOffset),
        Field.of("ageMs", clock.now().since(connectedAt).us() / US_PER_MS),
        Field.of("lines", receivedLines),
        Field.event("bus.lost"));
    disconnect();
    connectionTimer = timers.set(clock.now().plus(RECONNECT_BACKOFF_US), this::connect);
  }

  private void disconnect() {
    connectionNumber++;
    isOffsetAhead = false;
    timers.cancel(connectionTimer);
    if (future.isConnected()) {
      future.getSession().closeNow();
    } else {
      future.cancel();
    }
  }

  // ---- lines

  private void processLine(long number, String line) {
    if (number != connectionNumber || line.isEmpty()) {
      return;
    }
    restartSilenceTimeout(number);
    lastReceivedAt = clock.now();
    receivedLines++;
    if (receivedLines == 1) {
      long waitMs = lastReceivedAt.since(connectedAt).us() / US_PER_MS;
      counters.raiseTo(Count.BUS_FIRST_LINE_PEAK_MS, waitMs);
    }
    try {
      if (line.matches("[0-9]{1,18}")) {
        processOffset(number, Long.parseLong(line));
      } else {
        processEvent(number, line);
      }
    } catch (IOException | InvalidInputException e) {
      log.warn(
          "endpoint watch: ignored an unusable line: {0}",
          Field.of("reason", e.getMessage()), Field.event("bus.line_unusable"));
    }
  }

  /**
   * Processes a heartbeat, which holds the offset of the last event: all events up to it should
   * have been received. Missing events are requested again once. If they are still missing, they
   * are skipped only at the second such heartbeat in a row, since a heartbeat may arrive ahead of
   * the events it covers, and a drain among them would be lost.
   */
  private void processOffset(long connection, long offset) {
    hasReceivedOffset = true;
    boolean wasAhead = isOffsetAhead;
    isOffsetAhead = offset > lastOffset;
    if (isOffsetAhead && !requestMissing(connection) && wasAhead) {
      lastOffset = offset;
      isOffsetAhead = false;
    }
  }

  private void processEvent(long number, String line) throws IOException {
    JsonObjectReader event;
    try (JsonParser parser = json.createParser(line)) {
      event = JsonObjectReader.of(parser);
    }
    long offset = event.integer(WatchEvent.OFFSET_FIELD);
    boolean isComplete =
        event.has(WatchEvent.EVENT_FIELD)
            && event.object(WatchEvent.EVENT_FIELD).flag(WatchEvent.COMPLETE_FIELD);
    // A complete list replaces the state, so events missing before it are not needed.
    if (offset <= lastOffset || offset > lastOffset + 1 && !isComplete && requestMissing(number)) {
      return;
    }
    lastOffset = offset;
    isOffsetAhead = false;
    counters.add(Count.BUS_EVENTS);
    if (event.has(WatchEvent.EVENT_FIELD)) {
      listener.accept(WatchEvent.of(event));
    }
  }

  /**
   * Requests missing events again, but only once for each offset: an event that can't be used would
   * otherwise block all that follow.
   *
   * @return whether the events were requested
   */
  private boolean requestMissing(long number) {
    if (lastRefetchOffset == lastOffset) {
      return false;
    }
    lastRefetchOffset = lastOffset;
    counters.add(Count.BUS_GAPS);
    reconnect(number, "events are missing");
    return true;
  }
}
