package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.EmulatedEventBus;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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

/** Signals and starts of real processes, crossed with requests. */
class ProcessSignalTest {
  private static final String HOST = "127.0.0.1";
  private static final int LONG_MS = 20_000;
  private static final int RUNS_MS = 1500;
  private static final int RESTARTED = 10;
  private static final int READY_WITHIN_MS = 10_000;
  private static final int READY = 9;

  @TempDir Path folder;
  private EmulatedEventBus bus;
  private EmulatedEngine engine;
  private String known;
  private final List<DispatcherProcess> processes = new ArrayList<>();

  @BeforeEach
  void begin() throws Exception {
    bus = new EmulatedEventBus(HOST);
    engine = new EmulatedEngine(HOST, profile -> RUNS_MS);
    known = bus.publish(true, EmulatedEventBus.target(1, engine.address(), "in_service"));
  }

  @AfterEach
  void end() throws Exception {
    processes.forEach(DispatcherProcess::close);
    engine.close();
    bus.close();
  }

  private static InetSocketAddress free() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return new InetSocketAddress(HOST, free.getLocalPort());
    }
  }

  private DispatcherProcess dispatcher(int number, InetSocketAddress listen) throws IOException {
    String configuration =
        DispatcherProcess.configuration(
            "n" + number, listen, number, RESTARTED, 4 * RESTARTED, bus, known);
    DispatcherProcess process =
        new DispatcherProcess(folder.resolve("n" + number), configuration, null);
    processes.add(process);
    return process;
  }

  /** A second SIGTERM, or a SIGHUP in between, neither shortens nor prolongs the shutdown. */
  @Test
  void signalsDuringAShutdownChangeNothingAndRequestsInFlightAreAnswered() throws Exception {
    InetSocketAddress listen = free();
    DispatcherProcess process = dispatcher(0, listen);
    process.start();
    process.await("serves on", 0, LONG_MS);
    ExecutorService asks = Executors.newSingleThreadExecutor();
    try (StatementClient client = new StatementClient(listen, LONG_MS)) {
      Future<Outcome> answer =
          asks.submit(() -> client.execute("%016x".formatted(1), "once", 3000, RUNS_MS));
      while (engine.running() == 0) {
        assertFalse(answer.isDone(), "it never came to the engine");
        Thread.onSpinWait();
      }
      int from = process.lines();
      process.signal("TERM");
      process.signal("HUP");
      process.signal("TERM");
      Map<String, Long> counters = process.awaitEnd(from);
      assertEquals(Outcome.ANSWERED, answer.get(LONG_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, counters.get("faults"));
    } finally {
      asks.shutdownNow();
    }
  }

  /**
   * The process is frozen while requests and SIGTERM come; those unread in the kernel are still
   * served.
   */
  @Test
  void requestsUnreadWhenTheSignalComesAreServed() throws Exception {
    InetSocketAddress listen = free();
    DispatcherProcess process = dispatcher(0, listen);
    process.start();
    process.await("serves on", 0, LONG_MS);
    ExecutorService asks = Executors.newSingleThreadExecutor();
    try (StatementClient client = new StatementClient(listen, LONG_MS)) {
      int from = process.lines();
      process.signal("STOP");
      client.send("%016x".formatted(1), "once", 3000, RUNS_MS);
      process.signal("TERM");
      Future<Outcome> answer = asks.submit(client::awaitOutcome);
      process.signal("CONT");
      assertEquals(Outcome.ANSWERED, answer.get(LONG_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, process.awaitEnd(from).get("faults"));
    } finally {
      asks.shutdownNow();
    }
  }

  /**
   * All start at once and share the machine, each with its warm-up: the slowest but one has to be
   * quick.
   */
  @Test
  void nineOfTenProcessesRestartedAtOnceAreReadyInTime() throws Exception {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < RESTARTED; i++) {
      addresses.add(free());
      dispatcher(i, addresses.get(i));
    }
    List<Callable<Boolean>> starts = new ArrayList<>();
    for (int i = 0; i < RESTARTED; i++) {
      int number = i;
      starts.add(
          () -> {
            long from = System.nanoTime();
            processes.get(number).start();
            processes.get(number).await("serves on", 0, LONG_MS);
            try (StatementClient client = new StatementClient(addresses.get(number), LONG_MS)) {
              client.show("counters");
            }
            return System.nanoTime() - from <= TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
          });
    }
    ExecutorService all = Executors.newFixedThreadPool(RESTARTED);
    int ready = 0;
    for (Future<Boolean> each : all.invokeAll(starts)) {
      ready += each.get() ? 1 : 0;
    }
    all.shutdown();
    assertTrue(ready >= READY, ready + " were ready in time");
  }
}
