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
 * An emulated discovery service on loopback. Each client states the offset of its last event and
 * receives the events that follow, and a heartbeat with the last offset every 200 ms.
 */
public final class EmulatedDiscovery implements AutoCloseable {
  private static final int HEARTBEAT_MS = 200;

  private final ServerSocket server;
  private final List<String> events = new ArrayList<>();
  private volatile boolean silent;

  /** Starts a discovery service on a free port of a host. */
  public EmulatedDiscovery(String host) throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 64);
    EmulatedEngine.daemonThread(this::accept).start();
  }

  /** Returns the address that the service listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns one engine's entry in an event, as JSON. */
  public static String endpointJson(int engine, InetSocketAddress address, String state) {
    return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s:%d\",\"az\":\"z\",\"model\":\"m\",\"state\":\"%s\",\"boot_ms\":0}"
        .formatted(engine, address.getAddress().getHostAddress(), address.getPort(), state);
  }

  /**
   * Publishes an event.
   *
   * @param isFullList whether the event replaces the endpoint list, or only updates some endpoints
   * @return the text of the event, for a configuration with events that are known at the start
   */
  public synchronized String publish(boolean isFullList, String... endpoints) {
    events.add(
        "{\"offset\":%d,\"topology\":{\"rev\":%d,\"all\":%b,\"targets\":[%s]}}"
            .formatted(
                events.size() + 1, events.size() + 1, isFullList, String.join(",", endpoints)));
    notifyAll();
    return events.get(events.size() - 1);
  }

  /** Sets whether the service sends nothing, neither events nor heartbeats. */
  public synchronized void setSilent(boolean isSilent) {
    silent = isSilent;
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        EmulatedEngine.daemonThread(() -> serve(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String request = EmulatedEngine.readLine(new DataInputStream(socket.getInputStream()));
      int sentOffset = Integer.parseInt(request.substring(request.indexOf(' ') + 1));
      OutputStream out = socket.getOutputStream();
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          if (sentOffset == events.size()) {
            wait(HEARTBEAT_MS);
          }
          if (silent) {
            continue;
          }
          for (; sentOffset < events.size(); sentOffset++) {
            text.append(events.get(sentOffset)).append('\n');
          }
          text.append(sentOffset).append('\n');
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
