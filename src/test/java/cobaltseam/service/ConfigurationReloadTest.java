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

/**
 * The configuration read at the start and again on SIGHUP, and the endpoint watch that it names.
 */
class ConfigurationReloadTest extends ServiceRig {
  @Test
  void theEndpointWatchResumesFromTheLastEventAfterALostConnection() throws Exception {
    EmulatedPeer old = new EmulatedPeer(true);
    EmulatedPeer fresh = new EmulatedPeer(true);
    EmulatedPeer bus = start(old);
    Message from = bus.next();
    assertEquals("from 7", from.items().get(0));
    String change =
        endpointEvent(
            8,
            false,
            endpointJson(1, old.address(), "terminated"),
            endpointJson(2, fresh.address(), "in_service"));
    from.write(change.substring(0, 30));
    from.write(change.substring(30) + "\nno json\n8\n");
    from.write("10\n");
    assertEquals(
        "closed", bus.next().items().get(0), "a number beyond the last event means one is missing");
    Message anew = bus.next();
    assertEquals("from 8", anew.items().get(0));
    anew.reset();
    bus.next("closed");
    assertEquals("from 8", bus.next().items().get(0));
    TestClient client = new TestClient(idempotentStatement(1, 3000));
    Message pull = fresh.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
    assertTrue(old.received.isEmpty());
  }

  /** The real signal, first with files that can't be used: neither may end the process. */
  @Test
  void aReloadMovesTheEndpointWatchAndAnUnusableFileChangesNothing() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer old = start(engine);
    old.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
      String bad =
          configurationJson("127.0.0.1:80", SOCKETS, IDLE_MS)
              .replace("\"limits\"", "\"limitless\"");
      TestClient client = new TestClient();
      int raised = 0;
      for (String unusable : List.of("", "{", bad)) {
        Files.writeString(file, unusable);
        Signal.raise(new Signal("HUP"));
        await(client, "configurations_unusable|" + ++raised);
      }
      EmulatedPeer bus = new EmulatedPeer(false);
      Files.writeString(file, configurationJson(bus.address(), SOCKETS, IDLE_MS));
      Signal.raise(new Signal("HUP"));
      Message from = bus.next("from 7");
      old.next("closed");
      from.write(endpointEvent(8, false, endpointJson(1, engine.address(), "in_service")) + "\n");
      client.query(client.out, idempotentStatement(1, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.readReplies().get(2));
      Files.writeString(
          file,
          configurationJson(bus.address(), SOCKETS, IDLE_MS)
              .replace("\"offset\":7", "\"offset\":9"));
      Signal.raise(new Signal("HUP"));
      await(client, "configurations_read|2");
      from.reset();
      bus.next("closed");
      bus.next("from 9");
    } finally {
      Files.delete(file);
    }
  }

  /** Settings that waited until no request is open would never act on a busy dispatcher. */
  @Test
  void reloadedSettingsActWhileRequestsAreInFlightAndQueued() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(engine);
    bus.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
      // First latency objectives so long that a slow machine sheds nothing.
      String as =
          configurationJson(
                  bus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service"))
              .replace("500000,\"hard_limit_us\":3000000", "30000000,\"hard_limit_us\":60000000");
      TestClient watch = new TestClient();
      Files.writeString(file, as);
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|1");
      List<TestClient> busy = new ArrayList<>();
      List<Message> pulls = new ArrayList<>();
      // Eight threads: eight requests are in flight and two queued.
      for (int i = 1; i <= 10; i++) {
        TestClient client = new TestClient();
        client.query(client.out, statement("once", i, 60_000).replace("work=100", "work=5000"));
        busy.add(client);
        if (i <= 8) {
          pulls.add(engine.next("PULL"));
        }
      }
      await(watch, "commands_taken|10");
      Files.writeString(file, as.replace("\"name\":\"once\"", "\"name\":\"twice\""));
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|2");
      assertEquals(
          List.of("error 42"),
          watch.ask(statement("once", 20, 3000)),
          "the new settings know it no more");
      for (Message pull : pulls) {
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (int i = 0; i < 2; i++) {
        Message pull = engine.next("PULL");
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (TestClient client : busy) {
        assertEquals(
            List.of("SELECT 0"), client.readReplies(), "taken before the move, answered after it");
      }
      Files.writeString(file, as);
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|3");
      watch.query(watch.out, statement("once", 21, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", "");
      assertEquals(List.of("SELECT 0"), watch.readReplies());
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void anUnusableConfigurationIsRejected() {
    for (String bad : List.of("nowhere:80", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:x", "")) {
      assertThrows(
          InvalidInputException.class, () -> serviceConfiguration(bad, SOCKETS, IDLE_MS), bad);
    }
    assertThrows(InvalidInputException.class, () -> ServiceConfiguration.read(Map.of()));
    assertThrows(
        InvalidInputException.class,
        () -> ServiceConfiguration.read(Map.of("GW_CONFIG", "/nowhere/config.json")));
    assertEquals(
        0x00c41f7aL,
        WatchEvent.engineId("s-00c41f7a").value() & 0xffffffffL,
        "read off a log line");
    assertTrue(
        WatchEvent.engineId("s-00c41f7a").value() > WatchEvent.engineId("s-00c41f79").value(),
        "in the order of numbers");
    assertNotEquals(WatchEvent.engineId("s-00c41f7a"), WatchEvent.engineId("t-00c41f7a"));
    assertEquals(WatchEvent.engineId("a/ü"), WatchEvent.engineId("a/ü"));
  }
}
