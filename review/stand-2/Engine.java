import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** An engine that runs each request for some time and answers it by a rule of the case. */
final class Engine {
  /** An attempt that has come whole. */
  record Arrival(long atMs, String engine, String call, String lane, long ttlMs, int number) {}

  /** What an engine does with an attempt: it answers with this word after this time. */
  record Reply(String word, long afterMs, String rows) {}

  /** Decides on an attempt. */
  interface Rule {
    Reply reply(Arrival arrival);
  }

  private static final int MAX_PAGE_BYTES = 6000;

  /** Its name in the record; a new engine at the same address has another one. */
  volatile String name;

  final ServerSocket server = new ServerSocket();
  final ConcurrentLinkedQueue<Arrival> arrivals;
  volatile Rule rule = arrival -> new Reply("200", 20, "a\t" + arrival.call() + "\tx\n");

  /** Whether connections are accepted now; if not they wait in the backlog. */
  volatile boolean accepts = true;

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<String, List<String>> results = new ConcurrentHashMap<>();
  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  Engine(String name, String host, int backlog, ConcurrentLinkedQueue<Arrival> arrivals)
      throws IOException {
    this.name = name;
    this.arrivals = arrivals;
    server.bind(Stand.freeAddress(host), backlog);
    Stand.daemon(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Resets all connections, as the end of the engine's process does. */
  void resetConnections() {
    for (Socket socket : Set.copyOf(sockets)) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        Stand.note(name + " can't reset a connection: " + e.getMessage());
      }
    }
  }

  private void accept() {
    while (true) {
      try {
        if (!accepts) {
          Stand.sleep(2);
          continue;
        }
        server.setSoTimeout(20);
        Socket socket = server.accept();
        sockets.add(socket);
        Stand.daemon(() -> serve(socket));
      } catch (java.net.SocketTimeoutException e) {
        continue;
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    Map<String, ScheduledFuture<?>> running = new ConcurrentHashMap<>();
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> items = readArray(in);
        String id = items.get(1);
        switch (items.get(0)) {
          case "PULL" -> pull(running, out, id, items.get(2));
          case "KILL" -> {
            ScheduledFuture<?> future = running.remove(id);
            if (future != null) {
              future.cancel(false);
            }
            Stand.note(name + " is told to give up " + id);
          }
          case "ECHO" -> write(out, id, "alive", "-", "");
          case "SCROLL" -> {
            List<String> pages = results.get(id);
            int page = Integer.parseInt(items.get(2));
            if (pages == null || page >= pages.size()) {
              write(out, id, "500", "-", "");
            } else {
              write(out, id, "chunk", "page=" + page, pages.get(page));
            }
          }
          default -> {}
        }
      }
    } catch (IOException e) {
      running.forEach(
          (id, future) -> {
            if (future.cancel(false)) {
              Stand.note(name + " gives up " + id + ", its connection is closed");
            }
          });
    } finally {
      sockets.remove(socket);
    }
  }

  private void pull(
      Map<String, ScheduledFuture<?>> running, OutputStream out, String id, String fields) {
    int number = attempts.merge(id, 1, Integer::sum);
    Arrival arrival =
        new Arrival(
            Stand.ms(),
            name,
            id,
            field(fields, "lane"),
            Long.parseLong(field(fields, "ttl")),
            number);
    arrivals.add(arrival);
    Reply reply = rule.reply(arrival);
    Stand.note(
        name
            + " gets "
            + id
            + " "
            + fields
            + (reply == null ? " and is silent" : ", will say " + reply.word()));
    if (reply == null) {
      return;
    }
    running.put(
        id,
        scheduler.schedule(
            () -> {
              running.remove(id);
              try {
                if (reply.word().equals("200")) {
                  List<String> pages = pages(reply.rows());
                  results.put(id, pages);
                  write(out, id, "200", "pages=" + pages.size(), pages.get(0));
                } else {
                  write(out, id, reply.word(), "-", reply.rows());
                }
              } catch (IOException e) {
                Stand.note(name + " can't answer " + id);
              }
            },
            reply.afterMs(),
            TimeUnit.MILLISECONDS));
  }

  /** Cuts a result into pages of whole rows. */
  private static List<String> pages(String rows) {
    List<String> pages = new ArrayList<>();
    StringBuilder page = new StringBuilder();
    for (int start = 0; start < rows.length(); ) {
      int end = rows.indexOf('\n', start) + 1;
      if (page.length() + end - start > MAX_PAGE_BYTES) {
        pages.add(page.toString());
        page.setLength(0);
      }
      page.append(rows, start, end);
      start = end;
    }
    pages.add(page.toString());
    return pages;
  }

  static String field(String fields, String name) {
    for (String field : fields.split(",")) {
      if (field.startsWith(name + "=")) {
        return field.substring(name.length() + 1);
      }
    }
    return "0";
  }

  static List<String> readArray(DataInputStream in) throws IOException {
    List<String> items = new ArrayList<>();
    for (int left = Integer.parseInt(readLine(in).substring(1)); left > 0; left--) {
      byte[] item = in.readNBytes(Integer.parseInt(readLine(in).substring(1)));
      readLine(in);
      items.add(new String(item, StandardCharsets.ISO_8859_1));
    }
    return items;
  }

  private static String readLine(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      line.append(c);
    }
    return line.toString().strip();
  }

  static void write(OutputStream out, String... items) throws IOException {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    synchronized (out) {
      out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }
}
