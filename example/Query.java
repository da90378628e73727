import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends queries to a dispatcher with the simple query protocol of PostgreSQL and prints the rows,
 * for machines without psql. Usage: {@code java example/Query.java PORT QUERY...}. Waits up to 30 s
 * for the port to open.
 */
public final class Query {
  private static final int PROTOCOL_VERSION = 196_608;
  private static final int CONNECT_ATTEMPTS = 300;
  private static final int CONNECT_RETRY_DELAY_MS = 100;

  private Query() {}

  public static void main(String[] args) throws Exception {
    try (Socket socket = connect(Integer.parseInt(args[0]))) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      byte[] parameters = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.UTF_8);
      out.writeInt(parameters.length + 8);
      out.writeInt(PROTOCOL_VERSION);
      out.write(parameters);
      readUntilReady(in);
      for (int i = 1; i < args.length; i++) {
        byte[] query = (args[i] + "\0").getBytes(StandardCharsets.UTF_8);
        out.writeByte('Q');
        out.writeInt(query.length + 4);
        out.write(query);
        readUntilReady(in);
      }
    }
  }

  private static Socket connect(int port) throws Exception {
    for (int attempt = 1; ; attempt++) {
      try {
        return new Socket("127.0.0.1", port);
      } catch (IOException e) {
        if (attempt == CONNECT_ATTEMPTS) {
          throw e;
        }
        Thread.sleep(CONNECT_RETRY_DELAY_MS);
      }
    }
  }

  /** Prints data rows and error responses until ReadyForQuery is received. */
  private static void readUntilReady(DataInputStream in) throws IOException {
    while (true) {
      int type = in.readUnsignedByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      if (type == 'D') {
        System.out.println(String.join(" | ", columns(body)));
      } else if (type == 'E') {
        System.out.println(new String(body, StandardCharsets.UTF_8).replace('\0', ' '));
      } else if (type == 'Z') {
        return;
      }
    }
  }

  private static List<String> columns(byte[] row) {
    List<String> columns = new ArrayList<>();
    int position = 2;
    while (position < row.length) {
      int length = java.nio.ByteBuffer.wrap(row, position, 4).getInt();
      columns.add(
          length < 0 ? "null" : new String(row, position + 4, length, StandardCharsets.UTF_8));
      position += 4 + Math.max(0, length);
    }
    return columns;
  }
}
