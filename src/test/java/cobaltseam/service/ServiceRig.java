package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.JsonObjectReader;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;

/**
 * A service under test between clients, engines and an event bus that the test plays itself, on
 * loopback. Each peer waits for what it is to hear before it goes on, so that a test forces the
 * order of events.
 */
abstract class ServiceRig {
  static final int SOON_S = 10;
  private static final int CONNECT_MS = 50;
  static final int SOCKETS = 256;
  static final int IDLE_MS = 30_000;
  static final String ROWS = "a\t1\tx\nb\t2\ty\n";

  final List<AutoCloseable> open = new ArrayList<>();

  /** The service that was started last. */
  DispatcherService service;

  private final Map<DispatcherService, Thread> loops = new LinkedHashMap<>();

  /** Accepts connections; what is heard on them, and their ends, come as one row of messages. */
  final class Peer implements AutoCloseable {
    final ServerSocket server;
    final BlockingQueue<Message> heard = new LinkedBlockingQueue<>();
    final boolean resp;

    Peer(boolean resp) throws IOException {
      this(resp, 0);
    }

    /**
     * @param port where it listens, or 0 for any that is free
     */
    Peer(boolean resp, int port) throws IOException {
      this.resp = resp;
      server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
      open.add(this);
      thread(
          () -> {
            while (true) {
              Socket socket = server.accept();
              thread(() -> read(socket));
            }
          });
    }

    void read(Socket socket) throws IOException {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      try {
        while (true) {
          List<String> items = new ArrayList<>();
          int number = resp ? Integer.parseInt(line(in).substring(1)) : 0;
          for (int i = 0; i < number; i++) {
            byte[] item = new byte[Integer.parseInt(line(in).substring(1))];
            in.readFully(item);
            line(in);
            items.add(new String(item, StandardCharsets.UTF_8));
          }
          heard.add(new Message(socket, resp ? items : List.of(line(in))));
        }
      } catch (IOException e) {
        heard.add(new Message(socket, List.of("closed")));
      }
    }

    Message next() throws InterruptedException {
      Message message = heard.poll(SOON_S, TimeUnit.SECONDS);
      assertNotNull(message, "nothing came");
      return message;
    }

