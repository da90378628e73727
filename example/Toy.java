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
 * One engine and one event bus for a first try, both on loopback. Each statement is answered with
 * two rows, the second on a further page. Start it with: java example/Toy.java
 */
public final class Toy {
  private static final int ENGINE = 6001;
  private static final int BUS = 7070;

  private interface Talk {
    void with(DataInputStream in, OutputStream out) throws IOException, InterruptedException;
  }

  public static void main(String[] args) throws IOException {
    new Thread(() -> listen(ENGINE, Toy::engine)).start();
    new Thread(() -> listen(BUS, Toy::bus)).start();
    System.out.println("engine on 127.0.0.1:" + ENGINE + ", event bus on 127.0.0.1:" + BUS);
  }

  private static void listen(int port, Talk talk) {
    try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"))) {
      while (true) {
        Socket socket = server.accept();
        new Thread(
                () -> {
                  try (socket) {
                    talk.with(
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

  /** Tells every second that nothing has changed since the one event of the configuration. */
  private static void bus(DataInputStream in, OutputStream out)
      throws IOException, InterruptedException {
    System.out.println("event bus: " + line(in));
    while (true) {
      out.write("1\n".getBytes(StandardCharsets.UTF_8));
      Thread.sleep(1000);
    }
  }

  private static void engine(DataInputStream in, OutputStream out) throws IOException {
    while (true) {
      List<String> items = new ArrayList<>();
      for (int left = Integer.parseInt(line(in).substring(1)); left > 0; left--) {
        byte[] item = in.readNBytes(Integer.parseInt(line(in).substring(1)));
        line(in);
        items.add(new String(item, StandardCharsets.UTF_8));
      }
      System.out.println("engine: " + items);
      String id = items.get(1);
      switch (items.get(0)) {
        case "PULL" ->
            answer(
                out, id, "200", "pages=2,rep=pending:0;busy_reqs:1", "hello\tfrom\t" + id + "\n");
        case "SCROLL" ->
            answer(
                out, id, "chunk", "page=" + items.get(2), "this\tis\tpage " + items.get(2) + "\n");
        case "ECHO" -> answer(out, id, "alive", "-", "");
        default -> {}
      }
    }
  }

  private static void answer(OutputStream out, String... items) throws IOException {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$')
          .append(item.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(item)
          .append("\r\n");
    }
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      line.append(c);
    }
    return line.toString().strip();
  }
}
