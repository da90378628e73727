package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.EmulatedEventBus;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import cobaltseam.standin.VirtualAddressRig;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A fault within mastership, in a service that runs in this process. */
class VirtualAddressServiceFaultTest {
  private static final long TIMEOUT_MS = 30_000;

  @TempDir Path folder;

  private static ServiceConfiguration configuration(EmulatedEngine engine, EmulatedEventBus bus)
      throws IOException {
    String known = bus.publish(true, EmulatedEventBus.target(1, engine.address(), "in_service"));
    String json =
        DispatcherProcess.configuration(
            "n0", new InetSocketAddress("127.0.0.1", 0), 0, 1, 8, bus, known);
    return ServiceConfiguration.of(JsonObjectReader.of(new JsonFactory().createParser(json)));
  }

  /** Settings of one virtual router and no peers, on free ports. */
  private Settings.VirtualAddressSettings settings() throws IOException {
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

  private static Thread startLoop(DispatcherService service) {
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

  @Test
  void aFaultInMastershipEndsOnlyMastership() throws Exception {
    try (EmulatedEngine engine = new EmulatedEngine("127.0.0.1", p -> 600);
        EmulatedEventBus bus = new EmulatedEventBus("127.0.0.1")) {
      AtomicBoolean broken = new AtomicBoolean();
      Settings.VirtualAddressSettings settings = settings();
      InetSocketAddress serviceAddress = settings.routers().get(0).serviceAddress();
      DispatcherService service = new DispatcherService(configuration(engine, bus));
      service.enableVirtualAddresses(
          settings,
          () -> {
            if (broken.get()) {
              throw new IllegalStateException("for the test");
            }
            return new VirtualAddressService.HealthReport(TimeSpan.ZERO, 1, 0, 0);
          });
      service.open();
      Thread loop = startLoop(service);
      try (StatementClient client = VirtualAddressServiceTest.connect(serviceAddress)) {
        CompletableFuture<Outcome> end =
            CompletableFuture.supplyAsync(() -> client.execute("00000000000000e0", "look", 2500));
        while (engine.running() == 0) {
          VirtualAddressRig.sleep(5);
        }
        broken.set(true);
        assertEquals(Outcome.ANSWERED, end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      }
      try (StatementClient client = new StatementClient(service.address(), 5000)) {
        assertEquals("ended by a fault", client.show("mastership").get("mastership"));
        assertEquals(Outcome.TURNED_AWAY, client.execute("00000000000000e2", "look", 2500));
      }
      assertThrows(IOException.class, () -> new StatementClient(serviceAddress, 500));
      loop.interrupt();
      loop.join();
      service.close();
    }
  }
}
