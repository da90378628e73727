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
 * Runs the code of the busiest paths before clients come: a service of its own on free loopback
 * ports, with a few clients and a toy engine in this process. Without it the first second of
 * traffic meets code that is not compiled yet, answers are read late, and sends are given up whose
 * answers are there.
 */
final class Warmup {
  private static final System.Logger LOG = System.getLogger(Warmup.class.getName());
  private static final int CLIENTS = 4;

  /**
   * Connections of each client, and commands on each. Twice as many: a restart takes a second
   * longer.
   */
  private static final int CONNECTIONS = 3;

  private static final int COMMANDS = 4;
  private static final int US_PER_MS = 1000;
  private static final int ANSWER_WITHIN_MS = 1000;
  private static final String ROWS = "2026-01-01\t12\tnote\n".repeat(40);

  private final ServerSocket engine = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private final ServerSocket bus = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private final List<Deployment.RequestClass> profiles;
  private final DispatcherService service;

  private Warmup(ServiceConfiguration told) throws IOException {
    profiles = told.deployment().requestClasses();
    InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    service =
        new DispatcherService(
            told.movedTo(free, address(bus), told.known().stream().map(this::played).toList()));
  }

  /**
   * Plays, and tells how many commands were answered; a machine that does not allow it is served on
   * without.
   */
  static long run(ServiceConfiguration told) throws InterruptedException {
    try {
      Warmup warmup = new Warmup(told);
      try {
        warmup.play();
        return warmup.service.answered();
      } finally {
        warmup.service.close();
        warmup.engine.close();
        warmup.bus.close();
      }
    } catch (IOException | InvalidInputException e) {
      LOG.log(
          Level.WARNING,
          "no warm-up, the first answers take longer: {0}",
          Field.of("reason", e.getMessage()),
          Field.event("warmup.none"));
      return 0;
    }
  }

  private static InetSocketAddress address(ServerSocket server) {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** The list as told, but each engine is the toy. */
  private WatchEvent played(WatchEvent told) {
    Map<EngineId, InetSocketAddress> addresses = new HashMap<>();
    for (EndpointStatus line : told.list()) {
      addresses.put(line.engine(), address(engine));
    }
    return new WatchEvent(told.offset(), told.whole(), told.list(), addresses);
  }

  private void play() throws IOException, InterruptedException {
    service.open();
    thread(
        () -> {
          while (true) {
            Socket socket = engine.accept();
            thread(() -> answer(socket));
          }
        });
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS && !profiles.isEmpty(); i++) {
      int number = i;
      clients.add(thread(() -> ask(number)));
    }
    thread(
        () -> {
          for (Thread client : clients) {
            join(client);
          }
          service.end();
        });
    service.loop();
  }

  private static void join(Thread client) {
    try {
      client.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private interface Talk {
    void run() throws IOException;
  }

  private static Thread thread(Talk talk) {
    Thread thread =
        new Thread(
            () -> {
              try {
                talk.run();
              } catch (IOException e) {
                LOG.log(Level.DEBUG, "a connection of the warm-up ended", e);
              }
            },
            "warm-up");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void answer(Socket socket) throws IOException {
    try (socket) {
      OutputStream out = socket.getOutputStream();
      RespParser parser = new RespParser();
      byte[] piece = new byte[1 << 12];
      for (int read = socket.getInputStream().read(piece);
          read > 0;
          read = socket.getInputStream().read(piece)) {
        StringBuilder answers = new StringBuilder();
        parser.take(
            ByteBuffer.wrap(piece, 0, read),
            items -> {
              String word = new String(items.get(0), StandardCharsets.UTF_8);
              String id = new String(items.get(1), StandardCharsets.UTF_8);
              if (word.equals("PULL")) {
                answers.append(line(id, "status", "why=progress,v=0.5", ""));
                answers.append(line(id, "200", "pages=2,rep=pending:0;busy_reqs:1", ROWS));
              } else if (word.equals("SCROLL")) {
                answers.append(line(id, "chunk", "page=1", ROWS));
              }
            });
        out.write(answers.toString().getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  private static String line(String... items) {
    StringBuilder line = new StringBuilder("*" + items.length + "\r\n");
    for (String item : items) {
      line.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
    }
    return line.toString();
  }

  private void ask(int client) throws IOException {
    for (int i = 0; i < CONNECTIONS; i++) {
      try (Socket socket =
          new Socket(service.address().getAddress(), service.address().getPort())) {
        socket.setSoTimeout(ANSWER_WITHIN_MS);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        socket.getOutputStream().write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0});
        readUntilReady(in);
        for (int j = 0; j < COMMANDS; j++) {
          int number = (client * CONNECTIONS + i) * COMMANDS + j;
          Deployment.RequestClass profile = profiles.get(number % profiles.size());
          String call = Long.toHexString(Long.MIN_VALUE | number);
          byte[] text =
              ("/* op="
                      + profile.id().value()
                      + ",call="
                      + call
                      + ",ttl="
                      + profile.deadline().us() / US_PER_MS
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
