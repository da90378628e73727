package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Answers that are cut off, never end or come late, for a request class that is idempotent and one
 * that is not.
 */
class AnswerRaceTest extends ServiceRig {
  private static void answerWell(Message pull) throws Exception {
    pull.answer(pull.id(), "200", "pages=1", ROWS);
  }

  /**
   * The answer and the end of its connection are read together: the answer counts, without a retry.
   */
  @Test
  void anAnswerCountsThoughItsConnectionEndsRightBehindIt() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = poll(one, two);
    CountDownLatch held = holdUpSockets();
    answerWell(pull);
    pull.from().close();
    held.countDown();
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(client.ask("SHOW cobaltseam.counters").contains("sends|1"), "it was sent again");
  }

  /** The client gets all pages of a result or none. */
  @Test
  void aResultCutOffBetweenPagesIsRetriedWhereThatIsAllowed() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message first = poll(one, two);
    first.answer(first.id(), "200", "pages=2", ROWS);
    assertEquals("SCROLL", poll(one, two).items().get(0));
    first.reset();
    Message again = poll(one, two);
    assertEquals(first.id(), again.id());
    answerWell(again);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.readReplies());
  }

  @Test
  void aResultCutOffFailsARequestThatIsNotIdempotent() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = poll(one, two);
    first.write("*4\r\n$16\r\n" + first.id().substring(0, 7));
    first.reset();
    assertEquals(List.of("error 58"), client.readReplies());
    TestClient watch = new TestClient();
    assertTrue(watch.ask("SHOW cobaltseam.counters").contains("sends|1"));
  }

  /**
   * The answer announces bytes that never come: the attempt times out early enough for a retry, and
   * the client gets nothing of it.
   */
  @Test
  void anAnswerThatNeverEndsTimesOutAndIsRetried() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message first = poll(one, two);
    first.write("*4\r\n$16\r\n" + first.id() + "\r\n$3\r\n200\r\n$7\r\npages=1\r\n$48000\r\nhalf");
    Message again = poll(one, two);
    assertEquals(first.id(), again.id());
    assertNotEquals(first.from(), again.from());
    answerWell(again);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.readReplies());
  }

  /**
   * Nothing comes, or a part, or the first of two pages: the request may have run, so it fails in
   * time and is not retried.
   */
  @Test
  void aRequestThatIsNotIdempotentFailsWhateverPartOfItsAnswerIsMissing() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient();
    String first = "*4\r\n$16\r\n%s\r\n$3\r\n200\r\n$7\r\npages=%d\r\n$%d\r\n%s";
    int call = 0;
    for (String part :
        List.of(
            "",
            first.formatted("ID", 1, 48_000, "half"),
            first.formatted("ID", 2, ROWS.length(), ROWS + "\r\n"))) {
      client.query(client.out, statement("once", ++call, 1500));
      Message pull = poll(one, two);
      pull.write(part.replace("ID", pull.id()));
      assertEquals(List.of("error 58"), client.readReplies(), part);
    }
    assertNoSecondPull(one);
    assertNoSecondPull(two);
  }

  private static void assertNoSecondPull(EmulatedPeer peer) {
    assertTrue(
        peer.received.stream().noneMatch(m -> m.items().get(0).equals("PULL")),
        peer.received.toString());
  }

  /**
   * The connection is reset long after its last answer, and would lose the next attempt if it were
   * used.
   */
  @Test
  void aConnectionResetWhileIdleIsNotReused() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = engine.next("PULL");
    answerWell(first);
    assertEquals("SELECT 2", client.readReplies().get(2));
    first.reset();
    engine.next("closed");
    await(client, "engine_connections_closed|1");
    client.query(client.out, statement("once", 2, 20_000));
    Message second = engine.next("PULL");
    assertNotEquals(first.from(), second.from());
    answerWell(second);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** The second answer to a request is dropped, and not taken for that of the next request. */
  @Test
  void aLateSecondAnswerIsNotTakenForThatOfTheNextRequest() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    Message first = engine.next("PULL");
    answerWell(first);
    assertEquals("SELECT 2", client.readReplies().get(2));
    client.query(client.out, statement("once", 2, 20_000));
    Message second = engine.next("PULL");
    assertEquals(first.from(), second.from());
    first.answer(first.id(), "200", "pages=1", "wrong\t0\tx\n");
    second.answer(second.id(), "200", "pages=1", "c\t3\tz\n");
    assertEquals(List.of("c|3|z", "SELECT 1"), client.readReplies());
  }
}
