package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes the commands for engines, as RESP arrays of bulk strings. */
public final class EngineCommands {
  private EngineCommands() {}

  /**
   * Runs a statement, whose bytes are passed on unchanged.
   *
   * @param id of the attempt
   * @param timeToLiveMs after which the engine no longer starts it, in milliseconds
   * @param idempotencyKey by which engines recognise a retry, or null
   */
  public static byte[] pull(
      String id, String requestClass, long timeToLiveMs, String idempotencyKey, byte[] statement) {
    String fields = "lane=" + requestClass + ",ttl=" + timeToLiveMs;
    String allFields = idempotencyKey == null ? fields : fields + ",dedupe=" + idempotencyKey;
    return array(bytes("PULL"), bytes(id), bytes(allFields), statement);
  }

  /** Cancels an attempt. */
  public static byte[] kill(String id) {
    return array(bytes("KILL"), bytes(id));
  }

  /** Requests one further page of a result. */
  public static byte[] scroll(String id, int page) {
    return array(bytes("SCROLL"), bytes(id), bytes(Integer.toString(page)));
  }

  /** Releases a result of which no more pages are needed. */
  public static byte[] discard(String id) {
    return array(bytes("DISCARD"), bytes(id));
  }

  /** Checks the health of the connection. */
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
