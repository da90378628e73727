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
import org.apache.mina.core.filterchain.IoFilter;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;

/**
 * Runs a service on loopback between clients, engines and an event bus that the test emulates. A
 * test waits for the message that it expects before it continues, and so forces the order of
 * events.
 */
abstract class ServiceRig extends ServiceFixtures {
  static final int TIMEOUT_S = 10;
  private static final int CONNECT_MS = 50;

  final List<AutoCloseable> closeables = new ArrayList<>();

  /** The service that was started last. */
  DispatcherService service;

  private final Map<DispatcherService, Thread> loops = new LinkedHashMap<>();

  /** An engine or event bus; one queue holds the messages and closes of all its connections. */
  final class EmulatedPeer implements AutoCloseable {
    final ServerSocket server;
    final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    final boolean resp;

    EmulatedPeer(boolean resp) throws IOException {
      this(resp, 0);
    }

    /**
     * @param resp whether the peer reads RESP arrays, as an engine does; otherwise it reads lines
     * @param port the port to listen on, or 0 for any free port
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
          int itemCount = resp ? Integer.parseInt(readLine(in).substring(1)) : 0;
          for (int i = 0; i < itemCount; i++) {
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
      assertNotNull(message, "no message was received");
      return message;
    }

    Message next(String expected) throws InterruptedException {
      Message message = next();
      assertEquals(expected, message.items.get(0), message.items.toString());
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
   * A message that a peer received.
   *
   * @param items the items of a RESP array, one line, or "closed" for the end of the connection
   * @param readAtNanos when the peer's thread read the message, however late the test takes it
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
                // Expected when the peer is closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  static String readLine(DataInputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (byte next = in.readByte(); next != '\n'; next = in.readByte()) {
      line.write(next);
    }
    return line.toString(StandardCharsets.UTF_8).strip();
  }

  /** A client that writes and reads when the test calls its methods. */
  final class TestClient implements AutoCloseable {
    final Socket socket = new Socket(service.address().getAddress(), service.address().getPort());
    final DataInputStream in = new DataInputStream(socket.getInputStream());
    final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    int session;
    int secret;

    /** Connects, and sends the start-up message and these queries in one write. */
    TestClient(String... queries) throws IOException {
      closeables.add(this);
      socket.setSoTimeout(TIMEOUT_S * 1000);
      ByteArrayOutputStream firstBytes = new ByteArrayOutputStream();
      DataOutputStream firstOutput = new DataOutputStream(firstBytes);
      firstOutput.writeInt(9);
      firstOutput.writeInt(3 << 16);
      firstOutput.write(0);
      for (String query : queries) {
        writeQuery(firstOutput, query);
      }
      out.write(firstBytes.toByteArray());
      assertEquals("K", readReplies().get(0));
    }

    void writeQuery(DataOutputStream output, String text) throws IOException {
      output.write(queryMessage(text));
    }

    /** Returns the cancel request for this session, to be written on another connection. */
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

