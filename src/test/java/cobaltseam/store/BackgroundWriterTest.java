package cobaltseam.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

/** Writes that fail: a link to /dev/full in place of the temporary file gives ENOSPC. */
@EnabledOnOs(OS.LINUX)
class BackgroundWriterTest {
  private static final String FILE_NAME = "value";
  private static final long TIMEOUT_S = 60;

  @TempDir Path folder;

  private final AtomicLong nanoTime = new AtomicLong();
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

  private final BackgroundWriter.Listener listener =
      new BackgroundWriter.Listener() {
        @Override
        public void onWritten(long number) {
          outcomes.add("written " + number);
        }

        @Override
        public void onFailure(String reason, boolean isFirst) {
          outcomes.add(isFirst ? "first failure" : "failure");
        }

        @Override
        public void onOutage(String reason) {
          outcomes.add("outage");
        }
      };

  private void fillFolder() throws IOException {
    Files.createSymbolicLink(folder.resolve(FILE_NAME + ".new"), Path.of("/dev/full"));
  }

  private void freeFolder() throws IOException {
    Files.delete(folder.resolve(FILE_NAME + ".new"));
  }

  private AtomicFile openFile() throws IOException {
    return AtomicFile.open(folder, FILE_NAME, 1);
  }

  private String nextOutcome() throws InterruptedException {
    String outcome = outcomes.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(outcome, "no outcome of a write");
    return outcome;
  }

  private void awaitOutcome(String expected) throws InterruptedException {
    String outcome;
    do {
      outcome = nextOutcome();
      assertTrue(
          outcome.equals(expected) || outcome.equals("failure"),
          outcome + " instead of " + expected);
    } while (!outcome.equals(expected));
  }

  /** Guards against a state that is never stored because of one failed write. */
  @Test
  void failedWriteIsRepeatedUntilItSucceeds() throws Exception {
    AtomicFile file = openFile();
    try (BackgroundWriter writer = new BackgroundWriter(file, listener, nanoTime::get)) {
      fillFolder();
      writer.submit(1, () -> new byte[] {1});
      assertEquals("first failure", nextOutcome());
      assertEquals("failure", nextOutcome());
      freeFolder();
      awaitOutcome("written 1");
      assertArrayEquals(new byte[] {1}, file.read().value());
    }
  }

  @Test
  void newerValueReplacesTheOneThatCouldNotBeWritten() throws Exception {
    AtomicFile file = openFile();
    try (BackgroundWriter writer = new BackgroundWriter(file, listener, nanoTime::get)) {
      fillFolder();
      writer.submit(1, () -> new byte[] {1});
      assertEquals("first failure", nextOutcome());
      writer.submit(2, () -> new byte[] {2});
      freeFolder();
      String outcome = nextOutcome();
      while (!outcome.equals("written 2")) {
        assertTrue(outcome.equals("failure") || outcome.equals("written 1"), outcome);
        outcome = nextOutcome();
      }
      assertArrayEquals(new byte[] {2}, file.read().value());
    }
  }

  @Test
  void outageIsReportedOnceAndWritesAreRepeatedAfterIt() throws Exception {
    try (BackgroundWriter writer = new BackgroundWriter(openFile(), listener, nanoTime::get)) {
      fillFolder();
      writer.submit(1, () -> new byte[] {1});
      assertEquals("first failure", nextOutcome());
      nanoTime.addAndGet(BackgroundWriter.OUTAGE.toNanos());
      awaitOutcome("outage");
      assertEquals("failure", nextOutcome());
      freeFolder();
      awaitOutcome("written 1");
    }
  }

  /** Guards against two processes that write to one folder. */
  @Test
  void folderThatWasReplacedIsNotWritten() throws Exception {
    try (BackgroundWriter writer = new BackgroundWriter(openFile(), listener, nanoTime::get)) {
      Path replaced = folder.resolve("replaced");
      Files.move(folder.resolve("lock"), replaced);
      AtomicFile other = openFile();
      writer.submit(1, () -> new byte[] {1});
      assertEquals("outage", nextOutcome());
      assertEquals(AtomicFile.ReadStatus.ABSENT, other.read().status());
      other.close();
    }
  }

  /** Guards against an error of the virtual machine that ends storing without a sign. */
  @Test
  void errorReachesTheUncaughtExceptionHandler() throws Exception {
    Thread.UncaughtExceptionHandler former = Thread.getDefaultUncaughtExceptionHandler();
    Thread.setDefaultUncaughtExceptionHandler((thread, error) -> outcomes.add(error.getMessage()));
    try (BackgroundWriter writer = new BackgroundWriter(openFile(), listener, nanoTime::get)) {
      writer.submit(
          1,
          () -> {
            throw new OutOfMemoryError("heap");
          });
      assertEquals("heap", nextOutcome());
    } finally {
      Thread.setDefaultUncaughtExceptionHandler(former);
    }
  }
}
