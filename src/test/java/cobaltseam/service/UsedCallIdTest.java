package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Call ids that come again after the client of the earlier request has left or got its answer. */
class UsedCallIdTest extends ServiceRig {
  private static final List<String> REJECTED = List.of("error 42");

  private static String callId(int number) {
    return "%016x".formatted(number);
  }

  /** Guards against a request that runs twice since its client left and the id came again. */
  @ParameterizedTest
  @ValueSource(strings = {"look", "once"})
  void idWhoseClientLeftDoesNotRunAgain(String requestClass) throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient observer = new TestClient();
    TestClient leaving = new TestClient(statement(requestClass, 1, 10_000));
    engine.next("PULL");
    leaving.close();
    awaitCounter(observer, "commands_departed|1");
    assertEquals(REJECTED, observer.execute(statement(requestClass, 1, 10_000)));
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|1"));
  }

  /** As above, with a client that cancels its request in place of closing its connection. */
  @Test
  void cancelledIdDoesNotRunAgain() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient observer = new TestClient();
    TestClient cancelling = new TestClient(statement("once", 1, 10_000));
    engine.next("PULL");
    try (Socket connection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      connection.getOutputStream().write(cancelling.cancelRequest());
      awaitCounter(observer, "commands_departed|1");
    }
    assertEquals(REJECTED, observer.execute(statement("once", 1, 10_000)));
  }

  /** The client may have left without reading the answer. */
  @Test
  void answeredIdDoesNotRunAgain() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertEquals(REJECTED, client.execute(idempotentStatement(1, 10_000)));
  }

  /** An engine that had no capacity has surely not run the request, which may come again. */
  @Test
  void idThatNeverRanMayComeAgain() throws Exception {
    UnreachableEngine engine = new UnreachableEngine();
    start(ServiceFixtures::withLongConnectTimeout, SOCKETS, IDLE_MS, engine.address());
    TestClient observer = new TestClient();
    TestClient leaving = new TestClient(idempotentStatement(1, 10_000));
    awaitCounter(observer, "sends|1");
    leaving.close();
    awaitCounter(observer, "commands_departed|1");
    EmulatedPeer reachable = engine.acceptConnections();
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = reachable.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  @Test
  void memoryOfIdsIsBounded() {
    UsedCallIds ids = new UsedCallIds();
    for (int number = 0; number <= 2 * UsedCallIds.IDS_PER_GENERATION; number++) {
      ids.add(callId(number));
      assertTrue(ids.contains(callId(number)));
      assertTrue(ids.contains(callId(Math.max(0, number - UsedCallIds.IDS_PER_GENERATION + 1))));
    }
    assertFalse(ids.contains(callId(0)), "the oldest ids are forgotten");
    assertFalse(ids.contains("ffffffffffffffff"));
  }
}
