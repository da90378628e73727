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
 * Two real dispatchers with one virtual router on loopback, with the links of adverts between them,
 * emulated engines and event bus, and clients that go to whichever dispatcher accepts them, as the
 * network would lead them to the virtual address.
 */
public final class VirtualAddressRig implements AutoCloseable {
  /** The parameters of the rig. */
  public record Plan(
      int engines,
      int cores,
      long engineMs,
      int intervalMs,
      int[] priorities,
      boolean preempts,
      String more,
      long seed) {
    /** A small rig with these advert intervals, in milliseconds. */
    public static Plan of(int intervalMs, long seed) {
      return new Plan(2, 8, 20, intervalMs, new int[] {150, 100}, true, "", seed);
    }
  }

  private static final int ROVES_AFTER = 10;
  private static final String PREFIX = "127.0.77.";
  private static final AtomicInteger HOSTS =
      new AtomicInteger(ProcessHandle.current().pid() % 2 == 0 ? 1 : 120);

  public final List<EmulatedEngine> engines = new ArrayList<>();
  public final EmulatedDiscovery discovery;
  public final DispatcherProcess[] dispatchers = new DispatcherProcess[2];

  /** The links of adverts from each dispatcher to the other. */
  public final AdvertLink[] links = new AdvertLink[2];

  public final RequestLedger ledger = new RequestLedger();
  public final InetSocketAddress[] serveAddresses = new InetSocketAddress[2];
  public final InetSocketAddress[] ownAddresses = new InetSocketAddress[2];
  private final InetSocketAddress[] listens = new InetSocketAddress[2];
  private final InetSocketAddress[] seen = new InetSocketAddress[2];
  private final Plan plan;
  private final AtomicLong calls = new AtomicLong();
  private final AtomicBoolean going = new AtomicBoolean();

  /**
   * Whether clients reconnect after some requests, to either dispatcher, as in a split in which the
   * network sees both.
   */
  public volatile boolean reconnectsAtRandom;

  private final List<Thread> clients = new ArrayList<>();

  /** Starts all parts but the dispatchers, whose files go into this folder. */
  public VirtualAddressRig(Plan plan, Path folder) throws IOException {
    this.plan = plan;
    discovery = new EmulatedDiscovery("127.0.0.1");
    List<String> targets = new ArrayList<>();
    for (int i = 0; i < plan.engines; i++) {
      engines.add(
          new EmulatedEngine("127.0.0.1", profile -> EmulatedEngine.randomAround(plan.engineMs)));
      targets.add(EmulatedDiscovery.endpointJson(i + 1, engines.get(i).address(), "in_service"));
    }
    String known = discovery.publish(true, targets.toArray(String[]::new));
    for (int i = 0; i < 2; i++) {
      listens[i] = udp(host());
      serveAddresses[i] = tcp(host());
      ownAddresses[i] = tcp(host());
    }
    for (int i = 0; i < 2; i++) {
      seen[i] = udp(host());
    }
    for (int i = 0; i < 2; i++) {
      // What dispatcher i sends to its peer's apparent address reaches the peer from i's apparent
      // address.
      links[i] = new AdvertLink(seen[1 - i], seen[i].getAddress(), listens[1 - i], plan.seed + i);
      dispatchers[i] =
          new DispatcherProcess(
              folder.resolve("n" + i),
              DispatcherProcess.configuration(
                  "n" + i, ownAddresses[i], i, 2, plan.cores, discovery, known),
              toml(i, plan.priorities[i]));
    }
  }

  private static String host() {
    return PREFIX + (1 + HOSTS.getAndIncrement() % 250);
  }

