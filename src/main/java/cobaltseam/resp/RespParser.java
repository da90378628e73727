package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** Takes RESP arrays of bulk strings from bytes in any pieces. */
public final class RespParser {
  private static final int MOST_ITEMS = 16;
  private static final int LONGEST_ARRAY = 1 << 16;
  private static final int LONGEST_LINE = 16;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(LONGEST_LINE);
  private List<byte[]> items = new ArrayList<>();
  private int awaited;

  /** Bytes that the items of this array may still have. */
  private int room;

  private byte[] item;
  private int filled;
  private String broken;

  /** Takes what has come, hands on each array that is whole; tells what is wrong, or null. */
  public String take(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    while (broken == null && in.hasRemaining()) {
      if (item != null) {
        bulk(in, arrays);
      } else {
        byte b = in.get();
        if (b != '\n') {
          line.write(b);
          broken = line.size() > LONGEST_LINE ? "a line too long" : null;
        } else {
          head(line.toByteArray());
          line.reset();
        }
      }
    }
    return broken;
  }

  /** A line that tells the items of an array or the bytes of an item. */
  private void head(byte[] told) {
    char type = awaited == 0 ? '*' : '$';
    int most = awaited == 0 ? MOST_ITEMS : room;
    int number = 0;
    boolean good = told.length > 2 && told[0] == type && told[told.length - 1] == '\r';
    for (int i = 1; good && i < told.length - 1; i++) {
      good = told[i] >= '0' && told[i] <= '9' && number <= most;
      number = number * 10 + told[i] - '0';
    }
    if (!good || number > most || awaited == 0 && number == 0) {
      broken = "not the head of an " + (awaited == 0 ? "array" : "item");
    } else if (awaited == 0) {
      awaited = number;
      room = LONGEST_ARRAY;
    } else {
      room -= number;
      item = new byte[number + 2];
      filled = 0;
    }
  }

  private void bulk(ByteBuffer in, Consumer<List<byte[]>> arrays) {
    int piece = Math.min(in.remaining(), item.length - filled);
    in.get(item, filled, piece);
    filled += piece;
    if (filled < item.length) {
      return;
    }
    if (item[filled - 2] != '\r' || item[filled - 1] != '\n') {
      broken = "an item without its end";
      return;
    }
    items.add(Arrays.copyOf(item, filled - 2));
    item = null;
    if (--awaited == 0) {
      List<byte[]> whole = items;
      items = new ArrayList<>();
      arrays.accept(whole);
    }
  }
}
