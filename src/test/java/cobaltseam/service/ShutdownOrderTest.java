package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A shutdown that crosses what clients write, and closes that cross unread bytes. */
class ShutdownOrderTest extends ServiceRig {
  private static final int END = -1;
  private static final int SMALL_BUFFER = 4096;

  /** Rows of an answer that no socket takes in one write while its reader rests. */
  private static final int MANY_ROWS = 30_000;

  /** How long after SIGTERM a process may be killed at the earliest. */
  private static final long LAST_MOMENT_NANOS = 3_700_000_000L;

  /**
   * Asks for the end, and returns once nothing new is taken: a client that rests has seen its
   * connection end.
   */
  private Thread shutDown() throws IOException {
    Client resting = new Client();
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
   * Left to the end of the process, a request that came in that instant would take the answer
   * before it along.
   */
  @Test
  void aRestingClientSeesTheEndOfItsConnectionBeforeTheProcessEnds() throws Exception {
    start(new Peer(true));
    assertEnds(shutDown());
  }

  /**
   * The client is slow to read: a part of its answer is still to be written when the shutdown
   * comes.
   */
  @Test
  void anAnswerHalfWrittenWhenTheShutdownComesGoesOutWhole() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    service.acceptor.getSessionConfig().setSendBufferSize(SMALL_BUFFER);
    Client slow = new Client(look(1, 20_000));
    Message out = engine.next("PULL");
    out.answer(out.id(), "200", "pages=1", "a\n".repeat(MANY_ROWS));
    await(new Client(), "commands_answered|1");
    assertTrue(service.acceptor.getScheduledWriteBytes() > 0, "the answer was written at once");
    Thread stop = shutDown();
    List<String> told = slow.told();
    assertEquals("SELECT " + MANY_ROWS, told.get(told.size() - 1));
    assertEquals(END, slow.in.read(), "an end, not a reset");
    assertEnds(stop);
  }

  /**
   * Sent on, it would keep the process until it is killed, with this or the next statement
   * unanswered.
   */
  @Test
  void aStatementReadAfterTheShutdownIsRefusedAtOnceAndNeverSentOn() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client hanging = new Client(look(1, 20_000));
    Message out = engine.next("PULL");
    Client halfWritten = new Client();
    byte[] late = message(look(2, 20_000));
    halfWritten.out.write(late, 0, 30);
    awaitRead();
    Thread stop = shutDown();
    halfWritten.out.write(late, 30, late.length - 30);
    assertEquals(List.of("error 57"), halfWritten.told(), "trying again is harmless");
    assertEquals(END, halfWritten.in.read());
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", hanging.told().get(2), "what was taken before is answered");
    assertEnds(stop);
    assertTrue(engine.heard.stream().noneMatch(m -> m.items().get(0).equals("PULL")));
  }

  /**
   * Its engine hangs beyond the moment at which the platform may kill this process: the client has
   * its answer before.
   */
  @Test
  void whatHangsBeyondTheLastMomentIsGivenUpWithAnAnswer() throws Exception {
    Peer engine = new Peer(true);
    start(
        configuration ->
            configuration.replace("\"hard_limit_us\":3000000", "\"hard_limit_us\":60000000"),
        SOCKETS,
        IDLE_MS,
        engine.address());
    Client once = new Client(command("once", 1, 60_000));
    engine.next("PULL");
    Client again = new Client(look(2, 60_000).replace("work=1000", "work=20000"));
    engine.next("PULL");
    long asked = System.nanoTime();
    Thread stop = shutDown();
    assertEquals(List.of("error 53 pushback"), again.told(), "trying again does no harm");
    assertEquals(List.of("error 58"), once.told(), "it may have run");
    assertTrue(
        System.nanoTime() - asked < LAST_MOMENT_NANOS, "answered before the process may be killed");
    assertEnds(stop);
  }

  /** The cancel request comes on a connection of its own, which a closed port would not take. */
  @Test
  void aCancelRequestIsHeardWhileItsRequestIsInHand() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(command("once", 1, 20_000));
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
   * A connection that comes that late is told, not left to guess; a statement right behind its
   * start-up goes nowhere.
   */
  @Test
  void aConnectionThatComesWhileRequestsAreInHandIsTurnedAway() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 20_000));
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
      late.getOutputStream().write(message(look(2, 20_000)));
      String told = new String(late.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(told.contains("57P03"), told);
    }
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
    assertEnds(stop);
    assertTrue(engine.heard.stream().noneMatch(m -> m.items().get(0).equals("PULL")));
  }

  /**
   * Several statements at once, read whole in the turn of the shutdown: each has its own definite
   * answer.
   */
  @Test
  void whatWaitsBehindAStatementIsRefusedOnceThatIsAnswered() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 20_000), look(2, 20_000));
    Message out = engine.next("PULL");
    Thread stop = shutDown();
    out.answer(out.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
    assertEquals(List.of("error 57"), client.told());
    assertEquals(END, client.in.read());
    assertEnds(stop);
  }

  /** One that never finishes its message, or never closes, does not keep the process. */
  @Test
  void aClientInTheMiddleOfAMessageDoesNotHoldUpTheEnd() throws Exception {
    start(new Peer(true));
    Client client = new Client();
    client.out.write(message(look(1, 20_000)), 0, 30);
    awaitRead();
    assertEnds(shutDown());
    assertEquals(END, client.in.read());
  }

  /**
   * The bytes that nobody reads any more would else make the close a reset, which may take the
   * answer along.
   */
  @Test
  void aCloseOverUnreadBytesResetsNothing() throws Exception {
    start(new Peer(true));
    Client client = new Client();
    byte[] broken = new byte[100_000];
    System.arraycopy(new byte[] {'Q', -1, 0, 0, 0}, 0, broken, 0, 5);
    client.out.write(broken);
    byte[] told = client.in.readAllBytes();
    assertTrue(new String(told, StandardCharsets.UTF_8).contains("FATAL"), "it is told why");
    assertEquals(List.of("empty"), new Client().ask(""));
  }

  /**
   * As above, when the bytes come after the end: they are read, and the connection is not reset.
   */
  @Test
  void whatCrossesTheCloseOfAnIdleConnectionResetsNothing() throws Exception {
    start(16, IDLE_MS, new Peer(true));
    Client idle = new Client();
    assertEquals(List.of("empty"), idle.ask(""));
    for (int i = 0; i < 6; i++) {
      assertEquals(List.of("empty"), new Client().ask(""));
    }
    assertEquals(END, idle.in.read(), "the longest idle gives way");
    idle.query(idle.out, look(1, 3000));
    awaitRead();
    assertEquals(END, idle.in.read());
  }
}
