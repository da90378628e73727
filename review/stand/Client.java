package stand;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A client by PROTOCOL.md: PostgreSQL protocol 3.0, simple queries, one at a time. */
public final class Client implements AutoCloseable {
  /**
   * How a request ended: "served", "refused CODE", "failed CODE", "closed" (the connection ended
   * with no whole answer), or "silent" (nothing came in the time that the client waited).
   */
  public record Outcome(String kind, String text) {
    public boolean isFinal() {
      return !kind.equals("closed") && !kind.equals("silent");
    }
  }

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final OutputStream out;
  private int session;
  private int secret;

  public Client(InetSocketAddress address, int limitMs) throws IOException {
    this(address, limitMs, true);
  }

  public Client(InetSocketAddress address, int limitMs, boolean startsUp) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(limitMs);
    try {
      socket.connect(address, limitMs);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = socket.getOutputStream();
      if (startsUp) {
        out.write(startup());
        Outcome outcome = read();
        if (!outcome.kind.equals("ready")) {
          throw new IOException("no session: " + outcome.kind);
        }
      }
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  private static byte[] startup() {
    byte[] body = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(8 + body.length).putInt(8 + body.length).putInt(3 << 16).put(body).array();
  }

  public static String statement(String requestClass, String call, int ttlMs) {
    return "/* op=" + requestClass + ",call=" + call + ",ttl=" + ttlMs
        + ",org=acme,work=20.0,space=1 */ SELECT day FROM sales_17.orders";
  }

  public static byte[] query(String statement) {
    byte[] text = statement.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(6 + text.length).put((byte) 'Q').putInt(5 + text.length).put(text).put((byte) 0).array();
  }

  public void write(byte[] bytes, int from, int to) throws IOException {
    out.write(bytes, from, to - from);
    out.flush();
  }

  public Outcome execute(String statement) throws IOException {
    try {
      out.write(query(statement));
    } catch (IOException e) {
      return new Outcome("closed", String.valueOf(e.getMessage()));
    }
    return read();
  }

  /** Reads up to the next ReadyForQuery. */
  public Outcome read() {
    Outcome outcome = new Outcome("ready", "");
    StringBuilder rows = new StringBuilder();
    try {
      while (true) {
        int type = in.read();
        if (type < 0) {
          return outcome.kind.equals("ready") ? new Outcome("closed", "end of stream") : outcome;
        }
        byte[] body = in.readNBytes(in.readInt() - 4);
        switch (type) {
          case 'K' -> {
            session = ByteBuffer.wrap(body).getInt();
            secret = ByteBuffer.wrap(body).getInt(4);
          }
          case 'D' -> rows.append(row(body)).append('\n');
          case 'C' -> outcome = new Outcome("served", rows.toString());
          case 'I' -> outcome = new Outcome("empty", "");
          case 'E' -> outcome = error(body);
          case 'Z' -> {
            return outcome;
          }
          default -> {}
        }
      }
    } catch (SocketTimeoutException e) {
      return new Outcome("silent", "");
    } catch (IOException e) {
      return outcome.kind.equals("ready") ? new Outcome("closed", String.valueOf(e.getMessage())) : outcome;
    }
  }

  private static String row(byte[] body) {
    ByteBuffer in = ByteBuffer.wrap(body);
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int columns = in.getShort(); columns > 0; columns--) {
      byte[] column = new byte[in.getInt()];
      in.get(column);
      text.writeBytes(column);
      text.write(columns > 1 ? '\t' : ' ');
    }
    return text.toString(StandardCharsets.UTF_8).strip();
  }

  private static Outcome error(byte[] body) {
    String code = "";
    String message = "";
    for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
      code = field.startsWith("C") ? field.substring(1) : code;
      message = field.startsWith("M") ? field.substring(1) : message;
    }
    boolean isRefusal = code.startsWith("53") || code.equals("57P03");
    return new Outcome((isRefusal ? "refused " : "failed ") + code, message);
  }

  public int session() {
    return session;
  }

  public int secret() {
    return secret;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
