package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients stop in the middle of large requests, which together exceed the memory limit. */
class ClientMemoryTest extends ServiceRig {
  private static final int STOPPED_CLIENTS = 60;
  private static final int LARGE_BYTES = 60_000;

  /** More than clients may stop for while memory is short; the duration is the subject. */
  private static final int STALLED_MS = 1200;

  private List<TestClient> stopInTheMiddle() throws IOException {
    byte[] statement = queryMessage(idempotentStatement(1, 10_000) + " ".repeat(LARGE_BYTES));
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < STOPPED_CLIENTS; i++) {
      TestClient client = new TestClient();
      clients.add(client);
      assertEquals(List.of("empty"), client.execute(""));
      try {
        client.out.write(statement, 0, LARGE_BYTES);
      } catch (SocketException e) {
        // The memory limit was reached in the middle of this write.
        continue;
      }
    }
    return clients;
  }

  /** Guards against large requests that are rejected for the sake of clients that have stopped. */
  @Test
  void largeRequestIsAnsweredWhileOthersAreIncomplete() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    stopInTheMiddle();
    awaitRead();
    Thread.sleep(STALLED_MS);
    TestClient client = new TestClient();
    byte[] statement = queryMessage(idempotentStatement(2, 10_000) + " ".repeat(LARGE_BYTES));
    client.out.write(statement, 0, LARGE_BYTES);
    awaitRead();
    client.out.write(statement, LARGE_BYTES, statement.length - LARGE_BYTES);
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** A client that is rejected for lack of memory has violated nothing, and may try again. */
  @Test
  void rejectionForLackOfMemoryIsNoProtocolError() throws Exception {
    start(new EmulatedPeer(true));
    List<TestClient> clients = stopInTheMiddle();
    TestClient observer = new TestClient();
    awaitRead();
    List<String> counters = observer.execute("SHOW cobaltseam.counters");
    assertTrue(counters.contains("client_protocol_errors|0"), counters.toString());
    assertFalse(counters.contains("clients_closed|0"), counters.toString());
    assertEquals(STOPPED_CLIENTS, clients.size());
  }
}
