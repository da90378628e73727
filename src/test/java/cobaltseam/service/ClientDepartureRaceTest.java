package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Clients that close or cancel at each step of their request: no attempt starts after that. */
class ClientDepartureRaceTest extends ServiceRig {
  private static final int PAIRS = 8;
  private static final int LEAVERS = 20;

  /**
   * Longer than the backoff of a retry, and than an attempt may start after its client has left:
   * the duration itself is tested.
   */
  private static final int GONE_FOR_MS = 200;

  /** The thread budget of one engine in these tests. */
  private static final int ROOM = 8;

  /**
   * A statement with so much work that no answer counts as slow, which would reduce the engine's
   * capacity.
   */
  private static String heavy(int call) {
    return statement("once", call, 20_000).replace("work=100", "work=5000");
  }

  /**
   * The statement and the end of the connection behind it are read together, possibly long after
   * they were written.
   */
  @Test
  void aStatementWithTheEndRightBehindItIsNotForwarded() throws Exception {
    start(new EmulatedPeer(true));
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient();
    CountDownLatch held = holdUpSockets();
    leaver.query(leaver.out, idempotentStatement(1, 10_000));
    leaver.close();
    held.countDown();
    await(watch, "clients_closed|1");
    assertTrue(watch.ask("SHOW cobaltseam.counters").contains("sends|0"));
  }

  /** The event loop is late: when it processes the statement, the end has been read as well. */
  @Test
  void aStatementProcessedAfterItsClientHasLeftIsNotForwarded() throws Exception {
    start(new EmulatedPeer(true));
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient();
    CountDownLatch held = holdUp();
    leaver.query(leaver.out, idempotentStatement(1, 10_000));
    awaitRead();
    leaver.close();
    awaitRead();
    held.countDown();
    await(watch, "clients_closed|1");
    assertTrue(watch.ask("SHOW cobaltseam.counters").contains("sends|0"));
  }

