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
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;

/**
 * An emulated engine on loopback. Each request takes a given time and is answered with one page, or
 * with several pages that the engine then no longer has. The engine cancels the requests of a
 * connection that closes, and records how often each request ran and how many ran concurrently.
 */
public final class EmulatedEngine implements AutoCloseable {
  /** How often an engine started and completed one request. */
  public record Executions(AtomicInteger started, AtomicInteger completed) {}

  /**
   * One attempt at this engine, from its start until its answer was written or it was cancelled;
   * times in nanoseconds of {@link System#nanoTime} in this process.
   */
  public record AttemptRecord(String callId, long startedAt, AtomicLong endedAt) {
    /** Returns whether this attempt was in flight while another one of the same request was. */
    public boolean overlaps(AttemptRecord other) {
      return this != other
          && callId.equals(other.callId)
          && startedAt < other.endedAt.get()
          && other.startedAt < endedAt.get();
    }

    private void end() {
      endedAt.compareAndSet(Long.MAX_VALUE, System.nanoTime());
    }

    private void cancel() {
      endedAt.compareAndSet(Long.MAX_VALUE, System.nanoTime() - CANCEL_ALLOWANCE_NANOS);
    }
  }

  private static final int FAULTY_PAGES = 3;
  private static final int REPEATED_ANSWER_DELAY_MS = 3;

  /**
   * The allowance of the platform's rules on sockets, for the time until an engine reads that an
   * attempt was cancelled or its connection closed.
   */
  private static final long CANCEL_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The delay between two answers for lost pages, in microseconds. */
  private static final int LOST_PAGE_DELAY_US = 500;

  private record PendingRequest(AttemptRecord attempt, ScheduledFuture<?> completion) {}

