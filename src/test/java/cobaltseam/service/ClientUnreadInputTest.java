package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Clients write more than one read takes, and disconnect: the end of the connection is known only
 * once all of it is read.
 */
class ClientUnreadInputTest extends ServiceRig {
  private static final int SEND_BUFFER_BYTES = 1 << 20;

  /** More than three reads of the maximum length, and less than the maximum of a message. */
  private static final int PADDING_BYTES = 60_000;

  private enum UnreadInput {
    STATEMENT,
    INCOMPLETE_STATEMENT,
    MANY_MESSAGES,
    INVALID
  }

  /** Before each read but the first, has the event loop process what was posted before it. */
  private final class EventLoopWaiter extends IoFilterAdapter {
    private final Task beforeSecondRead;
    private int reads;

    EventLoopWaiter() {
      this(() -> {});
    }

    EventLoopWaiter(Task beforeSecondRead) {
      this.beforeSecondRead = beforeSecondRead;
    }

    @Override
    public void messageReceived(NextFilter next, IoSession session, Object message)
        throws Exception {
      reads++;
      if (reads == 2) {
        beforeSecondRead.run();
      }
      if (reads > 1) {
        awaitEventLoopTurn();
      }
      next.messageReceived(session, message);
    }
  }

  /** Returns input that one read does not take, to follow a statement. */
  private static byte[] bytesOf(UnreadInput unread) throws IOException {
    String padding = " ".repeat(PADDING_BYTES);
    byte[] large = queryMessage(idempotentStatement(2, 10_000) + padding);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    switch (unread) {
      case STATEMENT -> bytes.write(large);
      case INCOMPLETE_STATEMENT -> bytes.write(large, 0, large.length - 1);
      case MANY_MESSAGES -> {
        for (int i = 0; i < PADDING_BYTES; i += 5) {
          bytes.write(new byte[] {'S', 0, 0, 0, 4});
        }
      }
      case INVALID -> bytes.write(padding.getBytes(StandardCharsets.US_ASCII));
      default -> throw new IllegalArgumentException(unread.toString());
    }
    return bytes.toByteArray();
  }

