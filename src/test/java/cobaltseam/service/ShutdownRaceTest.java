package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.service.Counters.Count;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;

/** Races of a shutdown with clients' messages, and of a close with unread input. */
class ShutdownRaceTest extends ServiceRig {
  private static final int END_OF_STREAM = -1;

  /** More than may be closing at once with the default limit of descriptors. */
  private static final int ABANDONED_REQUESTS = 40;

  /** A small socket send buffer, so that a large answer is not written at once. */
  private static final int SEND_BUFFER_BYTES = 4096;

  /** Rows of an answer that is larger than a socket's buffers while its client does not read. */
  private static final int LARGE_ROW_COUNT = 30_000;

  /** The earliest time after SIGTERM at which the platform may kill a process. */
  private static final long KILL_AFTER_NANOS = 3_700_000_000L;

  /**
   * Requests a shutdown, and returns when new statements are no longer admitted, which shows in the
   * end of an idle client's connection.
   *
   * @return the thread that waits for the shutdown to complete
   */
  private Thread shutDown() throws IOException {
    TestClient idle = new TestClient();
    assertEquals(List.of("empty"), idle.execute(""));
    Thread stopThread = new Thread(service::stop);
    stopThread.start();
    assertEquals(
        END_OF_STREAM, idle.in.read(), "an idle client gets an end of stream, not a reset");
    return stopThread;
  }

  private void assertShutdownCompletes(Thread stopThread) throws InterruptedException {
    stopThread.join(TIMEOUT_S * 1000);
    assertFalse(stopThread.isAlive(), "the shutdown does not complete");
  }

  /**
   * If connections were only closed by the exit of the process, a client that sends a request at
   * that moment would get a reset, which can discard an earlier answer that it has not read yet.
   */
  @Test
  void idleClientConnectionIsClosedBeforeTheShutdownCompletes() throws Exception {
    start(new EmulatedPeer(true));
    assertShutdownCompletes(shutDown());
  }

  /** The client reads slowly: a part of its answer is still unsent when the shutdown begins. */
  @Test
  void answerHalfWrittenAtShutdownIsWrittenCompletely() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    service.acceptor.getSessionConfig().setSendBufferSize(SEND_BUFFER_BYTES);
    TestClient slowClient = new TestClient(idempotentStatement(1, 20_000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", "a\n".repeat(LARGE_ROW_COUNT));
    awaitCounter(new TestClient(), "commands_answered|1");
    assertTrue(
        service.acceptor.getScheduledWriteBytes() > 0, "no part of the answer is left to write");
    Thread stopThread = shutDown();
    List<String> reply = slowClient.readReplies();
    assertEquals("SELECT " + LARGE_ROW_COUNT, reply.get(reply.size() - 1));
    assertEquals(END_OF_STREAM, slowClient.in.read(), "end of stream, not a reset");
    assertShutdownCompletes(stopThread);
  }

  /**
   * A statement that is sent to an engine during the shutdown could still be unanswered when the
   * platform kills the process.
   */
  @Test
  void statementReadAfterShutdownIsRejectedAtOnceAndNotSent() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient waiting = new TestClient(idempotentStatement(1, 20_000));
    Message pull = engine.next("PULL");
    TestClient partialWriter = new TestClient();
    byte[] lateStatement = queryMessage(idempotentStatement(2, 20_000));
    partialWriter.out.write(lateStatement, 0, 30);
    awaitRead();
    Thread stopThread = shutDown();
    partialWriter.out.write(lateStatement, 30, lateStatement.length - 30);
    assertEquals(List.of("error 57"), partialWriter.readReplies(), "the error allows a retry");
    assertEquals(END_OF_STREAM, partialWriter.in.read());
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals(
        "SELECT 2", waiting.readReplies().get(2), "a request from before the shutdown is answered");
    assertShutdownCompletes(stopThread);
    assertTrue(
        engine.received.stream().noneMatch(message -> message.items().get(0).equals("PULL")));
  }

