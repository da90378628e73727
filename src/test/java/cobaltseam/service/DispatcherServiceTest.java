package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The shutdown delay and the warm-up of a service. */
class DispatcherServiceTest extends ServiceRig {
  @Test
  void stoppedServiceServesUntilNoRequestIsOpen() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    TestClient client = new TestClient(idempotentStatement(1, 4000));
    Message firstPull = engine.next("PULL");
    long stopNanos = System.nanoTime();
    Thread stopThread = new Thread(service::stop);
    stopThread.start();
    TestClient newClient = new TestClient(idempotentStatement(2, 4000));
    Message secondPull = engine.next("PULL");
    secondPull.answer(secondPull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", newClient.readReplies().get(2), "new connections are still served");
    firstPull.answer(firstPull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    stopThread.join(TIMEOUT_S * 1000);
    assertFalse(stopThread.isAlive());
    assertTrue(System.nanoTime() - stopNanos >= TimeUnit.MILLISECONDS.toNanos(700));
  }

  @Test
  void warmupCompletesRequests() throws Exception {
    assertTrue(
        Warmup.run(
                serviceConfiguration(
                    "127.0.0.1:9", SOCKETS, IDLE_MS, endpointJson(1, "127.0.0.1:9", "in_service")))
            > 0);
  }

  /** Guards against a warm-up with one engine, since an emulated one stands for all of them. */
  @Test
  void warmupKeepsAllEnginesInService() throws Exception {
    List<String> replacements = new CopyOnWriteArrayList<>();
    Logger log = Logger.getLogger(EndpointAddresses.class.getName());
    Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord entry) {
            replacements.add(entry.getMessage());
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    log.addHandler(handler);
    try {
      Warmup.run(
          serviceConfiguration(
              "127.0.0.1:9",
              SOCKETS,
              IDLE_MS,
              endpointJson(1, "127.0.0.1:9", "in_service"),
              endpointJson(2, "127.0.0.1:10", "in_service")));
    } finally {
      log.removeHandler(handler);
    }
    assertEquals(List.of(), replacements);
  }
}
