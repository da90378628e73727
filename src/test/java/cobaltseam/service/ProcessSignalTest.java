package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals to real dispatcher processes while requests are open, and simultaneous starts. */
class ProcessSignalTest {
  private static final String HOST = "127.0.0.1";
  private static final int TIMEOUT_MS = 20_000;

  /** How long each request runs on the emulated engine. */
  private static final int REQUEST_DURATION_MS = 1500;

  private static final int PROCESS_COUNT = 10;

  /** How long a process may take from its start to its first reply. */
  private static final int READY_WITHIN_MS = 10_000;

  private static final int MIN_READY = 9;

  @TempDir Path folder;
  private EmulatedDiscovery bus;
  private EmulatedEngine engine;
  private String knownEndpoints;
  private final List<DispatcherProcess> processes = new ArrayList<>();

  @BeforeEach
  void startEngineAndEventBus() throws Exception {
    bus = new EmulatedDiscovery(HOST);
    engine = new EmulatedEngine(HOST, profile -> REQUEST_DURATION_MS);
    knownEndpoints =
        bus.publish(true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
  }

  @AfterEach
  void stopProcesses() throws Exception {
    processes.forEach(DispatcherProcess::close);
    engine.close();
    bus.close();
  }

  private DispatcherProcess dispatcher(int number, InetSocketAddress listen) throws IOException {
    String configuration =
        DispatcherProcess.configuration(
            "n" + number, listen, number, PROCESS_COUNT, 4 * PROCESS_COUNT, bus, knownEndpoints);
    DispatcherProcess process =
        new DispatcherProcess(folder.resolve("n" + number), configuration, null);
    processes.add(process);
    return process;
  }

  /** A second SIGTERM, or a SIGHUP in between, must not shorten or prolong the shutdown. */
  @Test
  void repeatedSignalsDuringAShutdownChangeNothingAndInFlightRequestsAreAnswered()
      throws Exception {
    InetSocketAddress listen = DispatcherProcess.freeAddress(HOST);
    DispatcherProcess process = dispatcher(0, listen);
    process.start();
    process.awaitLogLine("serves on", 0, TIMEOUT_MS);
    ExecutorService executor = Executors.newSingleThreadExecutor();
    try (StatementClient client = new StatementClient(listen, TIMEOUT_MS)) {
      Future<Outcome> outcome =
          executor.submit(
              () -> client.execute("%016x".formatted(1), "once", 3000, REQUEST_DURATION_MS));
      while (engine.runningCount() == 0) {
        assertFalse(outcome.isDone(), "the request ended before it reached the engine");
        Thread.onSpinWait();
      }
      int firstLine = process.logLineCount();
      process.signal("TERM");
      process.signal("HUP");
      process.signal("TERM");
      Map<String, Long> counters = process.awaitExit(firstLine);
      assertEquals(Outcome.ANSWERED, outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, counters.get("faults"));
    } finally {
      executor.shutdownNow();
    }
  }

  /**
   * The process is suspended while a statement and SIGTERM arrive. The statement, which is still
   * unread in the kernel, has to be answered.
   */
  @Test
  void requestUnreadWhenSigtermArrivesIsAnswered() throws Exception {
    InetSocketAddress listen = DispatcherProcess.freeAddress(HOST);
    DispatcherProcess process = dispatcher(0, listen);
    process.start();
    process.awaitLogLine("serves on", 0, TIMEOUT_MS);
    ExecutorService executor = Executors.newSingleThreadExecutor();
    try (StatementClient client = new StatementClient(listen, TIMEOUT_MS)) {
      int firstLine = process.logLineCount();
      process.signal("STOP");
      client.send("%016x".formatted(1), "once", 3000, REQUEST_DURATION_MS);
      process.signal("TERM");
      Future<Outcome> outcome = executor.submit(client::awaitOutcome);
      process.signal("CONT");
      assertEquals(Outcome.ANSWERED, outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, process.awaitExit(firstLine).get("faults"));
    } finally {
      executor.shutdownNow();
    }
  }

  /**
   * All processes start at once, compete for the CPU, and run their warm-up. All but one have to be
   * ready in time.
   */
  @Test
  void nineOfTenProcessesRestartedAtOnceAreReadyInTime() throws Exception {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < PROCESS_COUNT; i++) {
      addresses.add(DispatcherProcess.freeAddress(HOST));
      dispatcher(i, addresses.get(i));
    }
    List<Callable<Boolean>> startTasks = new ArrayList<>();
    for (int i = 0; i < PROCESS_COUNT; i++) {
      int number = i;
      startTasks.add(
          () -> {
            long startNanos = System.nanoTime();
            processes.get(number).start();
            processes.get(number).awaitLogLine("serves on", 0, TIMEOUT_MS);
            try (StatementClient client = new StatementClient(addresses.get(number), TIMEOUT_MS)) {
              client.show("counters");
            }
            return System.nanoTime() - startNanos <= TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
          });
    }
    ExecutorService executor = Executors.newFixedThreadPool(PROCESS_COUNT);
    int readyCount = 0;
    for (Future<Boolean> isReady : executor.invokeAll(startTasks)) {
      readyCount += isReady.get() ? 1 : 0;
    }
    executor.shutdown();
    assertTrue(readyCount >= MIN_READY, readyCount + " were ready in time");
  }
}
