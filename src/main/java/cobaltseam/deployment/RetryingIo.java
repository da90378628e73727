package cobaltseam.deployment;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Repeats input and output that fails for a moment, for instance because the machine has no
 * descriptor or buffer left, or a disk reports an error. Blocks the calling thread meanwhile.
 */
public final class RetryingIo {
  /** Input or output that may be repeated. */
  @FunctionalInterface
  public interface Action<T> {
    /** Runs the action once. */
    T run() throws IOException;
  }

  /** How long an action is repeated at most, in nanoseconds. */
  private static final long MAX_DURATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long PAUSE_MS = 20;

  private RetryingIo() {}

  /**
   * Runs an action until it succeeds, at most for {@link #MAX_DURATION_NANOS}.
   *
   * @throws IOException the last failure, or the first one that no repetition can mend: a file that
   *     does not exist or must not be read, or an address that is in use
   */
  public static <T> T run(Action<T> action) throws IOException {
    long startedAt = System.nanoTime();
    while (true) {
      try {
        return action.run();
      } catch (IOException e) {
        if (isLasting(e) || System.nanoTime() - startedAt > MAX_DURATION_NANOS || !pause()) {
          throw e;
        }
      }
    }
  }

  /** Reads a file completely, as {@link #run}. */
  public static byte[] readFile(Path file) throws IOException {
    return run(() -> Files.readAllBytes(file));
  }

  private static boolean isLasting(IOException failure) {
    return failure instanceof NoSuchFileException
        || failure instanceof FileNotFoundException
        || failure instanceof AccessDeniedException
        || failure instanceof BindException;
  }

  /** Waits before the next attempt; returns false if the thread was interrupted. */
  private static boolean pause() {
    try {
      Thread.sleep(PAUSE_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
