package cobaltseam.standin;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of a process fail, and steps the wall clock that it reads. Works by a small
 * library ({@code src/test/c/system_call_faults.c}) that is compiled here and preloaded into the
 * process.
 */
public final class SystemCallFaults {
  /** A kind of system call; declared in the order of the library. */
  public enum Call {
    ACCEPT,
    SOCKET,
    CONNECT,
    /** The asynchronous outcome of a connect, as read by SO_ERROR. */
    CONNECT_RESULT,
    /** A wait for input or output: epoll_wait and poll. */
    WAIT,
    /** A read from a socket. */
    READ,
    /** A write to a socket. */
    WRITE,
    SEND_DATAGRAM,
    /** The opening of a file in the folder for writing. */
    FILE_OPEN,
    FILE_WRITE,
    FILE_SYNC,
    FILE_RENAME,
    /** The opening for reading, or a read, of a file in the folder. */
    FILE_READ
  }

  /** What a system call does instead of succeeding; the values are those of Linux. */
  public enum Failure {
    /** Transfers one byte only. */
    ONE_BYTE(-1),
    EPERM(1),
    EINTR(4),
    EIO(5),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPIPE(32),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ETIMEDOUT(110),
    EHOSTUNREACH(113);

    private final int errno;

    Failure(int errno) {
      this.errno = errno;
    }
  }

  private static final Path SOURCE = Path.of("src/test/c/system_call_faults.c");
  private static final String COMPILER = "cc";
  private static final int COMPILE_TIMEOUT_S = 60;
  private static final int CLOCK_OFFSET_SLOT = 0;
  private static final int SLOTS = 1 + 2 * Call.values().length;

  private final Path library;
  private final Path log;
  private final Path control;
  private final LongBuffer slots;
  private final Map<String, String> environment = new HashMap<>();

  /**
   * Compiles the library, without faults at first.
   *
   * @param workFolder a folder for the library, its control file and its log
   * @param dataFolder the folder whose files may fail, or null for none
   * @throws IOException if the library can't be compiled
   */
  public SystemCallFaults(Path workFolder, Path dataFolder, long seed)
      throws IOException, InterruptedException {
    library = workFolder.resolve("system_call_faults.so");
    log = workFolder.resolve("system_call_faults.log");
    control = workFolder.resolve("system_call_faults.control");
    compile();
    Files.write(control, new byte[SLOTS * Long.BYTES]);
    try (FileChannel channel =
        FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      slots =
          channel
              .map(MapMode.READ_WRITE, 0, (long) SLOTS * Long.BYTES)
              .order(ByteOrder.nativeOrder())
              .asLongBuffer();
    }
    environment.put("LD_PRELOAD", library.toString());
    environment.put("CALL_FAULTS_CONTROL", control.toString());
    environment.put("CALL_FAULTS_LOG", log.toString());
    environment.put("CALL_FAULTS_SEED", Long.toString(seed));
    if (dataFolder != null) {
      environment.put("CALL_FAULTS_FOLDER", dataFolder.toString());
    }
  }

  /** Returns whether the compiler that this class needs is installed. */
  public static boolean isCompilerInstalled() {
    try {
      return new ProcessBuilder(COMPILER, "--version")
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start()
              .waitFor()
          == 0;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void compile() throws IOException, InterruptedException {
    List<String> command =
        List.of(
            COMPILER,
            "-std=gnu17",
            "-O2",
            "-Wall",
            "-Wextra",
            "-Werror",
            "-shared",
            "-fPIC",
            "-o",
            library.toString(),
            SOURCE.toString(),
            "-ldl");
    Process compiler = new ProcessBuilder(command).inheritIO().start();
    if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("the library of system call faults could not be compiled");
    }
  }

  /** Returns the environment variables of the processes that get the faults. */
  public Map<String, String> environment() {
    return environment;
  }

  /**
   * Lets calls fail from now on.
   *
   * @param oneIn 1 lets every call fail, N about one in N
   */
  public void inject(Call call, Failure failure, int oneIn) {
    slots.put(2 + 2 * call.ordinal(), failure.errno);
    slots.put(1 + 2 * call.ordinal(), oneIn);
  }

  /** Lets all calls succeed again; the clock keeps its offset. */
  public void clear() {
    for (Call call : Call.values()) {
      slots.put(1 + 2 * call.ordinal(), 0);
    }
  }

  /** Sets how far the wall clock is ahead of the machine's; negative if it is behind. */
  public void setClockOffset(long amount, TimeUnit unit) {
    slots.put(CLOCK_OFFSET_SLOT, unit.toNanos(amount));
  }

  /** Returns a line for each fault so far: monotonic time in seconds, call, descriptor, errno. */
  public List<String> injected() throws IOException {
    return Files.exists(log) ? Files.readAllLines(log) : List.of();
  }
}
