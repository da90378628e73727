package cobaltseam.postgres;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Takes PostgreSQL's protocol 3.0, as clients write it, from bytes in any pieces. */
public final class ClientParser {
  /** The longest start-up packet, as PostgreSQL itself has it. */
  static final int LONGEST_STARTUP = 10_000;

  /** The longest message: a statement with its comment. */
  static final int LONGEST_MESSAGE = 1 << 16;

  private static final int PROTOCOL_3_0 = 3 << 16;
  private static final int CANCEL = 1234 << 16 | 5678;
  private static final int SSL = 1234 << 16 | 5679;
  private static final int GSS = 1234 << 16 | 5680;
  private static final int FIRST_ROOM = 512;

  private byte[] held = new byte[FIRST_ROOM];

  /** Read by other threads too, as a hint. */
  private volatile int length;

  private boolean started;
  private boolean broken;

  /** The bytes that it holds of messages not yet whole. */
  public int held() {
    return held.length;
  }

  public boolean isBroken() {
    return broken;
  }

  /** Whether part of a message has come and the rest has not; from any thread, as it was lately. */
  public boolean isInMessage() {
    return length > 0;
  }

  /** Takes nothing more, and says why. */
  public void refuse(String reason, Consumer<ClientMessage> messages) {
    if (!broken) {
      malformed(reason, messages);
      length = 0;
      held = new byte[0];
    }
  }

  /** Takes what has come and hands on each message that is whole. */
  public void take(ByteBuffer in, Consumer<ClientMessage> messages) {
    while (in.hasRemaining() && !broken) {
      int piece = Math.min(in.remaining(), LONGEST_MESSAGE);
      if (held.length - length < piece) {
        held = Arrays.copyOf(held, Math.max(length + piece, 2 * held.length));
      }
      in.get(held, length, piece);
      length += piece;
      int from = 0;
      for (int used = next(from, messages); used > 0 && !broken; used = next(from, messages)) {
        from += used;
      }
      System.arraycopy(held, from, held, 0, length - from);
      length -= from;
    }
    if (broken || length == 0 && held.length > FIRST_ROOM) {
      held = new byte[broken ? 0 : FIRST_ROOM];
      length = 0;
    }
  }

  /** Reads the message that starts here; its whole length, or 0 if it is not whole yet. */
  private int next(int from, Consumer<ClientMessage> messages) {
    int head = started ? 1 : 0;
    if (length - from < head + Integer.BYTES) {
      return 0;
    }
    int size = word(from + head);
    if (size < (started ? Integer.BYTES : 2 * Integer.BYTES)
        || size > (started ? LONGEST_MESSAGE : LONGEST_STARTUP)) {
      return malformed("a length of " + size, messages);
    }
    if (length - from < head + size) {
      return 0;
    }
    if (started) {
      message((char) held[from], from + 1 + Integer.BYTES, from + 1 + size, messages);
    } else {
      startup(from + Integer.BYTES, size, messages);
    }
    return head + size;
  }

  private void startup(int at, int size, Consumer<ClientMessage> messages) {
    int code = word(at);
    switch (code) {
      case PROTOCOL_3_0 -> {
        started = true;
        messages.accept(new ClientMessage.Startup());
      }
      case SSL, GSS -> messages.accept(new ClientMessage.EncryptionRequest());
      case CANCEL -> {
        if (size == 4 * Integer.BYTES) {
          messages.accept(new ClientMessage.Cancel(word(at + 4), word(at + 8)));
        } else {
          malformed("a cancel request of " + size + " bytes", messages);
        }
      }
      default -> malformed("start-up code " + code, messages);
    }
  }

  private void message(char type, int from, int to, Consumer<ClientMessage> messages) {
    switch (type) {
      case 'Q' -> {
        if (to == from || held[to - 1] != 0) {
          malformed("a query without its end", messages);
        } else {
          messages.accept(new ClientMessage.Query(Arrays.copyOfRange(held, from, to - 1)));
        }
      }
      case 'X' -> messages.accept(new ClientMessage.Terminate());
      case 'S' -> messages.accept(new ClientMessage.Sync());
      case 'P', 'B', 'D', 'E', 'C', 'F', 'H', 'd', 'c', 'f', 'p' ->
          messages.accept(new ClientMessage.Unspoken(type));
      default -> malformed("message type " + (int) type, messages);
    }
  }

  private int malformed(String reason, Consumer<ClientMessage> messages) {
    broken = true;
    messages.accept(new ClientMessage.Malformed(reason));
    return 0;
  }

  private int word(int at) {
    return ByteBuffer.wrap(held, at, Integer.BYTES).getInt();
  }
}
