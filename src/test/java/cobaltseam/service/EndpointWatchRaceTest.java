package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

/** The endpoint watch when it is silent, behind, or receives events in another order. */
class EndpointWatchRaceTest extends ServiceRig {
  private static final int FEW_SOCKETS = 48;
  private final String drained = "terminating";
  @TempDir Path folder;

  private void assertGoesTo(EmulatedPeer expected, EmulatedPeer other) throws Exception {
    TestClient client = new TestClient(statement("once", 1, 5000));
    Message pull = expected.next("PULL");
    assertTrue(other.received.isEmpty(), "the drained engine was sent to");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /** A drain that is skipped for an offset that overtook it would be lost. */
  @Test
  void anOffsetThatOvertakesEventsRequestedAgainSkipsNone() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    bus.next("from 7").write("9\n");
    bus.next("closed");
    Message anew = bus.next("from 7");
    anew.write(
        "9\n"
            + endpointEvent(8, false, endpointJson(2, two.address(), drained))
            + "\n"
            + endpointEvent(9, false)
            + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertGoesTo(one, two);
  }

  private void reload(String configuration) throws Exception {
    Path file = Files.writeString(folder.resolve("configuration.json"), configuration);
    service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
    Signal.raise(new Signal("HUP"));
  }

  private String moved(EmulatedPeer bus, EmulatedPeer one, EmulatedPeer two) {
    return configurationJson(
        bus.address(),
        SOCKETS,
        IDLE_MS,
        endpointJson(1, one.address(), "in_service"),
        endpointJson(2, two.address(), "in_service"));
  }

  /**
   * The drain came from the former event bus behind the reload that moves to another: it is
   * requested there.
   */
  @Test
  void aDrainRightBehindAReloadThatMovesTheWatchIsApplied() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer former = start(one, two);
    Message watch = former.next("from 7");
    EmulatedPeer bus = new EmulatedPeer(false);
    TestClient client = new TestClient();
    CountDownLatch held = blockEventLoop();
    reload(moved(bus, one, two));
    awaitPostedTask();
    watch.write(endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitRead();
    held.countDown();
    bus.next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitCounter(client, "bus_events|1");
    assertGoesTo(one, two);
  }

  /** The reloaded configuration holds a list from before the drain. */
  @Test
  void aReloadRightBehindADrainDoesNotUndoIt() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer former = start(one, two);
    Message watch = former.next("from 7");
    EmulatedPeer bus = new EmulatedPeer(false);
    TestClient client = new TestClient();
    CountDownLatch held = blockEventLoop();
    watch.write(endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitRead();
    reload(moved(bus, one, two));
    held.countDown();
    bus.next("from 8");
    awaitCounter(client, "configurations_read|1");
    assertGoesTo(one, two);
  }

  /** The reloaded configuration holds the drain before the event bus sends it. */
  @Test
  void aDrainInAReloadedConfigurationActsAtOnce() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two).next("from 7");
    EmulatedPeer bus = new EmulatedPeer(false);
    reload(
        configurationJson(
                bus.address(),
                SOCKETS,
                IDLE_MS,
                endpointJson(1, one.address(), "in_service"),
                endpointJson(2, two.address(), drained))
            .replace("\"offset\":7", "\"offset\":8"));
    bus.next("from 8");
    assertGoesTo(one, two);
  }

  /** An event that stays missing is skipped, or it would hold up all others. */
  @Test
  void anEventThatIsMissingAtTheSecondHeartbeatIsSkipped() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    bus.next("from 7").write("8\n");
    bus.next("closed");
    bus.next("from 7")
        .write("8\n8\n" + endpointEvent(9, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertGoesTo(one, two);
  }

  @Test
  void aWatchThatIsSilentFromTheStartIsReconnected() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    bus.next("from 7");
    bus.next("closed");
    bus.next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertGoesTo(one, two);
  }

  /** After some heartbeats nothing comes: drains during that silence are requested again. */
  @Test
  void aWatchThatFallsSilentIsReconnectedFromTheLastEvent() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    bus.next("from 7").write("7\n" + endpointEvent(8, false) + "\n8\n");
    bus.next("closed");
    bus.next("from 8")
        .write(endpointEvent(9, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertGoesTo(one, two);
  }

  /** A complete list makes up for the events before it. */
  @Test
  void aCompleteListIsAppliedThoughEventsBeforeItAreMissing() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    Message from = bus.next("from 7");
    from.write(endpointEvent(12, true, endpointJson(1, one.address(), "in_service")) + "\n");
    TestClient watch = new TestClient();
    awaitCounter(watch, "bus_events|1");
    assertTrue(watch.execute("SHOW cobaltseam.counters").contains("bus_gaps|0"));
    assertGoesTo(one, two);
  }

  /**
   * The names differ only before the number; taken for one engine, the drain of one would affect
   * the other.
   */
  @Test
  void enginesWithTheSameNumberInTheirNamesAreDrainedSeparately() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer namesake = new EmulatedPeer(true);
    EmulatedPeer bus = start(one);
    bus.next("from 7")
        .write(
            endpointEvent(
                    8, false, endpointJson(1, namesake.address(), drained).replace("\"s-", "\"t-"))
                + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertGoesTo(one, namesake);
  }

  /**
   * More idle clients than descriptors come while the event bus is down: the watch still gets one
   * when it returns.
   */
  @Test
  void theWatchReconnectsThoughIdleClientsHoldTheDescriptors() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    start(
        plain -> plain.replaceFirst("\"bus\":\"[^\"]*\"", "\"bus\":\"127.0.0.1:" + port + "\""),
        FEW_SOCKETS,
        IDLE_MS,
        one.address(),
        two.address());
    TestClient watch = new TestClient();
    for (int i = 0; i < 2 * FEW_SOCKETS; i++) {
      Socket idle = new Socket(service.address().getAddress(), service.address().getPort());
      closeables.add(idle);
      assertEquals(List.of("empty"), watch.execute(""));
    }
    EmulatedPeer bus = new EmulatedPeer(false, port);
    bus.next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n");
    awaitCounter(watch, "bus_events|1");
    assertGoesTo(one, two);
  }

  /**
   * The configuration was written before the start: a later drain has to be applied before the
   * first request is forwarded.
   */
  @Test
  void aDrainDuringTheStartIsAppliedBeforeClientsCome() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = new EmulatedPeer(false);
    service =
        new DispatcherService(
            serviceConfiguration(
                bus.address(),
                SOCKETS,
                IDLE_MS,
                endpointJson(1, one.address(), "in_service"),
                endpointJson(2, two.address(), "in_service")));
    Thread tells =
        new Thread(
            () -> {
              try {
                bus.next("from 7")
                    .write(
                        endpointEvent(8, false, endpointJson(2, two.address(), drained)) + "\n8\n");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    tells.start();
    service.awaitEndpointUpdates();
    serve();
    assertGoesTo(one, two);
    tells.join();
  }

  /** Without the event bus the service starts with the list of its configuration. */
  @Test
  void aStartWithoutTheWatchServesByTheConfiguredList() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    service =
        new DispatcherService(
            serviceConfiguration(
                "127.0.0.1:9", SOCKETS, IDLE_MS, endpointJson(1, one.address(), "in_service")));
    service.awaitEndpointUpdates();
    serve();
    assertGoesTo(one, new EmulatedPeer(true));
  }

  /** An older event that is repeated or late does not undo a newer one. */
  @Test
  void anEventOlderThanTheLastOneChangesNothing() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer bus = start(one, two);
    bus.next("from 7")
        .write(
            endpointEvent(8, false, endpointJson(2, two.address(), drained))
                + "\n"
                + endpointEvent(6, false, endpointJson(2, two.address(), "in_service"))
                + "\n"
                + endpointEvent(9, false)
                + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertGoesTo(one, two);
  }
}
