package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import cobaltseam.standin.VirtualAddressRig;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Faults and suspensions of mastership, in a service that runs in the test process. */
class VirtualAddressServiceFaultTest {
  private static final long TIMEOUT_MS = 30_000;

  /** More than three advertisement intervals, after which an active router is fenced. */
  private static final long FENCED_AFTER_MS = 400;

  @TempDir Path folder;

  static ServiceConfiguration configuration(EmulatedEngine engine, EmulatedDiscovery bus)
      throws IOException {
    String endpointEvents =
        bus.publish(true, EmulatedDiscovery.endpointJson(1, engine.address(), "in_service"));
    String json =
        DispatcherProcess.configuration(
            "n0", new InetSocketAddress("127.0.0.1", 0), 0, 1, 8, bus, endpointEvents);
    return ServiceConfiguration.of(JsonObjectReader.of(new JsonFactory().createParser(json)));
  }

  /** Settings with one virtual router and no peers, on free ports. */
  static Settings.VirtualAddressSettings settings(Path folder) throws IOException {
    InetSocketAddress serviceAddress;
    InetSocketAddress advertisements;
    try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName("127.0.78.1"));
        DatagramSocket udp = new DatagramSocket(new InetSocketAddress("127.0.78.1", 0))) {
      serviceAddress = (InetSocketAddress) tcp.getLocalSocketAddress();
      advertisements = (InetSocketAddress) udp.getLocalSocketAddress();
    }
    Path file =
        Files.writeString(
            folder.resolve("own.toml"),
            """
                [mastership]
                listen = "127.0.78.1:%d"
                peers = []
                router = [{id = 1, interval_ms = 50, addresses = ["192.0.2.10"], serve = "127.0.78.1:%d"}]
                """
                .formatted(advertisements.getPort(), serviceAddress.getPort()));
    return SettingsReader.read(file).virtualAddresses();
  }

  /** Returns the settings of {@link #settings(Path)} with a second router beside the first. */
  private Settings.VirtualAddressSettings withSecondRouter() throws IOException {
    Path file = folder.resolve("own.toml");
    InetSocketAddress secondAddress;
    try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName("127.0.78.1"))) {
      secondAddress = (InetSocketAddress) tcp.getLocalSocketAddress();
    }
    String second =
        ", {id = 2, interval_ms = 50, addresses = [\"192.0.2.11\"], serve = \"127.0.78.1:%d\"}]"
            .formatted(secondAddress.getPort());
    Files.writeString(file, Files.readString(file).replace("}]", "}" + second));
    return SettingsReader.read(file).virtualAddresses();
  }

  /** Guards against a reload that removes an active router and ends mastership for all others. */
  @Test
  void removalOfAnActiveRouterKeepsTheOthersActive() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine("127.0.0.1", p -> 5);
        EmulatedDiscovery bus = new EmulatedDiscovery("127.0.0.1")) {
      Settings.VirtualAddressSettings withoutSecond = settings(folder);
      Settings.VirtualAddressSettings withSecond = withSecondRouter();
      InetSocketAddress kept = withSecond.routers().get(0).serviceAddress();
      InetSocketAddress removed = withSecond.routers().get(1).serviceAddress();
      DispatcherService service = new DispatcherService(configuration(engine, bus));
      service.enableVirtualAddresses(withSecond);
      service.open();
      Thread loop = startLoop(service);
      VirtualAddressServiceTest.connect(kept).close();
      VirtualAddressServiceTest.connect(removed).close();
      CountDownLatch reconfigured = new CountDownLatch(1);
      service.inbox.post(
          null,
          () -> {
            service.virtualAddresses.reconfigure(withoutSecond);
            reconfigured.countDown();
          });
      reconfigured.await();
      try (StatementClient client = VirtualAddressServiceTest.connect(kept)) {
        assertEquals("on", client.show("mastership").get("mastership"));
        assertEquals("0", client.show("counters").get("faults"));
      }
      loop.interrupt();
      loop.join();
      service.close();
    }
  }

  static Thread startLoop(DispatcherService service) {
    Thread loop =
        new Thread(
            () -> {
              try {
                service.runLoop();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    loop.start();
    return loop;
  }

  /**
   * Sends requests until one runs at the engine, and returns its outcome. A request that is
   * received while the router is fenced is rejected, and the next one is sent.
   */
  private static CompletableFuture<Outcome> awaitInFlight(
      InetSocketAddress serviceAddress, EmulatedEngine engine) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    for (int call = 0; ; call++) {
      StatementClient client = VirtualAddressServiceTest.connect(serviceAddress);
      String id = "%016x".formatted(0xe00 + call);
      CompletableFuture<Outcome> outcome =
          CompletableFuture.supplyAsync(() -> executeAndClose(client, id));
      while (engine.runningCount() == 0 && !outcome.isDone()) {
        assertTrue(System.nanoTime() < deadlineNanos, "no request is in flight");
        VirtualAddressRig.sleep(5);
      }
      if (!outcome.isDone()) {
        return outcome;
      }
    }
  }

  private static Outcome executeAndClose(StatementClient client, String call) {
    try (client) {
      return client.execute(call, "look", 2500);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * A request that is received after the event loop was suspended beyond the fence time is rejected
   * and never runs at an engine. Tests that need a request in flight therefore send another one.
   */
  @Test
  void requestReceivedWhileTheRouterIsFencedIsRejected() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine("127.0.0.1", p -> 600);
        EmulatedDiscovery bus = new EmulatedDiscovery("127.0.0.1")) {
      Settings.VirtualAddressSettings settings = settings(folder);
      InetSocketAddress serviceAddress = settings.routers().get(0).serviceAddress();
      DispatcherService service = new DispatcherService(configuration(engine, bus));
      service.enableVirtualAddresses(settings);
      service.open();
      Thread loop = startLoop(service);
      try (StatementClient client = VirtualAddressServiceTest.connect(serviceAddress)) {
        CountDownLatch resumed = new CountDownLatch(1);
        service.inbox.post(null, () -> awaitQuietly(resumed));
        client.send("00000000000000e1", "look", 2500, 50);
        // The test is about this duration: the fence time passes while the event loop does not run.
        VirtualAddressRig.sleep(FENCED_AFTER_MS);
        resumed.countDown();
        assertEquals(Outcome.REJECTED, client.awaitOutcome());
        assertTrue(engine.executions().isEmpty(), "no request ran at the engine");
      }
      loop.interrupt();
      loop.join();
      service.close();
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void faultInMastershipEndsOnlyMastership() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine("127.0.0.1", p -> 600);
        EmulatedDiscovery bus = new EmulatedDiscovery("127.0.0.1")) {
      AtomicBoolean isFailing = new AtomicBoolean();
      Settings.VirtualAddressSettings settings = settings(folder);
      InetSocketAddress serviceAddress = settings.routers().get(0).serviceAddress();
      DispatcherService service = new DispatcherService(configuration(engine, bus));
      service.enableVirtualAddresses(
          settings,
          () -> {
            if (isFailing.get()) {
              throw new IllegalStateException("injected by the test");
            }
            return new VirtualAddressService.HealthReport(TimeSpan.ZERO, 1, 0, 0);
          });
      service.open();
      Thread loop = startLoop(service);
      CompletableFuture<Outcome> outcome = awaitInFlight(serviceAddress, engine);
      isFailing.set(true);
      assertEquals(Outcome.ANSWERED, outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      try (StatementClient client = new StatementClient(service.address(), 5000)) {
        assertEquals("ended by a fault", client.show("mastership").get("mastership"));
        assertEquals(Outcome.REJECTED, client.execute("00000000000000e2", "look", 2500));
      }
      assertThrows(IOException.class, () -> new StatementClient(serviceAddress, 500));
      loop.interrupt();
      loop.join();
      service.close();
    }
  }
}
