import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a minimal engine and a minimal event bus on loopback, for {@code example/first-try.sh}. The
 * engine answers each query with two rows, the second one on a separate page. Usage: {@code java
 * example/Toy.java}.
 */
public final class Toy {
  private static final int ENGINE_PORT = 6001;
  private static final int EVENT_BUS_PORT = 7070;

  private interface ConnectionHandler {
    void handle(DataInputStream in, OutputStream out) throws IOException, InterruptedException;
  }

  public static void main(String[] args) throws IOException {
    new Thread(() -> listen(ENGINE_PORT, Toy::serveEngine)).start();
    new Thread(() -> listen(EVENT_BUS_PORT, Toy::serveEventBus)).start();
    System.out.println(
        "engine on 127.0.0.1:" + ENGINE_PORT + ", event bus on 127.0.0.1:" + EVENT_BUS_PORT);
  }

  private static void listen(int port, ConnectionHandler handler) {
    try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"))) {
      while (true) {
        Socket socket = server.accept();
        new Thread(
                () -> {
                  try (socket) {
                    handler.handle(
                        new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                  } catch (IOException | InterruptedException e) {
                    System.out.println("a connection to " + port + " ended");
                  }
                })
            .start();
      }
    } catch (IOException e) {
      System.err.println("port " + port + ": " + e.getMessage());
    }
  }

  /** Sends a heartbeat every second, with the offset of the one event in the configuration. */
  private static void serveEventBus(DataInputStream in, OutputStream out)
      throws IOException, InterruptedException {
    System.out.println("event bus: " + readLine(in));
    while (true) {
      out.write("1\n".getBytes(StandardCharsets.UTF_8));
      Thread.sleep(1000);
    }
  }

  private static void serveEngine(DataInputStream in, OutputStream out) throws IOException {
    while (true) {
      List<String> items = new ArrayList<>();
      for (int count = Integer.parseInt(readLine(in).substring(1)); count > 0; count--) {
        byte[] item = in.readNBytes(Integer.parseInt(readLine(in).substring(1)));
        readLine(in);
        items.add(new String(item, StandardCharsets.UTF_8));
      }
      System.out.println("engine: " + items);
      String id = items.get(1);
      switch (items.get(0)) {
        case "PULL" ->
            writeAnswer(
                out, id, "200", "pages=2,rep=pending:0;busy_reqs:1", "hello\tfrom\t" + id + "\n");
        case "SCROLL" ->
            writeAnswer(
                out, id, "chunk", "page=" + items.get(2), "this\tis\tpage " + items.get(2) + "\n");
        case "ECHO" -> writeAnswer(out, id, "alive", "-", "");
        default -> {}
      }
    }
  }

  private static void writeAnswer(OutputStream out, String... items) throws IOException {
    StringBuilder answer = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      answer
          .append('$')
          .append(item.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(item)
          .append("\r\n");
    }
    out.write(answer.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static String readLine(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      line.append(c);
    }
    return line.toString().strip();
  }
}
