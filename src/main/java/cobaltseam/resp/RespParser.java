package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parses RESP arrays of bulk strings from bytes in any pieces. What a peer can make it store is
 * bounded. After an error nothing more is parsed. Not thread-safe.
 */
public final class RespParser {
  private static final int MAX_ITEMS = 16;
  private static final int MAX_ARRAY_BYTES = 1 << 16;
  private static final int MAX_LINE_BYTES = 16;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(MAX_LINE_BYTES);
  private List<byte[]> items = new ArrayList<>();
  private int missingItems;

  /** Bytes that the remaining items of this array may have. */
  private int remainingBytes;

  private byte[] item;
  private int receivedBytes;
  private String error;

  /**
   * Parses received bytes, and passes on each complete array.
   *
   * @return what is wrong, or null
   */
  public String parse(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    while (error == null && in.hasRemaining()) {
      if (item != null) {
        readItem(in, arrays);
      } else {
        byte next = in.get();
        if (next != '\n') {
          line.write(next);
          error = line.size() > MAX_LINE_BYTES ? "a line too long" : null;
        } else {
          parseHeader(line.toByteArray());
          line.reset();
        }
      }
    }
    return error;
  }

  /** Parses a line with the number of items of an array, or of bytes of an item. */
  private void parseHeader(byte[] header) {
    char type = missingItems == 0 ? '*' : '$';
    int max = missingItems == 0 ? MAX_ITEMS : remainingBytes;
    int number = 0;
    boolean valid = header.length > 2 && header[0] == type && header[header.length - 1] == '\r';
    for (int i = 1; valid && i < header.length - 1; i++) {
      valid = header[i] >= '0' && header[i] <= '9' && number <= max;
      number = number * 10 + header[i] - '0';
    }
    if (!valid || number > max || missingItems == 0 && number == 0) {
      error = "not the head of an " + (missingItems == 0 ? "array" : "item");
    } else if (missingItems == 0) {
      missingItems = number;
      remainingBytes = MAX_ARRAY_BYTES;
    } else {
      remainingBytes -= number;
      item = new byte[number + 2];
      receivedBytes = 0;
    }
  }

  private void readItem(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    int piece = Math.min(in.remaining(), item.length - receivedBytes);
    in.get(item, receivedBytes, piece);
    receivedBytes += piece;
    if (receivedBytes < item.length) {
      return;
    }
    if (item[receivedBytes - 2] != '\r' || item[receivedBytes - 1] != '\n') {
      error = "an item without its end";
      return;
    }
    items.add(Arrays.copyOf(item, receivedBytes - 2));
    item = null;
    if (--missingItems == 0) {
      List<byte[]> complete = items;
      items = new ArrayList<>();
      arrays.accept(complete);
    }
  }
}
