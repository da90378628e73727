package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Answers that are truncated, never end or arrive late, for an idempotent and a non-idempotent
 * request class.
 */
class AnswerRaceTest extends ServiceRig {
  private static void answerWithOnePage(Message pull) throws Exception {
    pull.answer(pull.id(), "200", "pages=1", ROWS);
  }

  /**
   * The answer and the end of its connection are read in the same round. A retry here would run the
   * request twice.
   */
  @Test
  void answerIsAcceptedWhenItsConnectionClosesRightAfterIt() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = nextFromAny(firstEngine, secondEngine);
    CountDownLatch resume = blockIoThread();
    answerWithOnePage(pull);
    pull.from().close();
    resume.countDown();
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(
        client.execute("SHOW cobaltseam.counters").contains("sends|1"), "the request was retried");
  }

  /** The client must receive either all pages of one result or none of them. */
  @Test
  void idempotentRequestIsRetriedWhenTheConnectionIsLostBetweenPages() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message first = nextFromAny(firstEngine, secondEngine);
    first.answer(first.id(), "200", "pages=2", ROWS);
    assertEquals("SCROLL", nextFromAny(firstEngine, secondEngine).items().get(0));
    first.reset();
    Message retry = nextFromAny(firstEngine, secondEngine);
    assertEquals(first.id(), retry.id());
    answerWithOnePage(retry);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.readReplies());
  }

  @Test
  void nonIdempotentRequestFailsWhenTheConnectionIsLostDuringItsAnswer() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = nextFromAny(firstEngine, secondEngine);
    first.write("*4\r\n$16\r\n" + first.id().substring(0, 7));
    first.reset();
    assertEquals(List.of("error 58"), client.readReplies());
    TestClient observer = new TestClient();
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|1"));
  }

  /**
   * The answer announces more bytes than the engine sends. The attempt has to time out early enough
   * for a retry, and the client must get no part of the incomplete answer.
   */
  @Test
  void idempotentRequestIsRetriedWhenItsAnswerNeverEnds() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message first = nextFromAny(firstEngine, secondEngine);
    first.write("*4\r\n$16\r\n" + first.id() + "\r\n$3\r\n200\r\n$7\r\npages=1\r\n$48000\r\nhalf");
    Message retry = nextFromAny(firstEngine, secondEngine);
    assertEquals(first.id(), retry.id());
    assertNotEquals(first.from(), retry.from());
    answerWithOnePage(retry);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.readReplies());
  }

  /**
   * The engine sends nothing, a part of an answer, or the first of two pages. The request may have
   * run, so it has to fail before its deadline and must not be retried.
   */
  @Test
  void nonIdempotentRequestFailsWhateverPartOfItsAnswerIsMissing() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient();
    String first = "*4\r\n$16\r\n%s\r\n$3\r\n200\r\n$7\r\npages=%d\r\n$%d\r\n%s";
    int callNumber = 0;
    for (String part :
        List.of(
            "",
            first.formatted("ID", 1, 48_000, "half"),
            first.formatted("ID", 2, ROWS.length(), ROWS + "\r\n"))) {
      client.writeQuery(client.out, statement("once", ++callNumber, 1500));
      Message pull = nextFromAny(firstEngine, secondEngine);
      pull.write(part.replace("ID", pull.id()));
      assertEquals(List.of("error 58"), client.readReplies(), part);
    }
    assertNoSecondPull(firstEngine);
    assertNoSecondPull(secondEngine);
  }

  private static void assertNoSecondPull(EmulatedPeer peer) {
    assertTrue(
        peer.received.stream().noneMatch(message -> message.items().get(0).equals("PULL")),
        peer.received.toString());
  }

  /** The connection is reset while idle; an attempt that is sent on it would be lost. */
  @Test
  void idleConnectionThatWasResetIsNotReused() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = engine.next("PULL");
    answerWithOnePage(first);
    assertEquals("SELECT 2", client.readReplies().get(2));
    first.reset();
    engine.next("closed");
    awaitCounter(client, "engine_connections_closed|1");
    client.writeQuery(client.out, statement("once", 2, 20_000));
    Message second = engine.next("PULL");
    assertNotEquals(first.from(), second.from());
    answerWithOnePage(second);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * The engine answers a request twice, the second time when the next request is open on the same
   * connection. The duplicate has to be dropped.
   */
  @Test
  void duplicateAnswerIsNotDeliveredToTheNextRequest() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = engine.next("PULL");
    answerWithOnePage(first);
    assertEquals("SELECT 2", client.readReplies().get(2));
    client.writeQuery(client.out, statement("once", 2, 20_000));
    Message second = engine.next("PULL");
    assertEquals(first.from(), second.from());
    first.answer(first.id(), "200", "pages=1", "wrong\t0\tx\n");
    second.answer(second.id(), "200", "pages=1", "c\t3\tz\n");
    assertEquals(List.of("c|3|z", "SELECT 1"), client.readReplies());
  }
}
