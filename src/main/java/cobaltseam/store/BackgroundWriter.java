package cobaltseam.store;

import cobaltseam.store.AtomicFile.LockLostException;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes values to a file on a thread of its own, so that a slow disk does not block the submitting
 * thread. Each value contains everything that the earlier ones contain, so only the newest value is
 * written: a value that is submitted during a write replaces any value that is pending. A write
 * that fails is repeated until it succeeds or a newer value replaces it.
 */
public final class BackgroundWriter implements AutoCloseable {
  /** How long writes may fail before {@link Listener#onOutage} is called. */
  public static final Duration OUTAGE = Duration.ofSeconds(30);

  private static final long FIRST_RETRY_DELAY_MS = 20;

  /** Below the time that {@link #close} waits, so that a pending value is tried once more. */
  private static final long MAX_RETRY_DELAY_MS = 500;

  private static final long CLOSE_TIMEOUT_MS = 1000;

  private record PendingWrite(long number, Supplier<byte[]> value) {}

  /** Receives the outcomes of writes, on the writer's thread. */
  public interface Listener {
    /**
     * Called when a value, and so everything in the earlier ones, is on disk.
     *
     * @param number the number of the value
     */
    void onWritten(long number);

    /**
     * Called when a write has failed, which is repeated.
     *
     * @param reason the message of the error
     * @param isFirst whether the write before it succeeded
     */
    void onFailure(String reason, boolean isFirst);

    /**
     * Called once when writes have failed for {@link #OUTAGE}, or can't succeed any more.
     *
     * @param reason the message of the last error
     */
    void onOutage(String reason);
  }

  private final AtomicFile file;
  private final Listener listener;
  private final LongSupplier nanoTime;
  private final AtomicReference<PendingWrite> pending = new AtomicReference<>();
  private final ScheduledExecutorService executor;

  // Used on the writer's thread only.
  private boolean isFailing;
  private boolean isOutageReported;
  private long failingSinceNs;
  private long retryDelayMs;

  /**
   * Creates a writer.
   *
   * @param file the file to write; it is closed with this writer
   */
  public BackgroundWriter(AtomicFile file, Listener listener) {
    this(file, listener, System::nanoTime);
  }

  /**
   * Creates a writer that measures the duration of an outage with the given clock.
   *
   * @param nanoTime a monotonic clock, in nanoseconds
   */
  BackgroundWriter(AtomicFile file, Listener listener, LongSupplier nanoTime) {
    this.file = file;
    this.listener = listener;
    this.nanoTime = nanoTime;
    executor =
        new ScheduledThreadPoolExecutor(
            1,
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
    boolean isTaskScheduled = pending.getAndSet(new PendingWrite(number, value)) != null;
    if (!isTaskScheduled) {
      executor.execute(this::runWrite);
    }
  }

  /** Writes the pending value. The executor would keep an error to itself. */
  private void runWrite() {
    try {
      write();
    } catch (Error e) {
      Thread thread = Thread.currentThread();
      thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
    }
  }

  private void write() {
    PendingWrite write = pending.getAndSet(null);
    try {
      file.write(write.value.get());
      isFailing = false;
      isOutageReported = false;
      listener.onWritten(write.number);
    } catch (LockLostException e) {
      reportOutage(e.getMessage());
    } catch (IOException | RuntimeException e) {
      onFailure(String.valueOf(e.getMessage()));
      retry(write);
    }
  }

  private void onFailure(String reason) {
    boolean isFirst = !isFailing;
    if (isFirst) {
      isFailing = true;
      failingSinceNs = nanoTime.getAsLong();
      retryDelayMs = FIRST_RETRY_DELAY_MS;
    }
    listener.onFailure(reason, isFirst);
    if (nanoTime.getAsLong() - failingSinceNs >= OUTAGE.toNanos()) {
      reportOutage(reason);
    }
  }

  private void reportOutage(String reason) {
    if (!isOutageReported) {
      isOutageReported = true;
      listener.onOutage(reason);
    }
  }

  /** Schedules another attempt, unless a newer value, which has a task of its own, is pending. */
  private void retry(PendingWrite write) {
    if (pending.compareAndSet(null, write)) {
      executor.schedule(this::runWrite, retryDelayMs, TimeUnit.MILLISECONDS);
      retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /**
   * Waits up to a second for the writes to finish and closes the file; a pending write may be lost.
   *
   * @throws IOException if the file can't be closed; the operating system releases its lock at the
   *     latest when the process ends
   */
  @Override
  public void close() throws IOException {
    executor.shutdown();
    try {
      executor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      file.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
