package cobaltseam.standin;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;

/**
 * An emulated engine on loopback: takes a given time for each statement, answers with one page,
 * stops the statements of a connection that closes, and records how often each ran and how many ran
 * at once.
 */
public final class EmulatedEngine implements AutoCloseable {
  /** How often an engine started one request, and how often it completed it. */
  public record Executions(AtomicInteger started, AtomicInteger completed) {}

  private final ServerSocket server;
  private final ToLongFunction<String> millis;
  private final ScheduledExecutorService work =
      Executors.newScheduledThreadPool(2, EmulatedEngine::thread);
  private final Map<String, Executions> ledger = new ConcurrentHashMap<>();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger most = new AtomicInteger();
  private volatile boolean failing;
  private final Map<String, Long> lastStarts = new ConcurrentHashMap<>();

  /**
   * @param millis how long a command of a profile runs
   */
  public EmulatedEngine(String host, ToLongFunction<String> millis) throws IOException {
    this.millis = millis;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
    thread(this::accept).start();
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    return thread;
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** The executions of each request, by call id. */
  public Map<String, Executions> executions() {
    return ledger;
  }

  /** The largest number of requests that ran at once since the last call. */
  public int takeMaxRunning() {
    return most.getAndSet(running.get());
  }

  /** From now on every statement fails as soon as it starts, or none does. */
  public void setFailing(boolean now) {
    failing = now;
  }

  /** The number of requests that run now. */
  public int runningCount() {
    return running.get();
  }

  /** When each request was started last, by call id, in nanoseconds of this process. */
  public Map<String, Long> lastStartTimes() {
    return lastStarts;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        thread(() -> serve(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    Map<String, ScheduledFuture<?>> open = new ConcurrentHashMap<>();
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> items = items(in);
        String id = items.get(1);
        switch (items.get(0)) {
          case "PULL" -> pull(open, out, id, items.get(2));
          case "KILL" -> giveUp(open.remove(id));
          case "ECHO" -> say(out, id, "alive", "-", "");
          default -> {}
        }
      }
    } catch (IOException e) {
      // The client has disconnected; its statements stop.
      open.values().forEach(this::giveUp);
    } finally {
      sockets.remove(socket);
    }
  }

  private void pull(
      Map<String, ScheduledFuture<?>> open, OutputStream out, String id, String fields) {
    Executions ran =
        ledger.computeIfAbsent(id, i -> new Executions(new AtomicInteger(), new AtomicInteger()));
    lastStarts.put(id, System.nanoTime());
    ran.started.incrementAndGet();
    if (failing) {
      try {
        say(out, id, "500", "-", "");
      } catch (IOException e) {
        // The client has disconnected.
        ran.completed.get();
      }
      return;
    }
    int now = running.incrementAndGet();
    most.accumulateAndGet(now, Math::max);
    String profile =
        Arrays.stream(fields.split(","))
            .filter(f -> f.startsWith("lane="))
            .findFirst()
            .orElse("lane=")
            .substring(5);
    long wait = millis.applyAsLong(profile);
    open.put(
        id,
        work.schedule(
            () -> {
              if (open.remove(id) == null) {
                return;
              }
              running.decrementAndGet();
              ran.completed.incrementAndGet();
              try {
                say(
                    out,
                    id,
                    "200",
                    "pages=1,rep=pending:0;busy_reqs:" + running.get(),
                    "a\t" + id + "\tx\n");
              } catch (IOException e) {
                // The client has disconnected; the statement ran all the same.
                ran.completed.get();
              }
            },
            wait,
            TimeUnit.MILLISECONDS));
  }

  private void giveUp(ScheduledFuture<?> future) {
    if (future != null && future.cancel(false)) {
      running.decrementAndGet();
    }
  }

  static List<String> items(DataInputStream in) throws IOException {
    List<String> items = new ArrayList<>();
    for (int left = Integer.parseInt(line(in).substring(1)); left > 0; left--) {
      byte[] item = in.readNBytes(Integer.parseInt(line(in).substring(1)));
      line(in);
      items.add(new String(item, StandardCharsets.UTF_8));
    }
    return items;
  }

  static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      line.append(c);
    }
    return line.toString().strip();
  }

  private static void say(OutputStream out, String... items) throws IOException {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    synchronized (out) {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  /** Resets every connection, as a process that dies does. */
  public void resetConnections() throws IOException {
    for (Socket socket : new HashSet<>(sockets)) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (SocketException e) {
        // The client closed it in the same moment.
        sockets.remove(socket);
      }
    }
  }

  /** A random time, from half to one and a half times this mean. */
  public static long randomAround(long millis) {
    return millis / 2 + ThreadLocalRandom.current().nextLong(millis + 1);
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
    work.shutdownNow();
  }
}
