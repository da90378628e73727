package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes what an engine is told, as RESP arrays of bulk strings. */
public final class EngineCommands {
  private EngineCommands() {}

  /**
   * Runs a statement, its bytes as they came.
   *
   * @param idempotencyKey by which engines know a repeat, or null
   */
  public static byte[] pull(
      String id, String requestClass, long timeToLiveMs, String idempotencyKey, byte[] statement) {
    String fields = "lane=" + requestClass + ",ttl=" + timeToLiveMs;
    String allFields = idempotencyKey == null ? fields : fields + ",dedupe=" + idempotencyKey;
    return array(bytes("PULL"), bytes(id), bytes(allFields), statement);
  }

  /** Gives a command up. */
  public static byte[] kill(String id) {
    return array(bytes("KILL"), bytes(id));
  }

  /** Asks for one further page. */
  public static byte[] scroll(String id, int page) {
    return array(bytes("SCROLL"), bytes(id), bytes(Integer.toString(page)));
  }

  /** Wants no more pages. */
  public static byte[] discard(String id) {
    return array(bytes("DISCARD"), bytes(id));
  }

  /** Asks whether the connection works. */
  public static byte[] echo(String tag) {
    return array(bytes("ECHO"), bytes(tag));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] array(byte[]... items) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    out.writeBytes(bytes("*" + items.length + "\r\n"));
    for (byte[] item : items) {
      out.writeBytes(bytes("$" + item.length + "\r\n"));
      out.writeBytes(item);
      out.writeBytes(bytes("\r\n"));
    }
    return out.toByteArray();
  }
}
