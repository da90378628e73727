package cobaltseam.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes the commands to engines as RESP arrays of bulk strings. */
public final class EngineCommands {
  private EngineCommands() {}

  /**
   * Encodes the command that runs a statement.
   *
   * @param id the id of the attempt
   * @param timeToLiveMs the time after which the engine no longer starts the attempt, in
   *     milliseconds
   * @param idempotencyKey the key by which engines recognise a retry, or null
   * @param statement the statement, whose bytes are forwarded unchanged
   */
  public static byte[] pull(
      String id, String requestClass, long timeToLiveMs, String idempotencyKey, byte[] statement) {
    String fields = "lane=" + requestClass + ",ttl=" + timeToLiveMs;
    String allFields = idempotencyKey == null ? fields : fields + ",dedupe=" + idempotencyKey;
    return array(bytes("PULL"), bytes(id), bytes(allFields), statement);
  }

  /** Encodes the command that cancels an attempt. */
  public static byte[] kill(String id) {
    return array(bytes("KILL"), bytes(id));
  }

  /** Encodes the command that requests one further page of a result. */
  public static byte[] scroll(String id, int page) {
    return array(bytes("SCROLL"), bytes(id), bytes(Integer.toString(page)));
  }

  /** Encodes the command that releases a result of which no further page is needed. */
  public static byte[] discard(String id) {
    return array(bytes("DISCARD"), bytes(id));
  }

  /** Encodes the health check of a connection; the response is {@link EngineResponse#ALIVE}. */
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
