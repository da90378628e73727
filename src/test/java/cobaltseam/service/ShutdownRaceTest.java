package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shutdowns that cross messages of clients, and closes that cross unread bytes. */
class ShutdownRaceTest extends ServiceRig {
  private static final int END = -1;
  private static final int SMALL_BUFFER = 4096;

  /** Rows of an answer that is larger than a socket's buffers while its client does not read. */
  private static final int MANY_ROWS = 30_000;

  /** The earliest time after SIGTERM at which the platform may kill a process. */
  private static final long LAST_MOMENT_NANOS = 3_700_000_000L;

  /**
   * Asks for the shutdown, and returns when no new statement is admitted: an idle client has then
   * seen its connection end.
   */
  private Thread shutDown() throws IOException {
    TestClient resting = new TestClient();
    assertEquals(List.of("empty"), resting.ask(""));
    Thread stop = new Thread(service::stop);
    stop.start();
    assertEquals(END, resting.in.read(), "a resting client sees an end, not a reset");
    return stop;
  }

  private void assertEnds(Thread stop) throws InterruptedException {
    stop.join(SOON_S * 1000);
    assertFalse(stop.isAlive(), "it does not end");
  }

  /**
   * If connections ended with the process, a request in that moment could lose the answer before
   * it.
   */
  @Test
  void anIdleClientSeesTheEndOfItsConnectionBeforeTheProcessEnds() throws Exception {
    start(new EmulatedPeer(true));
    assertEnds(shutDown());
  }

