package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Suspends a dispatcher process while a request arrives. */
class SuspensionTest {
  private static final String HOST = "127.0.0.1";
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int CLIENT_TIMEOUT_MS = 6000;
  private static final int EXECUTION_MS = 5;
  private static final int CORES = 8;
  private static final int DEADLINE_MS = 2500;
  private static final int SUSPENSION_MS = 1000;

  /** How much longer than the client's time an engine's may be. */
  private static final int DEADLINE_SLACK_MS = 150;

  @TempDir Path folder;

  /** Guards against a suspension that is counted against a request that arrives long after it. */
  private static void assertFullDeadlineAfterQuietSuspension(
      DispatcherProcess dispatcher, StatementClient client, EmulatedEngine engine)
      throws Exception {
    dispatcher.suspend();
    // The duration itself is tested.
    Thread.sleep(SUSPENSION_MS);
    dispatcher.resume();
    // Longer than a dispatcher waits for input at a time.
    Thread.sleep(SUSPENSION_MS);
    assertEquals(Outcome.ANSWERED, client.execute("0000000000000003", "once", DEADLINE_MS, 5));
    assertTrue(engine.lastTimeToLiveMs() > DEADLINE_MS - SUSPENSION_MS / 2, dispatcher.log());
  }

  /** Guards against an engine's deadline that ignores how long a request was unread. */
  @Test
  void deadlineOfEngineCountsFromBeforeASuspension() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine(HOST, requestClass -> EXECUTION_MS);
        EmulatedDiscovery discovery = new EmulatedDiscovery(HOST)) {
      InetSocketAddress address = DispatcherProcess.freeAddress(HOST);
      String known =
          discovery.publish(
              true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
      String configuration =
          DispatcherProcess.configuration("n0", address, 0, 1, CORES, discovery, known);
      try (DispatcherProcess dispatcher = new DispatcherProcess(folder, configuration, null)) {
        dispatcher.start();
        dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
        try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
          assertEquals(
              Outcome.ANSWERED, client.execute("0000000000000001", "once", DEADLINE_MS, 5));
          dispatcher.suspend();
          long sentAt = System.nanoTime();
          client.send("0000000000000002", "once", DEADLINE_MS, EXECUTION_MS);
          // The duration itself is tested.
          Thread.sleep(SUSPENSION_MS);
          dispatcher.resume();
          assertEquals(Outcome.ANSWERED, client.awaitOutcome(), dispatcher.log());
          long startedAt = engine.lastStartTimes().get("0000000000000002");
          long remainingMs = DEADLINE_MS - TimeUnit.NANOSECONDS.toMillis(startedAt - sentAt);
          assertTrue(
              engine.lastTimeToLiveMs() <= remainingMs + DEADLINE_SLACK_MS,
              engine.lastTimeToLiveMs() + " ms, of which the client has " + remainingMs);
          assertFullDeadlineAfterQuietSuspension(dispatcher, client, engine);
        }
      }
    }
  }
}
