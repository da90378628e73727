package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** The configuration as read at the start and reloaded on SIGHUP, and its endpoint watch. */
class ConfigurationReloadTest extends ServiceRig {
  @Test
  void endpointWatchResumesFromLastEventAfterLostConnection() throws Exception {
    EmulatedPeer removedEngine = new EmulatedPeer(true);
    EmulatedPeer addedEngine = new EmulatedPeer(true);
    EmulatedPeer bus = start(removedEngine);
    Message subscription = bus.next();
    assertEquals("from 7", subscription.items().get(0));
    String change =
        endpointEvent(
            8,
            false,
            endpointJson(1, removedEngine.address(), "terminated"),
            endpointJson(2, addedEngine.address(), "in_service"));
    subscription.write(change.substring(0, 30));
    subscription.write(change.substring(30) + "\nno json\n8\n");
    subscription.write("10\n");
    assertEquals(
        "closed",
        bus.next().items().get(0),
        "an offset beyond the next one shows that events are missing");
    Message resubscription = bus.next();
    assertEquals("from 8", resubscription.items().get(0));
    resubscription.reset();
    bus.next("closed");
    assertEquals("from 8", bus.next().items().get(0));
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = addedEngine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(removedEngine.received.isEmpty());
  }

  /** Raises the real signal, first with invalid files; the signal must not end the process. */
  @Test
  void reloadMovesEndpointWatchAndInvalidFileChangesNothing() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer previousBus = start(engine);
    previousBus.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
      String invalidConfiguration =
          configurationJson("127.0.0.1:80", SOCKETS, IDLE_MS)
              .replace("\"limits\"", "\"limitless\"");
      TestClient client = new TestClient();
      int signals = 0;
      for (String invalid : List.of("", "{", invalidConfiguration)) {
        Files.writeString(file, invalid);
        Signal.raise(new Signal("HUP"));
        awaitCounter(client, "configurations_unusable|" + ++signals);
      }
      EmulatedPeer bus = new EmulatedPeer(false);
      Files.writeString(file, configurationJson(bus.address(), SOCKETS, IDLE_MS));
      Signal.raise(new Signal("HUP"));
      Message subscription = bus.next("from 7");
      previousBus.next("closed");
      subscription.write(
          endpointEvent(8, false, endpointJson(1, engine.address(), "in_service")) + "\n");
      client.writeQuery(client.out, idempotentStatement(1, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.readReplies().get(2));
      Files.writeString(
          file,
          configurationJson(bus.address(), SOCKETS, IDLE_MS)
              .replace("\"offset\":7", "\"offset\":9"));
      Signal.raise(new Signal("HUP"));
      awaitCounter(client, "configurations_read|2");
      subscription.reset();
      bus.next("closed");
      bus.next("from 9");
    } finally {
      Files.delete(file);
    }
  }

  /**
   * Guards against reloaded settings that wait until no request is open: on a busy dispatcher they
   * would never take effect.
   */
  @Test
  void reloadedSettingsTakeEffectWhileRequestsAreInFlightAndQueued() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(engine);
    bus.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
      // The latency objectives are so long that a slow machine sheds no request.
      String configuration =
          configurationJson(
                  bus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service"))
              .replace("500000,\"hard_limit_us\":3000000", "30000000,\"hard_limit_us\":60000000");
      TestClient observer = new TestClient();
      Files.writeString(file, configuration);
      Signal.raise(new Signal("HUP"));
      awaitCounter(observer, "configurations_moved|1");
      List<TestClient> clients = new ArrayList<>();
      List<Message> pulls = new ArrayList<>();
      // The engine has eight threads: eight requests are in flight and two are queued.
      for (int i = 1; i <= 10; i++) {
        TestClient client = new TestClient();
        client.writeQuery(
            client.out, statement("once", i, 60_000).replace("work=100", "work=5000"));
        clients.add(client);
        if (i <= 8) {
          pulls.add(engine.next("PULL"));
        }
      }
      awaitCounter(observer, "commands_taken|10");
      Files.writeString(file, configuration.replace("\"name\":\"once\"", "\"name\":\"twice\""));
      Signal.raise(new Signal("HUP"));
      awaitCounter(observer, "configurations_moved|2");
      assertEquals(
          List.of("error 42"),
          observer.execute(statement("once", 20, 3000)),
          "the new settings do not have this request class");
      for (Message pull : pulls) {
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (int i = 0; i < 2; i++) {
        Message pull = engine.next("PULL");
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (TestClient client : clients) {
        assertEquals(
            List.of("SELECT 0"),
            client.readReplies(),
            "admitted before the settings changed, answered afterwards");
      }
      Files.writeString(file, configuration);
      Signal.raise(new Signal("HUP"));
      awaitCounter(observer, "configurations_moved|3");
      observer.writeQuery(observer.out, statement("once", 21, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", "");
      assertEquals(List.of("SELECT 0"), observer.readReplies());
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void invalidConfigurationIsRejected() {
    for (String invalid :
        List.of("nowhere:80", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:x", "")) {
      assertThrows(
          InvalidInputException.class,
          () -> serviceConfiguration(invalid, SOCKETS, IDLE_MS),
          invalid);
    }
    assertThrows(InvalidInputException.class, () -> ServiceConfiguration.read(Map.of()));
    assertThrows(
        InvalidInputException.class,
        () -> ServiceConfiguration.read(Map.of("GW_CONFIG", "/nowhere/config.json")));
    assertEquals(
        0x00c41f7aL,
        WatchEvent.engineId("s-00c41f7a").value() & 0xffffffffL,
        "the hex digits of the text, as log lines print them");
    assertTrue(
        WatchEvent.engineId("s-00c41f7a").value() > WatchEvent.engineId("s-00c41f79").value(),
        "ids are ordered by their numbers");
    assertNotEquals(WatchEvent.engineId("s-00c41f7a"), WatchEvent.engineId("t-00c41f7a"));
    assertEquals(WatchEvent.engineId("a/ü"), WatchEvent.engineId("a/ü"));
  }
}
