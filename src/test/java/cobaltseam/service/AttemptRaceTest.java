package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

/**
 * Tests attempts that wait for a connection while the state of their engine changes, the handling
 * of idempotency keys, and engines that send unsolicited answers.
 */
class AttemptRaceTest extends ServiceRig {
  /**
   * An attempt that is placed before a drain and waits for a connection must not be written to the
   * draining engine once the connection is established.
   */
  @Test
  void attemptWaitingForConnectionToDrainedEngineIsSentToAnotherEngine() throws Exception {
    EmulatedPeer available = new EmulatedPeer(true);
    UnreachableEngine unreachable = new UnreachableEngine();
    EmulatedPeer eventBus =
        start(
            ServiceRig::withLongConnectTimeout,
            SOCKETS,
            IDLE_MS,
            available.address(),
            unreachable.address());
    Message watch = eventBus.next("from 7");
    TestClient client = new TestClient(statement("once", 1, 20_000));
    awaitCounter(new TestClient(), "sends|1");
    watch.write(
        endpointEvent(8, false, endpointJson(2, unreachable.address(), "terminating")) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    EmulatedPeer drained = unreachable.acceptConnections();
    Message pull = available.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertNoPull(drained);
  }

  /**
   * Guards against a request that runs twice: its first attempt may have run, and its retry waits
   * for a connection when new settings mark its class as unsafe to repeat.
   */
  @Test
  void retryWaitingForConnectionIsNotSentOnceItsClassIsNotRepeatable(@TempDir Path folder)
      throws Exception {
    EmulatedPeer failing = new EmulatedPeer(true);
    UnreachableEngine unreachable = new UnreachableEngine();
    EmulatedPeer bus =
        start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, failing.address());
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message pull = failing.next("PULL");
    String[] engines = {
      endpointJson(1, failing.address(), "terminating"),
      endpointJson(2, unreachable.address(), "in_service")
    };
    bus.next("from 7").write(endpointEvent(8, false, engines) + "\n");
    TestClient observer = new TestClient();
    awaitCounter(observer, "bus_events|1");
    pull.answer(pull.id(), "500", "-", "");
    awaitCounter(observer, "sends|2");
    Path file = folder.resolve("configuration.json");
    service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
    String changed = configurationJson(bus.address(), SOCKETS, IDLE_MS, engines);
    Files.writeString(file, withLongConnectTimeout(changed).replace("read_like", "non_idempotent"));
    Signal.raise(new Signal("HUP"));
    awaitCounter(observer, "configurations_moved|1");
    EmulatedPeer reachable = unreachable.acceptConnections();
    assertTrue(client.readReplies().get(0).startsWith("error"));
    assertNoPull(reachable);
  }

  /**
   * Guards against a dispatcher that goes on sending after a peer may have become active: it is
   * suspended while an attempt waits for its connection.
   */
  @Test
  void attemptWaitingForConnectionIsNotSentOnceSendingIsNotPermitted() throws Exception {
    UnreachableEngine unreachable = new UnreachableEngine();
    start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, unreachable.address());
    TestClient client = new TestClient(statement("once", 1, 20_000));
    TestClient observer = new TestClient();
    awaitCounter(observer, "sends|1");
    service.inbox.post(null, () -> service.requests.setSendPermission(() -> false));
    awaitEventLoopTurn();
    EmulatedPeer reachable = unreachable.acceptConnections();
    assertEquals("error 53 pushback", client.readReplies().get(0));
    assertNoPull(reachable);
  }

  /**
   * An attempt that waits for a connection when its engine restarts is placed again, since the slow
   * start of the engine limits it.
   */
  @Test
  void attemptWaitingForConnectionToRestartedEngineIsPlacedAgain() throws Exception {
    EmulatedPeer available = new EmulatedPeer(true);
    UnreachableEngine unreachable = new UnreachableEngine();
    EmulatedPeer eventBus =
        start(
            ServiceRig::withLongConnectTimeout,
            SOCKETS,
            IDLE_MS,
            available.address(),
            unreachable.address());
    Message watch = eventBus.next("from 7");
    TestClient client = new TestClient(statement("once", 1, 20_000));
    awaitCounter(new TestClient(), "sends|1");
    String restarted =
        endpointJson(2, unreachable.address(), "in_service")
            .replace("\"boot_ms\":0", "\"boot_ms\":" + System.currentTimeMillis());
    watch.write(endpointEvent(8, false, restarted) + "\n");
    awaitCounter(new TestClient(), "sends_unreachable|1");
    Message pull = nextFromAny(available, unreachable.acceptConnections());
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * A retry that starts after the deduplication window of the earlier attempt could run the request
   * a second time.
   */
  @Test
  void retryWaitingForConnectionBeyondDeduplicationWindowIsNotSent() throws Exception {
    UnreachableEngine unreachable = new UnreachableEngine();
    EmulatedPeer first = new EmulatedPeer(true);
    start(
        configuration ->
            withLongConnectTimeout(configuration)
                .replace(
                    "\"repeat\":\"non_idempotent\"",
                    "\"repeat\":\"idempotency_key\",\"key_scope\":\"all\",\"window_us\":800000"),
        SOCKETS,
        IDLE_MS,
        unreachable.address(),
        first.address());
    TestClient client = new TestClient(statement("once", 1, 20_000));
    first.next("PULL").reset();
    first.next("closed");
    awaitCounter(new TestClient(), "sends|2");
    EmulatedPeer reachable = unreachable.acceptConnections();
    assertEquals(List.of("error 53 pushback"), client.readReplies());
    assertNoPull(reachable);
  }

  /**
   * Without its idempotency key, engines could not distinguish the retry of a request that has run
   * from a new request.
   */
  @Test
  void everyAttemptCarriesIdempotencyKeyOfItsRequest() throws Exception {
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
    Message retry = nextFromAny(one, two);
    assertTrue(retry.items().get(2).endsWith(",dedupe=k-7f:01"), retry.items().get(2));
    retry.answer(retry.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * A key with a space or of more than 128 characters would reach the engine as a different key or
   * as additional fields.
   */
  @Test
  void invalidIdempotencyKeyIsRejected() throws Exception {
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

  /**
   * Unsolicited answers must not take all processor time: the connection is closed, and the engine
   * is used again over a new one.
   */
  @Test
  void connectionOfEngineThatFloodsUnsolicitedAnswersIsClosed() throws Exception {
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
      assertTrue(service.completedRequests() > 0, "closed before its answer was processed");
    }
    engine.next("closed");
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message next = engine.next("PULL");
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }
}
