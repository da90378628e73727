package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reloads of the dispatch settings in a real process under constant load. */
class ConfigurationReloadProcessTest {
  private static final String HOST = "127.0.0.1";
  private static final int TIMEOUT_MS = 20_000;
  private static final int CLIENTS = 12;

  @TempDir Path folder;
  private EmulatedDiscovery bus;
  private EmulatedEngine engine;
  private InetSocketAddress listen;
  private String endpointEvents;
  private DispatcherProcess dispatcher;
  private final AtomicBoolean isLoadStopped = new AtomicBoolean();
  private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
  private final List<Thread> clientThreads = new ArrayList<>();

  @BeforeEach
  void startDependencies() throws Exception {
    bus = new EmulatedDiscovery(HOST);
    engine = new EmulatedEngine(HOST, profile -> 200);
    endpointEvents =
        bus.publish(true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      listen = new InetSocketAddress(HOST, free.getLocalPort());
    }
    dispatcher = new DispatcherProcess(folder, configuration(), null);
  }

  private String configuration() {
    return DispatcherProcess.configuration("n0", listen, 0, 1, 2, bus, endpointEvents);
  }

  @AfterEach
  void stopAll() throws Exception {
    isLoadStopped.set(true);
    for (Thread client : clientThreads) {
      client.join();
    }
    dispatcher.close();
    engine.close();
    bus.close();
  }

  /**
   * Starts three times as many clients as the engine has threads, so that requests are queued and
   * in flight at any time.
   */
  private void startClients() {
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client =
          new Thread(
              () -> {
                int calls = 0;
                while (!isLoadStopped.get()) {
                  try (StatementClient session = new StatementClient(listen, TIMEOUT_MS)) {
                    while (!isLoadStopped.get()) {
                      String call = "%08x%08x".formatted(number, calls++);
                      outcomes.put(
                          call,
                          session.execute(call, number % 2 == 0 ? "look" : "once", 3000, 200));
                    }
                  } catch (java.io.IOException e) {
                    outcomes.put(number + "-" + calls, Outcome.DISCONNECTED);
                  }
                }
              });
      clientThreads.add(client);
      client.start();
    }
  }

  private long count(String counter) throws Exception {
    try (StatementClient session = new StatementClient(listen, TIMEOUT_MS)) {
      return Long.parseLong(session.show("counters").get(counter));
    }
  }

  @Test
  void reloadedSettingsTakeEffectUnderLoadAndEveryRequestHasOneFinalAnswer() throws Exception {
    dispatcher.start();
    dispatcher.awaitLogLine("serves on", 0, TIMEOUT_MS);
    startClients();
    while (count("commands_answered") < 20) {
      Thread.sleep(50);
    }
    int fromLine = dispatcher.logLineCount();
    dispatcher.writeConfiguration(configuration().replace("\"most_tries\":3", "\"most_tries\":2"));
    dispatcher.signal("HUP");
    int nextLine =
        dispatcher.awaitLogLine("dispatch settings have changed while", fromLine, TIMEOUT_MS);
    assertTrue(
        !dispatcher.log().lines().toList().get(nextLine - 1).contains("while 0 requests were open"),
        dispatcher.log());
    assertEquals(1, count("configurations_moved"));
    // Writes other settings and 10 ms later the first ones again. The two signals may be delivered
    // as one; the settings of the last file must become active.
    dispatcher.writeConfiguration(
        configuration().replace("\"repeat\":\"read_like\"", "\"repeat\":\"non_idempotent\""));
    dispatcher.signal("HUP");
    Thread.sleep(10);
    dispatcher.writeConfiguration(configuration());
    dispatcher.signal("HUP");
    long moved = count("configurations_moved");
    for (long since = System.nanoTime();
        count("configurations_read") < 2 || moved < 2;
        moved = count("configurations_moved")) {
      assertTrue(System.nanoTime() - since < TIMEOUT_MS * 1_000_000L, "moved " + moved);
    }
    long answered = count("commands_answered");
    while (count("commands_answered") < answered + 20) {
      Thread.sleep(50);
    }
    isLoadStopped.set(true);
    for (Thread client : clientThreads) {
      client.join();
    }
    Map<String, Long> counters = dispatcher.terminate();
    assertEquals(0, counters.get("faults"));
    assertEquals(
        counters.get("commands_taken"),
        counters.get("commands_answered")
            + counters.get("commands_shed")
            + counters.get("commands_failed"),
        "each admitted request has one final answer: " + counters);
    assertTrue(
        outcomes.values().stream()
            .allMatch(outcome -> outcome == Outcome.ANSWERED || outcome == Outcome.SHED),
        outcomes.values().toString());
    engine.executions().forEach((call, runs) -> assertTrue(runs.completed().get() <= 1, call));
  }

  @Test
  void ignoredSighupIsLoggedAtStartAndDisablesReload() throws Exception {
    dispatcher.startWithSighupIgnored();
    dispatcher.awaitLogLine("SIGHUP was ignored at the start", 0, TIMEOUT_MS);
    dispatcher.awaitLogLine("serves on", 0, TIMEOUT_MS);
    dispatcher.signal("HUP");
    assertEquals(0, dispatcher.terminate().get("configurations_read"));
  }

  @Test
  void startWithoutIgnoredSighupAllowsReload() throws Exception {
    dispatcher.start();
    dispatcher.awaitLogLine("serves on", 0, TIMEOUT_MS);
    dispatcher.signal("HUP");
    dispatcher.awaitLogLine("has reloaded its configuration", 0, TIMEOUT_MS);
    assertTrue(!dispatcher.log().contains("SIGHUP was ignored"), dispatcher.log());
    assertEquals(1, dispatcher.terminate().get("configurations_read"));
  }
}
