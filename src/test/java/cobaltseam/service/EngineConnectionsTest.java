package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests sharing, reuse, refusal and closing of connections to engines. */
class EngineConnectionsTest extends ServiceRig {
  private static final int SOCKETS_FOR_ONE_CONNECTION = 5;

  /**
   * An engine behind a network partition reads no cancel message: only closing its connection ends
   * the attempt reliably.
   */
  @Test
  void attemptIsCancelledByClosingItsConnectionBeforeRetry() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("look", 1, 1500));
    Message silent = engine.next("PULL");
    List<Message> next = List.of(engine.next(), engine.next());
    assertEquals(
        Set.of("closed", "PULL"), Set.of(next.get(0).items().get(0), next.get(1).items().get(0)));
    assertTrue(silent.from().getInputStream().read() < 0);
    assertEquals(List.of("error 53 pushback"), client.readReplies());
    assertEquals(List.of("empty"), client.execute(""));
  }

  @Test
  void attemptWithRefusedConnectionCountsAsNeverRun() throws Exception {
    int closedPort;
    try (ServerSocket listener = new ServerSocket(0)) {
      closedPort = listener.getLocalPort();
    }
    start(SOCKETS, IDLE_MS, "127.0.0.1:" + closedPort);
    TestClient client = new TestClient(statement("once", 1, 1000));
    assertEquals(List.of("error 53 pushback"), client.readReplies());
  }

  @Test
  void attemptOnSharedConnectionIsCancelledByMessage() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(SOCKETS_FOR_ONE_CONNECTION, IDLE_MS, engine);
    TestClient one = new TestClient(statement("once", 1, 700));
    Message first = engine.next("PULL");
    TestClient two = new TestClient(statement("once", 2, 3000));
    Message second = engine.next("PULL");
    assertEquals(first.from(), second.from());
    assertEquals(List.of("KILL", first.id()), engine.next().items());
    assertEquals(List.of("error 58"), one.readReplies());
    first.answer(first.id(), "200", "pages=2", ROWS);
    assertEquals(
        List.of("DISCARD", first.id()), engine.next().items(), "a late answer is discarded");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", two.readReplies().get(2));
  }

  @Test
  void connectionsIdleTooLongOrToEarlierIncarnationAreNotUsed() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(SOCKETS, 200, engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "200", "pages=1", ROWS);
    client.readReplies();
    Thread.sleep(250);
    client.writeQuery(client.out, statement("once", 2, 3000));
    List<Message> next = List.of(engine.next(), engine.next());
    assertEquals(
        Set.of("closed", "PULL"), Set.of(next.get(0).items().get(0), next.get(1).items().get(0)));
    assertFalse(next.get(0).from().equals(next.get(1).from()));
    String restarted =
        endpointJson(1, engine.address(), "in_service")
            .replace("\"boot_ms\":0", "\"boot_ms\":" + (System.currentTimeMillis() + 60_000));
    bus.next().write(endpointEvent(8, false, restarted) + "\n");
    assertEquals(
        "closed",
        engine.next().items().get(0),
        "a restarted engine does not know connections to its earlier incarnation");
    assertEquals(List.of("error 58"), client.readReplies());
  }

  @Test
  void attemptWithConnectTimeoutCountsAsNeverRun() throws Exception {
    try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> queuedSockets = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket();
        queuedSockets.add(socket);
        try {
          socket.connect(fullListener.getLocalSocketAddress(), 50);
        } catch (IOException e) {
          break;
        }
      }
      start(
          configuration ->
              configuration.replace(
                  "\"connect_timeout_us\":2000000", "\"connect_timeout_us\":250000"),
          SOCKETS,
          IDLE_MS,
          "127.0.0.1:" + fullListener.getLocalPort());
      TestClient client = new TestClient(statement("once", 1, 2000));
      long startNanos = System.nanoTime();
      assertEquals(List.of("error 53 pushback"), client.readReplies());
      assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(2));
      for (Socket socket : queuedSockets) {
        socket.close();
      }
    }
  }

  /** Guards against engines that count as unreachable because others hold all connections, idle. */
  @Test
  void idleConnectionToOneEngineGivesWayToAnotherEngine() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(SOCKETS_FOR_ONE_CONNECTION, IDLE_MS, one, two);
    Message watch = bus.next("from 7");
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message first = nextFromAny(one, two);
    first.answer(first.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    boolean isOneUsed = first.from().getLocalPort() == one.server.getLocalPort();
    EmulatedPeer used = isOneUsed ? one : two;
    EmulatedPeer unused = isOneUsed ? two : one;
    watch.write(
        endpointEvent(8, false, endpointJson(isOneUsed ? 1 : 2, used.address(), "terminating"))
            + "\n");
    awaitCounter(client, "bus_events|1");
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message second = unused.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    used.next("closed");
  }
}
