package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.JsonObjectReader;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A service in a process with the heap of the deploy file. The test blocks and unblocks its event
 * loop by commands on standard input; the process prints a reply to each.
 */
final class BlockableServiceProcess implements AutoCloseable {
  private static final String REPLY_PREFIX = "reply ";
  private static final int START_TIMEOUT_S = 30;

  private final Process process;
  private final BlockingQueue<String> replies = new LinkedBlockingQueue<>();
  private final List<String> log = new ArrayList<>();
  private final InetSocketAddress address;

  BlockableServiceProcess(Path folder, String configuration) throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), configuration);
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                BlockableServiceProcess.class.getName(),
                file.toString())
            .redirectErrorStream(true)
            .start();
    Thread reader = new Thread(this::readOutput);
    reader.setDaemon(true);
    reader.start();
    address = new InetSocketAddress("127.0.0.1", Integer.parseInt(awaitReply(START_TIMEOUT_S)));
  }

  private void readOutput() {
    try (BufferedReader output =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = output.readLine(); line != null; line = output.readLine()) {
        if (line.startsWith(REPLY_PREFIX)) {
          replies.add(line.substring(REPLY_PREFIX.length()));
        }
        synchronized (log) {
          log.add(line);
        }
      }
    } catch (IOException e) {
      // The process was killed, which ends its output.
      return;
    }
  }

  InetSocketAddress address() {
    return address;
  }

  void blockEventLoop() throws Exception {
    execute("block");
  }

  void unblockEventLoop() throws Exception {
    execute("unblock");
  }

  /** Waits until all input that was received is read; returns the peak of unprocessed bytes. */
  long awaitRead() throws Exception {
    return Long.parseLong(execute("read"));
  }

  /**
   * Has an error end the I/O thread; returns the exit code of the process.
   *
   * @throws AssertionError if the process does not end
   */
  int exitCodeAfterErrorInIoThread() throws Exception {
    execute("fail");
    assertTrue(process.waitFor(ServiceRig.TIMEOUT_S, TimeUnit.SECONDS), "the process stays up");
    return process.exitValue();
  }

  private String execute(String command) throws Exception {
    process.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
    process.getOutputStream().flush();
    return awaitReply(ServiceRig.TIMEOUT_S);
  }

  private String awaitReply(int timeoutS) throws InterruptedException {
    String reply = replies.poll(timeoutS, TimeUnit.SECONDS);
    synchronized (log) {
      assertNotNull(reply, "the process does not reply:\n" + String.join("\n", log));
    }
    return reply;
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  // ---- in the process

  /** Runs the service with the configuration file {@code arguments[0]}. */
  public static void main(String[] arguments) throws Exception {
    String text = Files.readString(Path.of(arguments[0]));
    DispatcherService service =
        new DispatcherService(
            ServiceConfiguration.of(JsonObjectReader.of(new JsonFactory().createParser(text))));
    FatalErrorHandler.install(service.counters());
    service.open();
    Thread commands = new Thread(() -> executeCommands(service));
    commands.setDaemon(true);
    commands.start();
    // MINA runs the I/O thread while a connection is open.
    try (Socket connection =
        new Socket(service.address().getAddress(), service.address().getPort())) {
      reply(connection.getPort());
      service.runLoop();
    }
  }

  private static void executeCommands(DispatcherService service) {
    CountDownLatch release = new CountDownLatch(0);
    try (BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        switch (line) {
          case "block" -> release = ServiceThreads.blockEventLoop(service);
          case "unblock" -> release.countDown();
          case "fail" -> failIoThread(service);
          default -> ServiceThreads.awaitRead(service);
        }
        reply(service.counters().get(Counters.Count.UNPROCESSED_INPUT_PEAK_BYTES));
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void failIoThread(DispatcherService service) {
    service.processor.runAfterReading(
        () -> {
          throw new OutOfMemoryError("thrown by the test");
        });
  }

  private static void reply(long value) {
    System.out.println(REPLY_PREFIX + value);
  }
}
