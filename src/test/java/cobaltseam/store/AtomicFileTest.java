package cobaltseam.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.store.AtomicFile.ReadStatus;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The file has the old or the new value, however the process ends, and changed bytes are detected.
 */
class AtomicFileTest {
  private static final byte[] OLD = {1, 2, 3};

  @TempDir Path folder;

  @Test
  void changedBytesAndWrongLengthsAreDetected() throws IOException {
    try (AtomicFile file = AtomicFile.open(folder, "value", 1)) {
      assertEquals(ReadStatus.ABSENT, file.read().status());
      file.write(OLD);
      assertArrayEquals(OLD, file.read().value());
    }
    byte[] bytes = Files.readAllBytes(folder.resolve("value"));
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 0x10;
      assertEquals(ReadStatus.CORRUPT, AtomicFile.decode(changed, 1).status(), "byte " + i);
      assertEquals(
          ReadStatus.CORRUPT,
          AtomicFile.decode(Arrays.copyOf(bytes, i), 1).status(),
          "cut to " + i);
    }
    assertEquals(
        ReadStatus.CORRUPT, AtomicFile.decode(Arrays.copyOf(bytes, bytes.length + 1), 1).status());
  }

  @Test
  void corruptFileIsMovedAsideAndUnfinishedWriteIsDeleted() throws IOException {
    Files.write(folder.resolve("value"), new byte[] {9});
    Files.write(folder.resolve("value.new"), new byte[] {8});
    try (AtomicFile file = AtomicFile.open(folder, "value", 1)) {
      assertEquals(ReadStatus.CORRUPT, file.read().status());
      assertEquals(ReadStatus.ABSENT, file.read().status());
      assertArrayEquals(new byte[] {9}, Files.readAllBytes(folder.resolve("value.broken")));
      assertTrue(Files.notExists(folder.resolve("value.new")));
    }
  }

  @Test
  void fileWithNewerFormatStaysInPlace() throws IOException {
    try (AtomicFile file = AtomicFile.open(folder, "value", 2)) {
      file.write(OLD);
    }
    try (AtomicFile file = AtomicFile.open(folder, "value", 1)) {
      assertEquals(ReadStatus.NEWER_FORMAT, file.read().status());
      assertNull(file.read().value());
    }
    try (AtomicFile file = AtomicFile.open(folder, "value", 2)) {
      assertArrayEquals(OLD, file.read().value());
    }
  }

  @Test
  void onlyOneProcessLocksTheFolder() throws IOException {
    AtomicFile first = AtomicFile.open(folder, "value", 1);
    assertThrows(IOException.class, () -> AtomicFile.open(folder, "value", 1));
    first.close();
    AtomicFile.open(folder, "value", 1).close();
  }

  /** Guards against two processes that write to one folder. */
  @Test
  void folderThatWasReplacedIsNotWritten() throws IOException {
    try (AtomicFile file = AtomicFile.open(folder, "value", 1)) {
      Files.move(folder.resolve("lock"), folder.resolve("former-lock"));
      assertThrows(AtomicFile.LockLostException.class, () -> file.write(new byte[1]));
      try (AtomicFile other = AtomicFile.open(folder, "value", 1)) {
        assertThrows(AtomicFile.LockLostException.class, () -> file.write(new byte[1]));
        other.write(new byte[2]);
      }
    }
  }

  @Test
  void writerReportsWrittenValuesAndFailures() throws Exception {
    AtomicLong newest = new AtomicLong();
    CountDownLatch last = new CountDownLatch(1);
    CountDownLatch failed = new CountDownLatch(1);
    AtomicFile file = AtomicFile.open(folder, "value", 1);
    try (BackgroundWriter writer =
        new BackgroundWriter(
            file,
            new BackgroundWriter.Listener() {
              @Override
              public void onWritten(long number) {
                assertTrue(number > newest.getAndSet(number), "the numbers must rise");
                if (number == 500) {
                  last.countDown();
                }
              }

              @Override
              public void onFailure(String reason, boolean isFirst) {
                failed.countDown();
              }

              @Override
              public void onOutage(String reason) {}
            })) {
      for (long n = 1; n <= 500; n++) {
        long number = n;
        writer.submit(n, () -> ByteBuffer.allocate(8).putLong(number).array());
      }
      assertTrue(last.await(60, TimeUnit.SECONDS));
      assertEquals(500, ByteBuffer.wrap(file.read().value()).getLong());
      writer.submit(501, () -> new byte[AtomicFile.MAX_VALUE_BYTES + 1]);
      assertTrue(failed.await(60, TimeUnit.SECONDS));
    }
  }

  /** Writes rising numbers until it is killed, and prints each number once it is on disk. */
  public static final class WriterProcess {
    public static void main(String[] args) throws IOException {
      try (AtomicFile file = AtomicFile.open(Path.of(args[0]), "value", 1)) {
        AtomicFile.ReadResult initial = file.read();
        System.out.println(initial.status());
        long number = initial.value() == null ? 0 : ByteBuffer.wrap(initial.value()).getLong();
        while (true) {
          byte[] value = new byte[8 + (int) (number % 5000)];
          ByteBuffer.wrap(value).putLong(++number);
          Arrays.fill(value, 8, value.length, (byte) number);
          file.write(value);
          System.out.println(number);
        }
      }
    }
  }

  /**
   * Kills a writing process this many times, each time after a random number of writes. After each
   * kill, the file must have the last acknowledged number or the one after it.
   *
   * @return the last number that is stored
   */
  static long killWriters(Path folder, int times, long seed)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    long acknowledged = 0;
    for (int kill = 0; kill < times; kill++) {
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-Xshare:auto",
                  "-cp",
                  System.getProperty("java.class.path"),
                  WriterProcess.class.getName(),
                  folder.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      try (BufferedReader out =
          new BufferedReader(new InputStreamReader(process.getInputStream()))) {
        ReadStatus expected = kill == 0 ? ReadStatus.ABSENT : ReadStatus.VALUE;
        assertEquals(expected.name(), out.readLine(), "kill " + kill);
        for (int lines = 1 + random.nextInt(40); lines > 0; lines--) {
          acknowledged = Long.parseLong(out.readLine());
        }
        process.toHandle().destroyForcibly();
        for (String line = out.readLine(); line != null && !line.isEmpty(); line = out.readLine()) {
          // The kill may truncate a line, whose number is then lower.
          acknowledged = Math.max(acknowledged, Long.parseLong(line));
        }
      }
      process.waitFor();
      try (AtomicFile file = AtomicFile.open(folder, "value", 1)) {
        AtomicFile.ReadResult result = file.read();
        assertEquals(ReadStatus.VALUE, result.status(), "kill " + kill);
        long stored = ByteBuffer.wrap(result.value()).getLong();
        assertTrue(
            stored == acknowledged || stored == acknowledged + 1,
            "stored " + stored + ", acknowledged " + acknowledged);
        acknowledged = stored;
      }
    }
    return acknowledged;
  }

  @Test
  void processKilledDuringWriteLeavesOldOrNewValue() throws Exception {
    assertTrue(killWriters(folder, 8, 1) > 0);
  }

  /**
   * Runs the number of kills in the first argument, for the figure in docs/measures-membership.md.
   */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("kills");
    System.out.println(
        args[0] + " kills, last number " + killWriters(folder, Integer.parseInt(args[0]), 1));
  }
}