  /**
   * Guards against requests that are sent although their client has left with much still unread.
   */
  @ParameterizedTest
  @CsvSource({
    "STATEMENT,false",
    "STATEMENT,true",
    "INCOMPLETE_STATEMENT,false",
    "INCOMPLETE_STATEMENT,true",
    "MANY_MESSAGES,false",
    "MANY_MESSAGES,true",
    "INVALID,false",
    "INVALID,true"
  })
  void statementIsNotSentWhenItsClientDisconnectsBehindMuchInput(
      UnreadInput unread, boolean isReset) throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    TestClient disconnecting = new TestClient();
    disconnecting.socket.setSendBufferSize(SEND_BUFFER_BYTES);
    addFilter(disconnecting, new EventLoopWaiter());
    CountDownLatch resume = blockIoThread();
    disconnecting.out.write(queryMessage(idempotentStatement(1, 10_000)));
    disconnecting.out.write(bytesOf(unread));
    close(disconnecting, isReset);
    resume.countDown();
    awaitCounter(observer, "clients_closed|1");
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|0"));
  }

  private static void close(TestClient client, boolean isReset) throws IOException {
    if (isReset) {
      client.socket.setSoLinger(true, 0);
    }
    client.close();
  }

  /**
   * Guards against retries that are sent although their client has left with much still unread: the
   * failure of the first attempt is read in the same round as the begin of that input.
   */
  @ParameterizedTest
  @CsvSource({
    "STATEMENT,false",
    "STATEMENT,true",
    "INCOMPLETE_STATEMENT,false",
    "INCOMPLETE_STATEMENT,true",
    "MANY_MESSAGES,false",
    "MANY_MESSAGES,true",
    "INVALID,false",
    "INVALID,true"
  })
  void requestIsNotRetriedWhenItsClientDisconnectsBehindMuchInput(
      UnreadInput unread, boolean isReset) throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    start(firstEngine, secondEngine);
    TestClient observer = new TestClient();
    openConnections(firstEngine, secondEngine);
    TestClient disconnecting = new TestClient(idempotentStatement(1, 10_000));
    Message pull = nextFromAny(firstEngine, secondEngine);
    disconnecting.socket.setSendBufferSize(SEND_BUFFER_BYTES);
    addFilter(disconnecting, new EventLoopWaiter());
    CountDownLatch resume = blockIoThread();
    pull.answer(pull.id(), "500", "-", "");
    disconnecting.out.write(bytesOf(unread));
    close(disconnecting, isReset);
    resume.countDown();
    awaitCounter(observer, "clients_closed|1");
    List<String> counters = observer.execute("SHOW cobaltseam.counters");
    assertTrue(counters.contains("commands_departed|1"), counters.toString());
    assertTrue(counters.contains("sends_error|1"), counters.toString());
    assertTrue(counters.contains("sends_cancelled|0"), counters.toString());
  }

  /**
   * The client stays, and one of the engines drains while the retry waits for the client's input:
   * the retry is sent, but not to that engine.
   */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void retryIsSentOnceTheInputOfItsClientIsRead(boolean isDraining) throws Exception {
    EmulatedPeer firstEngine = new EmulatedPeer(true);
    EmulatedPeer secondEngine = new EmulatedPeer(true);
    EmulatedPeer bus = start(firstEngine, secondEngine);
    Message watch = bus.next("from 7");
    TestClient observer = new TestClient();
    openConnections(firstEngine, secondEngine);
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = nextFromAny(firstEngine, secondEngine);
    boolean isFirst = pull.from().getLocalPort() == firstEngine.server.getLocalPort();
    EmulatedPeer failing = isFirst ? firstEngine : secondEngine;
    EmulatedPeer other = isFirst ? secondEngine : firstEngine;
    String drain =
        endpointEvent(8, false, endpointJson(isFirst ? 2 : 1, other.address(), "terminating"));
    client.socket.setSendBufferSize(SEND_BUFFER_BYTES);
    addFilter(client, new EventLoopWaiter(() -> watch.write(isDraining ? drain + "\n" : "")));
    CountDownLatch resume = blockIoThread();
    pull.answer(pull.id(), "500", "-", "");
    client.out.write(bytesOf(UnreadInput.INCOMPLETE_STATEMENT));
    resume.countDown();
    Message retry = nextFromAny(firstEngine, secondEngine);
    int expectedPort = (isDraining ? failing : other).server.getLocalPort();
    assertEquals(expectedPort, retry.from().getLocalPort(), "the engine");
    retry.answer(retry.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends_cancelled|0"));
  }

  /** Has both engines answer a request, so that an idle connection to each is open. */
  private void openConnections(EmulatedPeer firstEngine, EmulatedPeer secondEngine)
      throws Exception {
    TestClient firstClient = new TestClient(idempotentStatement(101, 10_000));
    TestClient secondClient = new TestClient(idempotentStatement(102, 10_000));
    for (EmulatedPeer engine : List.of(firstEngine, secondEngine)) {
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
    }
    firstClient.readReplies();
    secondClient.readReplies();
  }

  /** A cancel request is read in fewer rounds than the statement that it cancels. */
  @Test
  void cancelRequestIsProcessedAfterItsLargeStatement() throws Exception {
    start(new EmulatedPeer(true));
    TestClient observer = new TestClient();
    TestClient cancelling = new TestClient();
    cancelling.socket.setSendBufferSize(SEND_BUFFER_BYTES);
    try (Socket connection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      // A connection that is accepted later is read later, which is not the order under test.
      awaitCounter(observer, "clients_opened|3");
      CountDownLatch resume = blockIoThread();
      cancelling.out.write(
          queryMessage(idempotentStatement(1, 10_000) + " ".repeat(PADDING_BYTES)));
      connection.getOutputStream().write(cancelling.cancelRequest());
      resume.countDown();
      assertEquals(-1, connection.getInputStream().read());
    }
    awaitCounter(observer, "commands_taken|1");
    awaitCounter(observer, "commands_departed|1");
    assertTrue(observer.execute("SHOW cobaltseam.counters").contains("sends|0"));
  }

  /** The last read of a statement fills its buffer, and nothing follows it. */
  @Test
  void statementThatFillsItsLastReadIsAnswered() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient();
    client.socket.setSendBufferSize(SEND_BUFFER_BYTES);
    String statement = idempotentStatement(1, 10_000);
    for (int messageBytes = 1 << 11; messageBytes <= 1 << 15; messageBytes *= 2) {
      String unique = statement.replace("%016x".formatted(1), "%016x".formatted(messageBytes));
      byte[] unpadded = queryMessage(unique);
      client.out.write(queryMessage(unique + " ".repeat(messageBytes - unpadded.length)));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.readReplies().get(2));
    }
  }
}
