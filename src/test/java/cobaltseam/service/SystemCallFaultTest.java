package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import cobaltseam.standin.SystemCallFaults;
import cobaltseam.standin.SystemCallFaults.Call;
import cobaltseam.standin.SystemCallFaults.Failure;
import cobaltseam.testing.RequiresCompiler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs a dispatcher process whose system calls on sockets fail as Linux documents it. */
@RequiresCompiler
class SystemCallFaultTest {
  private static final String HOST = "127.0.0.1";
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int EXECUTION_MS = 5;

  /** Long enough for a test to change the faults while a request is at the engine. */
  private static final int BROKEN_EXECUTION_MS = 200;

  private static final int CORES = 8;
  private static final int DEADLINE_MS = 2000;

  /** Longer than what a request may wait, so that a lost answer is told from a late one. */
  private static final int CLIENT_TIMEOUT_MS = 5000;

  private static final int REQUESTS = 30;

  /** Most of a second: what one failed accept must not cost other clients. */
  private static final int MAX_CONNECT_MS = 500;

  /** Within this, nine in ten restarts have to be ready. */
  private static final int MAX_READY_MS = 10_000;

  /** How long calls fail without exception, well within the deadline. */
  private static final int OUTAGE_MS = 400;

  /** Longer than a start waits for discovery before it opens its listener. */
  private static final int START_OUTAGE_MS = 1500;

  @TempDir Path folder;

  private EmulatedEngine engine;
  private EmulatedDiscovery discovery;
  private DispatcherProcess dispatcher;
  private SystemCallFaults faults;
  private InetSocketAddress address;
  private String configuration;
  private volatile int executionMs = EXECUTION_MS;
  private int calls;

  @BeforeEach
  void prepare() throws Exception {
    engine = new EmulatedEngine(HOST, requestClass -> executionMs);
    discovery = new EmulatedDiscovery(HOST);
    faults = new SystemCallFaults(folder, folder, 1);
    address = DispatcherProcess.freeAddress(HOST);
    String known =
        discovery.publish(true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
    configuration = DispatcherProcess.configuration("n0", address, 0, 1, CORES, discovery, known);
    dispatcher = new DispatcherProcess(folder, configuration, null);
    dispatcher.setFaults(faults);
  }

  private void startDispatcher() throws Exception {
    dispatcher.start();
    dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    dispatcher.close();
    engine.close();
    discovery.close();
  }

  /** Sends one request that may not be retried once it may have run. */
  private Outcome execute(StatementClient client) {
    return client.execute("%016x".formatted(++calls), "once", DEADLINE_MS, EXECUTION_MS);
  }

  private String report() throws IOException {
    return dispatcher.log() + "\nfaults injected:\n" + String.join("\n", faults.injected());
  }

  /**
   * Guards against an acceptor that pauses for a second, for all clients, after a failed accept.
   */
  @ParameterizedTest
  @EnumSource(names = {"ENFILE", "EMFILE", "ENOBUFS", "ECONNABORTED"})
  void failedAcceptDelaysNoOtherClient(Failure failure) throws Exception {
    startDispatcher();
    faults.inject(Call.ACCEPT, failure, 3);
    for (int i = 0; i < REQUESTS; i++) {
      long startedAt = System.nanoTime();
      try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
        long connectMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        assertTrue(connectMs < MAX_CONNECT_MS, "connected after " + connectMs + "\n" + report());
        assertEquals(Outcome.ANSWERED, execute(client), report());
      }
    }
    assertTrue(!faults.injected().isEmpty(), "no accept failed");
  }

