package cobaltseam.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Writes the newest of the values given to it on a thread of its own, so that a slow disk holds up
 * nobody. What is given while one is being written replaces what waits: each holds all that those
 * before it did.
 */
public final class BackgroundWriter implements AutoCloseable {
  private record PendingWrite(long number, Supplier<byte[]> value) {}

  /** What can't be written, in words. */
  public interface FailureListener {
    void failed(String why);
  }

  private final AtomicFile file;
  private final LongConsumer written;
  private final FailureListener failed;
  private final AtomicReference<PendingWrite> newest = new AtomicReference<>();
  private final ExecutorService thread;

  /**
   * Both are called on the writer's thread: with the number of what was written, or with why it
   * could not be.
   */
  public BackgroundWriter(AtomicFile file, LongConsumer written, FailureListener failed) {
    this.file = file;
    this.written = written;
    this.failed = failed;
    // One runs and one waits: a third would find what the second is to write.
    thread =
        new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1),
            r -> {
              Thread t = new Thread(r, "store");
              t.setDaemon(true);
              return t;
            },
            new ThreadPoolExecutor.DiscardPolicy());
  }

  /** The value is asked for on the writer's thread. */
  public void give(long number, Supplier<byte[]> value) {
    newest.set(new PendingWrite(number, value));
    thread.execute(this::write);
  }

  private void write() {
    PendingWrite given = newest.getAndSet(null);
    if (given == null) {
      return;
    }
    try {
      file.write(given.value.get());
      written.accept(given.number);
    } catch (java.io.IOException | RuntimeException e) {
      failed.failed(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Returns once what is being written is written, within a second; what waits is dropped with the
   * process.
   */
  @Override
  public void close() {
    thread.shutdown();
    try {
      thread.awaitTermination(1, TimeUnit.SECONDS);
      file.close();
    } catch (java.io.IOException e) {
      // The lock ends with the process all the same.
      failed.failed("closing: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
