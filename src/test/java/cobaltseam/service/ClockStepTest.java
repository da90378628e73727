package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import cobaltseam.standin.SystemCallFaults;
import cobaltseam.testing.RequiresCompiler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a dispatcher process whose wall clock is stepped. */
@RequiresCompiler
class ClockStepTest {
  private static final String HOST = "127.0.0.1";
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int EXECUTION_MS = 300;
  private static final int CORES = 8;
  private static final int DEADLINE_MS = 3000;
  private static final int CLIENT_TIMEOUT_MS = 6000;
  private static final int CONNECT_PROBE_MS = 50;
  private static final int HOUR_S = 3600;

  @TempDir Path folder;

  private final List<AutoCloseable> closeables = new ArrayList<>();
  private SystemCallFaults faults;
  private DispatcherProcess dispatcher;
  private InetSocketAddress address;

  @BeforeEach
  void compile() throws Exception {
    faults = new SystemCallFaults(folder, null, 1);
    address = DispatcherProcess.freeAddress(HOST);
  }

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
  }

  private void start(InetSocketAddress engine, UnaryOperator<String> change) throws Exception {
    EmulatedDiscovery discovery = new EmulatedDiscovery(HOST);
    closeables.add(discovery);
    String known = discovery.publish(true, EmulatedDiscovery.endpointJson(1, engine, "in_service"));
    String configuration =
        DispatcherProcess.configuration("n0", address, 0, 1, CORES, discovery, known);
    dispatcher = new DispatcherProcess(folder, change.apply(configuration), null);
    closeables.add(dispatcher);
    dispatcher.setFaults(faults);
    dispatcher.start();
    dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
  }

  /** Guards against deadlines and waits that are measured by the wall clock. */
  @ParameterizedTest
  @ValueSource(ints = {5, -5, HOUR_S, -HOUR_S})
  void stepWhileARequestIsInFlightChangesNothing(int seconds) throws Exception {
    EmulatedEngine engine = new EmulatedEngine(HOST, requestClass -> EXECUTION_MS);
    closeables.add(engine);
    start(engine.address(), configuration -> configuration);
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      client.send("0000000000000001", "once", DEADLINE_MS, EXECUTION_MS);
      while (engine.attempts().isEmpty()) {
        Thread.onSpinWait();
      }
      faults.setClockOffset(seconds, TimeUnit.SECONDS);
      assertEquals(Outcome.ANSWERED, client.awaitOutcome(), dispatcher.log());
      assertEquals(
          Outcome.ANSWERED,
          client.execute("0000000000000002", "once", DEADLINE_MS, EXECUTION_MS),
          dispatcher.log());
    }
  }

  /** Guards against a step at the start, between the configuration's list and the first request. */
  @ParameterizedTest
  @ValueSource(ints = {HOUR_S, -HOUR_S})
  void dispatcherStartsAndServesWithSteppedClock(int seconds) throws Exception {
    faults.setClockOffset(seconds, TimeUnit.SECONDS);
    stepWhileARequestIsInFlightChangesNothing(0);
  }

  /** Guards against a connect that the wall clock times out while its engine is slow to accept. */
  @Test
  void pendingConnectSurvivesAStep() throws Exception {
    try (ServerSocket engine = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      fillBacklog(engine);
      start(
          new InetSocketAddress(HOST, engine.getLocalPort()),
          configuration ->
              configuration.replace(
                  "\"connect_timeout_us\":250000", "\"connect_timeout_us\":3000000"));
      try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
        client.send("0000000000000001", "once", DEADLINE_MS, EXECUTION_MS);
        awaitCounter("sends");
        faults.setClockOffset(HOUR_S, TimeUnit.SECONDS);
        // Longer than MINA's interval between two checks of pending connects.
        Thread.sleep(1200);
        assertEquals("0", show("sends_unreachable"), dispatcher.log());
      }
    }
  }

  /** Connects until the backlog is full, so that further connects stay pending. */
  private void fillBacklog(ServerSocket server) throws IOException {
    for (boolean isFull = false; !isFull; ) {
      Socket socket = new Socket();
      closeables.add(socket);
      try {
        socket.connect(server.getLocalSocketAddress(), CONNECT_PROBE_MS);
      } catch (IOException e) {
        isFull = true;
      }
    }
  }

  private String show(String counter) throws IOException {
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      return client.show("counters").get(counter);
    }
  }

  private void awaitCounter(String counter) throws Exception {
    while (show(counter).equals("0")) {
      Thread.onSpinWait();
    }
  }
}
