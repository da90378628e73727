package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests that many dispatchers together keep to the slow start of an engine. */
class SlowStartRaceTest extends ServiceRig {
  private static final int DISPATCHERS = 24;

  /** The number of clients of one dispatcher. */
  private static final int CLIENTS = 8;

  private static final int CALLS_PER_CLIENT = 100_000;
  private static final int CONNECT_RETRY_MS = 2500;
  private static final int TTL_MS = 3000;
  private static final int LONG_TTL_MS = 20_000;
  private static final double CORES = 4;
  private static final double COLD_FRACTION = 0.3;

  /**
   * The duration of the slow start. It has to be longer than the start of all dispatchers takes,
   * since only attempts during the slow start are checked.
   */
  private static final double WARM_UP_S = 60;

  /** An engine fails if it is sent more than this multiple of its capacity for OVERLOAD_S. */
  private static final double OVERLOAD_MULTIPLE = 2;

  private static final double OVERLOAD_S = 3;
  private static final double WORK_S = 0.1;
  private static final String RULES =
      "\"rules\":{\"cold_from\":%s,\"warm_within_us\":%d,\"fall_multiple\":%s,\"overload_for_us\":%d}"
          .formatted(
              COLD_FRACTION,
              (long) (WARM_UP_S * 1e6),
              OVERLOAD_MULTIPLE,
              (long) (OVERLOAD_S * 1e6));

  private String configuration(String configuration, int number, long bootMs) {
    return configuration
        .replace("\"rules\":{\"cold_from\":0.3}", RULES)
        .replace(
            "\"balancers\":1,\"position\":0",
            "\"balancers\":" + DISPATCHERS + ",\"position\":" + number)
        .replace("8c1f30d27a5be964", "8c1f30d27a5b" + (1000 + number))
        .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
  }

  /**
   * Returns the number of attempts that an engine may be sent within {@link #OVERLOAD_S}, plus a
   * margin for random variation.
   *
   * @param fromS the start of that time, in seconds after the start of the engine
   * @param fraction the fraction of all dispatchers that send
   */
  private static double maxAttempts(double fromS, double fraction) {
    double meanCapacityFraction =
        COLD_FRACTION + (1 - COLD_FRACTION) * (fromS + OVERLOAD_S / 2) / WARM_UP_S;
    double allowed =
        fraction * OVERLOAD_MULTIPLE * CORES * meanCapacityFraction * OVERLOAD_S / WORK_S;
    return allowed + 2 * Math.sqrt(allowed) + 2;
  }

