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
    void onFailure(String reason);
  }

  private final AtomicFile file;
  private final LongConsumer onWritten;
  private final FailureListener failureListener;
  private final AtomicReference<PendingWrite> pending = new AtomicReference<>();
  private final ExecutorService executor;

  /**
   * Both are called on the writer's thread: with the number of what was written, or with why it
   * could not be.
   */
  public BackgroundWriter(
      AtomicFile file, LongConsumer onWritten, FailureListener failureListener) {
    this.file = file;
    this.onWritten = onWritten;
    this.failureListener = failureListener;
    // One runs and one waits: a third would find what the second is to write.
    executor =
        new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1),
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            },
            new ThreadPoolExecutor.DiscardPolicy());
  }

  /** The value is asked for on the writer's thread. */
  public void give(long number, Supplier<byte[]> value) {
    pending.set(new PendingWrite(number, value));
    executor.execute(this::write);
  }

  private void write() {
    PendingWrite write = pending.getAndSet(null);
    if (write == null) {
      return;
    }
    try {
      file.write(write.value.get());
      onWritten.accept(write.number);
    } catch (java.io.IOException | RuntimeException e) {
      failureListener.onFailure(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Returns once what is being written is written, within a second; what waits is dropped with the
   * process.
   */
  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
      file.close();
    } catch (java.io.IOException e) {
      // The lock ends with the process all the same.
      failureListener.onFailure("closing: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
