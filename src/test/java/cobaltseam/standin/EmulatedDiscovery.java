package cobaltseam.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An emulated event bus on loopback: sends each client the events that it lacks, and the last
 * offset every 200 ms.
 */
public final class EmulatedDiscovery implements AutoCloseable {
  private static final int BEAT_MS = 200;

  private final ServerSocket server;
  private final List<String> events = new ArrayList<>();
  private volatile boolean silent;

  /** Starts an event bus on a free port of this host. */
  public EmulatedDiscovery(String host) throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 64);
    EmulatedEngine.thread(this::accept).start();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** One engine's entry in an event. */
  public static String endpointJson(int engine, InetSocketAddress at, String state) {
    return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s:%d\",\"az\":\"z\",\"model\":\"m\",\"state\":\"%s\",\"boot_ms\":0}"
        .formatted(engine, at.getAddress().getHostAddress(), at.getPort(), state);
  }

  /** Publishes an event. Returns its text, for a configuration that holds it already. */
  public synchronized String publish(boolean whole, String... targets) {
    events.add(
        "{\"offset\":%d,\"topology\":{\"rev\":%d,\"all\":%b,\"targets\":[%s]}}"
            .formatted(events.size() + 1, events.size() + 1, whole, String.join(",", targets)));
    notifyAll();
    return events.get(events.size() - 1);
  }

  /** From now on it sends nothing, or sends again. */
  public synchronized void setSilent(boolean now) {
    silent = now;
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        EmulatedEngine.thread(() -> serve(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String asked = EmulatedEngine.line(new DataInputStream(socket.getInputStream()));
      int told = Integer.parseInt(asked.substring(asked.indexOf(' ') + 1));
      OutputStream out = socket.getOutputStream();
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          if (told == events.size()) {
            wait(BEAT_MS);
          }
          if (silent) {
            continue;
          }
          for (; told < events.size(); told++) {
            text.append(events.get(told)).append('\n');
          }
          text.append(told).append('\n');
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    } catch (IOException e) {
      // The client has disconnected.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
