import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One session of a client: simple queries, one at a time. */
final class Client implements AutoCloseable {
  /** How a request ended: served, refused, failed, or without an answer. */
  record Outcome(String word, String detail, long sentAtMs, long endedAtMs) {}

  /** The size of the receive buffer of later sessions; 0 for the default of the system. */
  static volatile int receiveBufferBytes;

  final Socket socket = new Socket();
  private final DataInputStream in;

  Client(InetSocketAddress address) throws IOException {
    socket.setTcpNoDelay(true);
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.connect(address, 2000);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    ByteArrayOutputStream startup = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(startup);
    byte[] parameters = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    out.writeInt(8 + parameters.length);
    out.writeInt(3 << 16);
    out.write(parameters);
    socket.getOutputStream().write(startup.toByteArray());
    socket.setSoTimeout(5000);
    read();
  }

  void write(String statement) throws IOException {
    byte[] text = statement.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(message);
    out.write('Q');
    out.writeInt(text.length + 5);
    out.write(text);
    out.write(0);
    socket.getOutputStream().write(message.toByteArray());
  }

  /** Sends a request and waits for its answer, up to its time and some more. */
  Outcome call(String op, String call, int ttlMs, double workMs, int patienceMs) {
    long sentAt = Stand.ms();
    Stand.note("client sends " + call + " op=" + op + " ttl=" + ttlMs);
    Outcome outcome;
    try {
      socket.setSoTimeout(patienceMs);
      write(
          "/* op=%s,call=%s,ttl=%d,org=acme,work=%.1f */ SELECT a, b, c FROM s_1.t"
              .formatted(op, call, ttlMs, workMs));
      sentAt = Stand.ms();
      String[] word = read();
      outcome = new Outcome(word[0], word[1], sentAt, Stand.ms());
    } catch (SocketTimeoutException e) {
      outcome = new Outcome("silent", "no answer", sentAt, Stand.ms());
    } catch (IOException e) {
      outcome = new Outcome("closed", e.toString(), sentAt, Stand.ms());
    }
    Stand.note("client has for " + call + ": " + outcome.word() + " " + outcome.detail());
    return outcome;
  }

  /** Reads up to the next ReadyForQuery; returns how it ended and the rows or the error. */
  String[] read() throws IOException {
    String word = "closed";
    StringBuilder detail = new StringBuilder();
    while (true) {
      char type = (char) in.readUnsignedByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      if (type == 'Z') {
        return new String[] {word, detail.toString()};
      } else if (type == 'C') {
        word = "served";
      } else if (type == 'I') {
        word = "empty";
      } else if (type == 'D') {
        DataInputStream row = new DataInputStream(new java.io.ByteArrayInputStream(body));
        for (int left = row.readShort(); left > 0; left--) {
          detail.append(new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8));
          detail.append(left == 1 ? '\n' : '\t');
        }
      } else if (type == 'E') {
        String text = new String(body, StandardCharsets.UTF_8);
        String state = text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
        word = state.startsWith("53") || state.equals("57P03") ? "refused" : "failed";
        detail.append(text.replace('\0', ' '));
        if (text.startsWith("SFATAL")) {
          return new String[] {word, detail.toString()};
        }
      }
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      Stand.note("a client can't close: " + e.getMessage());
    }
  }
}
