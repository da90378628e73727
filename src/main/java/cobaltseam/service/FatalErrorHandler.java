package cobaltseam.service;

import java.util.function.IntConsumer;

/**
 * Ends the process when an {@link Error}, such as an {@link OutOfMemoryError}, has ended one of its
 * threads. Without the I/O thread, for instance, the process would stay up and answer nobody, and
 * would not be restarted. Other exceptions end only their thread, as by default.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
  static final int EXIT_CODE = 1;

  private final Counters counters;
  private final IntConsumer exit;

  /**
   * @param exit ends the process with an exit code
   */
  FatalErrorHandler(Counters counters, IntConsumer exit) {
    this.counters = counters;
    this.exit = exit;
  }

  /** Installs a handler for all threads of this process. */
  static void install(Counters counters) {
    // Not by System.exit, whose shutdown would wait for answers that can no longer be sent.
    Thread.setDefaultUncaughtExceptionHandler(
        new FatalErrorHandler(counters, Runtime.getRuntime()::halt));
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    boolean isFatal = failure instanceof Error;
    try {
      System.err.println("Exception in thread \"" + thread.getName() + "\" " + failure);
      failure.printStackTrace();
      if (isFatal) {
        System.err.println("the process ends, since it can't serve without this thread");
        System.err.println(counters);
      }
    } finally {
      // Also if there is no memory for the lines above.
      if (isFatal) {
        exit.accept(EXIT_CODE);
      }
    }
  }
}
