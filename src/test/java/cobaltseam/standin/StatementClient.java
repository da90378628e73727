package cobaltseam.standin;

import cobaltseam.standin.RequestLedger.Outcome;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One session of a client: sends simple queries one at a time, and reads the outcome of each. */
public final class StatementClient implements AutoCloseable {
  private static final int CONNECT_MS = 1000;

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final DataOutputStream out;
  private String lastError = "";

  /** Connects and starts a session; an answer is awaited for at most this many milliseconds. */
  public StatementClient(InetSocketAddress to, int waitMs) throws IOException {
    try {
      socket.connect(to, CONNECT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(waitMs);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = new DataOutputStream(socket.getOutputStream());
      out.write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0});
      read(null);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Writes a statement and waits for its outcome. */
  public Outcome execute(String call, String profile, int ttlMs) {
    return execute(call, profile, ttlMs, 50);
  }

  /** Writes a statement with this estimate of its work, and waits for its outcome. */
  public Outcome execute(String call, String profile, int ttlMs, int workMs) {
    try {
      send(call, profile, ttlMs, workMs);
    } catch (IOException e) {
      return Outcome.DISCONNECTED;
    }
    return awaitOutcome();
  }

  /** Writes a statement. */
  public void send(String call, String profile, int ttlMs, int workMs) throws IOException {
    write(
        "/* op=%s,call=%s,ttl=%d,org=acme,work=%d.0 */ SELECT a FROM s_1.t"
            .formatted(profile, call, ttlMs, workMs));
  }

  /** Waits for the outcome of the statement that was written last. */
  public Outcome awaitOutcome() {
    try {
      return read(null);
    } catch (SocketTimeoutException e) {
      return Outcome.TIMED_OUT;
    } catch (IOException e) {
      return Outcome.DISCONNECTED;
    }
  }

  /**
   * The rows of SHOW cobaltseam.NAME.
   *
   * @throws ShowFailedException if the answer is an error, or a table without rows
   */
  public Map<String, String> show(String name) throws IOException {
    write("SHOW cobaltseam." + name);
    Map<String, String> rows = new LinkedHashMap<>();
    Outcome outcome = read(rows);
    if (outcome != Outcome.ANSWERED || rows.isEmpty()) {
      throw new ShowFailedException(name, outcome, lastError);
    }
    return rows;
  }

  /** The SQLSTATE and text of the last error. */
  public String lastError() {
    return lastError;
  }

  private void write(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(whole);
    to.write('Q');
    to.writeInt(bytes.length + 5);
    to.write(bytes);
    to.write(0);
    out.write(whole.toByteArray());
  }

  private Outcome read(Map<String, String> rows) throws IOException {
    Outcome end = Outcome.DISCONNECTED;
    while (true) {
      char type = (char) in.readByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      switch (type) {
        case 'Z' -> {
          return end;
        }
        case 'C' -> end = Outcome.ANSWERED;
        case 'D' -> {
          if (rows != null) {
            DataInputStream row = new DataInputStream(new java.io.ByteArrayInputStream(body));
            row.readShort();
            String name = new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8);
            rows.put(name, new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8));
          }
        }
        case 'E' -> {
          String text = new String(body, StandardCharsets.UTF_8);
          String state = text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
          lastError = state + " " + text.substring(text.indexOf("\0M") + 2).strip();
          end =
              state.equals("57P03")
                  ? Outcome.REJECTED
                  : state.startsWith("53") ? Outcome.SHED : Outcome.FAILED;
          if (text.startsWith("SFATAL")) {
            return end;
          }
        }
        default -> {}
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