  /**
   * Guards against a listener that is lost, or spins, while descriptors are used up for a while.
   */
  @Test
  void listenerSurvivesAnOutageOfAccept() throws Exception {
    startDispatcher();
    faults.inject(Call.ACCEPT, Failure.EMFILE, 1);
    Thread outage = clearAfterOutage();
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      assertEquals(Outcome.ANSWERED, execute(client), report());
    }
    outage.join();
  }

  /** Guards against a local error that uses up all attempts of a request, or blames the engine. */
  @ParameterizedTest
  @EnumSource(names = {"ENFILE", "EMFILE", "ENOBUFS"})
  void requestOutlivesAnOutageOfSocket(Failure failure) throws Exception {
    assertAnsweredAfterOutage(Call.SOCKET, failure);
  }

  /** Guards against a local error that uses up all attempts of a request, or blames the engine. */
  @ParameterizedTest
  @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"})
  void requestOutlivesAnOutageOfConnect(Failure failure) throws Exception {
    assertAnsweredAfterOutage(Call.CONNECT, failure);
  }

  /** Guards against a local error that shows only when the connect ends. */
  @ParameterizedTest
  @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"})
  void requestOutlivesAnOutageOfConnectResult(Failure failure) throws Exception {
    assertAnsweredAfterOutage(Call.CONNECT_RESULT, failure);
  }

  private void assertAnsweredAfterOutage(Call call, Failure failure) throws Exception {
    startDispatcher();
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      faults.inject(call, failure, 1);
      Thread outage = clearAfterOutage();
      assertEquals(Outcome.ANSWERED, execute(client), report());
      outage.join();
    }
    assertTrue(!faults.injected().isEmpty(), "no call failed");
  }

  /** Lets all calls succeed again after {@link #OUTAGE_MS}; the duration itself is tested. */
  private Thread clearAfterOutage() {
    return clearAfter(OUTAGE_MS);
  }

  private Thread clearAfter(int outageMs) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(outageMs);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              faults.clear();
            });
    thread.start();
    return thread;
  }

  /** Guards against messages that are lost or mixed up when they arrive or leave byte by byte. */
  @Test
  void shortReadsAndWritesLoseNothing() throws Exception {
    startDispatcher();
    faults.inject(Call.READ, Failure.ONE_BYTE, 2);
    faults.inject(Call.WRITE, Failure.ONE_BYTE, 2);
    assertAllAnswered();
  }

  /** Guards against waits that end, or spin, when a signal interrupts them. */
  @Test
  void interruptedWaitsLoseNothing() throws Exception {
    startDispatcher();
    faults.inject(Call.WAIT, Failure.EINTR, 2);
    assertAllAnswered();
  }

  private void assertAllAnswered() throws Exception {
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals(Outcome.ANSWERED, execute(client), report());
      }
    }
    assertTrue(!faults.injected().isEmpty(), "no call failed");
  }

  /** Guards against a start that fails since its configuration can't be read for a moment. */
  @Test
  void startOutlivesAnOutageOfReads() throws Exception {
    faults.inject(Call.FILE_READ, Failure.ENFILE, 1);
    dispatcher.start();
    while (dispatcher.isAlive() && faults.injected().isEmpty()) {
      Thread.onSpinWait();
    }
    Thread outage = clearAfterOutage();
    dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
    outage.join();
    assertAnswered();
  }

  /** Guards against a start that fails since its listener can't be opened for a moment. */
  @Test
  void startOutlivesAnOutageOfSocket() throws Exception {
    faults.inject(Call.SOCKET, Failure.ENFILE, 1);
    dispatcher.start();
    dispatcher.awaitLogLine("the warm-up failed", 0, START_TIMEOUT_MS);
    Thread outage = clearAfter(START_OUTAGE_MS);
    dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
    outage.join();
    assertAnswered();
  }

  /** Guards against a warm-up that never ends since its own accept failed. */
  @Test
  void startOutlivesFailedAccepts() throws Exception {
    faults.inject(Call.ACCEPT, Failure.ENFILE, 3);
    dispatcher.start();
    dispatcher.awaitLogLine("serves on", 0, MAX_READY_MS);
    assertAnswered();
  }

  /** Guards against a new configuration that is lost since its file can't be read for a moment. */
  @Test
  void reloadOutlivesAnOutageOfReads() throws Exception {
    startDispatcher();
    int fromLine = dispatcher.logLineCount();
    faults.inject(Call.FILE_READ, Failure.EIO, 1);
    dispatcher.writeConfiguration(configuration.replace("100000", "100001"));
    dispatcher.signal("HUP");
    clearAfterOutage().join();
    dispatcher.awaitLogLine("has reloaded its configuration", fromLine, CLIENT_TIMEOUT_MS);
    assertTrue(!faults.injected().isEmpty(), "no call failed");
  }

  private void assertAnswered() throws Exception {
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      assertEquals(Outcome.ANSWERED, execute(client), report());
    }
  }

  /** Guards against a broken engine connection that is not retried, or retried where it may not. */
  @ParameterizedTest
  @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"})
  void brokenEngineConnectionIsRetriedOnlyIfIdempotent(Failure failure) throws Exception {
    startDispatcher();
    try (StatementClient client = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      assertEquals(Outcome.FAILED, executeWithBrokenRead(client, "once", failure), report());
      assertEquals(1, engine.attempts().size(), report());
      assertEquals(Outcome.ANSWERED, executeWithBrokenRead(client, "look", failure), report());
      assertEquals(3, engine.attempts().size(), report());
    }
  }

  /** Sends a request whose first attempt is at the engine when reads begin to fail. */
  private Outcome executeWithBrokenRead(
      StatementClient client, String requestClass, Failure failure) throws Exception {
    int attemptsBefore = engine.attempts().size();
    String callId = "%016x".formatted(++calls);
    executionMs = BROKEN_EXECUTION_MS;
    client.send(callId, requestClass, DEADLINE_MS, BROKEN_EXECUTION_MS);
    while (engine.attempts().size() == attemptsBefore) {
      Thread.onSpinWait();
    }
    faults.inject(Call.READ, failure, 1);
    dispatcher.awaitLogLine("attempt 0 of call " + callId, 0, CLIENT_TIMEOUT_MS);
    faults.clear();
    return client.awaitOutcome();
  }

  /** Guards against a broken client connection that leaves its request running or unanswered. */
  @ParameterizedTest
  @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "EPIPE"})
  void brokenClientConnectionEndsOnlyItself(Failure failure) throws Exception {
    startDispatcher();
    try (StatementClient broken = new StatementClient(address, CLIENT_TIMEOUT_MS);
        StatementClient other = new StatementClient(address, CLIENT_TIMEOUT_MS)) {
      faults.inject(failure == Failure.EPIPE ? Call.WRITE : Call.READ, failure, 1);
      broken.send("%016x".formatted(++calls), "once", DEADLINE_MS, EXECUTION_MS);
      assertEquals(Outcome.DISCONNECTED, broken.awaitOutcome(), report());
      faults.clear();
      assertEquals(Outcome.ANSWERED, execute(other), report());
    }
  }
}
