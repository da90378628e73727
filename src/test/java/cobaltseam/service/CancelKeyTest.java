package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Cancel requests that reach another process than the one they are meant for. */
class CancelKeyTest extends ServiceRig {
  /**
   * Guards against a cancel request for a session of a former process that cancels the request of
   * another client: a dispatcher is started again with the same configuration, seed included.
   */
  @Test
  void cancelRequestForAFormerProcessCancelsNothing() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    byte[] formerCancelRequest = new TestClient().cancelRequest();
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 10_000));
    Message pull = engine.next("PULL");
    try (Socket connection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      connection.getOutputStream().write(formerCancelRequest);
      assertTrue(connection.getInputStream().read() < 0);
    }
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }
}
