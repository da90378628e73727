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
 * A service under test between clients, engines and an event bus that the test emulates, on
 * loopback. Each peer waits for the message that it expects before it goes on, so that a test
 * forces the order of events.
 */
abstract class ServiceRig extends ServiceFixtures {
  static final int TIMEOUT_S = 10;
  private static final int CONNECT_MS = 50;

  final List<AutoCloseable> closeables = new ArrayList<>();

  /** The service that was started last. */
  DispatcherService service;

  private final Map<DispatcherService, Thread> loops = new LinkedHashMap<>();

  /** Accepts connections; what is received on them, and their ends, form one queue of messages. */
  final class EmulatedPeer implements AutoCloseable {
    final ServerSocket server;
    final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    final boolean resp;

    EmulatedPeer(boolean resp) throws IOException {
      this(resp, 0);
    }

    /**
     * @param port where it listens, or 0 for any that is free
     */
    EmulatedPeer(boolean resp, int port) throws IOException {
      this.resp = resp;
      server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
      closeables.add(this);
      startDaemon(
          () -> {
            while (true) {
              Socket socket = server.accept();
              startDaemon(() -> read(socket));
            }
          });
    }

    void read(Socket socket) throws IOException {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      try {
        while (true) {
          List<String> items = new ArrayList<>();
          int number = resp ? Integer.parseInt(readLine(in).substring(1)) : 0;
          for (int i = 0; i < number; i++) {
            byte[] item = new byte[Integer.parseInt(readLine(in).substring(1))];
            in.readFully(item);
            readLine(in);
            items.add(new String(item, StandardCharsets.UTF_8));
          }
          List<String> message = resp ? items : List.of(readLine(in));
          received.add(new Message(socket, message, System.nanoTime()));
        }
      } catch (IOException e) {
        received.add(new Message(socket, List.of("closed"), System.nanoTime()));
      }
    }

