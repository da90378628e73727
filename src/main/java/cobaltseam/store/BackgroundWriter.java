package cobaltseam.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Writes values to a file on a thread of its own, so that a slow disk does not block the submitting
 * thread. Each value contains everything that the earlier ones contain, so only the newest value is
 * written: a value that is submitted during a write replaces any value that is pending.
 */
public final class BackgroundWriter implements AutoCloseable {
  private record PendingWrite(long number, Supplier<byte[]> value) {}

  /** Receives the failures to write a value or to close the file. */
  public interface FailureListener {
    /**
     * Handles a failure.
     *
     * @param reason the message of the error
     */
    void onFailure(String reason);
  }

  private final AtomicFile file;
  private final LongConsumer onWritten;
  private final FailureListener failureListener;
  private final AtomicReference<PendingWrite> pending = new AtomicReference<>();
  private final ExecutorService executor;

  /**
   * Creates a writer. Both listeners are called on the writer's thread, but failures to close the
   * file are reported on the thread that calls {@link #close}.
   *
   * @param file the file to write; it is closed with this writer
   * @param onWritten receives the number of a value once the value is on disk
   * @param failureListener receives the failures
   */
  public BackgroundWriter(
      AtomicFile file, LongConsumer onWritten, FailureListener failureListener) {
    this.file = file;
    this.onWritten = onWritten;
    this.failureListener = failureListener;
    // One task runs and one waits. A third is discarded, since the waiting task writes its value.
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
   * Submits a value to be written.
   *
   * @param number the number of the value, which must be higher than that of any earlier value
   * @param value supplies the bytes to write, on the writer's thread
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

  /**
   * Waits up to a second for the writes to finish and closes the file; a pending write may be lost.
   */
  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
      file.close();
    } catch (java.io.IOException e) {
      // The operating system releases the lock at the latest when the process ends.
      failureListener.onFailure("can't close the file: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
