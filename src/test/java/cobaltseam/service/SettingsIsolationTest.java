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
 * Isolation between the settings of two customers: in two dispatchers of one process at the same
 * time, and in one dispatcher that is reloaded while requests are in flight.
 */
class SettingsIsolationTest extends ServiceRig {
  private static final int IN_FLIGHT_REQUESTS = 8;

  @TempDir Path folder;

  /** The file of another customer: other request classes, tenants and limits on attempts. */
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
    EmulatedPeer ourEngine = new EmulatedPeer(true);
    start(ourEngine);
    TestClient ourClient = new TestClient();
    EmulatedPeer otherEngine = new EmulatedPeer(true);
    start(SettingsIsolationTest::settingsOfOtherCustomer, SOCKETS, IDLE_MS, otherEngine.address());
    TestClient otherClient = new TestClient();
    assertEquals(List.of("error 42"), ourClient.execute(statement("browse", 1, 5000)));
    assertEquals(
        List.of("error 42"), ourClient.execute(withTenant("zeta", idempotentStatement(2, 5000))));
    assertEquals(List.of("error 42"), otherClient.execute(idempotentStatement(3, 5000)));
    assertEquals(
        List.of("error 42"), otherClient.execute(withTenant("acme", statement("browse", 4, 5000))));
    // Both receive a request with the same id at the same time and must not confuse the two.
    ourClient.writeQuery(ourClient.out, withTenant("acme", idempotentStatement(5, 5000)));
    otherClient.writeQuery(
        otherClient.out,
        withTenant("zeta", statement("browse", 5, 5000).replace("work=100", "work=1000")));
    Message ourPull = ourEngine.next("PULL");
    Message otherPull = otherEngine.next("PULL");
    assertTrue(ourPull.items().get(2).startsWith("lane=look"));
    assertTrue(otherPull.items().get(2).startsWith("lane=browse"));
    ourPull.answer(ourPull.id(), "200", "pages=1", "ours\t1\tx\n");
    otherPull.answer(otherPull.id(), "200", "pages=1", "theirs\t1\tx\n");
    assertEquals(List.of("ours|1|x", "SELECT 1"), ourClient.readReplies());
    assertEquals(List.of("theirs|1|x", "SELECT 1"), otherClient.readReplies());
  }

  /**
   * Requests in flight during the reload end under the conservative rules of both files; later
   * requests have only the new settings.
   */
  @Test
  void reloadUnderLoadReplacesAllSettingsOfTheFirstCustomer() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(engine);
    bus.next("from 7");
    Path file = folder.resolve("configuration.json");
    service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
    List<TestClient> clients = new ArrayList<>();
    List<Message> pulls = new ArrayList<>();
    for (int i = 0; i < IN_FLIGHT_REQUESTS; i++) {
      clients.add(new TestClient(withTenant("acme", statement("once", i, 20_000))));
      pulls.add(engine.next("PULL"));
    }
    TestClient observer = new TestClient();
    Files.writeString(
        file,
        settingsOfOtherCustomer(
            configurationJson(
                bus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service"))));
    Signal.raise(new Signal("HUP"));
    awaitCounter(observer, "configurations_moved|1");
    assertEquals(List.of("error 42"), observer.execute(idempotentStatement(20, 5000)));
    assertEquals(
        List.of("error 42"), observer.execute(withTenant("acme", statement("browse", 21, 5000))));
    for (int i = 0; i < IN_FLIGHT_REQUESTS; i++) {
      pulls.get(i).answer(pulls.get(i).id(), "200", "pages=1", "");
      assertEquals(List.of("SELECT 0"), clients.get(i).readReplies());
    }
    observer.writeQuery(
        observer.out,
        withTenant("zeta", statement("browse", 22, 20_000).replace("work=100", "work=1000")));
    engine.next("PULL").reset();
    engine.next("closed");
    assertEquals(
        List.of("error 53 pushback"),
        observer.readReplies(),
        "the new settings permit one attempt, not three");
  }
}
