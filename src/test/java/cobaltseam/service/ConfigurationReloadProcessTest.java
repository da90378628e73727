package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.EmulatedEventBus;
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

/** Reloads of the settings of decisions in a real process under steady load. */
class ConfigurationReloadProcessTest {
  private static final String HOST = "127.0.0.1";
  private static final int LONG_MS = 20_000;
  private static final int CLIENTS = 12;

  @TempDir Path folder;
  private EmulatedEventBus bus;
  private EmulatedEngine engine;
  private InetSocketAddress listen;
  private String known;
  private DispatcherProcess dispatcher;
  private final AtomicBoolean over = new AtomicBoolean();
  private final Map<String, Outcome> endings = new ConcurrentHashMap<>();
  private final List<Thread> load = new ArrayList<>();

  @BeforeEach
  void begin() throws Exception {
    bus = new EmulatedEventBus(HOST);
    engine = new EmulatedEngine(HOST, profile -> 200);
    known = bus.publish(true, EmulatedEventBus.target(1, engine.address(), "in_service"));
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      listen = new InetSocketAddress(HOST, free.getLocalPort());
    }
    dispatcher = new DispatcherProcess(folder, configuration(), null);
  }

  private String configuration() {
    return DispatcherProcess.configuration("n0", listen, 0, 1, 2, bus, known);
  }

  @AfterEach
  void end() throws Exception {
    over.set(true);
    for (Thread each : load) {
      each.join();
    }
    dispatcher.close();
    engine.close();
    bus.close();
  }

  /**
   * Three times as many clients as the engine has threads: at any time requests are queued and in
   * flight.
   */
  private void load() {
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      Thread client =
          new Thread(
              () -> {
                int calls = 0;
                while (!over.get()) {
                  try (StatementClient session = new StatementClient(listen, LONG_MS)) {
                    while (!over.get()) {
                      String call = "%08x%08x".formatted(number, calls++);
                      endings.put(
                          call,
                          session.execute(call, number % 2 == 0 ? "look" : "once", 3000, 200));
                    }
                  } catch (java.io.IOException e) {
                    endings.put(number + "-" + calls, Outcome.CUT);
                  }
                }
              });
      load.add(client);
      client.start();
    }
  }

  private long count(String counter) throws Exception {
    try (StatementClient session = new StatementClient(listen, LONG_MS)) {
      return Long.parseLong(session.show("counters").get(counter));
    }
  }

  @Test
  void reloadedSettingsActUnderLoadAndEveryRequestHasOneAnswer() throws Exception {
    dispatcher.start();
    dispatcher.await("serves on", 0, LONG_MS);
    load();
    while (count("commands_answered") < 20) {
      Thread.sleep(50);
    }
    int from = dispatcher.lines();
    dispatcher.writeConfiguration(configuration().replace("\"most_tries\":3", "\"most_tries\":2"));
    dispatcher.signal("HUP");
    int next = dispatcher.await("the settings of decisions have changed", from, LONG_MS);
    assertTrue(
        !dispatcher.log().lines().toList().get(next - 1).contains("with 0 commands in hand"),
        dispatcher.log());
    assertEquals(1, count("configurations_moved"));
    // Another file, and 10 ms later the first again; two signals may come as one, and the last file
    // counts.
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
      assertTrue(System.nanoTime() - since < LONG_MS * 1_000_000L, "moved " + moved);
    }
    long answered = count("commands_answered");
    while (count("commands_answered") < answered + 20) {
      Thread.sleep(50);
    }
    over.set(true);
    for (Thread each : load) {
      each.join();
    }
    Map<String, Long> counters = dispatcher.terminate();
    assertEquals(0, counters.get("faults"));
    assertEquals(
        counters.get("commands_taken"),
        counters.get("commands_answered")
            + counters.get("commands_shed")
            + counters.get("commands_failed"),
        "one ending each: " + counters);
    assertTrue(
        endings.values().stream().allMatch(e -> e == Outcome.ANSWERED || e == Outcome.SHED),
        endings.values().toString());
    engine.ledger().forEach((call, ran) -> assertTrue(ran.completed().get() <= 1, call));
  }

  @Test
  void aStartWithSighupIgnoredIsLogged() throws Exception {
    dispatcher.startWithSighupIgnored();
    dispatcher.await("SIGHUP was ignored at the start", 0, LONG_MS);
    dispatcher.await("serves on", 0, LONG_MS);
    dispatcher.signal("HUP");
    assertEquals(0, dispatcher.terminate().get("configurations_read"));
  }

  @Test
  void aPlainStartLogsNoIgnoredSighupAndReloads() throws Exception {
    dispatcher.start();
    dispatcher.await("serves on", 0, LONG_MS);
    dispatcher.signal("HUP");
    dispatcher.await("has reloaded its configuration", 0, LONG_MS);
    assertTrue(!dispatcher.log().contains("SIGHUP was ignored"), dispatcher.log());
    assertEquals(1, dispatcher.terminate().get("configurations_read"));
  }
}