  /**
   * Each dispatcher has far more requests than the engine can run: their attempts together have to
   * keep to the slow start.
   */
  @Test
  void allDispatchersTogetherKeepToSlowStartOfEngine() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    long bootMs = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    for (int i = 0; i < DISPATCHERS; i++) {
      startDispatcher(plain -> plain, i, bootMs, engine.address());
      startClient(i, 0, TTL_MS);
    }
    List<SentAttempt> sent = answerAll(engine, 2 * OVERLOAD_S);
    assertTrue(sent.size() > DISPATCHERS / 2, "the engine is sent attempts: " + sent.size());
    assertKeepToSlowStart(sent, bootNanos, 1);
  }

  /**
   * If attempts that wait for a connection were not counted, all of them would reach the engine at
   * once.
   */
  @Test
  void attemptsWaitingForConnectionCountTowardSlowStart() throws Exception {
    UnreachableEngine engine = new UnreachableEngine();
    long bootMs = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    for (int i = 0; i < DISPATCHERS; i++) {
      startDispatcher(
          plain ->
              withLongConnectTimeout(plain)
                  .replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":20000000"),
          i,
          bootMs,
          engine.address());
      for (int k = 0; k < CLIENTS; k++) {
        startClient(i, k, LONG_TTL_MS);
      }
    }
    // Long enough for the operating system to retry the connects: the duration itself is tested.
    Thread.sleep(CONNECT_RETRY_MS);
    List<SentAttempt> sent = answerAll(engine.acceptConnections(), 2 * OVERLOAD_S);
    assertTrue(sent.size() > DISPATCHERS / 2, "the engine is sent attempts: " + sent.size());
    assertKeepToSlowStart(sent, bootNanos, 1);
  }

  /**
   * Half of the dispatchers are notified of the restart late. Until then the others keep to their
   * share of the slow start; afterwards all together keep to it.
   */
  @Test
  void restartReportedLateToSomeDispatchersIsRespectedByOthersThenByAll() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    long bootMs = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    List<Message> lateWatches = new ArrayList<>();
    for (int i = 0; i < DISPATCHERS; i++) {
      boolean isNotified = i < DISPATCHERS / 2;
      EmulatedPeer bus =
          startDispatcher(plain -> plain, i, isNotified ? bootMs : 0, engine.address());
      if (!isNotified) {
        lateWatches.add(bus.next("from 7"));
      }
      startClient(i, 0, TTL_MS);
    }
    List<SentAttempt> before = new ArrayList<>();
    for (int second = 0; second < OVERLOAD_S; second++) {
      for (Message watch : lateWatches) {
        // The heartbeat of an event bus without events.
        watch.write("7\n");
      }
      before.addAll(answerAll(engine, 1));
    }
    String restartEvent =
        endpointEvent(
            8,
            false,
            endpointJson(1, engine.address(), "in_service")
                .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs));
    for (Message watch : lateWatches) {
      watch.write(restartEvent + "\n");
    }
    // Attempts of the dispatchers that did not know of the restart may still arrive for a while.
    answerAll(engine, 1);
    List<SentAttempt> after = answerAll(engine, OVERLOAD_S);
    List<SentAttempt> byNotifiedDispatchers =
        before.stream().filter(s -> s.dispatcher() < DISPATCHERS / 2).toList();
    assertTrue(
        !byNotifiedDispatchers.isEmpty() && byNotifiedDispatchers.size() < before.size(),
        "both groups send: " + before.size());
    assertKeepToSlowStart(byNotifiedDispatchers, bootNanos, 0.5);
    assertKeepToSlowStart(after, bootNanos, 1);
  }

  /** An attempt that reached the engine, and the dispatcher that sent it. */
  private record SentAttempt(long atNanos, int dispatcher) {}

  private EmulatedPeer startDispatcher(
      UnaryOperator<String> change, int number, long bootMs, String engine) throws IOException {
    return start(
        plain -> configuration(change.apply(plain), number, bootMs), SOCKETS, IDLE_MS, engine);
  }

  /** Starts a client of the last started dispatcher that sends statements without a pause. */
  private void startClient(int dispatcher, int client, int ttlMs) throws IOException {
    TestClient session = new TestClient();
    int first = (dispatcher * CLIENTS + client) * CALLS_PER_CLIENT;
    startDaemon(
        () -> {
          for (int call = first; !session.socket.isClosed(); call++) {
            session.execute(statement("look", call, ttlMs));
          }
        });
  }

  /** Answers each request immediately, for this many seconds. */
  private static List<SentAttempt> answerAll(EmulatedPeer engine, double seconds) throws Exception {
    List<SentAttempt> sent = new ArrayList<>();
    long endNanos = System.nanoTime() + (long) (seconds * 1e9);
    for (long left = endNanos - System.nanoTime(); left > 0; left = endNanos - System.nanoTime()) {
      Message message = engine.received.poll(left, TimeUnit.NANOSECONDS);
      if (message != null && message.items().get(0).equals("PULL")) {
        sent.add(
            new SentAttempt(
                message.readAtNanos(),
                Integer.parseInt(message.id(), 16) / CALLS_PER_CLIENT / CLIENTS));
        message.answer(message.id(), "200", "pages=1", ROWS);
      }
    }
    return sent;
  }

  /**
   * Asserts that attempts keep to the slow start of the engine. Attempts after the slow start are
   * ignored, since a warm engine has no such limit.
   *
   * @param fraction the fraction of all dispatchers that sent these attempts
   */
  private static void assertKeepToSlowStart(
      List<SentAttempt> sent, long bootNanos, double fraction) {
    double warmAtNanos = bootNanos + WARM_UP_S * 1e9;
    List<SentAttempt> whileWarming = sent.stream().filter(s -> s.atNanos() < warmAtNanos).toList();
    assertTrue(
        whileWarming.size() > fraction * DISPATCHERS / 2,
        "sent during the slow start: " + whileWarming.size() + " of " + sent.size());
    for (SentAttempt first : whileWarming) {
      long from = first.atNanos();
      long inWindow =
          whileWarming.stream()
              .filter(s -> s.atNanos() >= from && s.atNanos() < from + OVERLOAD_S * 1e9)
              .count();
      double limit = maxAttempts((from - bootNanos) / 1e9, fraction);
      assertTrue(inWindow <= limit, inWindow + " attempts within OVERLOAD_S, at most " + limit);
    }
  }
}
