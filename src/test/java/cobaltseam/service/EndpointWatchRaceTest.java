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
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

/**
 * Tests the endpoint watch with silent connections, missing, late and repeated events, and reloads
 * of the configuration.
 */
class EndpointWatchRaceTest extends ServiceRig {
  private static final int FEW_SOCKETS = 48;
  private final String drainedState = "terminating";
  @TempDir Path configurationFolder;

  /** Asserts that a new request is sent to {@code expected} and none to {@code other}. */
  private void assertRequestSentTo(EmulatedPeer expected, EmulatedPeer other) throws Exception {
    TestClient client = new TestClient(statement("once", 1, 5000));
    Message pull = expected.next("PULL");
    assertTrue(other.received.isEmpty(), "a request was sent to the drained engine");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.readReplies().get(2));
  }

  /**
   * A heartbeat whose offset arrives ahead of the events that were requested again must not cause
   * them to be skipped, or a drain among them would be lost.
   */
  @Test
  void heartbeatAheadOfEventsRequestedAgainSkipsNone() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus.next("from 7").write("9\n");
    eventBus.next("closed");
    Message secondRequest = eventBus.next("from 7");
    secondRequest.write(
        "9\n"
            + endpointEvent(8, false, endpointJson(2, two.address(), drainedState))
            + "\n"
            + endpointEvent(9, false)
            + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertRequestSentTo(one, two);
  }

  private void reload(String configuration) throws Exception {
    Path file = Files.writeString(configurationFolder.resolve("configuration.json"), configuration);
    service.reloadOnHangUp(Map.of("GW_CONFIG", file.toString()));
    Signal.raise(new Signal("HUP"));
  }

  /** Returns a configuration that moves the watch to another event bus. */
  private String configurationWithBus(EmulatedPeer eventBus, EmulatedPeer one, EmulatedPeer two) {
    return configurationJson(
        eventBus.address(),
        SOCKETS,
        IDLE_MS,
        endpointJson(1, one.address(), "in_service"),
        endpointJson(2, two.address(), "in_service"));
  }

  /**
   * A drain that the former event bus sends directly after a reload that moves the watch is
   * requested from the new event bus.
   */
  @Test
  void drainDirectlyAfterReloadThatMovesWatchIsApplied() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer formerBus = start(one, two);
    Message watch = formerBus.next("from 7");
    EmulatedPeer eventBus = new EmulatedPeer(false);
    TestClient client = new TestClient();
    CountDownLatch release = blockEventLoop();
    reload(configurationWithBus(eventBus, one, two));
    awaitPostedTask();
    watch.write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitRead();
    release.countDown();
    eventBus
        .next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitCounter(client, "bus_events|1");
    assertRequestSentTo(one, two);
  }

  /** A reloaded configuration with an older endpoint list must not undo a drain. */
  @Test
  void reloadDirectlyAfterDrainDoesNotUndoIt() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer formerBus = start(one, two);
    Message watch = formerBus.next("from 7");
    EmulatedPeer eventBus = new EmulatedPeer(false);
    TestClient client = new TestClient();
    CountDownLatch release = blockEventLoop();
    watch.write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitRead();
    reload(configurationWithBus(eventBus, one, two));
    release.countDown();
    eventBus.next("from 8");
    awaitCounter(client, "configurations_read|1");
    assertRequestSentTo(one, two);
  }

  /** The reloaded configuration holds a drain that the event bus has not sent yet. */
  @Test
  void drainInReloadedConfigurationTakesEffectImmediately() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    start(one, two).next("from 7");
    EmulatedPeer eventBus = new EmulatedPeer(false);
    reload(
        configurationJson(
                eventBus.address(),
                SOCKETS,
                IDLE_MS,
                endpointJson(1, one.address(), "in_service"),
                endpointJson(2, two.address(), drainedState))
            .replace("\"offset\":7", "\"offset\":8"));
    eventBus.next("from 8");
    assertRequestSentTo(one, two);
  }

  /** An event that remains missing is skipped, since it would otherwise block all later events. */
  @Test
  void eventStillMissingAtSecondHeartbeatIsSkipped() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus.next("from 7").write("8\n");
    eventBus.next("closed");
    eventBus
        .next("from 7")
        .write(
            "8\n8\n"
                + endpointEvent(9, false, endpointJson(2, two.address(), drainedState))
                + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertRequestSentTo(one, two);
  }

  /** Guards against an event that is ignored as old since it arrives after it was skipped. */
  @Test
  void eventThatArrivesAfterItWasSkippedIsApplied() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus.next("from 7").write("8\n");
    eventBus.next("closed");
    eventBus
        .next("from 7")
        .write(
            "8\n8\n8\n"
                + endpointEvent(8, false, endpointJson(2, two.address(), drainedState))
                + "\n");
    awaitCounter(new TestClient(), "bus_events_late|1");
    assertRequestSentTo(one, two);
  }

  /** Guards against an event that is lost with its connection since it was skipped before. */
  @Test
  void skippedEventIsRequestedOnTheNextWatch() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus.next("from 7").write("8\n");
    eventBus.next("closed");
    Message watch = eventBus.next("from 7");
    watch.write("8\n8\n" + endpointEvent(9, false) + "\n9\n");
    awaitCounter(new TestClient(), "bus_events|1");
    watch.reset();
    eventBus.next("closed");
    eventBus
        .next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n9\n");
    awaitCounter(new TestClient(), "bus_events_late|1");
    assertRequestSentTo(one, two);
  }

  /** Guards against an event that arrives late and undoes a newer change of the same engine. */
  @Test
  void eventThatArrivesAfterItWasSkippedUndoesNoLaterChange() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus.next("from 7").write("8\n");
    eventBus.next("closed");
    eventBus
        .next("from 7")
        .write(
            "8\n8\n"
                + endpointEvent(9, false, endpointJson(2, two.address(), drainedState))
                + "\n"
                + endpointEvent(8, false, endpointJson(2, two.address(), "in_service"))
                + "\n");
    awaitCounter(new TestClient(), "bus_events_late|1");
    assertRequestSentTo(one, two);
  }

  @Test
  void watchThatIsSilentFromTheStartIsReconnected() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    Message silentWatch = eventBus.next("from 7");
    eventBus
        .next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertEquals(silentWatch.from(), eventBus.next("closed").from());
    assertRequestSentTo(one, two);
  }

  /** Guards against a watch that is closed before a slow event bus has answered it. */
  @Test
  void slowEventBusIsHeardOnTheWatchThatItAnswers() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    Message answeredWatch = eventBus.next("from 7");
    Message secondWatch = eventBus.next("from 7");
    Message thirdWatch = eventBus.next("from 7");
    answeredWatch.write(
        endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n8\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertEquals(
        Set.of(secondWatch.from(), thirdWatch.from()),
        Set.of(eventBus.next("closed").from(), eventBus.next("closed").from()));
    answeredWatch.write(endpointEvent(9, false) + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertRequestSentTo(one, two);
  }

  /** Guards against a list that arrives so slowly that its watch is closed before its end. */
  @Test
  void lineThatArrivesSlowlyIsReadToItsEnd() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    String event = endpointEvent(8, false, endpointJson(2, two.address(), drainedState));
    Message watch = eventBus.next("from 7");
    watch.write(event.substring(0, 20));
    eventBus.next("from 7");
    watch.write(event.substring(20) + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertRequestSentTo(one, two);
  }

  /** The events that were missed while the connection was silent are requested again. */
  @Test
  void watchThatBecomesSilentIsReconnectedFromLastEvent() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    Message silentWatch = eventBus.next("from 7");
    silentWatch.write("7\n" + endpointEvent(8, false) + "\n8\n");
    eventBus
        .next("from 8")
        .write(endpointEvent(9, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertEquals(silentWatch.from(), eventBus.next("closed").from());
    assertRequestSentTo(one, two);
  }

  /** A complete list replaces the state, so events missing before it are not requested. */
  @Test
  void completeListIsAppliedDespiteMissingEarlierEvents() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    Message request = eventBus.next("from 7");
    request.write(endpointEvent(12, true, endpointJson(1, one.address(), "in_service")) + "\n");
    TestClient watch = new TestClient();
    awaitCounter(watch, "bus_events|1");
    assertTrue(watch.execute("SHOW cobaltseam.counters").contains("bus_gaps|0"));
    assertRequestSentTo(one, two);
  }

  /**
   * Two engines whose names differ only in the prefix must not be taken for one engine, or the
   * drain of one would affect the other.
   */
  @Test
  void enginesWithSameNumberInNameAreDrainedSeparately() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer otherPrefix = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one);
    eventBus
        .next("from 7")
        .write(
            endpointEvent(
                    8,
                    false,
                    endpointJson(1, otherPrefix.address(), drainedState).replace("\"s-", "\"t-"))
                + "\n");
    awaitCounter(new TestClient(), "bus_events|1");
    assertRequestSentTo(one, otherPrefix);
  }

  /**
   * While the event bus is down, more idle clients connect than there are descriptors. The watch
   * must still get a descriptor when the event bus returns.
   */
  @Test
  void watchReconnectsWhileIdleClientsUseAllDescriptors() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    start(
        configuration ->
            configuration.replaceFirst("\"bus\":\"[^\"]*\"", "\"bus\":\"127.0.0.1:" + port + "\""),
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
    EmulatedPeer eventBus = new EmulatedPeer(false, port);
    eventBus
        .next("from 7")
        .write(endpointEvent(8, false, endpointJson(2, two.address(), drainedState)) + "\n");
    awaitCounter(watch, "bus_events|1");
    assertRequestSentTo(one, two);
  }

  /**
   * The configuration may be older than the state of the event bus: a later drain has to be applied
   * before the first request is forwarded.
   */
  @Test
  void drainDuringStartupIsAppliedBeforeClientsConnect() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = new EmulatedPeer(false);
    service =
        new DispatcherService(
            serviceConfiguration(
                eventBus.address(),
                SOCKETS,
                IDLE_MS,
                endpointJson(1, one.address(), "in_service"),
                endpointJson(2, two.address(), "in_service")));
    Thread notifier =
        new Thread(
            () -> {
              try {
                eventBus
                    .next("from 7")
                    .write(
                        endpointEvent(8, false, endpointJson(2, two.address(), drainedState))
                            + "\n8\n");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    notifier.start();
    service.awaitEndpointUpdates();
    serve();
    assertRequestSentTo(one, two);
    notifier.join();
  }

  /** If the event bus is unreachable, the service starts with the configured endpoint list. */
  @Test
  void startWithoutEventBusUsesConfiguredEndpointList() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    service =
        new DispatcherService(
            serviceConfiguration(
                "127.0.0.1:9", SOCKETS, IDLE_MS, endpointJson(1, one.address(), "in_service")));
    service.awaitEndpointUpdates();
    serve();
    assertRequestSentTo(one, new EmulatedPeer(true));
  }

  /** An older event that is repeated or late must not undo a newer one. */
  @Test
  void eventOlderThanLastOneChangesNothing() throws Exception {
    EmulatedPeer one = new EmulatedPeer(true);
    EmulatedPeer two = new EmulatedPeer(true);
    EmulatedPeer eventBus = start(one, two);
    eventBus
        .next("from 7")
        .write(
            endpointEvent(8, false, endpointJson(2, two.address(), drainedState))
                + "\n"
                + endpointEvent(6, false, endpointJson(2, two.address(), "in_service"))
                + "\n"
                + endpointEvent(9, false)
                + "\n");
    awaitCounter(new TestClient(), "bus_events|2");
    assertRequestSentTo(one, two);
  }
}
