package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.settings.Settings;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.StatementClient;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests that clients are sending while the virtual address of their connection is released. */
class VirtualAddressReleaseTest {
  private static final int TIMEOUT_MS = 10_000;
  private static final byte[] STARTUP = {0, 0, 0, 9, 0, 3, 0, 0, 0};
  private static final byte[] EMPTY_QUERY = {'Q', 0, 0, 0, 5, 0};
  private static final byte[] STATEMENT =
      ServiceFixtures.queryMessage(ServiceFixtures.idempotentStatement(1, 3000));
  private static final int HALF = STATEMENT.length / 2;

  @TempDir Path folder;

  private EmulatedEngine engine;
  private EmulatedDiscovery bus;
  private DispatcherService service;
  private Thread loop;
  private InetSocketAddress serviceAddress;

  @BeforeEach
  void start() throws Exception {
    engine = new EmulatedEngine("127.0.0.1", requestClass -> 5);
    bus = new EmulatedDiscovery("127.0.0.1");
    Settings.VirtualAddressSettings settings = VirtualAddressServiceFaultTest.settings(folder);
    serviceAddress = settings.routers().get(0).serviceAddress();
    service = new DispatcherService(VirtualAddressServiceFaultTest.configuration(engine, bus));
    service.enableVirtualAddresses(settings);
    service.open();
    loop = VirtualAddressServiceFaultTest.startLoop(service);
    VirtualAddressServiceTest.connect(serviceAddress).close();
  }

  @AfterEach
  void stop() throws Exception {
    loop.interrupt();
    loop.join();
    service.close();
    bus.close();
    engine.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(serviceAddress.getAddress(), serviceAddress.getPort());
    socket.setSoTimeout(TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Connects, and has one statement answered. */
  private Socket connectAndUse() throws IOException {
    Socket socket = connect();
    socket.getOutputStream().write(STARTUP);
    readUntilReady(socket);
    socket.getOutputStream().write(EMPTY_QUERY);
    readUntilReady(socket);
    return socket;
  }

  private static void readUntilReady(Socket socket) throws IOException {
    DataInputStream input = new DataInputStream(socket.getInputStream());
    for (byte type = 0; type != 'Z'; ) {
      type = input.readByte();
      input.readNBytes(input.readInt() - Integer.BYTES);
    }
  }

  /** Resigns as at the begin of a shutdown; returns when the event loop has done so. */
  private void release() throws InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    service.inbox.post(
        null,
        () -> {
          service.virtualAddresses.resign();
          released.countDown();
        });
    released.await();
  }

  private static void assertRejectedAndClosed(Socket socket) throws IOException {
    String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(reply.contains("57P03"), "the reply is '" + reply + "'");
  }

  /** Guards against a release that closes connections in the middle of a request. */
  @Test
  void requestHalfSentWhenItsAddressIsReleasedIsRejected() throws Exception {
    try (Socket socket = connectAndUse()) {
      socket.getOutputStream().write(STATEMENT, 0, HALF);
      ServiceThreads.awaitRead(service);
      release();
      ServiceThreads.awaitRead(service);
      socket.getOutputStream().write(STATEMENT, HALF, STATEMENT.length - HALF);
      assertRejectedAndClosed(socket);
    }
  }

  /** The first bytes are read after the connection was taken for idle and before it is closed. */
  @Test
  void requestBegunWhileItsConnectionIsClosedIsRejected() throws Exception {
    try (Socket socket = connectAndUse()) {
      CountDownLatch resume = new CountDownLatch(1);
      CountDownLatch isBlocked = new CountDownLatch(1);
      service.processor.runAfterReading(
          () -> {
            isBlocked.countDown();
            ServiceThreads.awaitQuietly(resume);
          });
      isBlocked.await();
      release();
      socket.getOutputStream().write(STATEMENT, 0, HALF);
      resume.countDown();
      ServiceThreads.awaitRead(service);
      socket.getOutputStream().write(STATEMENT, HALF, STATEMENT.length - HALF);
      assertRejectedAndClosed(socket);
    }
  }

  /** A client has connected, and its first bytes follow after the release. */
  @Test
  void connectionWithoutInputAtTheReleaseIsRejected() throws Exception {
    try (Socket socket = connect()) {
      while (service.acceptor.getManagedSessionCount() == 0) {
        Thread.onSpinWait();
      }
      ServiceThreads.awaitRead(service);
      release();
      ServiceThreads.awaitRead(service);
      socket.getOutputStream().write(STARTUP);
      socket.getOutputStream().write(STATEMENT);
      assertRejectedAndClosed(socket);
    }
  }

  /** A client that stops in the middle of a message must not keep its connection for good. */
  @Test
  void connectionWithAnAbandonedMessageIsClosed() throws Exception {
    try (Socket socket = connectAndUse()) {
      socket.getOutputStream().write(STATEMENT, 0, HALF);
      ServiceThreads.awaitRead(service);
      release();
      assertEquals(0, socket.getInputStream().readAllBytes().length);
    }
    try (StatementClient observer = new StatementClient(service.address(), TIMEOUT_MS)) {
      assertEquals("0", observer.show("counters").get("faults"));
    }
  }
}