  /**
   * The engine hangs for longer than the platform lets the process run. The clients have to be
   * answered before the process may be killed.
   */
  @Test
  void hangingRequestIsAbandonedWithAnAnswer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(
        configuration ->
            configuration.replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":60000000"),
        SOCKETS,
        IDLE_MS,
        engine.address());
    TestClient nonIdempotent = new TestClient(statement("once", 1, 60_000));
    engine.next("PULL");
    TestClient idempotent =
        new TestClient(idempotentStatement(2, 60_000).replace("work=1000", "work=20000"));
    engine.next("PULL");
    long shutdownNanos = System.nanoTime();
    Thread stopThread = shutDown();
    assertEquals(
        List.of("error 53 pushback"),
        idempotent.readReplies(),
        "an idempotent request may be retried");
    assertEquals(
        List.of("error 58"), nonIdempotent.readReplies(), "a non-idempotent request may have run");
    assertTrue(
        System.nanoTime() - shutdownNanos < KILL_AFTER_NANOS,
        "answered before the process may be killed");
    assertShutdownCompletes(stopThread);
  }

  /** Blocks the I/O thread while it removes the connection of a client. */
  private final class RemovalBlocker extends IoFilterAdapter {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);

    RemovalBlocker(TestClient client) {
      addFilter(client, this);
    }

    @Override
    public void sessionClosed(NextFilter next, IoSession session) throws Exception {
      blocked.countDown();
      release.await();
      next.sessionClosed(session);
    }
  }

  /** Guards against answers that are dropped since many connections close at the same time. */
  @Test
  void answersOfRequestsAbandonedTogetherAreWritten() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(
        configuration ->
            configuration
                .replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":60000000")
                .replace("\"cores_by_kind\":[4]", "\"cores_by_kind\":[64]"),
        SOCKETS,
        IDLE_MS,
        engine.address());
    List<TestClient> clients = new ArrayList<>();
    for (int call = 1; call <= ABANDONED_REQUESTS; call++) {
      clients.add(new TestClient(statement("once", call, 60_000)));
      engine.next("PULL");
    }
    TestClient leaving = new TestClient();
    RemovalBlocker blocker = new RemovalBlocker(leaving);
    Thread stopThread = shutDown();
    leaving.close();
    blocker.blocked.await();
    for (int i = 0; service.counters().get(Count.COMMANDS_FAILED) < ABANDONED_REQUESTS; i++) {
      assertTrue(i < TIMEOUT_S * 1000, "the requests were not abandoned");
      Thread.sleep(1);
    }
    awaitEventLoopTurn();
    blocker.release.countDown();
    for (TestClient client : clients) {
      assertEquals(List.of("error 58"), client.readReplies());
    }
    assertShutdownCompletes(stopThread);
  }

  /** A cancel request arrives on a new connection, so the listener has to stay open. */
  @Test
  void cancelRequestIsProcessedDuringShutdown() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    engine.next("PULL");
    Thread stopThread = shutDown();
    try (Socket cancelConnection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      cancelConnection.getOutputStream().write(client.cancelRequest());
      engine.next("closed");
    }
    assertEquals(
        END_OF_STREAM,
        client.in.read(),
        "the connection closes without an answer to the cancelled request");
    assertShutdownCompletes(stopThread);
  }

  /**
   * A new connection during the shutdown gets an error, and a statement right after its startup
   * message is not sent to an engine.
   */
  @Test
  void newConnectionIsRejectedWhileRequestsAreOpen() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message pull = engine.next("PULL");
    Thread stopThread = shutDown();
    byte[] startup = {0, 0, 0, 9, 0, 3, 0, 0, 0};
    try (Socket newConnection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      newConnection.getOutputStream().write(startup);
      String reply =
          new String(newConnection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(reply.contains("57P03"), "rejected before its first statement: " + reply);
    }
    try (Socket newConnection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      newConnection.getOutputStream().write(startup);
      newConnection.getOutputStream().write(queryMessage(idempotentStatement(2, 20_000)));
      String reply =
          new String(newConnection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(reply.contains("57P03"), reply);
    }
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertShutdownCompletes(stopThread);
    assertTrue(
        engine.received.stream().noneMatch(message -> message.items().get(0).equals("PULL")));
  }

  /** Two statements are read before the shutdown: each has to get its own answer. */
  @Test
  void pendingStatementIsRejectedAfterTheOpenOneIsAnswered() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client =
        new TestClient(idempotentStatement(1, 20_000), idempotentStatement(2, 20_000));
    Message pull = engine.next("PULL");
    Thread stopThread = shutDown();
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertEquals(List.of("error 57"), client.readReplies());
    assertEquals(END_OF_STREAM, client.in.read());
    assertShutdownCompletes(stopThread);
  }

  /** A client that neither completes its message nor closes must not block the shutdown. */
  @Test
  void incompleteMessageDoesNotDelayShutdown() throws Exception {
    start(new EmulatedPeer(true));
    TestClient client = new TestClient();
    client.out.write(queryMessage(idempotentStatement(1, 20_000)), 0, 30);
    awaitRead();
    assertShutdownCompletes(shutDown());
    assertEquals(END_OF_STREAM, client.in.read());
  }

  /** A close with unread input resets the connection, which may lose the error message. */
  @Test
  void closeWithUnreadInputDoesNotResetTheConnection() throws Exception {
    start(new EmulatedPeer(true));
    TestClient client = new TestClient();
    byte[] malformedMessage = new byte[100_000];
    System.arraycopy(new byte[] {'Q', -1, 0, 0, 0}, 0, malformedMessage, 0, 5);
    client.out.write(malformedMessage);
    byte[] reply = client.in.readAllBytes();
    assertTrue(
        new String(reply, StandardCharsets.UTF_8).contains("FATAL"), "the client gets the reason");
    assertEquals(List.of("empty"), new TestClient().execute(""));
  }

  /**
   * A client sends a statement after the server has ended its output. The input has to be read,
   * since unread input would reset the connection.
   */
  @Test
  void inputAfterTheEndOfOutputDoesNotResetTheConnection() throws Exception {
    start(16, IDLE_MS, new EmulatedPeer(true));
    TestClient idle = new TestClient();
    assertEquals(List.of("empty"), idle.execute(""));
    for (int i = 0; i < 6; i++) {
      assertEquals(List.of("empty"), new TestClient().execute(""));
    }
    assertEquals(END_OF_STREAM, idle.in.read(), "the client that was idle the longest is evicted");
    idle.writeQuery(idle.out, idempotentStatement(1, 3000));
    awaitRead();
    assertEquals(END_OF_STREAM, idle.in.read());
  }
}
