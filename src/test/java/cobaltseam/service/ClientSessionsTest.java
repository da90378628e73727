package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Sessions of clients: limits, eviction of idle ones, unusable statements and cancel requests. */
class ClientSessionsTest extends ServiceRig {
  @Test
  void onlyTheClientThatDoesNotReadLosesItsConnection() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    String page = ("x".repeat(990) + "\t\t\n").repeat(6);
    TestClient lazy = new TestClient();
    int asked = 0;
    boolean closed = false;
    while (!closed && asked < 2000) {
      try {
        lazy.query(lazy.out, idempotentStatement(++asked, 3000));
      } catch (SocketException e) {
        closed = true;
      }
      Message pull = closed ? null : engine.received.poll(200, TimeUnit.MILLISECONDS);
      for (int i = 0; pull != null && i < 8; i++) {
        if (i > 0 && !engine.next().items().get(0).equals("SCROLL")) {
          break;
        }
        pull.answer(pull.id(), i == 0 ? "200" : "chunk", i == 0 ? "pages=8" : "page=" + i, page);
      }
    }
    assertTrue(closed, "it was never closed");
    TestClient other = new TestClient(idempotentStatement(9999, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", other.readReplies().get(2));
  }

  @Test
  void unusableStatementsAndMessagesGetErrorsAndReachNoEngine() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    assertEquals(List.of("error 42"), client.ask("SELECT 1"));
    assertEquals(List.of("error 42"), client.ask(statement("unknown", 1, 100)));
    assertEquals(
        List.of("error 42"),
        client.ask(statement("look", 1, 100).replace("op=", "org=nobody,op=")));
    client.out.write(new byte[] {'P', 0, 0, 0, 8, 'x', 0, 0, 0, 'S', 0, 0, 0, 4});
    assertEquals(List.of("error 0A"), client.readReplies());
    TestClient other = new TestClient();
    other.out.write(new byte[] {'Q', -1, 0, 0, 0});
    assertThrows(IOException.class, other::readReplies);
    assertEquals(List.of("empty"), client.ask(""));
    assertTrue(engine.received.isEmpty());
  }

  /**
   * Hundreds of statements at once, and long ones that are never complete: each such client is
   * closed, and no other waits.
   */
  @Test
  void onlyClientsThatExceedTheirLimitsLoseTheirConnections() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    ByteArrayOutputStream many = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(many);
    List<Socket> flooding = new ArrayList<>();
    List<TestClient> long0 = new ArrayList<>();
    TestClient usual = new TestClient();
    for (int i = 0; i < 300; i++) {
      usual.query(to, idempotentStatement(5000 + i, 3000));
    }
    for (int i = 0; i < 3; i++) {
      TestClient client = new TestClient();
      client.out.write(many.toByteArray());
      flooding.add(client.socket);
    }
    byte[] half = new byte[60_000];
    System.arraycopy(new byte[] {'Q', 0, 0, -1, -1}, 0, half, 0, 5);
    for (int i = 0; i < 40; i++) {
      TestClient client = new TestClient();
      long0.add(client);
      client.ask("");
      try {
        client.out.write(half);
      } catch (SocketException e) {
        continue;
      }
    }
    flooding.add(long0.get(39).socket);
    for (Socket each : flooding) {
      try {
        each.getInputStream().readAllBytes();
      } catch (SocketException e) {
        // A reset is a close, too.
      }
    }
    assertEquals(List.of("empty"), usual.ask(""));
  }

  /** Guards against a connection that ends with no counter that says why. */
  @Test
  void aClientThatSendsNoStatementIsClosedAndCounted() throws Exception {
    start(new EmulatedPeer(true));
    TestClient silent = new TestClient();
    assertTrue(silent.in.read() < 0, "it is closed");
    TestClient other = new TestClient();
    List<String> counters = other.ask("SHOW cobaltseam.counters");
    assertTrue(counters.contains("clients_timed_out|1"), counters.toString());
    assertTrue(counters.contains("clients_gave_way|0"), counters.toString());
  }

  /**
   * Clients keep far more connections open than are allowed: those that send statements never wait
   * for them.
   */
  @Test
  void idleConnectionsAreEvictedForNewOnes() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(48, IDLE_MS, engine);
    TestClient open = new TestClient(idempotentStatement(1, 10_000));
    Message first = engine.next("PULL");
    List<TestClient> stayed = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      TestClient client = new TestClient(idempotentStatement(100 + i, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.readReplies().get(2));
      stayed.add(client);
    }
    assertTrue(stayed.get(0).in.read() < 0, "the longest idle has given way");
    assertTrue(
        service.acceptor.delayedAccepts() < 10,
        "room is made before it is needed: " + service.acceptor.delayedAccepts());
    assertEquals(List.of("empty"), stayed.get(39).ask(""));
    first.answer(first.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", open.readReplies().get(2), "not one with an open statement");
  }

  /**
   * A client that looks idle to a process that was held up may have sent a statement: it is
   * answered.
   */
  @Test
  void anIdleConnectionIsNotEvictedOnceItHasSentAStatement() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(16, IDLE_MS, engine);
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      idle.add(new TestClient());
      assertEquals(List.of("empty"), idle.get(i).ask(""));
    }
    CountDownLatch held = holdUp();
    Socket another = new Socket(service.address().getAddress(), service.address().getPort());
    Thread.sleep(200);
    idle.get(0).query(idle.get(0).out, idempotentStatement(1, 10_000));
    Thread.sleep(200);
    held.countDown();
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", idle.get(0).readReplies().get(2));
    another.close();
  }

  @Test
  void connectionsWithoutAStatementAreEvictedAndTimeOut() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(16, IDLE_MS, engine);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      silent.add(new Socket(service.address().getAddress(), service.address().getPort()));
      silent.get(i).setSoTimeout(SOON_S * 1000);
      if (i % 2 == 0) {
        silent.get(i).getOutputStream().write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0});
      }
    }
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    for (Socket each : silent) {
      try {
        assertTrue(each.getInputStream().read() < 0);
      } catch (SocketException e) {
        // A reset is a close, too.
      }
      each.close();
    }
  }

  @Test
  void aClientPausesAfterRepeatedUnusableStatements() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    long from = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      assertEquals(List.of("error 42"), client.ask("SELECT " + i));
    }
    assertTrue(
        System.nanoTime() - from >= TimeUnit.MILLISECONDS.toNanos(150),
        "it would be refused without end");
    client.query(client.out, idempotentStatement(1, 5000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  @Test
  void aCancelledOrAbandonedRequestGetsNoAnswer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    try (Socket cancel = new Socket(service.address().getAddress(), service.address().getPort())) {
      cancel.getOutputStream().write(client.cancelRequest());
      assertTrue(cancel.getInputStream().read() < 0);
    }
    assertEquals("closed", engine.next().items().get(0));
    assertTrue(pull.from().getInputStream().read() < 0);
    client.query(client.out, idempotentStatement(2, 3000));
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2), "the only answer is that of the second");
    client.query(client.out, idempotentStatement(3, 3000));
    engine.next("PULL");
    client.close();
    assertEquals("closed", engine.next().items().get(0));
  }
}
