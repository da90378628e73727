package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts that wait for a connection while their engine changes, and engines that flood. */
class AttemptRaceTest extends ServiceRig {
  /** Placed before the drain and written after it, the attempt would break the drain. */
  @Test
  void anAttemptThatWaitsForAConnectionToADrainedEngineGoesToAnother() throws Exception {
    EmulatedPeer sound = new EmulatedPeer(true);
    UnreachableEngine crowded = new UnreachableEngine();
    EmulatedPeer bus =
        start(
            ServiceRig::withLongConnectTimeout,
            SOCKETS,
            IDLE_MS,
            sound.address(),
            crowded.address());
    Message watch = bus.next("from 7");
    TestClient client = new TestClient(statement("once", 1, 20_000));
    awaitCounter(new TestClient(), "sends|1");
    watch.write(endpointEvent(8, false, endpointJson(2, crowded.address(), "terminating")) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    EmulatedPeer drained = crowded.acceptConnections();
    Message pull = sound.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertNoPull(drained);
  }

  /** A restarted engine warms up: an attempt that waits for it is limited by its slow start. */
  @Test
  void anAttemptThatWaitsForAConnectionToARestartedEngineIsPlacedAgain() throws Exception {
    EmulatedPeer sound = new EmulatedPeer(true);
    UnreachableEngine crowded = new UnreachableEngine();
    EmulatedPeer bus =
        start(
            ServiceRig::withLongConnectTimeout,
            SOCKETS,
            IDLE_MS,
            sound.address(),
            crowded.address());
    Message watch = bus.next("from 7");
    TestClient client = new TestClient(statement("once", 1, 20_000));
    awaitCounter(new TestClient(), "sends|1");
    String anew =
        endpointJson(2, crowded.address(), "in_service")
            .replace("\"boot_ms\":0", "\"boot_ms\":" + System.currentTimeMillis());
    watch.write(endpointEvent(8, false, anew) + "\n");
    awaitCounter(new TestClient(), "sends_unreachable|1");
    Message pull = nextFromAny(sound, crowded.acceptConnections());
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * A retry that starts after engines have forgotten the attempt before could take effect twice.
   */
  @Test
  void aRetryThatWaitsForAConnectionBeyondTheDeduplicationWindowIsNotSent() throws Exception {
    UnreachableEngine crowded = new UnreachableEngine();
    EmulatedPeer first = new EmulatedPeer(true);
    start(
        configuration ->
            withLongConnectTimeout(configuration)
                .replace(
                    "\"repeat\":\"non_idempotent\"",
                    "\"repeat\":\"idempotency_key\",\"key_scope\":\"all\",\"window_us\":800000"),
        SOCKETS,
        IDLE_MS,
        crowded.address(),
        first.address());
    TestClient client = new TestClient(statement("once", 1, 20_000));
    first.next("PULL").reset();
    first.next("closed");
    awaitCounter(new TestClient(), "sends|2");
    EmulatedPeer late = crowded.acceptConnections();
    assertEquals(List.of("error 53 pushback"), client.readReplies());
    assertNoPull(late);
  }

  /**
   * Without the key, engines could not tell the retry of a request that has run from a new request.
   */
  @Test
  void eachAttemptOfARequestCarriesItsIdempotencyKey() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(
        configuration ->
            configuration.replace(
                "\"repeat\":\"non_idempotent\"",
                "\"repeat\":\"idempotency_key\",\"key_scope\":\"all\",\"window_us\":10000000"),
        SOCKETS,
        IDLE_MS,
        one.address(),
        two.address());
    TestClient client =
        new TestClient(statement("once", 1, 20_000).replace("op=", "dedupe=k-7f:01,op="));
    Message first = nextFromAny(one, two);
    assertTrue(first.items().get(2).endsWith(",dedupe=k-7f:01"), first.items().get(2));
    first.reset();
    Message again = nextFromAny(one, two);
    assertTrue(again.items().get(2).endsWith(",dedupe=k-7f:01"), again.items().get(2));
    again.answer(again.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** Such a key would reach the engine as another key, or as further fields. */
  @Test
  void anUnusableIdempotencyKeyIsRejected() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    assertEquals(
        List.of("error 42"),
        client.execute(idempotentStatement(1, 3000).replace("op=", "dedupe=a b,op=")));
    assertEquals(
        List.of("error 42"),
        client.execute(
            idempotentStatement(1, 3000).replace("op=", "dedupe=" + "k".repeat(129) + ",op=")));
    assertTrue(engine.received.isEmpty());
  }

  /** Unsolicited answers must not take all the processor time; other engines are still used. */
  @Test
  void anEngineThatFloodsWithUnsolicitedAnswersLosesItsConnection() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    try {
      for (int i = 0; i < 2000; i++) {
        pull.answer(pull.id(), "200", "pages=1", ROWS);
      }
    } catch (IOException e) {
      assertTrue(service.completedRequests() > 0, "closed while it was still answering");
    }
    engine.next("closed");
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message next = engine.next("PULL");
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }
}
