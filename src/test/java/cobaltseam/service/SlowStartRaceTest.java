package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** An engine that has just started, under the attempts of many dispatchers together. */
class SlowStartRaceTest extends ServiceRig {
  private static final int DISPATCHERS = 24;

  /** Clients of one dispatcher. */
  private static final int CLIENTS = 8;

  private static final int CALLS = 100_000;
  private static final int CONNECTS_AFTER_MS = 2500;
  private static final int TTL_MS = 3000;
  private static final int LONG_TTL_MS = 20_000;
  private static final double CORES = 4;
  private static final double COLD_FROM = 0.3;

  /** Longer than a busy machine takes to start all dispatchers: what is judged comes before. */
  private static final double WARM_WITHIN_S = 60;

  private static final double FALL_MULTIPLE = 2;
  private static final double FALL_S = 3;
  private static final double WORK_S = 0.1;
  private static final String RULES =
      "\"rules\":{\"cold_from\":%s,\"warm_within_us\":%d,\"fall_multiple\":%s,\"overload_for_us\":%d}"
          .formatted(COLD_FROM, (long) (WARM_WITHIN_S * 1e6), FALL_MULTIPLE, (long) (FALL_S * 1e6));

  private String configuration(String plain, int number, long bootMs) {
    return plain
        .replace("\"rules\":{\"cold_from\":0.3}", RULES)
        .replace(
            "\"balancers\":1,\"position\":0",
            "\"balancers\":" + DISPATCHERS + ",\"position\":" + number)
        .replace("8c1f30d27a5be964", "8c1f30d27a5b" + (1000 + number))
        .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
  }

  /**
   * What an engine may be sent by a part of all within the time after which it falls, from so many
   * seconds after its start on, and what counts as chance.
   */
  private static double most(double fromS, double part) {
    double meanWarmth = COLD_FROM + (1 - COLD_FROM) * (fromS + FALL_S / 2) / WARM_WITHIN_S;
    double allowed = part * FALL_MULTIPLE * CORES * meanWarmth * FALL_S / WORK_S;
    return allowed + 2 * Math.sqrt(allowed) + 2;
  }

