package cobaltseam.standin;

import cobaltseam.standin.RequestLedger.Entry;
import cobaltseam.standin.RequestLedger.Outcome;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A test rig with two dispatcher processes that share one virtual router on loopback, the advert
 * links between them, emulated engines and discovery, and clients. The clients change to the other
 * dispatcher when one doesn't accept them, as if the network routed them to the virtual address.
 */
public final class VirtualAddressRig implements AutoCloseable {
  /**
   * The parameters of the rig.
   *
   * @param engineMs the mean execution time of a request
   * @param intervalMs the advertisement interval
   * @param priorities the priority of each dispatcher
   * @param extraSettings lines to add to the virtual router in both settings files
   */
  public record Plan(
      int engines,
      int cores,
      long engineMs,
      int intervalMs,
      int[] priorities,
      boolean preempts,
      String extraSettings,
      long seed) {
    /** Returns a small rig with an advertisement interval in milliseconds. */
    public static Plan of(int intervalMs, long seed) {
      return new Plan(2, 8, 20, intervalMs, new int[] {150, 100}, true, "", seed);
    }
  }

  private static final int REQUESTS_PER_RECONNECT = 10;
  private static final String HOST_PREFIX = "127.0.77.";
  private static final AtomicInteger NEXT_HOST =
      new AtomicInteger(ProcessHandle.current().pid() % 2 == 0 ? 1 : 120);

  public final List<EmulatedEngine> engines = new ArrayList<>();
  public final EmulatedDiscovery discovery;
  public final DispatcherProcess[] dispatchers = new DispatcherProcess[2];

  /** The link that carries the adverts of each dispatcher to the other one. */
  public final AdvertLink[] links = new AdvertLink[2];

  public final RequestLedger ledger = new RequestLedger();

  /** The address on which each dispatcher serves clients while it is active. */
  public final InetSocketAddress[] serveAddresses = new InetSocketAddress[2];

  /** The address on which each dispatcher always listens for clients. */
  public final InetSocketAddress[] ownAddresses = new InetSocketAddress[2];

  private final InetSocketAddress[] advertListenAddresses = new InetSocketAddress[2];
  private final InetSocketAddress[] advertSourceAddresses = new InetSocketAddress[2];
  private final Plan plan;
  private final AtomicLong callCount = new AtomicLong();
  private final AtomicBoolean isRunning = new AtomicBoolean();

  /**
   * Whether clients reconnect after every {@value #REQUESTS_PER_RECONNECT} requests to a random
   * dispatcher, as in a split in which the network routes clients to both.
   */
  public volatile boolean reconnectsAtRandom;

  private final List<Thread> clients = new ArrayList<>();

