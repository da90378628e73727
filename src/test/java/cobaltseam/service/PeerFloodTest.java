package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.service.Counters.Count;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests engines and an event bus that write more than the event loop can process. */
class PeerFloodTest extends ServiceRig {
  private static final int FLOODED_CONNECTIONS = 24;
  private static final int FLOOD_BYTES_PER_CONNECTION = 4 << 20;
  private static final int MEMORY_MB = 16;

  /** More rounds of reading than it takes to read what closes a flooded connection. */
  private static final int FLOOD_ROUNDS = 100;

  private static final int REPEATED_ANSWERS = 5000;
  private static final int DEADLINE_MS = 3000;
  private static final int WORK_MS = 100;

  /** The most bytes that one read takes from a connection. */
  private static final int READ_BYTES = 1 << 14;

  @TempDir Path folder;

  /** Returns a configuration in which one engine may run all requests of a test at once. */
  private static String withManyCores(String configuration) {
    return configuration.replace("\"cores_by_kind\":[4]", "\"cores_by_kind\":[64]");
  }

  private static String statusReport(Message pull) {
    String fields = "why=progress,v=0.5,rep=pending:0;busy_reqs:3;cpu_share:0.25;svc_ms:12.5";
    return "*4\r\n$16\r\n%s\r\n$6\r\nstatus\r\n$%d\r\n%s\r\n$0\r\n\r\n"
        .formatted(pull.id(), fields.length(), fields);
  }

  /** Has an engine write status reports as fast as the connection takes them. */
  private static Thread startFlood(Message pull) {
    return startFlood(pull, statusReport(pull).repeat(100));
  }

  private static Thread startFlood(Message request, String answers) {
    byte[] bytes = answers.getBytes(StandardCharsets.US_ASCII);
    Thread writer =
        new Thread(
            () -> {
              try {
                for (int n = 0; n < FLOOD_BYTES_PER_CONNECTION; n += bytes.length) {
                  request.from().getOutputStream().write(bytes);
                }
              } catch (IOException e) {
                // Expected when the dispatcher closes the connection.
                return;
              }
            });
    writer.setDaemon(true);
    writer.start();
    return writer;
  }

  private interface Reading {
    long awaitRead() throws Exception;
  }

  /** Waits until the I/O thread reads no more while the event loop is blocked. */
  private static long awaitReadingStops(Reading reading) throws Exception {
    long last = -1;
    long peak = reading.awaitRead();
    while (peak != last) {
      last = peak;
      peak = reading.awaitRead();
    }
    return peak;
  }

  private StatementClient send(InetSocketAddress service, int call) throws IOException {
    StatementClient client = new StatementClient(service, TIMEOUT_S * 1000);
    closeables.add(client);
    client.send("%016x".formatted(call), "once", DEADLINE_MS, WORK_MS);
    return client;
  }

  private List<Message> sendRequests(InetSocketAddress service, EmulatedPeer engine)
      throws Exception {
    List<Message> pulls = new ArrayList<>();
    for (int call = 1; call <= FLOODED_CONNECTIONS; call++) {
      send(service, call);
      pulls.add(engine.next("PULL"));
    }
    return pulls;
  }

  private void assertServes(InetSocketAddress service, EmulatedPeer engine) throws Exception {
    StatementClient client = send(service, FLOODED_CONNECTIONS + 1);
    Message pull = nextFromAny(engine);
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals(Outcome.ANSWERED, client.awaitOutcome(), client.lastError());
  }

