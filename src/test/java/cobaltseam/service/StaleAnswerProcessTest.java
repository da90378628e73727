package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.EmulatedEngine.AttemptRecord;
import cobaltseam.standin.StatementClient;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a dispatcher process beside an engine that loses all pages of results but the first. */
class StaleAnswerProcessTest {
  private static final String HOST = "127.0.0.1";
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int EXECUTION_MS = 20;
  private static final int DEADLINE_MS = 2000;
  private static final int REQUESTS = 20;
  private static final int PAGES = 5;
  private static final int CORES = 8;

  @TempDir Path folder;

  /** Guards against two attempts of one request in flight at an engine that loses pages. */
  @Test
  void lostPagesLeadToOneAttemptAtATime() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine(HOST, requestClass -> EXECUTION_MS);
        EmulatedDiscovery discovery = new EmulatedDiscovery(HOST)) {
      engine.loseFurtherPages(PAGES);
      InetSocketAddress address = DispatcherProcess.freeAddress(HOST);
      String known =
          discovery.publish(
              true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
      String configuration =
          DispatcherProcess.configuration("n0", address, 0, 1, CORES, discovery, known);
      try (DispatcherProcess dispatcher = new DispatcherProcess(folder, configuration, null)) {
        dispatcher.start();
        dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
        sendRequests(address);
        List<AttemptRecord> attempts = engine.attempts();
        assertTrue(attempts.size() > REQUESTS, "no request was retried\n" + dispatcher.log());
        assertEquals(
            List.of(),
            attempts.stream().filter(a -> attempts.stream().anyMatch(a::overlaps)).toList(),
            dispatcher.log());
      }
    }
  }

  private static void sendRequests(InetSocketAddress address) throws Exception {
    try (StatementClient client = new StatementClient(address, DEADLINE_MS)) {
      for (int i = 1; i <= REQUESTS; i++) {
        client.execute("%016x".formatted(i), "look", DEADLINE_MS, EXECUTION_MS);
      }
    }
  }
}
