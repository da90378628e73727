package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;

/** One connection of the endpoint watch. Confined to the event-loop thread. */
final class WatchConnection {
  /** A longer line closes the connection; a list of 3,200 engines takes about half as much. */
  private static final int MAX_LINE_BYTES = 1 << 20;

  final Timestamp openedAt;

  ConnectFuture future;

  /** The number of lines received. */
  long receivedLines;

  /** Whether the last heartbeat on this connection had an offset beyond the last known event. */
  boolean isOffsetAhead;

  /** The bytes received of the current line. */
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  WatchConnection(Timestamp openedAt) {
    this.openedAt = openedAt;
  }

  /**
   * Adds a received byte.
   *
   * @return the line that this byte completes, without white space around it, or null
   */
  String add(byte next) {
    if (next != '\n') {
      line.write(next);
      return null;
    }
    String text = line.toString(StandardCharsets.UTF_8).strip();
    line.reset();
    return text;
  }

  /** Whether the current line is longer than any line may be. */
  boolean isLineTooLong() {
    return line.size() > MAX_LINE_BYTES;
  }

  /** Requests the events after an offset; the connection has to be established. */
  void requestEventsAfter(long offset) {
    byte[] request = ("from " + offset + "\n").getBytes(StandardCharsets.US_ASCII);
    future.getSession().write(IoBuffer.wrap(request));
  }

  /** Closes the connection, or ends the connect. */
  void close() {
    if (future.isConnected()) {
      future.getSession().closeNow();
    } else {
      future.cancel();
    }
  }
}
