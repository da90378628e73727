package stand;

import java.io.BufferedInputStream;
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
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A compute node by PROTOCOL.md. It answers each PULL after its work time with one row, {@code id
 * TAB ran TAB name}, on one page. A run is given up by KILL or by the end of its connection.
 */
public final class Engine implements AutoCloseable {
  /** One attempt that came whole to this node. */
  public record Pull(String id, String fields, double at) {}

  private final String name;
  private final Record record;
  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  public final List<Pull> pulls = new CopyOnWriteArrayList<>();
  public final Map<String, Integer> completed = new ConcurrentHashMap<>();
  public volatile long workMs;

  /** Whether this node runs a request and then answers that it failed. */
  public volatile boolean fails;

  /** While false, this node accepts no connection; the kernel's queue may fill. */
  private boolean accepting = true;

  public Engine(String name, String host, long workMs, int backlog, Record record)
      throws IOException {
    this.name = name;
    this.workMs = workMs;
    this.record = record;
    server = new ServerSocket(0, backlog, InetAddress.getByName(host));
    daemon(this::accept);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  public synchronized void setAccepting(boolean on) {
    accepting = on;
    notifyAll();
  }

  /**
   * Stops accepting, and fills the kernel's queue of this node: a connection that is opened now
   * comes up late, once there is room again and the opener's kernel has tried anew (after 1 s).
   *
   * @return the connections that fill the queue, to be closed by the caller
   */
  public List<Socket> fillQueue() throws IOException, InterruptedException {
    setAccepting(false);
    List<Socket> fillers = new ArrayList<>();
    while (fillers.size() < 16) {
      Socket socket = new Socket();
      try {
        socket.connect(address(), 200);
        fillers.add(socket);
      } catch (IOException e) {
        socket.close();
        record.line(name + " accepts nothing, its queue is full with " + fillers.size());
        return fillers;
      }
    }
    throw new IOException("the queue did not fill");
  }

  private void accept() {
    try {
      while (true) {
        synchronized (this) {
          while (!accepting) {
            wait();
          }
        }
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException | InterruptedException e) {
      return;
    }
  }

  private void serve(Socket socket) {
    Set<String> givenUp = ConcurrentHashMap.newKeySet();
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> items = new ArrayList<>();
        for (int count = Integer.parseInt(line(in).substring(1)); count > 0; count--) {
          byte[] item = in.readNBytes(Integer.parseInt(line(in).substring(1)));
          line(in);
          items.add(new String(item, StandardCharsets.UTF_8));
        }
        String id = items.get(1);
        switch (items.get(0)) {
          case "PULL" -> {
            pulls.add(new Pull(id, items.get(2), record.line(name + " got PULL " + id + " " + items.get(2))));
            daemon(() -> run(id, socket, out, givenUp));
          }
          case "KILL" -> {
            record.line(name + " got KILL " + id);
            givenUp.add(id);
          }
          case "ECHO" -> answer(out, id, "alive", "-", "");
          default -> {}
        }
      }
    } catch (IOException | RuntimeException e) {
      sockets.remove(socket);
    }
  }

  private void run(String id, Socket socket, OutputStream out, Set<String> givenUp) {
    try {
      Thread.sleep(workMs);
      if (socket.isClosed() || givenUp.contains(id)) {
        return;
      }
      completed.merge(id, 1, Integer::sum);
      if (fails) {
        answer(out, id, "500", "-", "");
        record.line(name + " ran " + id + " and answered 500");
        return;
      }
      answer(out, id, "200", "pages=1,rep=pending:0;busy_reqs:1", id + "\tran\t" + name + "\n");
      record.line(name + " answered " + id);
    } catch (IOException | InterruptedException e) {
      record.line(name + " could not answer " + id);
    }
  }

  private static void answer(OutputStream out, String... items) throws IOException {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    synchronized (out) {
      out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      text.append(c);
    }
    return text.toString().strip();
  }

  public static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