  private final ServerSocket server;
  private final ToLongFunction<String> executionMs;
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, EmulatedEngine::daemonThread);
  private final Map<String, Executions> executions = new ConcurrentHashMap<>();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final Queue<AttemptRecord> attempts = new ConcurrentLinkedQueue<>();
  private volatile boolean failing;
  private volatile long lastTimeToLiveMs;

  /** The number of pages of each result, of which all but the first are lost. */
  private volatile int pages = 1;

  /** Zero, or one in how many results loses its pages, and one in how many is answered twice. */
  private volatile int answerFaultOneIn;

  private final Map<String, Long> lastStartTimes = new ConcurrentHashMap<>();

  /**
   * Starts an engine on a free port of a host.
   *
   * @param executionMs gives the execution time of a request by its request class, in milliseconds
   */
  public EmulatedEngine(String host, ToLongFunction<String> executionMs) throws IOException {
    this.executionMs = executionMs;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
    daemonThread(this::accept).start();
  }

  static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the address that the engine listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns the executions of each request, by call id. */
  public Map<String, Executions> executions() {
    return executions;
  }

  /**
   * Returns the largest number of requests that ran concurrently since the last call, and starts a
   * new measurement.
   */
  public int takeMaxRunning() {
    return maxRunning.getAndSet(running.get());
  }

  /** Sets whether every new request fails as soon as it starts. */
  public void setFailing(boolean isFailing) {
    failing = isFailing;
  }

  /**
   * Sets that each result has this many pages from now on, and that every page but the first is
   * answered with an error, as by an engine that no longer knows the result.
   */
  public void loseFurtherPages(int pageCount) {
    pages = pageCount;
  }

  /**
   * Sets that one in so many results from now on has three pages of which two are lost, and that
   * one in so many answers is written a second time some milliseconds later.
   */
  public void injectAnswerFaults(int oneIn) {
    answerFaultOneIn = oneIn;
  }

  private boolean drawsAnswerFault() {
    int oneIn = answerFaultOneIn;
    return oneIn > 0 && ThreadLocalRandom.current().nextInt(oneIn) == 0;
  }

  /** Returns all attempts so far. */
  public List<AttemptRecord> attempts() {
    return List.copyOf(attempts);
  }

  /** Returns the time that the last request allowed this engine, in milliseconds. */
  public long lastTimeToLiveMs() {
    return lastTimeToLiveMs;
  }

  /** Returns the number of requests that run now. */
  public int runningCount() {
    return running.get();
  }

  /**
   * Returns the time of each request's last start, by call id, in nanoseconds of {@link
   * System#nanoTime} in this process.
   */
  public Map<String, Long> lastStartTimes() {
    return lastStartTimes;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemonThread(() -> serve(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    Map<String, PendingRequest> pending = new ConcurrentHashMap<>();
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> items = readArray(in);
        String id = items.get(1);
        switch (items.get(0)) {
          case "PULL" -> startRequest(pending, out, id, items.get(2));
          case "KILL" -> cancel(pending.remove(id));
          case "SCROLL" -> {
            writeArray(out, id, "500", "-", "");
            TimeUnit.MICROSECONDS.sleep(LOST_PAGE_DELAY_US);
          }
          case "ECHO" -> writeArray(out, id, "alive", "-", "");
          default -> {}
        }
      }
    } catch (IOException e) {
      // The client has disconnected, which cancels its requests.
      pending.values().forEach(this::cancel);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private void startRequest(
      Map<String, PendingRequest> pending, OutputStream out, String id, String fields) {
    Executions counts =
        executions.computeIfAbsent(
            id, i -> new Executions(new AtomicInteger(), new AtomicInteger()));
    lastStartTimes.put(id, System.nanoTime());
    counts.started.incrementAndGet();
    if (failing) {
      try {
        writeArray(out, id, "500", "-", "");
      } catch (IOException e) {
        // The client has disconnected.
        counts.completed.get();
      }
      return;
    }
    int runningNow = running.incrementAndGet();
    maxRunning.accumulateAndGet(runningNow, Math::max);
    String requestClass = field(fields, "lane");
    lastTimeToLiveMs = Long.parseLong(field(fields, "ttl"));
    long durationMs = executionMs.applyAsLong(requestClass);
    AttemptRecord attempt =
        new AttemptRecord(id, System.nanoTime(), new AtomicLong(Long.MAX_VALUE));
    attempts.add(attempt);
    // A short request may be due before it is entered, and would then never complete.
    synchronized (pending) {
      pending.put(
          id,
          new PendingRequest(
              attempt,
              scheduler.schedule(
                  () -> complete(pending, out, attempt), durationMs, TimeUnit.MILLISECONDS)));
    }
  }

  private static String field(String fields, String name) {
    return Arrays.stream(fields.split(","))
        .filter(field -> field.startsWith(name + "="))
        .map(field -> field.substring(name.length() + 1))
        .findFirst()
        .orElseThrow();
  }

  private void complete(
      Map<String, PendingRequest> pending, OutputStream out, AttemptRecord attempt) {
    String id = attempt.callId();
    synchronized (pending) {
      if (pending.remove(id) == null) {
        return;
      }
    }
    running.decrementAndGet();
    Executions counts = executions.get(id);
    counts.completed.incrementAndGet();
    attempt.end();
    int pageCount = drawsAnswerFault() ? FAULTY_PAGES : pages;
    String fields = "pages=" + pageCount + ",rep=pending:0;busy_reqs:" + running.get();
    String[] answer = {id, "200", fields, "a\t" + id + "\tx\n"};
    try {
      writeArray(out, answer);
      if (drawsAnswerFault()) {
        scheduler.schedule(
            () -> {
              writeArray(out, answer);
              return null;
            },
            REPEATED_ANSWER_DELAY_MS,
            TimeUnit.MILLISECONDS);
      }
    } catch (IOException e) {
      // The client has disconnected, but the request counts as completed.
      counts.completed.get();
    }
  }

  private void cancel(PendingRequest request) {
    if (request != null && request.completion.cancel(false)) {
      request.attempt.cancel();
      running.decrementAndGet();
    }
  }

  static List<String> readArray(DataInputStream in) throws IOException {
    List<String> items = new ArrayList<>();
    for (int remaining = Integer.parseInt(readLine(in).substring(1)); remaining > 0; remaining--) {
      byte[] item = in.readNBytes(Integer.parseInt(readLine(in).substring(1)));
      readLine(in);
      items.add(new String(item, StandardCharsets.UTF_8));
    }
    return items;
  }

  static String readLine(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (char c = (char) in.readUnsignedByte(); c != '\n'; c = (char) in.readUnsignedByte()) {
      line.append(c);
    }
    return line.toString().strip();
  }

  private static void writeArray(OutputStream out, String... items) throws IOException {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    synchronized (out) {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  /** Resets every connection with a TCP RST, as if the process had crashed. */
  public void resetConnections() throws IOException {
    for (Socket socket : new HashSet<>(sockets)) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (SocketException e) {
        // The client closed the connection concurrently.
        sockets.remove(socket);
      }
    }
  }

  /** Returns a random time, uniformly distributed from 0.5 to 1.5 times the mean. */
  public static long randomAround(long meanMs) {
    return meanMs / 2 + ThreadLocalRandom.current().nextLong(meanMs + 1);
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
    scheduler.shutdownNow();
  }
}
