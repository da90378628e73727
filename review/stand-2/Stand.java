import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the scripts of this review share: the record, free ports, and dispatchers as processes. */
final class Stand {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Whether the disruption of the case is played; TROUBLE=0 leaves it out. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long STARTED = System.nanoTime();
  private static final List<Process> PROCESSES = new ArrayList<>();
  private static PrintWriter record;

  private Stand() {}

  /** One run of a case; returns one of the exit codes above. */
  interface Case {
    int play() throws Exception;
  }

  /** Plays a case with a record in its folder, ends all processes, and exits with its code. */
  static void run(String folder, Case play) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(Stand::endProcesses));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(115_000);
              note("the case took too long");
              endProcesses();
              Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int code;
    try {
      note("trouble=" + (TROUBLE ? 1 : 0));
      code = play.play();
    } catch (Exception | Error e) {
      note("the case could not run: " + e);
      for (StackTraceElement element : e.getStackTrace()) {
        note("  at " + element);
      }
      code = COULD_NOT_RUN;
    }
    String verdict = code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run";
    note("verdict: " + verdict);
    System.out.println(folder + ": " + verdict);
    endProcesses();
    System.exit(code);
  }

  /** Milliseconds since the start of the script, by the monotonic clock. */
  static long ms() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - STARTED);
  }

  /** Writes a line to the record. */
  static synchronized void note(String text) {
    record.println(String.format(Locale.ROOT, "%7d ms  %s", ms(), text));
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A port that is free now, below those that the system gives to outgoing connections. */
  static InetSocketAddress freeAddress(String host) throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        return new InetSocketAddress(host, probe.getLocalPort());
      } catch (IOException e) {
        continue;
      }
    }
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The root of the repository, which run.sh makes the working directory. */
  static Path root() {
    return Path.of("").toAbsolutePath();
  }

  /** A command of the deploy file. */
  static String deployCommand(String name) throws IOException {
    String text = Files.readString(root().resolve("deploy/balancer.toml"));
    Matcher matcher =
        Pattern.compile("^" + name + " = \"(.*)\"$", Pattern.MULTILINE).matcher(text);
    if (!matcher.find()) {
      throw new IOException("the deploy file has no " + name);
    }
    return matcher.group(1);
  }

  /** A request id that no other request has. */
  static String newCall() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  static void remember(Process process) {
    synchronized (PROCESSES) {
      PROCESSES.add(process);
    }
  }

  static void endProcesses() {
    synchronized (PROCESSES) {
      for (Process process : PROCESSES) {
        process.destroyForcibly();
      }
    }
  }

  /** A dispatcher, started by the command of the deploy file. */
  static final class Dispatcher {
    final String name;
    final Path folder;
    final Path config;
    private final String options;
    private final List<String> log = new ArrayList<>();
    private Process process;

    /**
     * @param settings the text of an own settings file, or null
     */
    Dispatcher(String name, String configuration, String settings) throws IOException {
      this.name = name;
      folder = Files.createTempDirectory("review2-" + name);
      folder.toFile().deleteOnExit();
      config = folder.resolve("config.json");
      writeConfig(configuration);
      String file = "";
      if (settings != null) {
        Path own = Files.writeString(folder.resolve("cobaltseam.toml"), settings);
        own.toFile().deleteOnExit();
        file = " --config " + own;
      }
      options = file;
    }

    void writeConfig(String configuration) throws IOException {
      Files.writeString(config, configuration);
      config.toFile().deleteOnExit();
    }

    /** Replaces the own settings file. */
    void writeSettings(String settings) throws IOException {
      Files.writeString(folder.resolve("cobaltseam.toml"), settings);
    }

    void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + options)
              .directory(root().toFile())
              .redirectErrorStream(true);
      builder.environment().put("GW_CONFIG", config.toString());
      builder.environment().remove("GW_NAME");
      builder.environment().remove("GW_LISTEN");
      builder.environment().remove("COBALTSEAM_CONFIG");
      process = builder.start();
      remember(process);
      Process started = process;
      note(name + " is started, process " + process.pid());
      daemon(
          () -> {
            try (BufferedReader reader =
                new BufferedReader(
                    new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
              for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                note(name + " logs: " + line);
                synchronized (log) {
                  log.add(line);
                  log.notifyAll();
                }
              }
            } catch (IOException e) {
              note(name + " logs nothing more");
            }
          });
    }

    /** Waits until a line of the log holds a text; returns whether one did. */
    boolean awaitLog(String text, long timeoutMs) throws InterruptedException {
      long end = ms() + timeoutMs;
      synchronized (log) {
        while (log.stream().noneMatch(line -> line.contains(text))) {
          long left = end - ms();
          if (left <= 0 || !process.isAlive()) {
            return false;
          }
          log.wait(Math.min(left, 100));
        }
        return true;
      }
    }

    void startAndServe() throws IOException, InterruptedException {
      start();
      if (!awaitLog("serves on", 30_000)) {
        throw new IOException(name + " does not serve");
      }
    }

    long pid() {
      return process.pid();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    boolean awaitExit(long timeoutMs) throws InterruptedException {
      return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
      note(name + " gets SIG" + signal);
      new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
          .start()
          .waitFor();
    }

    void kill() throws InterruptedException {
      note(name + " is killed");
      process.destroyForcibly().waitFor();
    }

    /** Forgets the log so far. */
    void clearLog() {
      synchronized (log) {
        log.clear();
      }
    }
  }
}
