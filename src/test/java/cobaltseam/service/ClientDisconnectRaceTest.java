package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.filterchain.IoFilter;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;

/** Clients disconnect or cancel at each step of their request: no attempt may start after that. */
class ClientDisconnectRaceTest extends ServiceRig {
  private static final int CLIENT_COUNT = 8;
  private static final int DISCONNECTING_CLIENTS = 20;

  /**
   * How long a disconnect stays unprocessed in tests whose subject is this duration: longer than
   * the backoff of a retry, and than the time for which an attempt may still start after a
   * disconnect.
   */
  private static final int DISCONNECT_UNPROCESSED_MS = 200;

  /** How many requests the one engine of these tests runs at once. */
  private static final int ENGINE_CAPACITY = 8;

  /**
   * Returns a statement with so much estimated work that no answer counts as slow; slow answers
   * would reduce the engine's capacity.
   */
  private static String longRunningStatement(int callNumber) {
    return statement("once", callNumber, 20_000).replace("work=100", "work=5000");
  }

  /**
   * The statement and the end of its connection are read in the same round, possibly long after
   * they were written.
   */
  @Test
  void statementIsNotSentWhenItsClientDisconnectsRightAfterIt() throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient();
    CountDownLatch resume = blockIoThread();
    disconnecting.writeQuery(disconnecting.out, idempotentStatement(1, 10_000));
    disconnecting.close();
    resume.countDown();
    awaitCounter(observer, "clients_closed|1");
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|0"));
  }

  /** The event loop is delayed: both the statement and the disconnect are read before it runs. */
  @Test
  void statementProcessedAfterItsClientDisconnectedIsNotSent() throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient();
    CountDownLatch resume = blockEventLoop();
    disconnecting.writeQuery(disconnecting.out, idempotentStatement(1, 10_000));
    awaitRead();
    disconnecting.close();
    awaitRead();
    resume.countDown();
    awaitCounter(observer, "clients_closed|1");
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|0"));
  }

  /** Capacity that becomes free has to go to a queued request whose client is still connected. */
  @Test
  void queuedRequestOfADisconnectedClientIsNeverSent() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    List<Message> pulls = new ArrayList<>();
    List<TestClient> running = new ArrayList<>();
    for (int i = 0; i < ENGINE_CAPACITY; i++) {
      running.add(new TestClient(longRunningStatement(i)));
      pulls.add(engine.next("PULL"));
    }
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient(longRunningStatement(20));
    awaitCounter(observer, "commands_taken|9");
    TestClient waiting = new TestClient(longRunningStatement(21));
    awaitCounter(observer, "commands_taken|10");
    disconnecting.close();
    awaitCounter(observer, "commands_departed|1");
    pulls.get(0).answer(pulls.get(0).id(), "200", "pages=1", ROWS);
    Message next = engine.next("PULL");
    assertEquals("%016x".formatted(21), next.id());
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", waiting.readReplies().get(2));
  }

  /**
   * Capacity becomes free in the same turn of the event loop in which the client of the next queued
   * request disconnects.
   */
  @Test
  void capacityFreedWhileAQueuedClientDisconnectsGoesToTheNextRequest() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    List<Message> pulls = new ArrayList<>();
    for (int i = 0; i < ENGINE_CAPACITY; i++) {
      new TestClient(longRunningStatement(i));
      pulls.add(engine.next("PULL"));
    }
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient(longRunningStatement(20));
    awaitCounter(observer, "commands_taken|9");
    new TestClient(longRunningStatement(21));
    awaitCounter(observer, "commands_taken|10");
    CountDownLatch resume = blockEventLoop();
    pulls.get(0).answer(pulls.get(0).id(), "200", "pages=1", ROWS);
    awaitRead();
    disconnecting.close();
    awaitRead();
    resume.countDown();
    assertEquals("%016x".formatted(21), engine.next("PULL").id());
  }

  /** A client that has closed only its sending side may no longer read either. */
  @Test
  void halfClosedClientConnectionCountsAsDisconnected() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient disconnecting = new TestClient(longRunningStatement(1));
    engine.next("PULL");
    disconnecting.socket.shutdownOutput();
    engine.next("closed");
    awaitCounter(new TestClient(), "commands_departed|1");
  }

  @Test
  void resetClientConnectionCancelsItsRequest() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient disconnecting = new TestClient(longRunningStatement(1));
    engine.next("PULL");
    disconnecting.socket.setSoLinger(true, 0);
    disconnecting.socket.close();
    engine.next("closed");
    awaitCounter(new TestClient(), "commands_departed|1");
  }

  /** The attempt is placed but not yet written when its client disconnects. */
  @Test
  void attemptWaitingForAConnectionIsNotWrittenAfterItsClientDisconnects() throws Exception {
    UnreachableEngine unreachable = new UnreachableEngine();
    start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, unreachable.address());
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient(longRunningStatement(1));
    awaitCounter(observer, "sends|1");
    disconnecting.close();
    awaitCounter(observer, "commands_departed|1");
    assertNoPull(unreachable.acceptConnections());
  }

  /**
   * The engine connection opens, then the client disconnects. The event loop is delayed, and
   * processes the opened connection when the disconnect has already been read.
   */
  @Test
  void attemptIsNotWrittenWhenTheDisconnectIsReadButNotProcessed() throws Exception {
    UnreachableEngine unreachable = new UnreachableEngine();
    start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, unreachable.address());
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient(longRunningStatement(1));
    awaitCounter(observer, "sends|1");
    CountDownLatch resume = blockEventLoop();
    EmulatedPeer engine = unreachable.acceptConnections();
    awaitPostedTask();
    disconnecting.close();
    awaitRead();
    resume.countDown();
    awaitCounter(observer, "commands_departed|1");
    assertNoPull(engine);
  }

  /**
   * The end of the client's connection is unread when a connection to the engine is established,
   * which the event loop processes before the I/O thread reads on.
   */
  @Test
  void attemptIsNotWrittenWhenTheDisconnectIsUnreadAsItsEngineConnects() throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient();
    IoFilter disconnectFirst =
        new IoFilterAdapter() {
          @Override
          public void sessionOpened(NextFilter next, IoSession session) throws Exception {
            next.sessionOpened(session);
            disconnecting.close();
            awaitEventLoopTurn();
          }
        };
    service.engineConnector.getFilterChain().addLast("test", disconnectFirst);
    disconnecting.writeQuery(disconnecting.out, longRunningStatement(1));
    awaitCounter(observer, "commands_departed|1");
    List<String> counters = observer.execute("SHOW cobaltseam.counters");
    assertTrue(counters.contains("sends_cancelled|0"), counters.toString());
  }

  /**
   * The engine fails, then the client disconnects. The event loop is delayed, and processes the
   * failure when the disconnect has already been read.
   */
  @Test
  void engineFailureProcessedBeforeTheDisconnectIsNotRetried() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient(idempotentStatement(1, 20_000));
    Message pull = nextFromAny(firstEngine, secondEngine);
    CountDownLatch resume = blockEventLoop();
    pull.reset();
    awaitRead();
    disconnecting.close();
    awaitRead();
    resume.countDown();
    awaitCounter(observer, "commands_departed|1");
    assertNoPull(firstEngine);
    assertNoPull(secondEngine);
  }

  /**
   * The engine fails, and a cancel request is read but not processed when the event loop handles
   * the failure. After the cancellation the session can execute the next statement.
   */
  @Test
  void engineFailureProcessedBeforeTheCancelRequestIsNotRetried() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message pull = nextFromAny(firstEngine, secondEngine);
    try (Socket cancelConnection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      awaitCounter(new TestClient(), "clients_opened|3");
      CountDownLatch resume = blockEventLoop();
      pull.reset();
      awaitRead();
      CountDownLatch resumeSockets =
          blockIoThreadAfterReading(
              () -> cancelConnection.getOutputStream().write(client.cancelRequest()));
      resume.countDown();
      Thread.sleep(DISCONNECT_UNPROCESSED_MS);
      resumeSockets.countDown();
      TestClient observer = new TestClient();
      awaitCounter(observer, "commands_departed|1");
      assertTrue(
          observer.execute("SHOW cobaltseam.counters").contains("sends|1"),
          "the request was retried");
    }
    client.writeQuery(client.out, idempotentStatement(2, 20_000));
    Message next = nextFromAny(firstEngine, secondEngine);
    assertEquals("%016x".formatted(2), next.id());
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * Rejections by engines and the disconnects of their clients wait unread at the same time, and
   * the event loop runs after the rejections are read and before the disconnects are.
   */
  @Test
  void rejectionsReadTogetherWithTheDisconnectsAreNotRetried() throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient observer = new TestClient();
    TestClient blocker = new TestClient();
    List<TestClient> disconnectingClients = new ArrayList<>();
    List<Message> pulls = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      disconnectingClients.add(new TestClient(idempotentStatement(i, 20_000)));
      pulls.add(nextFromAny(firstEngine, secondEngine));
    }
    CountDownLatch resume = blockIoThread();
    ReadBlocker round = new ReadBlocker(blocker);
    for (int i = 0; i < CLIENT_COUNT; i++) {
      pulls.get(i).answer(pulls.get(i).id(), "503", "-", "");
      disconnectingClients.get(i).close();
    }
    blocker.writeQuery(blocker.out, "");
    resume.countDown();
    round.blocked.await();
    Thread.sleep(DISCONNECT_UNPROCESSED_MS);
    round.release.countDown();
    awaitCounter(observer, "commands_departed|" + CLIENT_COUNT);
    assertTrue(
        observer.execute("SHOW cobaltseam.counters").contains("sends|" + CLIENT_COUNT),
        "a request was retried");
  }

  /** Many client libraries close the connection right after they have sent a cancel request. */
  @Test
  void cancelRequestIsProcessedWhenItsConnectionClosesRightAfterIt() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(longRunningStatement(1));
    engine.next("PULL");
    TestClient observer = new TestClient();
    Socket cancelConnection =
        new Socket(service.address().getAddress(), service.address().getPort());
    awaitCounter(observer, "clients_opened|3");
    CountDownLatch resume = blockIoThread();
    cancelConnection.getOutputStream().write(client.cancelRequest());
    cancelConnection.close();
    resume.countDown();
    engine.next("closed");
    awaitCounter(observer, "commands_departed|1");
  }

  /**
   * The answer arrives in the same turn of the event loop as its client's disconnect. The answer
   * has to be dropped, and another client gets the answer to its own request.
   */
  @Test
  void answerReceivedWithItsClientsDisconnectIsDropped() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient disconnecting = new TestClient(longRunningStatement(1));
    Message first = engine.next("PULL");
    TestClient observer = new TestClient();
    CountDownLatch resume = blockEventLoop();
    disconnecting.close();
    awaitRead();
    first.answer(first.id(), "200", "pages=1", ROWS);
    awaitRead();
    resume.countDown();
    awaitCounter(observer, "clients_closed|1");
    observer.writeQuery(observer.out, longRunningStatement(2));
    Message second = engine.next();
    while (second.items().get(0).equals("closed")) {
      second = engine.next();
    }
    second.answer(second.id(), "200", "pages=1", "c\t3\tz\n");
    assertEquals(List.of("c|3|z", "SELECT 1"), observer.readReplies());
  }

  /**
   * All clients of queued requests but one disconnect at once. Capacity that becomes free has to go
   * to the request of the remaining client.
   */
  @Test
  void queuedRequestsOfManyDisconnectedClientsAreSkipped() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient observer = new TestClient();
    List<Message> pulls = new ArrayList<>();
    for (int i = 0; i < ENGINE_CAPACITY; i++) {
      new TestClient(longRunningStatement(i));
      pulls.add(engine.next("PULL"));
    }
    List<TestClient> disconnectingClients = new ArrayList<>();
    for (int i = 0; i < DISCONNECTING_CLIENTS; i++) {
      disconnectingClients.add(new TestClient(longRunningStatement(100 + i)));
    }
    awaitCounter(observer, "commands_taken|" + (ENGINE_CAPACITY + DISCONNECTING_CLIENTS));
    new TestClient(longRunningStatement(99));
    awaitCounter(observer, "commands_taken|" + (ENGINE_CAPACITY + DISCONNECTING_CLIENTS + 1));
    CountDownLatch resume = blockEventLoop();
    pulls.get(0).answer(pulls.get(0).id(), "200", "pages=1", ROWS);
    for (TestClient disconnecting : disconnectingClients) {
      disconnecting.close();
    }
    awaitRead();
    resume.countDown();
    assertEquals("%016x".formatted(99), engine.next("PULL").id());
    awaitCounter(observer, "commands_departed|" + DISCONNECTING_CLIENTS);
  }

  /**
   * A cancel request and its statement are read in the same round on different connections. If the
   * cancel request were processed first, the statement would run.
   */
  @Test
  void cancelRequestIsProcessedAfterItsStatement() throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    List<TestClient> clients = new ArrayList<>();
    List<Socket> cancelConnections = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      cancelConnections.add(
          new Socket(service.address().getAddress(), service.address().getPort()));
      clients.add(new TestClient());
    }
    awaitRead();
    CountDownLatch resume = blockIoThread();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      TestClient client = clients.get(i);
      client.writeQuery(client.out, statement("once", i, 20_000));
      cancelConnections.get(i).getOutputStream().write(client.cancelRequest());
    }
    resume.countDown();
    awaitCounter(observer, "commands_departed|" + CLIENT_COUNT);
    for (Socket connection : cancelConnections) {
      connection.close();
    }
  }

  /** The client is still sending its first statement when the timeout for it expires. */
  @Test
  void slowlyWritingClientDoesNotTimeOut() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient slowClient = new TestClient();
    byte[] statement = queryMessage(idempotentStatement(1, 10_000));
    int parts = 16;
    for (int i = 0; i < parts; i++) {
      // The duration is the subject of the test: the statement takes longer than the timeout after
      // which a client that sends nothing is evicted.
      Thread.sleep(400);
      int from = statement.length * i / parts;
      slowClient.out.write(statement, from, statement.length * (i + 1) / parts - from);
    }
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", slowClient.readReplies().get(2));
  }
}