  /**
   * Each dispatcher has far more requests than the engine can run: their sum has to keep to the
   * slow start.
   */
  @Test
  void allDispatchersTogetherKeepToTheSlowStartOfAnEngine() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    long boot = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    for (int i = 0; i < DISPATCHERS; i++) {
      startOne(plain -> plain, i, boot, engine.address());
      asks(i, 0, TTL_MS);
    }
    List<Sent> sent = answerAll(engine, 2 * FALL_S);
    assertTrue(sent.size() > DISPATCHERS / 2, "it is sent something: " + sent.size());
    assertKeepToRamp(sent, bootNanos, 1);
  }

  /** If attempts that wait for a connection were not counted, all of them would come at once. */
  @Test
  void attemptsThatWaitForAConnectionCountTowardTheSlowStart() throws Exception {
    UnreachableEngine engine = new UnreachableEngine();
    long boot = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    for (int i = 0; i < DISPATCHERS; i++) {
      startOne(
          plain ->
              withLongConnectTimeout(plain)
                  .replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":20000000"),
          i,
          boot,
          engine.address());
      for (int k = 0; k < CLIENTS; k++) {
        asks(i, k, LONG_TTL_MS);
      }
    }
    // Until the operating system retries the connect: the duration itself is tested.
    Thread.sleep(CONNECTS_AFTER_MS);
    List<Sent> sent = answerAll(engine.acceptConnections(), 2 * FALL_S);
    assertTrue(sent.size() > DISPATCHERS / 2, "it is sent something: " + sent.size());
    assertKeepToRamp(sent, bootNanos, 1);
  }

  /** Some see the restart late: those that know of it keep to their part, and then all do. */
  @Test
  void aRestartThatSomeSeeLateIsRespectedByTheOthersAndThenByAll() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    long boot = System.currentTimeMillis();
    long bootNanos = System.nanoTime();
    List<Message> late = new ArrayList<>();
    for (int i = 0; i < DISPATCHERS; i++) {
      boolean knows = i < DISPATCHERS / 2;
      EmulatedPeer bus = startOne(plain -> plain, i, knows ? boot : 0, engine.address());
      if (!knows) {
        late.add(bus.next("from 7"));
      }
      asks(i, 0, TTL_MS);
    }
    List<Sent> before = new ArrayList<>();
    for (int second = 0; second < FALL_S; second++) {
      for (Message watch : late) {
        // The heartbeat of an event bus without events.
        watch.write("7\n");
      }
      before.addAll(answerAll(engine, 1));
    }
    String told =
        endpointEvent(
            8,
            false,
            endpointJson(1, engine.address(), "in_service")
                .replace("\"boot_ms\":0", "\"boot_ms\":" + boot));
    for (Message watch : late) {
      watch.write(told + "\n");
    }
    // Attempts of those that did not know of the restart may still come for a while.
    answerAll(engine, 1);
    List<Sent> after = answerAll(engine, FALL_S);
    List<Sent> byThoseThatKnow =
        before.stream().filter(s -> s.dispatcher() < DISPATCHERS / 2).toList();
    assertTrue(
        !byThoseThatKnow.isEmpty() && byThoseThatKnow.size() < before.size(),
        "both send: " + before.size());
    assertKeepToRamp(byThoseThatKnow, bootNanos, 0.5);
    assertKeepToRamp(after, bootNanos, 1);
  }

  /** One request that came to the engine, and the dispatcher that sent it. */
  private record Sent(long atNanos, int dispatcher) {}

  private EmulatedPeer startOne(UnaryOperator<String> changed, int number, long boot, String engine)
      throws IOException {
    return start(
        plain -> configuration(changed.apply(plain), number, boot), SOCKETS, IDLE_MS, engine);
  }

  /** A client of the dispatcher started last that sends statements without a pause. */
  private void asks(int dispatcher, int client, int ttlMs) throws IOException {
    TestClient session = new TestClient();
    int first = (dispatcher * CLIENTS + client) * CALLS;
    startDaemon(
        () -> {
          for (int call = first; !session.socket.isClosed(); call++) {
            session.execute(statement("look", call, ttlMs));
          }
        });
  }

  /** Answers at once all requests that come within so many seconds. */
  private static List<Sent> answerAll(EmulatedPeer engine, double seconds) throws Exception {
    List<Sent> sent = new ArrayList<>();
    long until = System.nanoTime() + (long) (seconds * 1e9);
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      Message message = engine.received.poll(left, TimeUnit.NANOSECONDS);
      if (message != null && message.items().get(0).equals("PULL")) {
        sent.add(
            new Sent(message.readAtNanos(), Integer.parseInt(message.id(), 16) / CALLS / CLIENTS));
        message.answer(message.id(), "200", "pages=1", ROWS);
      }
    }
    return sent;
  }

  /**
   * An engine that is warm may be sent anything: what comes later than the slow start counts in no
   * window.
   *
   * @param part of all dispatchers, those that sent this
   */
  private static void assertKeepToRamp(List<Sent> sent, long bootNanos, double part) {
    double warmAtNanos = bootNanos + WARM_WITHIN_S * 1e9;
    List<Sent> whileWarming = sent.stream().filter(s -> s.atNanos() < warmAtNanos).toList();
    assertTrue(
        whileWarming.size() > part * DISPATCHERS / 2,
        "sent during the slow start: " + whileWarming.size() + " of " + sent.size());
    for (Sent first : whileWarming) {
      long from = first.atNanos();
      long within =
          whileWarming.stream()
              .filter(s -> s.atNanos() >= from && s.atNanos() < from + FALL_S * 1e9)
              .count();
      double most = most((from - bootNanos) / 1e9, part);
      assertTrue(within <= most, within + " within the time after which it falls, at most " + most);
    }
  }
}
