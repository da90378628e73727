import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The event bus: numbered events of the list of engines, and the last number every second. */
final class Bus {
  private final ServerSocket server = new ServerSocket();
  private final List<String> events = new ArrayList<>();

  /** How long a connection waits for its first line from now on, in milliseconds. */
  volatile long firstLineDelayMs;

  /** How late events are told, in milliseconds; the number of the last one is told in time. */
  volatile long eventDelayMs;

  private final List<Long> publishedAtMs = new ArrayList<>();

  Bus(String host) throws IOException {
    server.bind(Stand.freeAddress(host), 64);
    Stand.daemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  static String target(String uid, InetSocketAddress address, String state, long bootMs) {
    return target(uid, address, state, bootMs, 0);
  }

  /** An engine of a cell, which is a group of engines that drop each other's repeats. */
  static String target(
      String uid, InetSocketAddress address, String state, long bootMs, int cell) {
    return String.format(
        "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"z\",\"model\":\"m\",\"pod_group\":%d,"
            + "\"state\":\"%s\",\"capacity_hint\":1,\"boot_ms\":%d}",
        uid, Stand.text(address), cell, state, bootMs);
  }

  /** Adds an event and returns its text. */
  synchronized String publish(boolean whole, String... targets) {
    int number = events.size() + 1;
    String event =
        String.format(
            "{\"offset\":%d,\"topology\":{\"rev\":%d,\"all\":%b,\"targets\":[%s]}}",
            number, number, whole, String.join(",", targets));
    events.add(event);
    publishedAtMs.add(Stand.ms());
    Stand.note("bus has event " + event);
    notifyAll();
    return event;
  }

  /** The events so far, as a configuration has them under "known". */
  synchronized String known() {
    return String.format(
        "{\"offset\":%d,\"batch\":[%s]}", events.size(), String.join(",", events));
  }

  /** Whether an event, counted from 0, may be told now. */
  private boolean isDue(int event) {
    return event == 0 || Stand.ms() >= publishedAtMs.get(event) + eventDelayMs;
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        Stand.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    String peer = "watch from port " + socket.getPort();
    try (socket) {
      socket.setTcpNoDelay(true);
      String line =
          new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
              .readLine();
      if (line == null) {
        return;
      }
      int next = Integer.parseInt(line.substring(line.indexOf(' ') + 1).strip());
      Stand.note("bus: " + peer + " asks: " + line);
      long delay = firstLineDelayMs;
      Stand.sleep(delay);
      OutputStream out = socket.getOutputStream();
      long nextNumberAt = Stand.ms();
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          while (next < events.size() && isDue(next)) {
            text.append(events.get(next++)).append('\n');
          }
          if (Stand.ms() >= nextNumberAt || text.length() > 0 && next == events.size()) {
            text.append(events.size()).append('\n');
            nextNumberAt = Stand.ms() + 1000;
          }
        }
        out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
        out.flush();
        if (delay > 0) {
          Stand.note("bus: " + peer + " is told, up to " + next);
          delay = 0;
        }
        synchronized (this) {
          while (!(next < events.size() && isDue(next)) && Stand.ms() < nextNumberAt) {
            wait(Math.max(1, Math.min(50, nextNumberAt - Stand.ms())));
          }
        }
      }
    } catch (IOException e) {
      Stand.note("bus: " + peer + " is gone (" + e.getMessage() + ")");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
