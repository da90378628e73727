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

/** Client sessions: limits, eviction when idle, invalid statements, and cancel requests. */
class ClientSessionsTest extends ServiceRig {
  /** After this time, clients close their idle connections. */
  private static final int CLIENT_IDLE_MS = 4000;

  @Test
  void onlyTheClientThatDoesNotReadIsDisconnected() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    String page = ("x".repeat(990) + "\t\t\n").repeat(6);
    TestClient notReading = new TestClient();
    int sentStatements = 0;
    boolean isClosed = false;
    while (!isClosed && sentStatements < 2000) {
      try {
        notReading.writeQuery(notReading.out, idempotentStatement(++sentStatements, 3000));
      } catch (SocketException e) {
        isClosed = true;
      }
      Message pull = isClosed ? null : engine.received.poll(200, TimeUnit.MILLISECONDS);
      for (int i = 0; pull != null && i < 8; i++) {
        if (i > 0 && !engine.next().items().get(0).equals("SCROLL")) {
          break;
        }
        pull.answer(pull.id(), i == 0 ? "200" : "chunk", i == 0 ? "pages=8" : "page=" + i, page);
      }
    }
    assertTrue(isClosed, "the client that does not read is still connected");
    TestClient other = new TestClient(idempotentStatement(9999, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", other.readReplies().get(2));
  }

  @Test
  void invalidStatementsAndMessagesGetErrorsAndReachNoEngine() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    assertEquals(List.of("error 42"), client.execute("SELECT 1"));
    assertEquals(List.of("error 42"), client.execute(statement("unknown", 1, 100)));
    assertEquals(
        List.of("error 42"),
        client.execute(statement("look", 1, 100).replace("op=", "org=nobody,op=")));
    client.out.write(new byte[] {'P', 0, 0, 0, 8, 'x', 0, 0, 0, 'S', 0, 0, 0, 4});
    assertEquals(List.of("error 0A"), client.readReplies());
    TestClient other = new TestClient();
    other.out.write(new byte[] {'Q', -1, 0, 0, 0});
    assertThrows(IOException.class, other::readReplies);
    assertEquals(List.of("empty"), client.execute(""));
    assertTrue(engine.received.isEmpty());
  }

