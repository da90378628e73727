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
  private static final int CORES = 8;
  private static final int DEADLINE_MS = 2000;

  /** Longer than what a request may wait, so that a lost answer is told from a late one. */
  private static final int CLIENT_TIMEOUT_MS = 5000;

  private static final int REQUESTS = 30;

  /** Most of a second: what one failed accept must not cost other clients. */
  private static final int MAX_CONNECT_MS = 500;

  /** How long calls fail without exception, well within the deadline. */
  private static final int OUTAGE_MS = 400;

  @TempDir Path folder;

  private EmulatedEngine engine;
  private EmulatedDiscovery discovery;
  private DispatcherProcess dispatcher;
  private SystemCallFaults faults;
  private InetSocketAddress address;
  private int calls;

  @BeforeEach
  void start() throws Exception {
    engine = new EmulatedEngine(HOST, requestClass -> EXECUTION_MS);
    discovery = new EmulatedDiscovery(HOST);
    faults = new SystemCallFaults(folder, null, 1);
    address = DispatcherProcess.freeAddress(HOST);
    String known =
        discovery.publish(true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
    dispatcher =
        new DispatcherProcess(
            folder,
            DispatcherProcess.configuration("n0", address, 0, 1, CORES, discovery, known),
            null);
    dispatcher.setFaults(faults);
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
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(OUTAGE_MS);
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
    faults.inject(Call.READ, Failure.ONE_BYTE, 2);
    faults.inject(Call.WRITE, Failure.ONE_BYTE, 2);
    assertAllAnswered();
  }

  /** Guards against waits that end, or spin, when a signal interrupts them. */
  @Test
  void interruptedWaitsLoseNothing() throws Exception {
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
}
