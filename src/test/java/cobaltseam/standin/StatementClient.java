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
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One session of a client, which sends simple queries one at a time and reads their outcomes. */
public final class StatementClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1000;

  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int CANCEL_REQUEST_BYTES = 16;

  private final InetSocketAddress address;
  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final DataOutputStream out;
  private String lastError = "";

  /** The key of the session, which a cancel request names. */
  private int sessionNumber;

  private int cancelSecret;

  /**
   * Connects and starts a session.
   *
   * @param timeoutMs how long the client waits for each answer
   */
  public StatementClient(InetSocketAddress address, int timeoutMs) throws IOException {
    this.address = address;
    try {
      socket.connect(address, CONNECT_TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = new DataOutputStream(socket.getOutputStream());
      out.write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0});
      readOutcome(null);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Sends a statement with an estimated work of 50 ms, and waits for its outcome. */
  public Outcome execute(String callId, String requestClass, int deadlineMs) {
    return execute(callId, requestClass, deadlineMs, 50);
  }

  /** Sends a statement with an estimate of its work, and waits for its outcome. */
  public Outcome execute(String callId, String requestClass, int deadlineMs, int workMs) {
    try {
      send(callId, requestClass, deadlineMs, workMs);
    } catch (IOException e) {
      return Outcome.DISCONNECTED;
    }
    return awaitOutcome();
  }

  /** Sends a statement without waiting for its outcome. */
  public void send(String callId, String requestClass, int deadlineMs, int workMs)
      throws IOException {
    writeQuery(
        "/* op=%s,call=%s,ttl=%d,org=acme,work=%d.0 */ SELECT a FROM s_1.t"
            .formatted(requestClass, callId, deadlineMs, workMs));
  }

  /** Sends a cancel request for the open statement, on a connection of its own. */
  public void cancel() throws IOException {
    try (Socket connection = new Socket()) {
      connection.connect(address, CONNECT_TIMEOUT_MS);
      connection
          .getOutputStream()
          .write(
              ByteBuffer.allocate(CANCEL_REQUEST_BYTES)
                  .putInt(CANCEL_REQUEST_BYTES)
                  .putInt(CANCEL_REQUEST_CODE)
                  .putInt(sessionNumber)
                  .putInt(cancelSecret)
                  .array());
    }
  }

  /** Waits for the outcome of the statement that was sent last. */
  public Outcome awaitOutcome() {
    try {
      return readOutcome(null);
    } catch (SocketTimeoutException e) {
      return Outcome.TIMED_OUT;
    } catch (IOException e) {
      return Outcome.DISCONNECTED;
    }
  }

  /**
   * Returns the rows of SHOW cobaltseam.NAME, each as a name and a value.
   *
   * @throws ShowFailedException if the answer is an error, or a table without rows
   */
  public Map<String, String> show(String name) throws IOException {
    writeQuery("SHOW cobaltseam." + name);
    Map<String, String> rows = new LinkedHashMap<>();
    Outcome outcome = readOutcome(rows);
    if (outcome != Outcome.ANSWERED || rows.isEmpty()) {
      throw new ShowFailedException(name, outcome, lastError);
    }
    return rows;
  }

  /** Returns the SQLSTATE and the message of the last error, or an empty string. */
  public String lastError() {
    return lastError;
  }

  private void writeQuery(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    DataOutputStream encoder = new DataOutputStream(message);
    encoder.write('Q');
    encoder.writeInt(bytes.length + 5);
    encoder.write(bytes);
    encoder.write(0);
    out.write(message.toByteArray());
  }

  /** Reads to the end of an answer, and adds its rows to a map unless that is null. */
  private Outcome readOutcome(Map<String, String> rows) throws IOException {
    Outcome outcome = Outcome.DISCONNECTED;
    while (true) {
      char type = (char) in.readByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      switch (type) {
        case 'Z' -> {
          return outcome;
        }
        case 'K' -> {
          ByteBuffer key = ByteBuffer.wrap(body);
          sessionNumber = key.getInt();
          cancelSecret = key.getInt();
        }
        case 'C' -> outcome = Outcome.ANSWERED;
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
          String sqlState = text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
          lastError = sqlState + " " + text.substring(text.indexOf("\0M") + 2).strip();
          outcome =
              sqlState.equals("57P03")
                  ? Outcome.REJECTED
                  : sqlState.startsWith("53") ? Outcome.SHED : Outcome.FAILED;
          if (text.startsWith("SFATAL")) {
            return outcome;
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