  /** The client reads slowly: part of its answer is not written yet when the shutdown comes. */
  @Test
  void anAnswerHalfWrittenWhenTheShutdownComesIsWrittenCompletely() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    service.acceptor.getSessionConfig().setSendBufferSize(SMALL_BUFFER);
    TestClient slow = new TestClient(idempotentStatement(1, 20_000));
    Message out = engine.next("PULL");
    out.answer(out.id(), "200", "pages=1", "a\n".repeat(MANY_ROWS));
    await(new TestClient(), "commands_answered|1");
    assertTrue(service.acceptor.getScheduledWriteBytes() > 0, "the answer was written at once");
    Thread stop = shutDown();
    List<String> told = slow.readReplies();
    assertEquals("SELECT " + MANY_ROWS, told.get(told.size() - 1));
    assertEquals(END, slow.in.read(), "an end, not a reset");
    assertEnds(stop);
  }

  /**
   * If it were forwarded, the process would run until it is killed, with a statement unanswered.
   */
  @Test
  void aStatementReadAfterTheShutdownIsRejectedAtOnceAndNotForwarded() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient hanging = new TestClient(idempotentStatement(1, 20_000));
    Message out = engine.next("PULL");
    TestClient halfWritten = new TestClient();
    byte[] late = queryMessage(idempotentStatement(2, 20_000));
    halfWritten.out.write(late, 0, 30);
    awaitRead();
    Thread stop = shutDown();
    halfWritten.out.write(late, 30, late.length - 30);
    assertEquals(List.of("error 57"), halfWritten.readReplies(), "trying again is harmless");
    assertEquals(END, halfWritten.in.read());
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", hanging.readReplies().get(2), "what was taken before is answered");
    assertEnds(stop);
    assertTrue(engine.received.stream().noneMatch(m -> m.items().get(0).equals("PULL")));
  }

  /**
   * The engine hangs beyond the time at which the platform may kill the process: the client has its
   * answer before.
   */
  @Test
  void aRequestThatHangsTooLongIsAbandonedWithAnAnswer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(
        configuration ->
            configuration.replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":60000000"),
        SOCKETS,
        IDLE_MS,
        engine.address());
    TestClient once = new TestClient(statement("once", 1, 60_000));
    engine.next("PULL");
    TestClient again =
        new TestClient(idempotentStatement(2, 60_000).replace("work=1000", "work=20000"));
    engine.next("PULL");
    long asked = System.nanoTime();
    Thread stop = shutDown();
    assertEquals(List.of("error 53 pushback"), again.readReplies(), "trying again does no harm");
    assertEquals(List.of("error 58"), once.readReplies(), "it may have run");
    assertTrue(
        System.nanoTime() - asked < LAST_MOMENT_NANOS, "answered before the process may be killed");
    assertEnds(stop);
  }

  /** The cancel request comes on a new connection, which a closed port would not accept. */
  @Test
  void aCancelRequestIsProcessedWhileItsRequestIsOpen() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(statement("once", 1, 20_000));
    engine.next("PULL");
    Thread stop = shutDown();
    try (Socket cancel = new Socket(service.address().getAddress(), service.address().getPort())) {
      cancel.getOutputStream().write(client.cancelRequest());
      engine.next("closed");
    }
    assertEquals(END, client.in.read(), "no answer is owed any more");
    assertEnds(stop);
  }

  /**
   * A connection that comes that late gets an error; a statement right behind its start-up is not
   * forwarded.
   */
  @Test
  void aConnectionThatComesWhileRequestsAreOpenIsRejected() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 20_000));
    Message out = engine.next("PULL");
    Thread stop = shutDown();
    byte[] startup = {0, 0, 0, 9, 0, 3, 0, 0, 0};
    try (Socket late = new Socket(service.address().getAddress(), service.address().getPort())) {
      late.getOutputStream().write(startup);
      String told = new String(late.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(told.contains("57P03"), "before it asks anything: " + told);
    }
    try (Socket late = new Socket(service.address().getAddress(), service.address().getPort())) {
      late.getOutputStream().write(startup);
      late.getOutputStream().write(queryMessage(idempotentStatement(2, 20_000)));
      String told = new String(late.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(told.contains("57P03"), told);
    }
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertEnds(stop);
    assertTrue(engine.received.stream().noneMatch(m -> m.items().get(0).equals("PULL")));
  }

  /** Several statements are read together in the turn of the shutdown: each gets its own answer. */
  @Test
  void aPendingStatementIsRejectedOnceTheOneBeforeItIsAnswered() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client =
        new TestClient(idempotentStatement(1, 20_000), idempotentStatement(2, 20_000));
    Message out = engine.next("PULL");
    Thread stop = shutDown();
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertEquals(List.of("error 57"), client.readReplies());
    assertEquals(END, client.in.read());
    assertEnds(stop);
  }

  /** A client that never completes its message, or never closes, does not keep the process. */
  @Test
  void aClientInTheMiddleOfAMessageDoesNotDelayTheEnd() throws Exception {
    start(new EmulatedPeer(true));
    TestClient client = new TestClient();
    client.out.write(queryMessage(idempotentStatement(1, 20_000)), 0, 30);
    awaitRead();
    assertEnds(shutDown());
    assertEquals(END, client.in.read());
  }

  /** Unread bytes would turn the close into a reset, which may lose the answer. */
  @Test
  void aCloseOverUnreadBytesResetsNothing() throws Exception {
    start(new EmulatedPeer(true));
    TestClient client = new TestClient();
    byte[] broken = new byte[100_000];
    System.arraycopy(new byte[] {'Q', -1, 0, 0, 0}, 0, broken, 0, 5);
    client.out.write(broken);
    byte[] told = client.in.readAllBytes();
    assertTrue(new String(told, StandardCharsets.UTF_8).contains("FATAL"), "it is told why");
    assertEquals(List.of("empty"), new TestClient().ask(""));
  }

  /**
   * The same with bytes that come after the end of the output: they are read, and nothing is reset.
   */
  @Test
  void bytesThatCrossTheCloseOfAnIdleConnectionResetNothing() throws Exception {
    start(16, IDLE_MS, new EmulatedPeer(true));
    TestClient idle = new TestClient();
    assertEquals(List.of("empty"), idle.ask(""));
    for (int i = 0; i < 6; i++) {
      assertEquals(List.of("empty"), new TestClient().ask(""));
    }
    assertEquals(END, idle.in.read(), "the longest idle gives way");
    idle.query(idle.out, idempotentStatement(1, 3000));
    awaitRead();
    assertEquals(END, idle.in.read());
  }
}