  /**
   * Some clients send hundreds of statements at once, others long statements that are never
   * complete. Both kinds are disconnected, and no other client is delayed.
   */
  @Test
  void onlyClientsThatExceedTheirInputLimitsAreDisconnected() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    ByteArrayOutputStream manyStatements = new ByteArrayOutputStream();
    DataOutputStream statementOutput = new DataOutputStream(manyStatements);
    List<Socket> overLimit = new ArrayList<>();
    List<TestClient> withIncompleteStatement = new ArrayList<>();
    TestClient regular = new TestClient();
    for (int i = 0; i < 300; i++) {
      regular.writeQuery(statementOutput, idempotentStatement(5000 + i, 3000));
    }
    for (int i = 0; i < 3; i++) {
      TestClient client = new TestClient();
      client.out.write(manyStatements.toByteArray());
      overLimit.add(client.socket);
    }
    byte[] incompleteStatement = new byte[60_000];
    System.arraycopy(new byte[] {'Q', 0, 0, -1, -1}, 0, incompleteStatement, 0, 5);
    for (int i = 0; i < 40; i++) {
      TestClient client = new TestClient();
      withIncompleteStatement.add(client);
      client.execute("");
      try {
        client.out.write(incompleteStatement);
      } catch (SocketException e) {
        continue;
      }
    }
    overLimit.add(withIncompleteStatement.get(39).socket);
    for (Socket connection : overLimit) {
      try {
        connection.getInputStream().readAllBytes();
      } catch (SocketException e) {
        // A reset also closes the connection.
      }
    }
    assertEquals(List.of("empty"), regular.execute(""));
  }

  /**
   * Guards against a client on a busy machine that loses its connection before its first statement.
   * The duration is the subject: clients close connections themselves that were idle for 4 s.
   */
  @Test
  void clientMaySendItsFirstStatementUntilItClosesIdleConnections() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    Thread.sleep(CLIENT_IDLE_MS);
    client.writeQuery(client.out, idempotentStatement(1, 10_000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** Guards against a connection that is closed without a counter for the reason. */
  @Test
  void clientWithoutAStatementTimesOutAndIsCounted() throws Exception {
    start(new EmulatedPeer(true));
    TestClient silent = new TestClient();
    assertTrue(silent.in.read() < 0, "the connection is closed");
    TestClient other = new TestClient();
    List<String> counters = other.execute("SHOW cobaltseam.counters");
    assertTrue(counters.contains("clients_timed_out|1"), counters.toString());
    assertTrue(counters.contains("clients_gave_way|0"), counters.toString());
  }

  /**
   * Clients keep far more connections open than the limit. A new client that sends a statement must
   * not wait for them.
   */
  @Test
  void idleConnectionsAreEvictedForNewOnes() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(48, IDLE_MS, engine);
    TestClient open = new TestClient(idempotentStatement(1, 10_000));
    Message first = engine.next("PULL");
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      TestClient client = new TestClient(idempotentStatement(100 + i, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.readReplies().get(2));
      idle.add(client);
    }
    assertTrue(idle.get(0).in.read() < 0, "the client that was idle the longest is evicted");
    assertTrue(
        service.acceptor.delayedAccepts() < 10,
        "idle clients are evicted before the acceptor has to wait: "
            + service.acceptor.delayedAccepts());
    assertEquals(List.of("empty"), idle.get(39).execute(""));
    first.answer(first.id(), "200", "pages=1", ROWS);
    assertEquals(
        "SELECT 2", open.readReplies().get(2), "a client with an open statement is not evicted");
  }

  /**
   * The event loop is delayed, and selects a client for eviction that has sent a statement in the
   * meantime. The statement has to be answered.
   */
  @Test
  void idleConnectionIsNotEvictedOnceItHasSentAStatement() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(16, IDLE_MS, engine);
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      idle.add(new TestClient());
      assertEquals(List.of("empty"), idle.get(i).execute(""));
    }
    CountDownLatch resume = blockEventLoop();
    Socket newConnection = new Socket(service.address().getAddress(), service.address().getPort());
    Thread.sleep(200);
    idle.get(0).writeQuery(idle.get(0).out, idempotentStatement(1, 10_000));
    Thread.sleep(200);
    resume.countDown();
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", idle.get(0).readReplies().get(2));
    newConnection.close();
  }

  /** Guards against the eviction of a client that is sending a statement while others are idle. */
  @Test
  void connectionInTheMiddleOfAStatementIsNotEvicted() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(16, IDLE_MS, engine);
    TestClient sending = new TestClient();
    assertEquals(List.of("empty"), sending.execute(""));
    byte[] statement = queryMessage(idempotentStatement(1, 10_000));
    sending.out.write(statement, 0, 30);
    awaitRead();
    for (int i = 0; i < 6; i++) {
      assertEquals(List.of("empty"), new TestClient().execute(""));
    }
    sending.out.write(statement, 30, statement.length - 30);
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", sending.readReplies().get(2));
  }

  @Test
  void connectionsWithoutAStatementAreEvictedAndTimeOut() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(16, IDLE_MS, engine);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      silent.add(new Socket(service.address().getAddress(), service.address().getPort()));
      silent.get(i).setSoTimeout(TIMEOUT_S * 1000);
      if (i % 2 == 0) {
        silent.get(i).getOutputStream().write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0});
      }
    }
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    for (Socket connection : silent) {
      try {
        assertTrue(connection.getInputStream().read() < 0);
      } catch (SocketException e) {
        // A reset also closes the connection.
      }
      connection.close();
    }
  }

  @Test
  void clientIsThrottledAfterRepeatedInvalidStatements() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    long startNanos = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      assertEquals(List.of("error 42"), client.execute("SELECT " + i));
    }
    assertTrue(
        System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(150),
        "repeated invalid statements are rejected without a pause");
    client.writeQuery(client.out, idempotentStatement(1, 5000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  @Test
  void requestThatIsCancelledOrWhoseClientDisconnectsGetsNoAnswer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = engine.next("PULL");
    try (Socket cancelConnection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      cancelConnection.getOutputStream().write(client.cancelRequest());
      assertTrue(cancelConnection.getInputStream().read() < 0);
    }
    assertEquals("closed", engine.next().items().get(0));
    assertTrue(pull.from().getInputStream().read() < 0);
    client.writeQuery(client.out, idempotentStatement(2, 3000));
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2), "the first request was answered");
    client.writeQuery(client.out, idempotentStatement(3, 3000));
    engine.next("PULL");
    client.close();
    assertEquals("closed", engine.next().items().get(0));
  }
}
