package cobaltseam.soak;

import cobaltseam.standin.RequestLedger.Entry;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send requests on their open connection until it ends, also while their dispatcher
 * shuts down, and then connect to a random dispatcher. A client departs if it closes its connection
 * while a request is pending.
 */
final class SoakClients {
  private static final String[] REQUEST_CLASSES = {"look", "marked", "once"};
  private static final int TIMEOUT_AFTER_DEADLINE_MS = 1500;
  private static final int RECONNECT_DELAY_MS = 20;
  private static final int REQUESTS_PER_SESSION = 20;
  private static final int JOIN_TIMEOUT_MS = 20_000;

  /** A connection that a client opened; times in nanoseconds of {@link System#nanoTime}. */
  record Connect(long startedAt, long endedAt) {}

  private final List<InetSocketAddress> dispatchers;
  private final SoakPlan plan;
  private final AtomicLong callCount = new AtomicLong();
  private final Map<String, Long> departures = new ConcurrentHashMap<>();
  private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();
  private final Queue<Connect> connects = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean isRunning = true;

  SoakClients(SoakPlan plan, List<InetSocketAddress> dispatchers) {
    this.plan = plan;
    this.dispatchers = dispatchers;
  }

  void start() {
    for (int i = 0; i < plan.clients(); i++) {
      SplittableRandom random = new SplittableRandom(plan.seed() * 1000 + i);
      Thread thread = new Thread(() -> run(random), "soak-client");
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /**
   * Stops all clients after their last answer.
   *
   * @return the requests of all clients with their outcomes, without those pending at a departure
   */
  List<Entry> stop() throws InterruptedException {
    isRunning = false;
    for (Thread thread : threads) {
      thread.join(JOIN_TIMEOUT_MS);
    }
    return List.copyOf(entries);
  }

  /**
   * Returns the time of each departure, by the call id of the pending request, in nanoseconds of
   * {@link System#nanoTime}.
   */
  Map<String, Long> departures() {
    return departures;
  }

  /** Returns the connections that clients have opened. */
  List<Connect> connects() {
    return List.copyOf(connects);
  }

  private void run(SplittableRandom random) {
    while (isRunning) {
      int dispatcher = random.nextInt(dispatchers.size());
      long startedAt = System.nanoTime();
      try (StatementClient client =
          new StatementClient(
              dispatchers.get(dispatcher), plan.deadlineMs() + TIMEOUT_AFTER_DEADLINE_MS)) {
        connects.add(new Connect(startedAt, System.nanoTime()));
        sendUntilDisconnected(client, dispatcher, random);
        departWithPendingRequest(client, random);
      } catch (IOException e) {
        // The dispatcher does not listen at the moment.
        sleep(RECONNECT_DELAY_MS);
      }
    }
  }

  private void sendUntilDisconnected(
      StatementClient client, int dispatcher, SplittableRandom random) {
    Outcome outcome = Outcome.ANSWERED;
    while (isRunning
        && outcome != Outcome.DISCONNECTED
        && outcome != Outcome.TIMED_OUT
        && continuesSession(random)) {
      String callId = "%016x".formatted(callCount.incrementAndGet());
      String requestClass = REQUEST_CLASSES[random.nextInt(REQUEST_CLASSES.length)];
      long sentAt = System.nanoTime();
      outcome = client.execute(callId, requestClass, plan.deadlineMs(), plan.engineMs());
      entries.add(new Entry(callId, requestClass, dispatcher, sentAt, System.nanoTime(), outcome));
      sleep(random.nextInt(20));
    }
  }

  private boolean continuesSession(SplittableRandom random) {
    boolean endsSessions = plan.hasDepartures() || plan.conditions().callFault() != null;
    return !endsSessions || random.nextInt(REQUESTS_PER_SESSION) > 0;
  }

  /**
   * Sends a last request on a connection, and cancels it or closes the connection without waiting
   * for the answer.
   */
  private void departWithPendingRequest(StatementClient client, SplittableRandom random)
      throws IOException {
    if (isRunning && plan.hasDepartures()) {
      String callId = "%016x".formatted(callCount.incrementAndGet());
      client.send(callId, "look", plan.deadlineMs(), plan.engineMs());
      sleep(random.nextInt(plan.engineMs()));
      if (random.nextBoolean()) {
        client.cancel();
      } else {
        client.close();
      }
      departures.put(callId, System.nanoTime());
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new UncheckedIOException(new IOException(e));
    }
  }
}
