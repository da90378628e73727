package cobaltseam.service;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.logging.Field;
import cobaltseam.resp.RespParser;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Warms up the JVM before the first client is accepted: runs a separate service on free loopback
 * ports with a few clients and an emulated engine, all in this process. Without a warm-up the code
 * of the busiest paths is not compiled when traffic begins; answers are then read late, and
 * attempts time out although their answers have arrived.
 */
final class Warmup {
  private static final System.Logger LOG = System.getLogger(Warmup.class.getName());
  private static final int CLIENT_COUNT = 4;

  private static final int CONNECTIONS_PER_CLIENT = 3;

  private static final int REQUESTS_PER_CONNECTION = 4;
  private static final int US_PER_MS = 1000;
  private static final int REPLY_TIMEOUT_MS = 1000;
  private static final String ROWS = "2026-01-01\t12\tnote\n".repeat(40);

  private final ServerSocket engineServer =
      new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private final ServerSocket watchServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private final List<Deployment.RequestClass> requestClasses;
  private final DispatcherService service;

  private Warmup(ServiceConfiguration configuration) throws IOException {
    requestClasses = configuration.deployment().requestClasses();
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    service =
        new DispatcherService(
            configuration.withAddresses(
                anyPort,
                address(watchServer),
                configuration.knownEvents().stream().map(this::withEmulatedEngine).toList()));
    service.allowSharedEngineAddresses();
  }

  /**
   * Runs the warm-up. A failure is logged and has no other effect.
   *
   * @return the number of completed requests
   */
  static long run(ServiceConfiguration configuration) throws InterruptedException {
    try {
      Warmup warmup = new Warmup(configuration);
      try {
        warmup.serveClients();
        return warmup.service.completedRequests();
      } finally {
        warmup.service.close();
        warmup.engineServer.close();
        warmup.watchServer.close();
      }
    } catch (IOException | InvalidInputException e) {
      LOG.log(
          Level.WARNING,
          "the warm-up failed, the first requests may be slow: {0}",
          Field.of("reason", e.getMessage()),
          Field.event("warmup.none"));
      return 0;
    }
  }

  private static InetSocketAddress address(ServerSocket server) {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Returns the event with the address of the emulated engine for every engine. */
  private WatchEvent withEmulatedEngine(WatchEvent event) {
    Map<EngineId, InetSocketAddress> addresses = new HashMap<>();
    for (EndpointStatus endpoint : event.endpoints()) {
      addresses.put(endpoint.engine(), address(engineServer));
    }
    return new WatchEvent(event.offset(), event.isComplete(), event.endpoints(), addresses);
  }

  private void serveClients() throws IOException, InterruptedException {
    service.open();
    start(
        () -> {
          while (true) {
            Socket socket = engineServer.accept();
            start(() -> runEngine(socket));
          }
        });
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT && !requestClasses.isEmpty(); i++) {
      int number = i;
      clients.add(start(() -> runClient(number)));
    }
    start(
        () -> {
          for (Thread client : clients) {
            join(client);
          }
          service.endWhenIdle();
        });
    service.runLoop();
  }

  private static void join(Thread client) {
    try {
      client.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private interface ConnectionTask {
    void run() throws IOException;
  }

  private static Thread start(ConnectionTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                LOG.log(Level.DEBUG, "a warm-up connection ended", e);
              }
            },
            "warm-up");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void runEngine(Socket socket) throws IOException {
    try (socket) {
      OutputStream out = socket.getOutputStream();
      RespParser parser = new RespParser();
      byte[] buffer = new byte[1 << 12];
      for (int read = socket.getInputStream().read(buffer);
          read > 0;
          read = socket.getInputStream().read(buffer)) {
        StringBuilder replies = new StringBuilder();
        parser.parse(
            ByteBuffer.wrap(buffer, 0, read),
            items -> {
              String command = new String(items.get(0), StandardCharsets.UTF_8);
              String id = new String(items.get(1), StandardCharsets.UTF_8);
              if (command.equals("PULL")) {
                replies.append(respArray(id, "status", "why=progress,v=0.5", ""));
                replies.append(respArray(id, "200", "pages=2,rep=pending:0;busy_reqs:1", ROWS));
              } else if (command.equals("SCROLL")) {
                replies.append(respArray(id, "chunk", "page=1", ROWS));
              }
            });
        out.write(replies.toString().getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  private static String respArray(String... items) {
    StringBuilder text = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      text.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    return text.toString();
  }

  private void runClient(int client) throws IOException {
    for (int i = 0; i < CONNECTIONS_PER_CLIENT; i++) {
      try (Socket socket =
          new Socket(service.address().getAddress(), service.address().getPort())) {
        socket.setSoTimeout(REPLY_TIMEOUT_MS);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        socket.getOutputStream().write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0});
        readUntilReady(in);
        for (int j = 0; j < REQUESTS_PER_CONNECTION; j++) {
          int number = (client * CONNECTIONS_PER_CLIENT + i) * REQUESTS_PER_CONNECTION + j;
          Deployment.RequestClass requestClass = requestClasses.get(number % requestClasses.size());
          String callId = Long.toHexString(Long.MIN_VALUE | number);
          byte[] text =
              ("/* op="
                      + requestClass.id().value()
                      + ",call="
                      + callId
                      + ",ttl="
                      + requestClass.deadline().us() / US_PER_MS
                      + ",work=100.5,space=2 */ SELECT 'x', "
                      + "count(*) FROM s_1.t WHERE a = 'b' GROUP BY c")
                  .getBytes(StandardCharsets.UTF_8);
          socket
              .getOutputStream()
              .write(
                  ByteBuffer.allocate(text.length + 6)
                      .put((byte) 'Q')
                      .putInt(text.length + 5)
                      .put(text)
                      .put((byte) 0)
                      .array());
          readUntilReady(in);
        }
      }
    }
  }

  private static void readUntilReady(DataInputStream in) throws IOException {
    for (byte type = 0; type != 'Z'; ) {
      type = in.readByte();
      in.readFully(new byte[in.readInt() - Integer.BYTES]);
    }
  }
}