  private static void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /**
   * Guards against input of engines that is read without a bound while the event loop is behind.
   */
  @Test
  void floodOfAnEngineIsReadNoFasterThanItIsProcessed() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(
        text -> withManyCores(text).replace("\"memory_mb\":64", "\"memory_mb\":" + MEMORY_MB),
        SOCKETS,
        IDLE_MS,
        engine.address());
    List<Message> pulls = sendRequests(service.address(), engine);
    CountDownLatch release = blockEventLoop();
    List<Thread> floods = pulls.stream().map(PeerFloodTest::startFlood).toList();
    long peak =
        awaitReadingStops(
            () -> {
              awaitRead();
              return service.counters().get(Count.UNPROCESSED_INPUT_PEAK_BYTES);
            });
    release.countDown();
    long bound =
        (MEMORY_MB << 20) / ReadFlowControl.MEMORY_PER_UNPROCESSED_BYTE
            + FLOODED_CONNECTIONS * READ_BYTES;
    assertTrue(peak <= bound, peak + " bytes were read");
    join(floods);
    assertServes(service.address(), engine);
  }

  /** Guards against a heap that is used up by the input of an engine that never stops writing. */
  @Test
  void floodOfAnEngineDoesNotUseUpTheHeap() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer eventBus = new EmulatedPeer(false);
    String configuration =
        withManyCores(
            configurationJson(
                eventBus.address(),
                SOCKETS,
                IDLE_MS,
                endpointJson(1, engine.address(), "in_service")));
    try (BlockableServiceProcess process = new BlockableServiceProcess(folder, configuration)) {
      List<Message> pulls = sendRequests(process.address(), engine);
      process.blockEventLoop();
      List<Thread> floods = pulls.stream().map(PeerFloodTest::startFlood).toList();
      awaitReadingStops(process::awaitRead);
      process.unblockEventLoop();
      join(floods);
      assertServes(process.address(), engine);
    }
  }

  /** Guards against a heap that is used up by the heartbeats of an event bus without pauses. */
  @Test
  void floodOfTheEventBusDoesNotUseUpTheHeap() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    EmulatedPeer eventBus = new EmulatedPeer(false);
    String configuration =
        configurationJson(
            eventBus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service"));
    try (BlockableServiceProcess process = new BlockableServiceProcess(folder, configuration)) {
      Message watch = eventBus.next("from 7");
      process.blockEventLoop();
      Thread flood = startFlood(watch, "7\n".repeat(1000));
      long peak = awaitReadingStops(process::awaitRead);
      process.unblockEventLoop();
      flood.join();
      assertTrue(
          peak <= ReadFlowControl.MAX_CONNECTION_BYTES + READ_BYTES, peak + " bytes were read");
      assertServes(process.address(), engine);
    }
  }

  /** Has an engine write more of one answer than any engine needs, and waits for the outcome. */
  private Outcome floodOneConnection(Function<String, String[]> answerToCall) throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    StatementClient client = send(service.address(), 1);
    Message pull = engine.next("PULL");
    try {
      for (int n = 0; n < REPEATED_ANSWERS; n++) {
        pull.answer(answerToCall.apply(pull.id()));
      }
    } catch (IOException e) {
      assertTrue(e instanceof SocketException, "the dispatcher has closed the connection: " + e);
    }
    return client.awaitOutcome();
  }

  private void assertConnectionLost() throws Exception {
    TestClient client = new TestClient();
    assertTrue(client.execute("SHOW cobaltseam.counters").contains("sends_cut|1"));
  }

  /** Guards against an engine that takes the processor time of all requests by status reports. */
  @Test
  void endlessStatusReportsCloseTheConnection() throws Exception {
    assertEquals(
        Outcome.FAILED,
        floodOneConnection(id -> new String[] {id, "status", "why=progress,v=0.5", ""}));
    assertConnectionLost();
  }

  /** Guards against an engine that repeats a page of an open result without end. */
  @Test
  void endlessRepeatedPagesCloseTheConnection() throws Exception {
    assertEquals(
        Outcome.FAILED, floodOneConnection(id -> new String[] {id, "200", "pages=2", ROWS}));
    assertConnectionLost();
  }

  /** Guards against an engine that answers health checks which nobody has sent. */
  @Test
  void endlessHealthCheckAnswersCloseTheConnection() throws Exception {
    assertEquals(
        Outcome.FAILED, floodOneConnection(id -> new String[] {"probe", "alive", "-", ""}));
    assertConnectionLost();
  }

  /** Guards against fields whose parsing takes longer than the rest of the answer. */
  @Test
  void overlongFieldsCloseTheConnection() throws Exception {
    String fields = "a=1,".repeat(2000);
    assertEquals(Outcome.FAILED, floodOneConnection(id -> new String[] {id, "status", fields, ""}));
    assertConnectionLost();
  }

  /** Guards against a limit that closes the connection of an engine that reports often. */
  @Test
  void manyStatusReportsBeforeTheAnswerAreAllowed() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    StatementClient client = send(service.address(), 1);
    Message pull = engine.next("PULL");
    for (int n = 0; n < StatusReportLimit.MAX_BURST; n++) {
      pull.answer(pull.id(), "status", "why=progress,v=0.5", "");
    }
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals(Outcome.ANSWERED, client.awaitOutcome());
  }

  /** Guards against many messages of one client that delay all others. */
  @Test
  void eventLoopProcessesOneMessageOfAClientAfterAnother() throws Exception {
    start(new EmulatedPeer(true));
    TestClient flooding = new TestClient();
    TestClient other = new TestClient();
    CountDownLatch resume = blockEventLoop();
    ByteArrayOutputStream statements = new ByteArrayOutputStream();
    for (int i = 0; i < 20; i++) {
      statements.write(queryMessage("SHOW cobaltseam.counters"));
    }
    flooding.out.write(statements.toByteArray());
    awaitRead();
    other.writeQuery(other.out, "");
    awaitRead();
    assertEquals(2, service.inbox.size(), "one task for each client");
    resume.countDown();
    assertEquals(List.of("empty"), other.readReplies());
    for (int i = 0; i < 20; i++) {
      assertTrue(flooding.readReplies().contains("SHOW"));
    }
  }

  /**
   * Guards against a client whose flooded connection is closed before its messages are processed:
   * it could connect again and have more and more messages wait for the event loop.
   */
  @Test
  void floodedConnectionStaysOpenUntilItsMessagesAreProcessed() throws Exception {
    start(new EmulatedPeer(true));
    TestClient flooding = new TestClient();
    CountDownLatch resume = blockEventLoop();
    startDaemon(() -> flooding.out.write(new byte[FLOOD_BYTES_PER_CONNECTION]));
    for (int round = 0; round < FLOOD_ROUNDS; round++) {
      awaitRead();
    }
    assertEquals(1, service.acceptor.openConnections(), "the connection is open and not read");
    resume.countDown();
    assertEquals(List.of("empty"), new TestClient().execute(""));
  }
}
