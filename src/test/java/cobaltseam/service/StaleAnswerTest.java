package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests answers that arrive after their attempt has ended, while the next attempt of the same
 * request is in flight. Both attempts carry the call id of the request.
 */
class StaleAnswerTest extends ServiceRig {
  private static final String RIGHT_ROW = "right\t1\tx\n";
  private static final String STALE_ROW = "stale\t1\tx\n";
  private static final int SOCKETS_FOR_ONE_CONNECTION = 5;

  static Stream<Arguments> staleAnswers() {
    return Stream.of(
        Arguments.of("500", "-", ""),
        Arguments.of("503", "-", ""),
        Arguments.of("504", "-", ""),
        Arguments.of("200", "pages=1", STALE_ROW),
        Arguments.of("200", "pages=2", STALE_ROW),
        Arguments.of("200", "pages=0", ""),
        Arguments.of("chunk", "page=1", STALE_ROW),
        Arguments.of("status", "why=blocked,v=2", ""));
  }

  private static void assertTwoAttempts(TestClient client) throws IOException {
    assertTrue(client.execute("SHOW cobaltseam.counters").contains("sends|2"));
  }

  /** Guards against two attempts in flight: a stale answer must not end the next attempt. */
  @ParameterizedTest
  @MethodSource("staleAnswers")
  void staleAnswerDoesNotReachNextAttempt(String code, String fields, String body)
      throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "500", "-", "");
    Message second = engine.next("PULL");
    first.answer(first.id(), code, fields, body);
    awaitRead();
    second.answer(second.id(), "200", "pages=1", RIGHT_ROW);
    assertEquals(List.of("right|1|x", "SELECT 1"), client.readReplies());
    assertTwoAttempts(client);
  }

  /**
   * Guards against two attempts in flight: each lost page of a result is answered with an error.
   */
  @Test
  void errorsOfSeveralPagesEndOneAttempt() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "200", "pages=4", STALE_ROW);
    for (int page = 1; page < 4; page++) {
      engine.next("SCROLL");
    }
    first.answer(first.id(), "500", "-", "");
    Message second = engine.next("PULL");
    first.answer(first.id(), "500", "-", "");
    first.answer(first.id(), "500", "-", "");
    awaitRead();
    second.answer(second.id(), "200", "pages=1", RIGHT_ROW);
    assertEquals(List.of("right|1|x", "SELECT 1"), client.readReplies());
    assertTwoAttempts(client);
  }

  /** Guards against mixed results: a stale page must not become part of the next attempt's rows. */
  @Test
  void stalePageDoesNotReachNextResult() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "200", "pages=3", STALE_ROW);
    engine.next("SCROLL");
    engine.next("SCROLL");
    first.answer(first.id(), "500", "-", "");
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=2", RIGHT_ROW);
    engine.next("SCROLL");
    first.answer(first.id(), "chunk", "page=1", STALE_ROW);
    awaitRead();
    second.answer(second.id(), "chunk", "page=1", RIGHT_ROW);
    assertEquals(List.of("right|1|x", "right|1|x", "SELECT 2"), client.readReplies());
  }

  /** Guards against an eviction from a bounded memory: the second retry avoids both connections. */
  @Test
  void thirdAttemptAvoidsConnectionsOfBothEarlierAttempts() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "503", "-", "");
    Message second = engine.next("PULL");
    second.answer(second.id(), "503", "-", "");
    Message third = engine.next("PULL");
    assertNotEquals(first.from(), second.from());
    assertNotEquals(first.from(), third.from());
    assertNotEquals(second.from(), third.from());
    third.answer(third.id(), "200", "pages=1", RIGHT_ROW);
    assertEquals(List.of("right|1|x", "SELECT 1"), client.readReplies());
  }

  /** Guards against a request that can't be retried because the pool of connections is full. */
  @Test
  void retryReplacesIdleConnectionWhenNoMoreMayBeOpen() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(SOCKETS_FOR_ONE_CONNECTION, IDLE_MS, engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "500", "-", "");
    Message second = nextFromAny(engine);
    assertNotEquals(first.from(), second.from());
    second.answer(second.id(), "200", "pages=1", RIGHT_ROW);
    assertEquals(List.of("right|1|x", "SELECT 1"), client.readReplies());
  }
}
