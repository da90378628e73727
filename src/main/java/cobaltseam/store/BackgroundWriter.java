package cobaltseam.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Writes values to a file on a thread of its own, so that a slow disk blocks nobody. Each value
 * contains everything of the ones before it, so only the newest value is written: a value that is
 * submitted during a write replaces the one that waits.
 */
public final class BackgroundWriter implements AutoCloseable {
  private record PendingWrite(long number, Supplier<byte[]> value) {}

  /** Is called when a value can't be written. */
  public interface FailureListener {
    /**
     * @param reason in words
     */
    void onFailure(String reason);
  }

  private final AtomicFile file;
  private final LongConsumer onWritten;
  private final FailureListener failureListener;
  private final AtomicReference<PendingWrite> pending = new AtomicReference<>();
  private final ExecutorService executor;

  /**
   * Both listeners are called on the writer's thread.
   *
   * @param file is closed with this writer
   * @param onWritten is called with the number of a value once it is on disk
   */
  public BackgroundWriter(
      AtomicFile file, LongConsumer onWritten, FailureListener failureListener) {
    this.file = file;
    this.onWritten = onWritten;
    this.failureListener = failureListener;
    // One task runs and one waits; a third would find the value already written by the second.
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

  /**
   * Submits a value.
   *
   * @param number must rise with each value
   * @param value is called on the writer's thread
   */
  public void submit(long number, Supplier<byte[]> value) {
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

  /** Waits up to a second for the write that is running; a waiting one may be lost. */
  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
      file.close();
    } catch (java.io.IOException e) {
      // The lock is released with the process in any case.
      failureListener.onFailure("closing: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