    Message next(String word) throws InterruptedException {
      Message message = next();
      assertEquals(word, message.items.get(0), message.items.toString());
      return message;
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  record Message(Socket from, List<String> items) {
    void say(String text) throws IOException {
      from.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void answer(String... answer) throws IOException {
      StringBuilder out = new StringBuilder("*" + answer.length + "\r\n");
      for (String item : answer) {
        out.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
      }
      say(out.toString());
    }

    void reset() throws IOException {
      from.setSoLinger(true, 0);
      from.close();
    }

    String id() {
      return items.get(1);
    }
  }

  interface Task {
    void run() throws IOException;
  }

  static void thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  static String line(DataInputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (byte b = in.readByte(); b != '\n'; b = in.readByte()) {
      line.write(b);
    }
    return line.toString(StandardCharsets.UTF_8).strip();
  }

  /** A client of the wire, which writes and reads as it is told. */
  final class Client implements AutoCloseable {
    final Socket socket = new Socket(service.address().getAddress(), service.address().getPort());
    final DataInputStream in = new DataInputStream(socket.getInputStream());
    final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    int session;
    int secret;

    Client(String... behind) throws IOException {
      open.add(this);
      socket.setSoTimeout(SOON_S * 1000);
      ByteArrayOutputStream first = new ByteArrayOutputStream();
      DataOutputStream to = new DataOutputStream(first);
      to.writeInt(9);
      to.writeInt(3 << 16);
      to.write(0);
      for (String query : behind) {
        query(to, query);
      }
      out.write(first.toByteArray());
      assertEquals("K", told().get(0));
    }

    void query(DataOutputStream to, String text) throws IOException {
      to.write(message(text));
    }

    /** What cancels the statement of this session, to be written on another connection. */
    byte[] cancelRequest() {
      return ByteBuffer.allocate(16)
          .putInt(16)
          .putInt(80877102)
          .putInt(session)
          .putInt(secret)
          .array();
    }

    List<String> ask(String query) throws IOException {
      query(out, query);
      return told();
    }

    /** The messages up to ReadyForQuery, in short: rows, tags, and the class of errors. */
    List<String> told() throws IOException {
      List<String> told = new ArrayList<>();
      while (true) {
        char type = (char) in.readByte();
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        DataInputStream read = new DataInputStream(new ByteArrayInputStream(body));
        switch (type) {
          case 'Z' -> {
            return told;
          }
          case 'K' -> {
            session = read.readInt();
            secret = read.readInt();
            told.add("K");
          }
          case 'D' -> {
            List<String> row = new ArrayList<>();
            for (int n = read.readShort(); n > 0; n--) {
              row.add(new String(read.readNBytes(read.readInt()), StandardCharsets.UTF_8));
            }
            told.add(String.join("|", row));
          }
          case 'E' -> {
            String text = new String(body, StandardCharsets.UTF_8);
            told.add(
                "error "
                    + text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 4)
                    + (text.contains("pushback=500") ? " pushback" : ""));
          }
          case 'C' -> told.add(new String(body, 0, body.length - 1, StandardCharsets.UTF_8));
          case 'I' -> told.add("empty");
          default -> {}
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String target(int uid, String engine, String state) {
    return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s\",\"az\":\"z\",\"model\":\"m\",\"state\":\"%s\",\"boot_ms\":0}"
        .formatted(uid, engine, state);
  }

  static String event(int offset, boolean all, String... targets) {
    return "{\"offset\":%d,\"topology\":{\"rev\":1,\"all\":%b,\"targets\":[%s]}}"
        .formatted(offset, all, String.join(",", targets));
  }

  static ServiceConfiguration told(String bus, int sockets, int idleMs, String... targets)
      throws IOException {
    return ServiceConfiguration.of(
        JsonObjectReader.of(
            new JsonFactory().createParser(configuration(bus, sockets, idleMs, targets))));
  }

  static String configuration(String bus, int sockets, int idleMs, String... targets) {
    return """
                {"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"sockets":%d,"memory_mb":64},"bus":"%s",
                "known":{"offset":7,"batch":[%s]},"settings":{"balancers":1,"position":0,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5},
                {"name":"once","aim_us":500000,"hard_limit_us":3000000,"repeat":"non_idempotent","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":1000}],"machine_types":["m"],"family_info":{"cores_by_kind":[4]},"rules":{"cold_from":0.3},
                "limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":2000000,"conn_idle_us":%d,"streams_per_conn":32}}}
                """
        .formatted(sockets, bus, event(7, true, targets), idleMs * 1000);
  }

  Peer start(Peer... engines) throws IOException {
    return start(SOCKETS, IDLE_MS, engines);
  }

  Peer start(int sockets, int idleMs, Peer... engines) throws IOException {
    return start(sockets, idleMs, Arrays.stream(engines).map(Peer::address).toArray(String[]::new));
  }

  Peer start(int sockets, int idleMs, String... engines) throws IOException {
    return start(configuration -> configuration, sockets, idleMs, engines);
  }

  Peer start(UnaryOperator<String> changed, int sockets, int idleMs, String... engines)
      throws IOException {
    Peer bus = new Peer(false);
    String[] targets = new String[engines.length];
    Arrays.setAll(targets, i -> target(i + 1, engines[i], "in_service"));
    service =
        new DispatcherService(
            ServiceConfiguration.of(
                JsonObjectReader.of(
                    new JsonFactory()
                        .createParser(
                            changed.apply(
                                configuration(bus.address(), sockets, idleMs, targets))))));
    serve();
    return bus;
  }

  /** Opens the service and runs its loop. */
  void serve() throws IOException {
    service.open();
    DispatcherService started = service;
    Thread loop =
        new Thread(
            () -> {
              try {
                started.loop();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    loops.put(started, loop);
    loop.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (Map.Entry<DispatcherService, Thread> each : loops.entrySet()) {
      each.getValue().interrupt();
      each.getValue().join();
      each.getKey().close();
    }
    for (AutoCloseable each : open) {
      each.close();
    }
  }

  /** A command with so much work that no send is called off while a slow machine plays its part. */
  static String look(int call, int ttl) {
    return command("look", call, ttl).replace("work=100", "work=1000");
  }

  static String command(String profile, int call, int ttl) {
    return "/* op=%s,call=%016x,ttl=%d,work=100 */ SELECT n FROM a_1.t"
        .formatted(profile, call, ttl);
  }

  /** A query as it is written. */
  static byte[] message(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(bytes.length + 6)
        .put((byte) 'Q')
        .putInt(bytes.length + 5)
        .put(bytes)
        .put((byte) 0)
        .array();
  }

  /** Engines whose connections may take long to come up. */
  static String patient(String configuration) {
    return configuration.replace(
        "\"connect_timeout_us\":2000000", "\"connect_timeout_us\":30000000");
  }

  /** An engine to which no connection comes up until it is relieved. */
  final class Crowded {
    final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final List<Socket> waiting = new ArrayList<>();

    Crowded() throws IOException {
      open.add(server);
      for (boolean full = false; !full; ) {
        Socket socket = new Socket();
        waiting.add(socket);
        open.add(socket);
        try {
          socket.connect(server.getLocalSocketAddress(), CONNECT_MS);
        } catch (IOException e) {
          full = true;
        }
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lets connections come up from now on; what is said on each is heard by a peer of its own. */
    Peer relieve() throws IOException {
      Peer hears = new Peer(true);
      thread(
          () -> {
            while (true) {
              Socket socket = server.accept();
              thread(() -> hears.read(socket));
            }
          });
      return hears;
    }
  }

  /** Nothing was sent to this peer, however long it listens after all is over. */
  static void assertNoPull(Peer peer) throws InterruptedException {
    for (Message m = peer.heard.poll(2, TimeUnit.SECONDS);
        m != null;
        m = peer.heard.poll(0, TimeUnit.SECONDS)) {
      assertEquals("closed", m.items().get(0));
    }
    assertNull(peer.heard.peek());
  }

  /** Asks until a counter stands at this. */
  static void await(Client client, String counter) throws Exception {
    for (int i = 0; !client.ask("SHOW cobaltseam.counters").contains(counter); i++) {
      assertTrue(i < SOON_S * 100, counter + " never came");
      Thread.sleep(10);
    }
  }

  /** The next word that comes to any of them. */
  static Message poll(Peer... peers) throws InterruptedException {
    for (int i = 0; i < SOON_S * 1000; i++) {
      for (Peer peer : peers) {
        Message message = peer.heard.poll();
        if (message != null && !message.items.get(0).equals("closed")) {
          return message;
        }
      }
      Thread.sleep(1);
    }
    throw new AssertionError("nothing came");
  }

  /**
   * Holds up the thread that reads and writes all sockets, from when this returns until it is
   * counted down.
   */
  CountDownLatch holdUpSockets() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch holds = new CountDownLatch(1);
    service.processor.afterReading(
        () -> {
          holds.countDown();
          awaitQuietly(held);
        });
    holds.await();
    return held;
  }

  /**
   * Has the I/O thread write this to a peer, read what follows from it, and holds that thread up
   * before it is handed over.
   */
  CountDownLatch holdUpSocketsOnceRead(Task write) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch holds = new CountDownLatch(1);
    service.processor.afterReading(
        () -> {
          try {
            write.run();
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          service.processor.afterReading(
              () -> {
                holds.countDown();
                awaitQuietly(held);
              });
        });
    holds.await();
    return held;
  }

  /**
   * Holds up the thread that reads all sockets when it comes to what this client says next, in the
   * middle of a round.
   */
  final class HoldsInRound extends IoFilterAdapter {
    final CountDownLatch holds = new CountDownLatch(1);
    final CountDownLatch held = new CountDownLatch(1);

    HoldsInRound(Client client) {
      service.acceptor.getManagedSessions().values().stream()
          .filter(s -> s.getRemoteAddress().equals(client.socket.getLocalSocketAddress()))
          .forEach(s -> s.getFilterChain().addLast("holds", this));
    }

    @Override
    public void messageReceived(NextFilter next, IoSession session, Object message) {
      holds.countDown();
      awaitQuietly(held);
      next.messageReceived(session, message);
    }
  }

  /**
   * Returns when all that peers had written before this was called has been read and handed over.
   */
  void awaitRead() throws InterruptedException {
    for (int round = 0; round < 3; round++) {
      CountDownLatch read = new CountDownLatch(1);
      service.processor.afterReading(read::countDown);
      read.await();
    }
  }

  private static void awaitQuietly(CountDownLatch held) {
    try {
      held.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Holds up the thread that owns the state, from when this returns until it is counted down. */
  CountDownLatch holdUp() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch holds = new CountDownLatch(1);
    service.inbox.post(
        null,
        () -> {
          holds.countDown();
          awaitQuietly(held);
        });
    holds.await();
    return held;
  }

  /** Returns when something was handed over to the thread that owns the state, which is held up. */
  void awaitHandedOver() throws InterruptedException {
    for (int i = 0; service.inbox.size() == 0; i++) {
      assertTrue(i < SOON_S * 1000, "nothing was handed over");
      Thread.sleep(1);
    }
  }

  /**
   * Returns when the thread that owns the state has gone through a turn since this was called, and
   * done what was due.
   */
  void awaitTurn() throws InterruptedException {
    CountDownLatch heard = new CountDownLatch(1);
    // More than are heard in one turn: the last one is heard after the first turn has ended.
    for (int i = 0; i < EventLoop.MAX_TASKS_PER_TURN; i++) {
      service.inbox.post(null, () -> {});
    }
    service.inbox.post(null, heard::countDown);
    heard.await();
  }
}
