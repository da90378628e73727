package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests the event loop while tasks are posted faster than it runs them. */
class EventLoopTest extends ServiceRig {
  private static final long TASK_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
  private static final int DEADLINE_MS = 500;
  private static final int WORK_MS = 100;

  /** Up to half a second after its deadline an answer is late, but the request is not lost. */
  private static final int MAX_DELAY_MS = 500;

  /** Posts a task that keeps the event loop busy for a while and posts itself again. */
  private void keepBusy(AtomicBoolean isStopped) {
    service.inbox.post(
        null,
        () -> {
          long start = System.nanoTime();
          while (System.nanoTime() - start < TASK_NANOS) {
            Thread.onSpinWait();
          }
          if (!isStopped.get()) {
            keepBusy(isStopped);
          }
        });
  }

  /** Guards against timers that wait until no more input arrives, so that answers are late. */
  @Test
  void endlessInputDoesNotDelayTimers() throws Exception {
    EmulatedPeer engine = new EmulatedPeer(true);
    start(engine);
    AtomicBoolean isStopped = new AtomicBoolean();
    try (StatementClient client = new StatementClient(service.address(), TIMEOUT_S * 1000)) {
      keepBusy(isStopped);
      long sentAt = System.nanoTime();
      client.send("0000000000000001", "once", DEADLINE_MS, WORK_MS);
      assertEquals(Outcome.FAILED, client.awaitOutcome());
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
      assertTrue(elapsedMs <= DEADLINE_MS + MAX_DELAY_MS, "answered after " + elapsedMs + " ms");
    } finally {
      isStopped.set(true);
    }
  }
}
