package stand;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The event bus by PROTOCOL.md: numbered events to each watch, and the last number every second. */
public final class Bus implements AutoCloseable {
  private final ServerSocket server;
  private final List<String> events = new ArrayList<>();

  public Bus(String host) throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getByName(host));
    Engine.daemon(this::accept);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  public static String target(int number, InetSocketAddress address, String state) {
    return String.format(
        "{\"uid\":\"s-%08x\",\"endpoint\":\"%s:%d\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":0,"
            + "\"state\":\"%s\",\"capacity_hint\":1,\"boot_ms\":0}",
        number, address.getAddress().getHostAddress(), address.getPort(), state);
  }

  /** Adds an event and returns it as JSON. */
  public synchronized String publish(boolean all, String... targets) {
    int number = events.size() + 1;
    String event =
        "{\"offset\":" + number + ",\"topology\":{\"rev\":" + number + ",\"all\":" + all
            + ",\"targets\":[" + String.join(",", targets) + "]}}";
    events.add(event);
    notifyAll();
    return event;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Engine.daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String from =
          new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
              .readLine();
      int next = Integer.parseInt(from.substring("from ".length()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          while (next < events.size()) {
            text.append(events.get(next++)).append('\n');
          }
          text.append(next).append('\n');
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        synchronized (this) {
          wait(1000);
        }
      }
    } catch (IOException | InterruptedException | RuntimeException e) {
      return;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
