package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A new engine has the address of one that has gone, and discovery has not said that it went. */
class EngineReplacementTest extends ServiceRig {
  private static final int REQUESTS = 4;

  /** Returns a configuration with two machine types, of which class "look" may use only "m". */
  private static String withTwoMachineTypes(String configuration) {
    return configuration
        .replace("\"machine_types\":[\"m\"]", "\"machine_types\":[\"m\",\"other\"]")
        .replace("\"cores_by_kind\":[4]", "\"cores_by_kind\":[4,4]")
        .replaceFirst("\"late_value\":0.5", "\"late_value\":0.5,\"runs_on\":[\"m\"]");
  }

  /** Returns an endpoint of the other machine type, which started at this time. */
  private static String otherEndpoint(int uid, String address, long bootMs) {
    return endpointJson(uid, address, "in_service")
        .replace("\"model\":\"m\"", "\"model\":\"other\"")
        .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
  }

  /** Sends a request, which has to be sent to the first of these engines, and answers it. */
  private static void assertSentTo(TestClient client, int call, EmulatedPeer... engines)
      throws Exception {
    client.writeQuery(client.out, idempotentStatement(call, 10_000));
    Message pull = nextFromAny(engines);
    assertEquals(engines[0].server.getLocalPort(), pull.from().getLocalPort(), "the engine");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** Guards against requests that reach a new engine on connections meant for the earlier one. */
  @Test
  void requestsForAReplacedEngineAreNotSentToItsAddress() throws Exception {
    EmulatedPeer replaced = new EmulatedPeer(true);
    EmulatedPeer remaining = new EmulatedPeer(true);
    EmulatedPeer bus =
        start(
            EngineReplacementTest::withTwoMachineTypes,
            SOCKETS,
            IDLE_MS,
            replaced.address(),
            remaining.address());
    TestClient observer = new TestClient();
    bus.next("from 7")
        .write(endpointEvent(8, false, otherEndpoint(3, replaced.address(), 0)) + "\n");
    awaitCounter(observer, "bus_events|1");
    for (int call = 0; call < REQUESTS; call++) {
      new TestClient(idempotentStatement(call, 10_000));
      Message pull = nextFromAny(remaining, replaced);
      assertEquals(remaining.server.getLocalPort(), pull.from().getLocalPort(), "the engine");
    }
  }

  /** The address that the engine had may be another engine's by now. */
  @Test
  void requestsForAnEngineThatMovedGoToItsNewAddress() throws Exception {
    EmulatedPeer earlier = new EmulatedPeer(true);
    EmulatedPeer moved = new EmulatedPeer(true);
    EmulatedPeer bus = start(earlier);
    TestClient client = new TestClient();
    assertSentTo(client, 1, earlier, moved);
    bus.next("from 7")
        .write(endpointEvent(8, false, endpointJson(1, moved.address(), "in_service")) + "\n");
    awaitCounter(client, "bus_events|1");
    assertSentTo(client, 2, moved, earlier);
  }

  /**
   * The end of the earlier engine, or a repetition of its last state, becomes known after the new
   * engine: the new one stays in service.
   */
  @ParameterizedTest
  @CsvSource({
    "terminating,0",
    "terminated,0",
    "in_service,0",
    "terminating,1000",
    "terminated,1000"
  })
  void laterEventOfAReplacedEngineDoesNotRemoveTheNewOne(String state, long newBootMs)
      throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer bus = start(engine);
    TestClient client = new TestClient();
    assertSentTo(client, 1, engine);
    Message watch = bus.next("from 7");
    watch.write(endpointEvent(8, false, otherEndpoint(2, engine.address(), newBootMs)) + "\n");
    watch.write(endpointEvent(9, false, endpointJson(1, engine.address(), state)) + "\n");
    awaitCounter(client, "bus_events|2");
    assertSentTo(client, 2, engine);
  }
}
