package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Tests answers of engines: complete, invalid and repeated answers, and answers that arrive while
 * the process is stalled.
 */
class EngineAnswersTest extends ServiceRig {
  private static final int LONG_DEADLINE_MS = 20_000;

  /** How much longer than the timeout of its attempt a service is stalled. */
  private static final int OVERDUE_MS = 500;

  private static String withLongDeadline(String configuration) {
    return configuration.replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":60000000");
  }

  /** Returns the time after which the attempt of a request times out, in milliseconds. */
  private static int timeToLiveMs(Message pull) {
    String fields = pull.items().get(2);
    return Integer.parseInt(fields.substring(fields.indexOf("ttl=") + "ttl=".length()));
  }

  @Test
  void allPagesOfResultReachClient() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    assertEquals("SELECT n FROM a_1.t", pull.items().get(3));
    assertTrue(pull.items().get(2).matches("lane=look,ttl=[0-9]+"), pull.items().get(2));
    pull.answer(pull.id(), "status", "why=progress,v=0.5", "");
    pull.answer(pull.id(), "200", "pages=3,rep=pending:0", ROWS);
    assertEquals(List.of("SCROLL", pull.id(), "1"), engine.next().items());
    assertEquals(List.of("SCROLL", pull.id(), "2"), engine.next().items());
    pull.answer(pull.id(), "chunk", "page=2", "d\t\t\n");
    pull.answer(pull.id(), "chunk", "page=1", "c\t3\tz\n");
    assertEquals(List.of("a|1|x", "b|2|y", "c|3|z", "d||", "SELECT 4"), client.readReplies());
    assertEquals(List.of("empty"), client.execute(" ; "));
    assertTrue(client.execute("SHOW cobaltseam.counters;").contains("commands_answered|1"));
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message again = engine.next("PULL");
    assertEquals(pull.from(), again.from(), "an idle connection is reused");
    again.answer(again.id(), "200", "pages=1", "");
    assertEquals(List.of("SELECT 0"), client.readReplies());
  }

  @Test
  void onlyIdempotentOrNeverRunAttemptsAreRetried() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = nextFromAny(one, two);
    first.answer(first.id(), "503", "-", "");
    Message second = nextFromAny(one, two);
    second.reset();
    Message third = nextFromAny(one, two);
    assertEquals(
        "PULL",
        third.items().get(0),
        "it may have run before the reset, but its class is idempotent");
    third.answer(third.id(), "200", "pages=1", ROWS);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.readReplies());
    client.writeQuery(client.out, statement("once", 2, 3000));
    Message nonIdempotent = nextFromAny(one, two);
    nonIdempotent.reset();
    assertEquals(
        List.of("error 58"), client.readReplies(), "it may have run: neither retried nor shed");
  }

  @Test
  void invalidAnswerFailsOnlyItsAttempt() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 3000));
    Message pull = engine.next("PULL");
    pull.answer("0000000000000009", "200", "pages=1", ROWS);
    pull.answer(pull.id(), "200", "pages=1", "half a row");
    engine.next("closed");
    assertEquals(List.of("error 58"), client.readReplies());
    client.writeQuery(client.out, statement("once", 2, 3000));
    engine.next("PULL").write("*nonsense\r\n");
    assertEquals("closed", engine.next().items().get(0));
    assertEquals(List.of("error 58"), client.readReplies());
    client.writeQuery(client.out, idempotentStatement(3, 3000));
    Message valid = engine.next("PULL");
    valid.answer(valid.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  @Test
  void repeatedAnswersAreIgnored() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    for (int i = 0; i < 2; i++) {
      pull.answer("00000000000000ff", "200", "pages=1", ROWS);
      pull.answer(pull.id(), "200", "pages=2", ROWS);
    }
    engine.next("SCROLL");
    for (int i = 0; i < 2; i++) {
      pull.answer(pull.id(), "chunk", "page=1", "c\t3\tz\n");
    }
    assertEquals(List.of("a|1|x", "b|2|y", "c|3|z", "SELECT 3"), client.readReplies());
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message again = engine.next("PULL");
    assertEquals(pull.from(), again.from(), "repeated answers do not close the connection");
    again.answer(again.id(), "200", "pages=1", "");
    assertEquals(List.of("SELECT 0"), client.readReplies());
  }

  /** Answers posted while the event loop is stalled must be processed before overdue timeouts. */
  @Test
  void postedAnswersAreProcessedBeforeOverdueTimeout() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(EngineAnswersTest::withLongDeadline, SOCKETS, IDLE_MS, engine.address());
    TestClient client = new TestClient(idempotentStatement(1, LONG_DEADLINE_MS));
    Message pull = engine.next("PULL");
    CountDownLatch release = blockEventLoop();
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    // Longer than the timeout of the attempt: the duration itself is tested.
    Thread.sleep(timeToLiveMs(pull) + OVERDUE_MS);
    release.countDown();
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(engine.received.isEmpty(), "abandoned although its answer had arrived");
  }

  /**
   * If the I/O thread is stalled too, the answer is still unread in the kernel's buffers when the
   * timeout of its attempt is overdue.
   */
  @Test
  void unreadAnswersAreReadBeforeOverdueTimeout() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(EngineAnswersTest::withLongDeadline, SOCKETS, IDLE_MS, engine.address());
    TestClient client = new TestClient(idempotentStatement(1, LONG_DEADLINE_MS));
    Message pull = engine.next("PULL");
    CountDownLatch release = blockEventLoop();
    CountDownLatch releaseIoThread = blockIoThread();
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    // Longer than the timeout of the attempt: the duration itself is tested.
    Thread.sleep(timeToLiveMs(pull) + OVERDUE_MS);
    release.countDown();
    awaitEventLoopTurn();
    releaseIoThread.countDown();
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(engine.received.isEmpty(), "abandoned although its answer had arrived");
  }
}
