package cobaltseam.service;

import java.util.concurrent.CountDownLatch;

/** Holds back the threads of a service, so that a test can force the order of events. */
final class ServiceThreads {
  /** Input that is read in one round may cause writes whose answers are read in the next ones. */
  private static final int READ_ROUNDS = 3;

  private ServiceThreads() {}

  /** Waits until all data that peers wrote before this call is read and posted. */
  static void awaitRead(DispatcherService service) throws InterruptedException {
    for (int round = 0; round < READ_ROUNDS; round++) {
      CountDownLatch read = new CountDownLatch(1);
      service.processor.runAfterReading(read::countDown);
      read.await();
    }
  }

  /** Blocks the event-loop thread; returns the latch that unblocks it when counted down. */
  static CountDownLatch blockEventLoop(DispatcherService service) throws InterruptedException {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    service.inbox.post(
        null,
        () -> {
          blocked.countDown();
          awaitQuietly(release);
        });
    blocked.await();
    return release;
  }

  /** Waits for a latch; ends early if the thread is interrupted. */
  static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