  /**
   * A queued request whose client has left: freed capacity goes to a request that is still awaited.
   */
  @Test
  void aQueuedRequestWhoseClientHasLeftIsNeverSent() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    List<Message> out = new ArrayList<>();
    List<TestClient> busy = new ArrayList<>();
    for (int i = 0; i < ROOM; i++) {
      busy.add(new TestClient(heavy(i)));
      out.add(engine.next("PULL"));
    }
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient(heavy(20));
    await(watch, "commands_taken|9");
    TestClient stays = new TestClient(heavy(21));
    await(watch, "commands_taken|10");
    leaver.close();
    await(watch, "commands_departed|1");
    out.get(0).answer(out.get(0).id(), "200", "pages=1", ROWS);
    Message next = engine.next("PULL");
    assertEquals("%016x".formatted(21), next.id());
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", stays.readReplies().get(2));
  }

  /** Capacity is freed in the same turn in which the client of the next queued request leaves. */
  @Test
  void capacityFreedAsAQueuedClientLeavesGoesToTheNext() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    List<Message> out = new ArrayList<>();
    for (int i = 0; i < ROOM; i++) {
      new TestClient(heavy(i));
      out.add(engine.next("PULL"));
    }
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient(heavy(20));
    await(watch, "commands_taken|9");
    new TestClient(heavy(21));
    await(watch, "commands_taken|10");
    CountDownLatch held = holdUp();
    out.get(0).answer(out.get(0).id(), "200", "pages=1", ROWS);
    awaitRead();
    leaver.close();
    awaitRead();
    held.countDown();
    assertEquals("%016x".formatted(21), engine.next("PULL").id());
  }

  /** A client that ends only its output counts as having left, since it may not read either. */
  @Test
  void aClientThatEndsItsOutputHasLeft() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient leaver = new TestClient(heavy(1));
    engine.next("PULL");
    leaver.socket.shutdownOutput();
    engine.next("closed");
    await(new TestClient(), "commands_departed|1");
  }

  @Test
  void aClientWhoseConnectionIsResetHasLeft() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient leaver = new TestClient(heavy(1));
    engine.next("PULL");
    leaver.socket.setSoLinger(true, 0);
    leaver.socket.close();
    engine.next("closed");
    await(new TestClient(), "commands_departed|1");
  }

  /** The attempt is placed and not yet written when its client leaves. */
  @Test
  void anAttemptThatWaitsForAConnectionWhenItsClientLeavesIsNeverWritten() throws Exception {
    UnreachableEngine crowded = new UnreachableEngine();
    start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, crowded.address());
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient(heavy(1));
    await(watch, "sends|1");
    leaver.close();
    await(watch, "commands_departed|1");
    assertNoPull(crowded.relieve());
  }

  /**
   * The connection comes up, then the client leaves; the event loop is late and processes the
   * connection first.
   */
  @Test
  void anAttemptIsNotWrittenIfItsClientsEndIsReadAndNotProcessed() throws Exception {
    UnreachableEngine crowded = new UnreachableEngine();
    start(ServiceRig::withLongConnectTimeout, SOCKETS, IDLE_MS, crowded.address());
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient(heavy(1));
    await(watch, "sends|1");
    CountDownLatch held = holdUp();
    EmulatedPeer engine = crowded.relieve();
    awaitHandedOver();
    leaver.close();
    awaitRead();
    held.countDown();
    await(watch, "commands_departed|1");
    assertNoPull(engine);
  }

  /**
   * The engine fails, then the client leaves; the event loop is late and processes the failure
   * first.
   */
  @Test
  void aFailureProcessedBeforeTheClientsEndIsNotRetried() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient watch = new TestClient();
    TestClient leaver = new TestClient(idempotentStatement(1, 20_000));
    Message pull = poll(one, two);
    CountDownLatch held = holdUp();
    pull.reset();
    awaitRead();
    leaver.close();
    awaitRead();
    held.countDown();
    await(watch, "commands_departed|1");
    assertNoPull(one);
    assertNoPull(two);
  }

  /**
   * The same with a cancel request that is read and not processed yet; after it the session goes
   * on.
   */
  @Test
  void aFailureProcessedBeforeTheCancelRequestIsNotRetried() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message pull = poll(one, two);
    try (Socket cancel = new Socket(service.address().getAddress(), service.address().getPort())) {
      await(new TestClient(), "clients_opened|3");
      CountDownLatch held = holdUp();
      pull.reset();
      awaitRead();
      CountDownLatch heldSockets =
          holdUpSocketsOnceRead(() -> cancel.getOutputStream().write(client.cancelRequest()));
      held.countDown();
      Thread.sleep(GONE_FOR_MS);
      heldSockets.countDown();
      TestClient watch = new TestClient();
      await(watch, "commands_departed|1");
      assertTrue(watch.ask("SHOW cobaltseam.counters").contains("sends|1"), "it was sent again");
    }
    client.query(client.out, idempotentStatement(2, 20_000));
    Message next = poll(one, two);
    assertEquals("%016x".formatted(2), next.id());
    next.answer(next.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * Rejections by engines and the ends of the clients lie unread together, and the event loop runs
   * between the two.
   */
  @Test
  void rejectionsReadTogetherWithTheClientsEndsAreNotRetried() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two);
    TestClient watch = new TestClient();
    TestClient stops = new TestClient();
    List<TestClient> leavers = new ArrayList<>();
    List<Message> out = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      leavers.add(new TestClient(idempotentStatement(i, 20_000)));
      out.add(poll(one, two));
    }
    CountDownLatch held = holdUpSockets();
    HoldsInRound round = new HoldsInRound(stops);
    for (int i = 0; i < PAIRS; i++) {
      out.get(i).answer(out.get(i).id(), "503", "-", "");
      leavers.get(i).close();
    }
    stops.query(stops.out, "");
    held.countDown();
    round.holds.await();
    Thread.sleep(GONE_FOR_MS);
    round.held.countDown();
    await(watch, "commands_departed|" + PAIRS);
    assertTrue(
        watch.ask("SHOW cobaltseam.counters").contains("sends|" + PAIRS), "one was sent again");
  }

  /**
   * A cancel request counts though its connection is closed right behind it, as many clients do.
   */
  @Test
  void aCancelRequestWhoseConnectionClosesRightBehindItIsProcessed() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(heavy(1));
    engine.next("PULL");
    TestClient watch = new TestClient();
    Socket cancel = new Socket(service.address().getAddress(), service.address().getPort());
    await(watch, "clients_opened|3");
    CountDownLatch held = holdUpSockets();
    cancel.getOutputStream().write(client.cancelRequest());
    cancel.close();
    held.countDown();
    engine.next("closed");
    await(watch, "commands_departed|1");
  }

  /**
   * The answer comes in the same turn as the end of its client: it is dropped, and the next client
   * gets its own.
   */
  @Test
  void anAnswerThatComesWithTheEndOfItsClientIsDropped() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient leaver = new TestClient(heavy(1));
    Message first = engine.next("PULL");
    TestClient watch = new TestClient();
    CountDownLatch held = holdUp();
    leaver.close();
    awaitRead();
    first.answer(first.id(), "200", "pages=1", ROWS);
    awaitRead();
    held.countDown();
    await(watch, "clients_closed|1");
    watch.query(watch.out, heavy(2));
    Message second = engine.next();
    while (second.items().get(0).equals("closed")) {
      second = engine.next();
    }
    second.answer(second.id(), "200", "pages=1", "c\t3\tz\n");
    assertEquals(List.of("c|3|z", "SELECT 1"), watch.readReplies());
  }

  /**
   * All clients of queued requests but one leave at once: freed capacity goes to the one that
   * stays.
   */
  @Test
  void queuedRequestsOfManyClientsThatLeaveAreSkipped() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient watch = new TestClient();
    List<Message> out = new ArrayList<>();
    for (int i = 0; i < ROOM; i++) {
      new TestClient(heavy(i));
      out.add(engine.next("PULL"));
    }
    List<TestClient> leavers = new ArrayList<>();
    for (int i = 0; i < LEAVERS; i++) {
      leavers.add(new TestClient(heavy(100 + i)));
    }
    await(watch, "commands_taken|" + (ROOM + LEAVERS));
    new TestClient(heavy(99));
    await(watch, "commands_taken|" + (ROOM + LEAVERS + 1));
    CountDownLatch held = holdUp();
    out.get(0).answer(out.get(0).id(), "200", "pages=1", ROWS);
    for (TestClient leaver : leavers) {
      leaver.close();
    }
    awaitRead();
    held.countDown();
    assertEquals("%016x".formatted(99), engine.next("PULL").id());
    await(watch, "commands_departed|" + LEAVERS);
  }

  /**
   * A cancel request that is read together with its statement, on another connection, is not
   * processed before it.
   */
  @Test
  void aCancelRequestIsProcessedAfterTheStatementThatItNames() throws Exception {
    start(new EmulatedPeer(true));
    TestClient watch = new TestClient();
    List<TestClient> clients = new ArrayList<>();
    List<Socket> cancels = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      cancels.add(new Socket(service.address().getAddress(), service.address().getPort()));
      clients.add(new TestClient());
    }
    awaitRead();
    CountDownLatch held = holdUpSockets();
    for (int i = 0; i < PAIRS; i++) {
      TestClient client = clients.get(i);
      client.query(client.out, statement("once", i, 20_000));
      cancels.get(i).getOutputStream().write(client.cancelRequest());
    }
    held.countDown();
    await(watch, "commands_departed|" + PAIRS);
    for (Socket each : cancels) {
      each.close();
    }
  }

  /**
   * The client has sent no complete statement when the timeout for it ends, but is still writing.
   */
  @Test
  void aClientThatWritesSlowlyDoesNotTimeOut() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient slow = new TestClient();
    byte[] statement = queryMessage(idempotentStatement(1, 10_000));
    int pieces = 8;
    for (int i = 0; i < pieces; i++) {
      // The duration itself is tested: the statement takes longer than a silent client may stay
      // connected.
      Thread.sleep(400);
      int from = statement.length * i / pieces;
      slow.out.write(statement, from, statement.length * (i + 1) / pieces - from);
    }
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", slow.readReplies().get(2));
  }
}
