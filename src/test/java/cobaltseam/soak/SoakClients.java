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
 * Clients that keep sending on their open connections, whatever happens to the dispatcher, and
 * connect to another one when theirs has ended.
 */
final class SoakClients {
  private static final String[] PROFILES = {"look", "marked", "once"};
  private static final int ANSWER_SLACK_MS = 1500;
  private static final int RECONNECT_MS = 20;
  private static final int REQUESTS_PER_DEPARTURE = 20;
  private static final int JOIN_MS = 20_000;

  private final List<InetSocketAddress> dispatchers;
  private final SoakPlan plan;
  private final AtomicLong calls = new AtomicLong();
  private final Map<String, Long> departures = new ConcurrentHashMap<>();
  private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();
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

  /** Ends all clients after their last answer, and returns what each request came to. */
  List<Entry> stop() throws InterruptedException {
    isRunning = false;
    for (Thread thread : threads) {
      thread.join(JOIN_MS);
    }
    return List.copyOf(entries);
  }

  /** When clients left that did not wait for their answer, by call id, in nanoseconds. */
  Map<String, Long> departures() {
    return departures;
  }

  private void run(SplittableRandom random) {
    while (isRunning) {
      int dispatcher = random.nextInt(dispatchers.size());
      try (StatementClient client =
          new StatementClient(dispatchers.get(dispatcher), plan.deadlineMs() + ANSWER_SLACK_MS)) {
        sendUntilItEnds(client, dispatcher, random);
        departWithoutAnswer(client, random);
      } catch (IOException e) {
        // Nobody listens there for the moment.
        sleep(RECONNECT_MS);
      }
    }
  }

  private void sendUntilItEnds(StatementClient client, int dispatcher, SplittableRandom random) {
    Outcome outcome = Outcome.ANSWERED;
    while (isRunning
        && outcome != Outcome.DISCONNECTED
        && outcome != Outcome.TIMED_OUT
        && stays(random)) {
      String call = "%016x".formatted(calls.incrementAndGet());
      String profile = PROFILES[random.nextInt(PROFILES.length)];
      long asked = System.nanoTime();
      outcome = client.execute(call, profile, plan.deadlineMs(), plan.engineMs());
      entries.add(new Entry(call, profile, dispatcher, asked, System.nanoTime(), outcome));
      sleep(random.nextInt(20));
    }
  }

  private boolean stays(SplittableRandom random) {
    return !plan.hasDepartures() || random.nextInt(REQUESTS_PER_DEPARTURE) > 0;
  }

  /** Sends a request that its client does not wait for, as the last one of a connection. */
  private void departWithoutAnswer(StatementClient client, SplittableRandom random)
      throws IOException {
    if (isRunning && plan.hasDepartures()) {
      String call = "%016x".formatted(calls.incrementAndGet());
      client.send(call, "look", plan.deadlineMs(), plan.engineMs());
      sleep(random.nextInt(plan.engineMs()));
      client.close();
      departures.put(call, System.nanoTime());
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
