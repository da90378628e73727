package cobaltseam.postgres;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Parses the messages of one client in PostgreSQL's protocol 3.0 from a byte stream that may be
 * split anywhere. The memory that a client can make it use is bounded. Not thread-safe, except
 * where noted.
 */
public final class ClientParser {
  /** The maximum length of a start-up packet, as in PostgreSQL itself. */
  static final int MAX_STARTUP_BYTES = 10_000;

  /** The maximum length of a message; the longest ones are statements with their comment. */
  public static final int MAX_MESSAGE_BYTES = 1 << 16;

  private static final int PROTOCOL_3_0 = 3 << 16;
  private static final int CANCEL_REQUEST_CODE = 1234 << 16 | 5678;
  private static final int SSL_REQUEST_CODE = 1234 << 16 | 5679;
  private static final int GSSENC_REQUEST_CODE = 1234 << 16 | 5680;
  private static final int INITIAL_BUFFER_BYTES = 512;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

  /** The number of bytes in use in the buffer; other threads read it as a hint. */
  private volatile int length;

  private boolean isStarted;
  private volatile boolean isBroken;

  /** Returns the size of the buffer for incomplete messages, in bytes. */
  public int bufferBytes() {
    return buffer.length;
  }

  /**
   * Returns whether parsing has stopped, after a malformed message or {@link #fail}. May be called
   * from any thread.
   */
  public boolean isBroken() {
    return isBroken;
  }

  /**
   * Returns whether a message has been received in part. May be called from any thread; the result
   * may be stale.
   */
  public boolean isInMessage() {
    return length > 0;
  }

  /**
   * Stops parsing, releases the buffer and passes on a malformed message. Has no effect if parsing
   * has already stopped.
   */
  public void fail(ClientMessage.Malformed message, Consumer<ClientMessage> messages) {
    if (!isBroken) {
      isBroken = true;
      messages.accept(message);
      length = 0;
      buffer = new byte[0];
    }
  }

  /** Parses received bytes and passes on each complete message. */
  public void parse(ByteBuffer in, Consumer<ClientMessage> messages) {
    while (in.hasRemaining() && !isBroken) {
      int chunkBytes = Math.min(in.remaining(), MAX_MESSAGE_BYTES);
      if (buffer.length - length < chunkBytes) {
        buffer = Arrays.copyOf(buffer, Math.max(length + chunkBytes, 2 * buffer.length));
      }
      in.get(buffer, length, chunkBytes);
      length += chunkBytes;
      int start = 0;
      for (int consumed = parseNext(start, messages);
          consumed > 0 && !isBroken;
          consumed = parseNext(start, messages)) {
        start += consumed;
      }
      System.arraycopy(buffer, start, buffer, 0, length - start);
      length -= start;
    }
    if (isBroken || length == 0 && buffer.length > INITIAL_BUFFER_BYTES) {
      buffer = new byte[isBroken ? 0 : INITIAL_BUFFER_BYTES];
      length = 0;
    }
  }

  /** Parses the message at an offset; returns its length, or 0 if it is incomplete or malformed. */
  private int parseNext(int start, Consumer<ClientMessage> messages) {
    int typeBytes = isStarted ? 1 : 0;
    if (length - start < typeBytes + Integer.BYTES) {
      return 0;
    }
    int size = readInt(start + typeBytes);
    if (size < (isStarted ? Integer.BYTES : 2 * Integer.BYTES)
        || size > (isStarted ? MAX_MESSAGE_BYTES : MAX_STARTUP_BYTES)) {
      return reportMalformed("a length of " + size, messages);
    }
    if (length - start < typeBytes + size) {
      return 0;
    }
    if (isStarted) {
      parseMessage((char) buffer[start], start + 1 + Integer.BYTES, start + 1 + size, messages);
    } else {
      parseStartup(start + Integer.BYTES, size, messages);
    }
    return typeBytes + size;
  }

  private void parseStartup(int offset, int size, Consumer<ClientMessage> messages) {
    int code = readInt(offset);
    switch (code) {
      case PROTOCOL_3_0 -> {
        isStarted = true;
        messages.accept(new ClientMessage.Startup());
      }
      case SSL_REQUEST_CODE, GSSENC_REQUEST_CODE ->
          messages.accept(new ClientMessage.EncryptionRequest());
      case CANCEL_REQUEST_CODE -> {
        if (size == 4 * Integer.BYTES) {
          messages.accept(new ClientMessage.Cancel(readInt(offset + 4), readInt(offset + 8)));
        } else {
          reportMalformed("a cancel request of " + size + " bytes", messages);
        }
      }
      default -> reportMalformed("start-up code " + code, messages);
    }
  }

  private void parseMessage(char type, int start, int end, Consumer<ClientMessage> messages) {
    switch (type) {
      case 'Q' -> {
        if (end == start || buffer[end - 1] != 0) {
          reportMalformed("a query without its end", messages);
        } else {
          messages.accept(new ClientMessage.Query(Arrays.copyOfRange(buffer, start, end - 1)));
        }
      }
      case 'X' -> messages.accept(new ClientMessage.Terminate());
      case 'S' -> messages.accept(new ClientMessage.Sync());
      case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f', 'p' ->
          messages.accept(new ClientMessage.Unsupported(type));
      default -> reportMalformed("message type " + (int) type, messages);
    }
  }

  /** Stops parsing and passes on a malformed message; returns 0, the number of bytes consumed. */
  private int reportMalformed(String reason, Consumer<ClientMessage> messages) {
    isBroken = true;
    messages.accept(new ClientMessage.Malformed(reason, false));
    return 0;
  }

  private int readInt(int offset) {
    return ByteBuffer.wrap(buffer, offset, Integer.BYTES).getInt();
  }
}