    /** Reads up to ReadyForQuery; returns rows, command tags and error classes in short form. */
    List<String> readReplies() throws IOException {
      List<String> replies = new ArrayList<>();
      while (true) {
        char type = (char) in.readByte();
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        DataInputStream fields = new DataInputStream(new ByteArrayInputStream(body));
        switch (type) {
          case 'Z' -> {
            return replies;
          }
          case 'K' -> {
            session = fields.readInt();
            secret = fields.readInt();
            replies.add("K");
          }
          case 'D' -> {
            List<String> row = new ArrayList<>();
            for (int left = fields.readShort(); left > 0; left--) {
              row.add(new String(fields.readNBytes(fields.readInt()), StandardCharsets.UTF_8));
            }
            replies.add(String.join("|", row));
          }
          case 'E' -> {
            String text = new String(body, StandardCharsets.UTF_8);
            replies.add(
                "error "
                    + text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 4)
                    + (text.contains("pushback=500") ? " pushback" : ""));
          }
          case 'C' -> replies.add(new String(body, 0, body.length - 1, StandardCharsets.UTF_8));
          case 'I' -> replies.add("empty");
          default -> {}
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Starts a service with these engines; returns its event bus. */
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

  /** Starts a service with a changed configuration and these engines; returns its event bus. */
  EmulatedPeer start(UnaryOperator<String> change, int sockets, int idleMs, String... engines)
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
                            change.apply(
                                configurationJson(bus.address(), sockets, idleMs, targets))))));
    serve();
    return bus;
  }

  /** Opens the service and runs its event loop on a new thread. */
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
    for (Map.Entry<DispatcherService, Thread> loop : loops.entrySet()) {
      loop.getValue().interrupt();
      loop.getValue().join();
      loop.getKey().close();
    }
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
  }

  /** An engine whose accept queue is full: no connection is established until it accepts some. */
  final class UnreachableEngine {
    final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final List<Socket> queuedSockets = new ArrayList<>();

    UnreachableEngine() throws IOException {
      closeables.add(server);
      for (boolean isFull = false; !isFull; ) {
        Socket socket = new Socket();
        queuedSockets.add(socket);
        closeables.add(socket);
        try {
          socket.connect(server.getLocalSocketAddress(), CONNECT_MS);
        } catch (IOException e) {
          isFull = true;
        }
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Starts to accept connections; returns the peer that receives the messages on them. */
    EmulatedPeer acceptConnections() throws IOException {
      EmulatedPeer peer = new EmulatedPeer(true);
      startDaemon(
          () -> {
            while (true) {
              Socket socket = server.accept();
              startDaemon(() -> peer.read(socket));
            }
          });
      return peer;
    }
  }

  /** Asserts that no request is sent to this peer, now or in the next 2 s. */
  static void assertNoPull(EmulatedPeer peer) throws InterruptedException {
    for (Message message = peer.received.poll(2, TimeUnit.SECONDS);
        message != null;
        message = peer.received.poll(0, TimeUnit.SECONDS)) {
      assertEquals("closed", message.items().get(0));
    }
    assertNull(peer.received.peek());
  }

  /** Waits until a counter has a value; {@code counter} is a row of SHOW cobaltseam.counters. */
  static void awaitCounter(TestClient client, String counter) throws Exception {
    for (int i = 0; !client.execute("SHOW cobaltseam.counters").contains(counter); i++) {
      assertTrue(i < TIMEOUT_S * 100, counter + " was not reached");
      Thread.sleep(10);
    }
  }

  /** Returns the next message that any of these peers receives, other than a close. */
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
    throw new AssertionError("no message was received");
  }

  /** Blocks the I/O thread; returns the latch that unblocks it when counted down. */
  CountDownLatch blockIoThread() throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    service.processor.runAfterReading(
        () -> {
          blocked.countDown();
          ServiceThreads.awaitQuietly(release);
        });
    blocked.await();
    return release;
  }

  /**
   * Runs a write on the I/O thread, has it read the input that follows, and blocks it before that
   * input is posted; returns the latch that unblocks it when counted down.
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
                ServiceThreads.awaitQuietly(release);
              });
        });
    blocked.await();
    return release;
  }

  /** Adds a filter to the service's end of a client's connection. */
  void addFilter(TestClient client, IoFilter filter) {
    service.acceptor.getManagedSessions().values().stream()
        .filter(s -> s.getRemoteAddress().equals(client.socket.getLocalSocketAddress()))
        .forEach(s -> s.getFilterChain().addLast("test", filter));
  }

  /** Blocks the I/O thread within a read round, at the next message that a client sends. */
  final class ReadBlocker extends IoFilterAdapter {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);

    ReadBlocker(TestClient client) {
      addFilter(client, this);
    }

    @Override
    public void messageReceived(NextFilter next, IoSession session, Object message) {
      blocked.countDown();
      ServiceThreads.awaitQuietly(release);
      next.messageReceived(session, message);
    }
  }

  /** Waits until all data that peers wrote before this call is read and posted. */
  void awaitRead() throws InterruptedException {
    ServiceThreads.awaitRead(service);
  }

  /** Blocks the event-loop thread; returns the latch that unblocks it when counted down. */
  CountDownLatch blockEventLoop() throws InterruptedException {
    return ServiceThreads.blockEventLoop(service);
  }

  /** Waits until a task is in the queue of the event-loop thread, which has to be blocked. */
  void awaitPostedTask() throws InterruptedException {
    for (int i = 0; service.inbox.size() == 0; i++) {
      assertTrue(i < TIMEOUT_S * 1000, "no task was posted");
      Thread.sleep(1);
    }
  }

  /** Waits until the event loop has completed a turn and has run the timers that were due. */
  void awaitEventLoopTurn() throws InterruptedException {
    CountDownLatch turnCompleted = new CountDownLatch(1);
    // One more task than a turn runs, so that the last one runs after the first turn has ended.
    for (int i = 0; i < EventLoop.MAX_TASKS_PER_TURN; i++) {
      service.inbox.post(null, () -> {});
    }
    service.inbox.post(null, turnCompleted::countDown);
    assertTrue(turnCompleted.await(TIMEOUT_S, TimeUnit.SECONDS), "the event loop has stopped");
  }
}
