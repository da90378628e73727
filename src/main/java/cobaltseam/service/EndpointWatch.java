package cobaltseam.service;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.mina.transport.socket.SocketConnector;

/**
 * Watches the endpoint list on the platform's event bus: keeps track of which events are known,
 * requests missing ones again, and passes each event to a listener. {@link WatchConnections} holds
 * the connections. Confined to the event-loop thread.
 */
final class EndpointWatch implements WatchConnections.Listener {
  private static final Pattern HEARTBEAT = Pattern.compile("[0-9]{1,18}");

  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog log;
  private final Consumer<WatchEvent> listener;
  private final WatchConnections connections;
  private final LateEvents lateEvents = new LateEvents();
  private final JsonFactory json = new JsonFactory();

  /** The offset of the last event that was applied or skipped. */
  private long lastOffset;

  /**
   * The value of {@link #lastOffset} when missing events were last requested again; -1 if they
   * never were.
   */
  private long lastRefetchOffset = -1;

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
      ReadFlowControl flowControl,
      Clock clock,
      Timers timers,
      Counters counters,
      Consumer<WatchEvent> listener) {
    lastOffset = configuration.knownOffset();
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    log = new RateLimitedLog(System.getLogger(EndpointWatch.class.getName()), clock);
    this.listener = listener;
    lastReceivedAt = clock.now();
    connections =
        new WatchConnections(
            configuration.watchAddress(),
            connector,
            inbox,
            flowControl,
            clock,
            timers,
            counters,
            log,
            this);
  }

  // ---- connections

  /** Opens a connection and requests the events that follow the last known offset. */
  void connect() {
    connections.connect();
  }

  /**
   * Moves the watch to an event bus at another address, which continues the same sequence of
   * offsets.
   */
  void moveTo(InetSocketAddress newAddress) {
    connections.moveTo(newAddress);
  }

  @Override
  public long requestOffset() {
    return lateEvents.requestOffset(lastOffset);
  }

  @Override
  public void requested() {
    if (firstRequestedAt == null) {
      firstRequestedAt = clock.now();
      // Wakes the event loop, which waits for isCaughtUp() at the start.
      timers.set(firstRequestedAt.plus(WatchConnections.RECONNECT_BACKOFF_US), () -> {});
    }
  }

  /**
   * Whether the events that the event bus had at the first request can be taken as received: a
   * heartbeat was received, or {@link WatchConnections#RECONNECT_BACKOFF_US} has passed since that
   * request.
   */
  boolean isCaughtUp(Timestamp now) {
    return hasReceivedOffset
        || firstRequestedAt != null
            && now.since(firstRequestedAt).compareTo(WatchConnections.RECONNECT_BACKOFF_US) >= 0;
  }

  /** Returns the time since the last line was received, or since construction if none was. */
  TimeSpan silenceDuration(Timestamp now) {
    return now.since(lastReceivedAt);
  }

  // ---- events

  /**
   * Applies events from the configuration. An event is skipped if its offset is not beyond the last
   * one, or if it neither directly follows the last one nor holds the complete list.
   */
  void applyEvents(List<WatchEvent> events) {
    for (WatchEvent event : events) {
      if (event.offset() > lastOffset && (event.isComplete() || event.offset() == lastOffset + 1)) {
        lastOffset = event.offset();
        apply(event);
      }
    }
  }

  @Override
  public void lineReceived(WatchConnection connection, String line) {
    lastReceivedAt = clock.now();
    try {
      if (HEARTBEAT.matcher(line).matches()) {
        processOffset(connection, Long.parseLong(line));
      } else {
        processEvent(connection, line);
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
  private void processOffset(WatchConnection connection, long offset) {
    hasReceivedOffset = true;
    boolean wasAhead = connection.isOffsetAhead;
    connection.isOffsetAhead = offset > lastOffset;
    if (connection.isOffsetAhead && !requestMissing(connection) && wasAhead) {
      lateEvents.skip(lastOffset + 1);
      lastOffset = offset;
      connection.isOffsetAhead = false;
    }
  }

  private void processEvent(WatchConnection connection, String line) throws IOException {
    JsonObjectReader event;
    try (JsonParser parser = json.createParser(line)) {
      event = JsonObjectReader.of(parser);
    }
    long offset = event.integer(WatchEvent.OFFSET_FIELD);
    boolean isComplete =
        event.has(WatchEvent.EVENT_FIELD)
            && event.object(WatchEvent.EVENT_FIELD).flag(WatchEvent.COMPLETE_FIELD);
    if (offset <= lastOffset) {
      processLateEvent(offset, event);
      return;
    }
    // A complete list replaces the state, so events missing before it are not needed.
    if (offset > lastOffset + 1 && !isComplete) {
      if (requestMissing(connection)) {
        return;
      }
      lateEvents.skip(lastOffset + 1);
    }
    lastOffset = offset;
    connection.isOffsetAhead = false;
    counters.add(Count.BUS_EVENTS);
    if (event.has(WatchEvent.EVENT_FIELD)) {
      apply(WatchEvent.of(event));
    }
  }

  /** Applies an event that was skipped, as far as no later one has changed the same engines. */
  private void processLateEvent(long offset, JsonObjectReader event) {
    if (lateEvents.isSkipped(offset) && event.has(WatchEvent.EVENT_FIELD)) {
      counters.add(Count.BUS_EVENTS_LATE);
      log.warn(
          "endpoint watch: event {0} arrived after it was skipped, and is applied now",
          Field.of("offset", offset), Field.event("bus.event_late"));
      WatchEvent late = lateEvents.withoutLaterChanges(WatchEvent.of(event));
      lateEvents.recordAppliedLate(late);
      listener.accept(late);
    }
  }

  private void apply(WatchEvent event) {
    lateEvents.recordApplied(event);
    listener.accept(event);
  }

  /**
   * Requests missing events again, but only once for each offset: an event that can't be used would
   * otherwise block all that follow.
   *
   * @return whether the events were requested
   */
  private boolean requestMissing(WatchConnection connection) {
    if (lastRefetchOffset == lastOffset) {
      return false;
    }
    lastRefetchOffset = lastOffset;
    counters.add(Count.BUS_GAPS);
    connections.reconnect(connection, "events are missing");
    return true;
  }
}
