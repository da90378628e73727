package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The shutdown and the warm-up of a service. */
class DispatcherServiceTest extends ServiceRig {
  @Test
  void aStoppedServiceServesOnUntilNoRequestIsOpen() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 4000));
    Message pull = engine.next("PULL");
    long asked = System.nanoTime();
    Thread stop = new Thread(service::stop);
    stop.start();
    TestClient late = new TestClient(idempotentStatement(2, 4000));
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", late.readReplies().get(2), "new connections are still served");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    stop.join(SOON_S * 1000);
    assertFalse(stop.isAlive());
    assertTrue(System.nanoTime() - asked >= TimeUnit.MILLISECONDS.toNanos(700));
  }

  @Test
  void theWarmUpCompletesRequests() throws Exception {
    assertTrue(
        Warmup.run(
                serviceConfiguration(
                    "127.0.0.1:9", SOCKETS, IDLE_MS, endpointJson(1, "127.0.0.1:9", "in_service")))
            > 0);
  }
}