  /** Starts everything but the dispatchers, and writes their files into subfolders of a folder. */
  public VirtualAddressRig(Plan plan, Path folder) throws IOException {
    this.plan = plan;
    discovery = new EmulatedDiscovery("127.0.0.1");
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < plan.engines; i++) {
      engines.add(
          new EmulatedEngine(
              "127.0.0.1", requestClass -> EmulatedEngine.randomAround(plan.engineMs)));
      endpoints.add(EmulatedDiscovery.endpointJson(i + 1, engines.get(i).address(), "in_service"));
    }
    String knownEvents = discovery.publish(true, endpoints.toArray(String[]::new));
    for (int i = 0; i < 2; i++) {
      advertListenAddresses[i] = freeUdpAddress(nextHost());
      serveAddresses[i] = freeTcpAddress(nextHost());
      ownAddresses[i] = freeTcpAddress(nextHost());
    }
    for (int i = 0; i < 2; i++) {
      advertSourceAddresses[i] = freeUdpAddress(nextHost());
    }
    for (int i = 0; i < 2; i++) {
      // Dispatcher i sends its adverts to the advert source address of its peer. The link forwards
      // them to the peer's listening address, from the advert source address of dispatcher i.
      links[i] =
          new AdvertLink(
              advertSourceAddresses[1 - i],
              advertSourceAddresses[i].getAddress(),
              advertListenAddresses[1 - i],
              plan.seed + i);
      dispatchers[i] =
          new DispatcherProcess(
              folder.resolve("n" + i),
              DispatcherProcess.configuration(
                  "n" + i, ownAddresses[i], i, 2, plan.cores, discovery, knownEvents),
              toml(i, plan.priorities[i]));
    }
  }

  private static String nextHost() {
    return HOST_PREFIX + (1 + NEXT_HOST.getAndIncrement() % 250);
  }

  private static InetSocketAddress freeTcpAddress(String host) throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return (InetSocketAddress) probe.getLocalSocketAddress();
    }
  }

  private static InetSocketAddress freeUdpAddress(String host) throws IOException {
    try (DatagramSocket probe = new DatagramSocket(new InetSocketAddress(host, 0))) {
      return (InetSocketAddress) probe.getLocalSocketAddress();
    }
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the text of one dispatcher's settings file, which is TOML. */
  public String toml(int index, int priority) {
    return """
                [logging]
                form = "json"
                [mastership]
                listen = "%s"
                peers = ["%s"]
                elsewhere = 0
                [[mastership.router]]
                id = 51
                priority = %d
                interval_ms = %d
                preempt = %b
                addresses = ["192.0.2.10"]
                serve = "%s"
                %s
                """
        .formatted(
            format(advertListenAddresses[index]),
            format(advertSourceAddresses[1 - index]),
            priority,
            plan.intervalMs,
            plan.preempts,
            format(serveAddresses[index]),
            plan.extraSettings);
  }

  /** Starts both dispatchers, and waits until they serve. */
  public void start() throws IOException, InterruptedException {
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.start();
    }
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.awaitLogLine(" serves on ", 0, 30_000);
    }
  }

  /** Returns the address on which a dispatcher receives adverts. */
  public InetSocketAddress advertListenAddress(int index) {
    return advertListenAddresses[index];
  }

  /**
   * Returns the source address of a dispatcher's adverts, as the other dispatcher receives them.
   */
  public InetAddress advertSourceAddress(int index) {
    return advertSourceAddresses[index].getAddress();
  }

  // ---- clients

  private String nextCallId() {
    return String.format("%016x", callCount.incrementAndGet());
  }

  /**
   * Starts clients that send requests until {@link #stopClients}, each with a pause between its
   * requests.
   */
  public void startClients(int count, int pauseMs, int deadlineMs) {
    isRunning.set(true);
    String[] requestClasses = {"look", "look", "marked", "once"};
    for (int i = 0; i < count; i++) {
      int index = i;
      Thread thread =
          EmulatedEngine.daemonThread(
              () -> sendRequests(requestClasses, index, pauseMs, deadlineMs));
      clients.add(thread);
      thread.start();
    }
  }

  private void sendRequests(String[] requestClasses, int clientIndex, int pauseMs, int deadlineMs) {
    int dispatcher = clientIndex % 2;
    StatementClient client = null;
    for (int i = clientIndex; isRunning.get(); i++) {
      String callId = nextCallId();
      String requestClass = requestClasses[i % requestClasses.length];
      long sentAt = System.nanoTime();
      Outcome outcome = Outcome.UNSENT;
      try {
        client =
            client == null
                ? new StatementClient(serveAddresses[dispatcher], deadlineMs + 500)
                : client;
        outcome = client.execute(callId, requestClass, deadlineMs);
      } catch (IOException e) {
        outcome = Outcome.UNSENT;
      }
      if (outcome != Outcome.UNSENT) {
        ledger.add(new Entry(callId, requestClass, dispatcher, sentAt, System.nanoTime(), outcome));
      }
      if (outcome == Outcome.UNSENT
          || outcome == Outcome.DISCONNECTED
          || outcome == Outcome.TIMED_OUT
          || outcome == Outcome.REJECTED) {
        close(client);
        client = null;
        dispatcher = 1 - dispatcher;
      }
      if (reconnectsAtRandom && i % REQUESTS_PER_RECONNECT == 0) {
        close(client);
        client = null;
        dispatcher = java.util.concurrent.ThreadLocalRandom.current().nextInt(2);
      }
      sleep(outcome == Outcome.UNSENT ? 1 : pauseMs);
    }
    close(client);
  }

  private static void close(StatementClient client) {
    try {
      if (client != null) {
        client.close();
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Sleeps until the time has passed or the thread is interrupted, and keeps its interrupt flag.
   */
  public static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops the clients, and waits until each has recorded its last outcome. */
  public void stopClients() throws InterruptedException {
    isRunning.set(false);
    for (Thread client : clients) {
      client.join(30_000);
    }
    clients.clear();
  }

  /**
   * Waits until a client has received an answer to a request that was sent at {@code since} or
   * later.
   *
   * @return the time of the first such answer, in nanoseconds of {@link System#nanoTime}
   */
  public long awaitAnswer(long since, long timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    while (System.nanoTime() < deadline) {
      long first =
          ledger.entries().values().stream()
              .filter(e -> e.outcome() == Outcome.ANSWERED && e.sentAt() >= since)
              .mapToLong(Entry::endedAt)
              .min()
              .orElse(-1);
      if (first >= 0) {
        return first;
      }
      sleep(2);
    }
    throw new AssertionError(
        "no client received an answer within "
            + timeoutMs
            + " ms\n"
            + dispatchers[0].log()
            + "\n---\n"
            + dispatchers[1].log());
  }

  /**
   * Sends requests to one dispatcher, each on a new session, until it answers one.
   *
   * @return the time of the answer, in nanoseconds of {@link System#nanoTime}
   */
  public long firstAnswer(int dispatcher, long timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000;
    while (System.nanoTime() < deadline) {
      try (StatementClient client = new StatementClient(serveAddresses[dispatcher], 2000)) {
        if (client.execute(nextCallId(), "look", 1500) == Outcome.ANSWERED) {
          return System.nanoTime();
        }
      } catch (IOException e) {
        sleep(1);
      }
    }
    throw new AssertionError(
        "dispatcher "
            + dispatcher
            + " did not answer within "
            + timeoutMs
            + " ms\n"
            + dispatchers[dispatcher].log());
  }

  // ---- checks of the ledger against the engines

  /** Returns the number of non-idempotent requests that engines started more than once. */
  public long repeatedRuns() {
    return ledger.entries().values().stream()
        .filter(e -> e.requestClass().equals("once"))
        .filter(e -> engines.stream().mapToInt(engine -> startCount(engine, e.callId())).sum() > 1)
        .count();
  }

  /** Returns the number of requests that were answered although no engine completed them. */
  public long answeredWithoutRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.ANSWERED)
        .filter(
            e ->
                engines.stream()
                    .noneMatch(
                        engine ->
                            engine.executions().containsKey(e.callId())
                                && engine.executions().get(e.callId()).completed().get() > 0))
        .count();
  }

  /** Returns the number of requests that were rejected although an engine started them. */
  public long rejectedButRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.REJECTED)
        .filter(
            e -> engines.stream().anyMatch(engine -> engine.executions().containsKey(e.callId())))
        .count();
  }

  /**
   * Returns the number of non-idempotent requests that were shed although an engine completed them.
   */
  public long shedAfterRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.SHED && e.requestClass().equals("once"))
        .filter(
            e ->
                engines.stream()
                    .anyMatch(
                        engine ->
                            engine.executions().containsKey(e.callId())
                                && engine.executions().get(e.callId()).completed().get() > 0))
        .count();
  }

  private static int startCount(EmulatedEngine engine, String callId) {
    return engine.executions().containsKey(callId)
        ? engine.executions().get(callId).started().get()
        : 0;
  }

  @Override
  public void close() throws IOException {
    isRunning.set(false);
    for (int i = 0; i < 2; i++) {
      if (dispatchers[i] != null) {
        dispatchers[i].close();
      }
      links[i].close();
    }
    for (EmulatedEngine engine : engines) {
      engine.close();
    }
    discovery.close();
  }
}
