package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parses RESP arrays of bulk strings from a byte stream that may be split anywhere. The memory that
 * a peer can make it use is bounded. Parsing stops at the first error. Not thread-safe.
 */
public final class RespParser {
  private static final int MAX_ITEMS = 16;
  private static final int MAX_ARRAY_BYTES = 1 << 16;
  private static final int MAX_LINE_BYTES = 16;

  /** The bytes received of a header line. */
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(MAX_LINE_BYTES);

  /** The items received of the current array. */
  private List<byte[]> items = new ArrayList<>();

  /** The number of items of the current array not received yet; 0 between arrays. */
  private int remainingItems;

  /** The maximum total length of the remaining items of the current array. */
  private int remainingBytes;

  /** The item being received, with its CRLF; null while a header line is being received. */
  private byte[] item;

  /** The number of bytes received of {@link #item}. */
  private int receivedBytes;

  /** The error that has stopped parsing, or null. */
  private String error;

  /**
   * Parses received bytes and passes on each complete array.
   *
   * @return the error that has stopped parsing, or null
   */
  public String parse(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    while (error == null && in.hasRemaining()) {
      if (item != null) {
        readItem(in, arrays);
      } else {
        byte next = in.get();
        if (next != '\n') {
          line.write(next);
          error =
              line.size() > MAX_LINE_BYTES
                  ? "header line of more than " + MAX_LINE_BYTES + " bytes"
                  : null;
        } else {
          parseHeader(line.toByteArray());
          line.reset();
        }
      }
    }
    return error;
  }

  /** Parses a header line: the number of items of an array, or of bytes of an item. */
  private void parseHeader(byte[] header) {
    char type = remainingItems == 0 ? '*' : '$';
    int max = remainingItems == 0 ? MAX_ITEMS : remainingBytes;
    int number = 0;
    boolean isValid = header.length > 2 && header[0] == type && header[header.length - 1] == '\r';
    for (int i = 1; isValid && i < header.length - 1; i++) {
      isValid = header[i] >= '0' && header[i] <= '9' && number <= max;
      number = number * 10 + header[i] - '0';
    }
    if (!isValid || number > max || remainingItems == 0 && number == 0) {
      error = "invalid header of " + (remainingItems == 0 ? "an array" : "a bulk string");
    } else if (remainingItems == 0) {
      remainingItems = number;
      remainingBytes = MAX_ARRAY_BYTES;
    } else {
      remainingBytes -= number;
      item = new byte[number + 2];
      receivedBytes = 0;
    }
  }

  private void readItem(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    int chunkBytes = Math.min(in.remaining(), item.length - receivedBytes);
    in.get(item, receivedBytes, chunkBytes);
    receivedBytes += chunkBytes;
    if (receivedBytes < item.length) {
      return;
    }
    if (item[receivedBytes - 2] != '\r' || item[receivedBytes - 1] != '\n') {
      error = "bulk string without its terminating CRLF";
      return;
    }
    items.add(Arrays.copyOf(item, receivedBytes - 2));
    item = null;
    if (--remainingItems == 0) {
      List<byte[]> complete = items;
      items = new ArrayList<>();
      arrays.accept(complete);
    }
  }
}
