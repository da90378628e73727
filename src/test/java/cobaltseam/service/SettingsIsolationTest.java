package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

/**
 * Settings of two customers: at once in two dispatchers, and one after the other in one, with
 * requests in hand.
 */
class SettingsIsolationTest extends ServiceRig {
  private static final int BUSY = 8;

  @TempDir Path folder;

  /** Another customer's file: other classes, tenants and limits on sends. */
  private static String settingsOfOtherCustomer(String configuration) {
    return configuration
        .replace("\"name\":\"look\"", "\"name\":\"browse\"")
        .replace("\"name\":\"once\"", "\"name\":\"book\"")
        .replace("\"name\":\"acme\"", "\"name\":\"zeta\"")
        .replace("\"most_tries\":3", "\"most_tries\":1");
  }

  private static String withTenant(String tenant, String command) {
    return command.replace("op=", "org=" + tenant + ",op=");
  }

  @Test
  void twoDispatchersWithSettingsOfDifferentCustomersAreIsolated() throws Exception {
    EmulatedPeer mine = new EmulatedPeer(true);
    start(mine);
    TestClient ours = new TestClient();
    EmulatedPeer theirs = new EmulatedPeer(true);
    start(SettingsIsolationTest::settingsOfOtherCustomer, SOCKETS, IDLE_MS, theirs.address());
    TestClient other = new TestClient();
    assertEquals(List.of("error 42"), ours.ask(statement("browse", 1, 5000)));
    assertEquals(List.of("error 42"), ours.ask(withTenant("zeta", idempotentStatement(2, 5000))));
    assertEquals(List.of("error 42"), other.ask(idempotentStatement(3, 5000)));
    assertEquals(List.of("error 42"), other.ask(withTenant("acme", statement("browse", 4, 5000))));
    // The same call at both, at once: neither takes it for the other's.
    ours.query(ours.out, withTenant("acme", idempotentStatement(5, 5000)));
    other.query(
        other.out,
        withTenant("zeta", statement("browse", 5, 5000).replace("work=100", "work=1000")));
    Message here = mine.next("PULL");
    Message there = theirs.next("PULL");
    assertTrue(here.items().get(2).startsWith("lane=look"));
    assertTrue(there.items().get(2).startsWith("lane=browse"));
    here.answer(here.id(), "200", "pages=1", "ours\t1\tx\n");
    there.answer(there.id(), "200", "pages=1", "theirs\t1\tx\n");
    assertEquals(List.of("ours|1|x", "SELECT 1"), ours.readReplies());
    assertEquals(List.of("theirs|1|x", "SELECT 1"), other.readReplies());
  }

  /** What was taken ends under the rules of both; what comes after knows the new ones alone. */
  @Test
  void reloadUnderLoadReplacesAllSettingsOfTheFirstCustomer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(engine);
    bus.next("from 7");
    Path file = folder.resolve("configuration.json");
    service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
    List<TestClient> busy = new ArrayList<>();
    List<Message> out = new ArrayList<>();
    for (int i = 0; i < BUSY; i++) {
      busy.add(new TestClient(withTenant("acme", statement("once", i, 20_000))));
      out.add(engine.next("PULL"));
    }
    TestClient watch = new TestClient();
    Files.writeString(
        file,
        settingsOfOtherCustomer(
            configurationJson(
                bus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service"))));
    Signal.raise(new Signal("HUP"));
    await(watch, "configurations_moved|1");
    assertEquals(List.of("error 42"), watch.ask(idempotentStatement(20, 5000)));
    assertEquals(List.of("error 42"), watch.ask(withTenant("acme", statement("browse", 21, 5000))));
    for (int i = 0; i < BUSY; i++) {
      out.get(i).answer(out.get(i).id(), "200", "pages=1", "");
      assertEquals(List.of("SELECT 0"), busy.get(i).readReplies());
    }
    watch.query(
        watch.out,
        withTenant("zeta", statement("browse", 22, 20_000).replace("work=100", "work=1000")));
    engine.next("PULL").reset();
    engine.next("closed");
    assertEquals(
        List.of("error 53 pushback"),
        watch.readReplies(),
        "one send at most under the new settings, not three");
  }
}