  private static InetSocketAddress tcp(String host) throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return (InetSocketAddress) probe.getLocalSocketAddress();
    }
  }

  private static InetSocketAddress udp(String host) throws IOException {
    try (DatagramSocket probe = new DatagramSocket(new InetSocketAddress(host, 0))) {
      return (InetSocketAddress) probe.getLocalSocketAddress();
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Our own settings file of one dispatcher. */
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
            text(listens[index]),
            text(seen[1 - index]),
            priority,
            plan.intervalMs,
            plan.preempts,
            text(serveAddresses[index]),
            plan.more);
  }

  /** Starts both dispatchers, and returns when they serve. */
  public void start() throws IOException, InterruptedException {
    for (DispatcherProcess d : dispatchers) {
      d.start();
    }
    for (DispatcherProcess d : dispatchers) {
      d.awaitLogLine(" serves on ", 0, 30_000);
    }
  }

  /** The address on which a dispatcher receives adverts. */
  public InetSocketAddress advertListenAddress(int index) {
    return listens[index];
  }

  /** The address from which the other dispatcher receives adverts of dispatcher i. */
  public InetAddress advertSourceAddress(int index) {
    return seen[index].getAddress();
  }

  // ---- clients

  private String call() {
    return String.format("%016x", calls.incrementAndGet());
  }

  /**
   * Starts clients that send statements with this pause between them, until {@link #stopClients}.
   */
  public void startClients(int number, int pauseMs, int ttlMs) {
    going.set(true);
    String[] profiles = {"look", "look", "marked", "once"};
    for (int i = 0; i < number; i++) {
      int mine = i;
      Thread thread = EmulatedEngine.daemonThread(() -> ask(profiles, mine, pauseMs, ttlMs));
      clients.add(thread);
      thread.start();
    }
  }

  private void ask(String[] profiles, int from, int pauseMs, int ttlMs) {
    int at = from % 2;
    StatementClient client = null;
    for (int i = from; going.get(); i++) {
      String call = call();
      String profile = profiles[i % profiles.length];
      long asked = System.nanoTime();
      Outcome end = Outcome.UNSENT;
      try {
        client = client == null ? new StatementClient(serveAddresses[at], ttlMs + 500) : client;
        end = client.execute(call, profile, ttlMs);
      } catch (IOException e) {
        end = Outcome.UNSENT;
      }
      if (end != Outcome.UNSENT) {
        ledger.add(new Entry(call, profile, at, asked, System.nanoTime(), end));
      }
      if (end == Outcome.UNSENT
          || end == Outcome.DISCONNECTED
          || end == Outcome.TIMED_OUT
          || end == Outcome.REJECTED) {
        close(client);
        client = null;
        at = 1 - at;
      }
      if (reconnectsAtRandom && i % ROVES_AFTER == 0) {
        close(client);
        client = null;
        at = java.util.concurrent.ThreadLocalRandom.current().nextInt(2);
      }
      sleep(end == Outcome.UNSENT ? 1 : pauseMs);
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

  /** Sleeps; an interrupt ends the sleep and stays set. */
  public static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops the clients, and waits until each has its last outcome. */
  public void stopClients() throws InterruptedException {
    going.set(false);
    for (Thread client : clients) {
      client.join(30_000);
    }
    clients.clear();
  }

  /**
   * Waits for the answer to a request sent after this time, and returns when it came, in
   * nanoseconds of this process.
   */
  public long awaitAnswer(long since, long withinMs) {
    long until = System.nanoTime() + withinMs * 1_000_000;
    while (System.nanoTime() < until) {
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
        "no answer within "
            + withinMs
            + " ms\n"
            + dispatchers[0].log()
            + "\n---\n"
            + dispatchers[1].log());
  }

  /**
   * Sends requests to one dispatcher on new sessions until it answers, and returns when it did, in
   * nanoseconds of this process.
   */
  public long firstAnswer(int dispatcher, long withinMs) {
    long until = System.nanoTime() + withinMs * 1_000_000;
    while (System.nanoTime() < until) {
      try (StatementClient client = new StatementClient(serveAddresses[dispatcher], 2000)) {
        if (client.execute(call(), "look", 1500) == Outcome.ANSWERED) {
          return System.nanoTime();
        }
      } catch (IOException e) {
        sleep(1);
      }
    }
    throw new AssertionError("no answer of " + dispatcher + "\n" + dispatchers[dispatcher].log());
  }

  // ---- audits

  /** Requests of the class that is not idempotent that engines started more than once. */
  public long repeatedRuns() {
    return ledger.entries().values().stream()
        .filter(e -> e.requestClass().equals("once"))
        .filter(e -> engines.stream().mapToInt(g -> begun(g, e.callId())).sum() > 1)
        .count();
  }

  /** Requests that were answered though no engine completed them. */
  public long answeredWithoutRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.ANSWERED)
        .filter(
            e ->
                engines.stream()
                    .noneMatch(
                        g ->
                            g.executions().containsKey(e.callId())
                                && g.executions().get(e.callId()).completed().get() > 0))
        .count();
  }

  /** Requests that were rejected before they were admitted, and sent to an engine all the same. */
  public long rejectedButRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.REJECTED)
        .filter(e -> engines.stream().anyMatch(g -> g.executions().containsKey(e.callId())))
        .count();
  }

  /** Requests that were shed after they ran, of the class that is not idempotent. */
  public long shedAfterRun() {
    return ledger.entries().values().stream()
        .filter(e -> e.outcome() == Outcome.SHED && e.requestClass().equals("once"))
        .filter(
            e ->
                engines.stream()
                    .anyMatch(
                        g ->
                            g.executions().containsKey(e.callId())
                                && g.executions().get(e.callId()).completed().get() > 0))
        .count();
  }

  private static int begun(EmulatedEngine engine, String call) {
    return engine.executions().containsKey(call)
        ? engine.executions().get(call).started().get()
        : 0;
  }

  @Override
  public void close() throws IOException {
    going.set(false);
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
