package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what happens when an exception or an error ends a thread of the process. */
class FatalErrorHandlerTest {
  @TempDir Path folder;

  private static List<Integer> exitCodesAfter(Throwable failure) {
    List<Integer> exitCodes = new ArrayList<>();
    new FatalErrorHandler(new Counters(), exitCodes::add)
        .uncaughtException(Thread.currentThread(), failure);
    return exitCodes;
  }

  /** Guards against a process that stays up and answers nobody once its I/O thread has ended. */
  @Test
  void errorInTheIoThreadEndsTheProcess() throws Exception {
    String configuration =
        ServiceFixtures.configurationJson(
            "127.0.0.1:9",
            ServiceFixtures.SOCKETS,
            ServiceFixtures.IDLE_MS,
            ServiceFixtures.endpointJson(1, "127.0.0.1:9", "in_service"));
    try (BlockableServiceProcess process = new BlockableServiceProcess(folder, configuration)) {
      assertEquals(FatalErrorHandler.EXIT_CODE, process.exitCodeAfterErrorInIoThread());
    }
  }

  @Test
  void onlyErrorsEndTheProcess() {
    assertEquals(List.of(FatalErrorHandler.EXIT_CODE), exitCodesAfter(new OutOfMemoryError()));
    assertEquals(List.of(), exitCodesAfter(new IllegalStateException()));
  }
}
