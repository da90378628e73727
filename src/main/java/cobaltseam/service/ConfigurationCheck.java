package cobaltseam.service;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Describes a configuration, and checks it with a service on a loopback port. */
final class ConfigurationCheck {
  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());

  /** A startup message of the client protocol, an empty query, and a Terminate message. */
  private static final byte[] EMPTY_QUERY_SESSION = {
    0, 0, 0, 9, 0, 3, 0, 0, 0, 'Q', 0, 0, 0, 5, 0, 'X', 0, 0, 0, 4
  };

  private ConfigurationCheck() {}

  /**
   * Opens a service with this configuration on a free loopback port, sends it one empty query,
   * shuts it down and prints its counters.
   *
   * @throws IOException if no port can be opened
   */
  static void rehearse(ServiceConfiguration configuration)
      throws IOException, InterruptedException {
    Warmup.run(configuration);
    DispatcherService service =
        new DispatcherService(
            configuration.withAddresses(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                configuration.watchAddress(),
                configuration.knownEvents()));
    service.open();
    Thread client = new Thread(() -> sendEmptyQuery(service));
    client.start();
    service.runLoop();
    client.join();
    service.close();
    System.out.println(configuration.name() + ": " + service.counters());
  }

  private static void sendEmptyQuery(DispatcherService service) {
    InetSocketAddress address = service.address();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(EMPTY_QUERY_SESSION);
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      LOG.log(
          Level.ERROR, "the empty query to the service on loopback failed: {0}", e.getMessage());
    }
    service.stop();
  }

  /** Returns a one-line summary of a configuration. */
  static String describe(ServiceConfiguration configuration) {
    return configuration.name()
        + " on "
        + configuration.listen()
        + ", event bus "
        + configuration.watchAddress()
        + ", "
        + configuration.deployment().dispatcherCount()
        + " dispatchers, "
        + configuration.deployment().requestClasses().size()
        + " profiles, limits "
        + configuration.maxSockets()
        + " descriptors and "
        + (configuration.memoryBytes() >> 20)
        + " MB";
  }
}