    Message next() throws InterruptedException {
      Message message = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
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

  /**
   * What a peer received.
   *
   * @param readAtNanos when its thread had read this, however late the test looks at it
   */
  record Message(Socket from, List<String> items, long readAtNanos) {
    void write(String text) throws IOException {
      from.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void answer(String... answer) throws IOException {
      StringBuilder out = new StringBuilder("*" + answer.length + "\r\n");
      for (String item : answer) {
        out.append('$').append(item.length()).append("\r\n").append(item).append("\r\n");
      }
      write(out.toString());
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

  static void startDaemon(Task task) {
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

  static String readLine(DataInputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (byte b = in.readByte(); b != '\n'; b = in.readByte()) {
      line.write(b);
    }
    return line.toString(StandardCharsets.UTF_8).strip();
  }

  /** A client that writes and reads at the test's command. */
  final class TestClient implements AutoCloseable {
    final Socket socket = new Socket(service.address().getAddress(), service.address().getPort());
    final DataInputStream in = new DataInputStream(socket.getInputStream());
    final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    int session;
    int secret;

    TestClient(String... behind) throws IOException {
      closeables.add(this);
      socket.setSoTimeout(TIMEOUT_S * 1000);
      ByteArrayOutputStream first = new ByteArrayOutputStream();
      DataOutputStream to = new DataOutputStream(first);
      to.writeInt(9);
      to.writeInt(3 << 16);
      to.write(0);
      for (String query : behind) {
        writeQuery(to, query);
      }
      out.write(first.toByteArray());
      assertEquals("K", readReplies().get(0));
    }

    void writeQuery(DataOutputStream to, String text) throws IOException {
      to.write(queryMessage(text));
    }

    /** The cancel request for this session's statement, to be written on another connection. */
    byte[] cancelRequest() {
      return ByteBuffer.allocate(16)
          .putInt(16)
          .putInt(80877102)
          .putInt(session)
          .putInt(secret)
          .array();
    }

    List<String> execute(String query) throws IOException {
      writeQuery(out, query);
      return readReplies();
    }

    /** The messages up to ReadyForQuery, in short: rows, tags, and the class of errors. */
    List<String> readReplies() throws IOException {
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

  EmulatedPeer start(EmulatedPeer... engines) throws IOException {
    return start(SOCKETS, IDLE_MS, engines);
  }

  EmulatedPeer start(int sockets, int idleMs, EmulatedPeer... engines) throws IOException {
    return start(
        sockets, idleMs, Arrays.stream(engines).map(EmulatedPeer::address).toArray(String[]::new));
  }

  EmulatedPeer start(int sockets, int idleMs, String... engines) throws IOException {
    return start(configuration -> configuration, sockets, idleMs, engines);
  }

  EmulatedPeer start(UnaryOperator<String> changed, int sockets, int idleMs, String... engines)
      throws IOException {
    EmulatedPeer bus = new EmulatedPeer(false);
    String[] targets = new String[engines.length];
    Arrays.setAll(targets, i -> endpointJson(i + 1, engines[i], "in_service"));
    service =
        new DispatcherService(
            ServiceConfiguration.of(
                JsonObjectReader.of(
                    new JsonFactory()
                        .createParser(
                            changed.apply(
                                configurationJson(bus.address(), sockets, idleMs, targets))))));
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
                started.runLoop();
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
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
  }

  /** An engine whose accept queue is full: no connection comes up until it is relieved. */
  final class UnreachableEngine {
    final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final List<Socket> waiting = new ArrayList<>();

    UnreachableEngine() throws IOException {
      closeables.add(server);
      for (boolean full = false; !full; ) {
        Socket socket = new Socket();
        waiting.add(socket);
        closeables.add(socket);
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

    /** Accepts connections from now on; the peer returned receives what is written to them. */
    EmulatedPeer acceptConnections() throws IOException {
      EmulatedPeer hears = new EmulatedPeer(true);
      startDaemon(
          () -> {
            while (true) {
              Socket socket = server.accept();
              startDaemon(() -> hears.read(socket));
            }
          });
      return hears;
    }
  }

  /** Asserts that no request is sent to this peer, now or in the next 2 s. */
  static void assertNoPull(EmulatedPeer peer) throws InterruptedException {
    for (Message m = peer.received.poll(2, TimeUnit.SECONDS);
        m != null;
        m = peer.received.poll(0, TimeUnit.SECONDS)) {
      assertEquals("closed", m.items().get(0));
    }
    assertNull(peer.received.peek());
  }

  /** Waits until a counter has this value. */
  static void awaitCounter(TestClient client, String counter) throws Exception {
    for (int i = 0; !client.execute("SHOW cobaltseam.counters").contains(counter); i++) {
      assertTrue(i < TIMEOUT_S * 100, counter + " never came");
      Thread.sleep(10);
    }
  }

  /** The next message that comes to any of them. */
  static Message nextFromAny(EmulatedPeer... peers) throws InterruptedException {
    for (int i = 0; i < TIMEOUT_S * 1000; i++) {
      for (EmulatedPeer peer : peers) {
        Message message = peer.received.poll();
        if (message != null && !message.items.get(0).equals("closed")) {
          return message;
        }
      }
      Thread.sleep(1);
    }
    throw new AssertionError("nothing came");
  }

  /** Blocks the I/O thread, from when this returns until the latch is counted down. */
  CountDownLatch blockIoThread() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    service.processor.runAfterReading(
        () -> {
          blocked.countDown();
          awaitQuietly(release);
        });
    blocked.await();
    return release;
  }

  /**
   * Has the I/O thread write this to a peer, read what follows from it, and blocked that thread up
   * before it is handed over.
   */
  CountDownLatch blockIoThreadAfterReading(Task write) throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    service.processor.runAfterReading(
        () -> {
          try {
            write.run();
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          service.processor.runAfterReading(
              () -> {
                blocked.countDown();
                awaitQuietly(release);
              });
        });
    blocked.await();
    return release;
  }

  /**
   * Holds up the thread that reads all sockets when it comes to what this client says next, in the
   * middle of a round.
   */
  final class ReadBlocker extends IoFilterAdapter {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);

    ReadBlocker(TestClient client) {
      service.acceptor.getManagedSessions().values().stream()
          .filter(s -> s.getRemoteAddress().equals(client.socket.getLocalSocketAddress()))
          .forEach(s -> s.getFilterChain().addLast("blocked", this));
    }

    @Override
    public void messageReceived(NextFilter next, IoSession session, Object message) {
      blocked.countDown();
      awaitQuietly(release);
      next.messageReceived(session, message);
    }
  }

  /**
   * Returns when all that peers had written before this was called has been read and handed over.
   */
  void awaitRead() throws InterruptedException {
    for (int round = 0; round < 3; round++) {
      CountDownLatch read = new CountDownLatch(1);
      service.processor.runAfterReading(read::countDown);
      read.await();
    }
  }

  private static void awaitQuietly(CountDownLatch release) {
    try {
      release.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Blocks the event-loop thread, from when this returns until the latch is counted down. */
  CountDownLatch blockEventLoop() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    service.inbox.post(
        null,
        () -> {
          blocked.countDown();
          awaitQuietly(release);
        });
    blocked.await();
    return release;
  }

  /** Returns when a task was posted to the event-loop thread, which is blocked. */
  void awaitPostedTask() throws InterruptedException {
    for (int i = 0; service.inbox.size() == 0; i++) {
      assertTrue(i < TIMEOUT_S * 1000, "nothing was handed over");
      Thread.sleep(1);
    }
  }

  /**
   * Returns when the event loop has completed a turn since this was called, and run the timers that
   * were due.
   */
  void awaitEventLoopTurn() throws InterruptedException {
    CountDownLatch heard = new CountDownLatch(1);
    // More than run in one turn: the last one runs after the first turn has ended.
    for (int i = 0; i < EventLoop.MAX_TASKS_PER_TURN; i++) {
      service.inbox.post(null, () -> {});
    }
    service.inbox.post(null, heard::countDown);
    heard.await();
  }
}
