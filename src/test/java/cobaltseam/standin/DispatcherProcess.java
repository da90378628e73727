package cobaltseam.standin;

import cobaltseam.Main;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A dispatcher that runs in a process of its own. Tests start, suspend, kill, terminate and restart
 * it. Its standard output and error are kept as its log, over all starts.
 */
public final class DispatcherProcess implements AutoCloseable {
  /** Ports below those that Linux chooses for outgoing connections. */
  private static final int MIN_PORT = 15_000;

  private static final int MAX_PORT = 32_000;

  /** Where the state of a thread is in its line of {@code /proc}, behind the end of its name. */
  private static final int STATE_OFFSET = 2;

  private static final char STOPPED_STATE = 'T';
  private static final long SUSPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Path folder;
  private final Path settingsFile;
  private final List<String> log = new ArrayList<>();
  private final Map<String, String> environment = new HashMap<>();
  private Process process;

  /**
   * Writes the files of the process, but does not start it.
   *
   * @param folder the folder for the files; created if it does not exist
   * @param configuration the text of the platform's configuration file
   * @param settings the text of the dispatcher's settings file, or null to run without one
   */
  public DispatcherProcess(Path folder, String configuration, String settings) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("config.json"), configuration);
    settingsFile =
        settings == null ? null : Files.writeString(folder.resolve("cobaltseam.toml"), settings);
  }

  /**
   * Returns the text of a platform configuration with three request classes: {@code look} is
   * idempotent, {@code marked} is idempotent with a key, and {@code once} is not idempotent.
   *
   * @param position the index of this dispatcher
   * @param dispatchers the number of dispatchers
   * @param cores the number of cores of each engine
   * @param knownEvents the endpoint events that the dispatcher knows at its start, as JSON
   */
  public static String configuration(
      String name,
      InetSocketAddress listen,
      int position,
      int dispatchers,
      int cores,
      EmulatedDiscovery discovery,
      String knownEvents) {
    return """
                {"name":"%s","listen":"%s:%d","seed":"8c1f30d27a5be96%d","limits":{"sockets":512,"memory_mb":128},
                "bus":"%s:%d","known":{"offset":1,"batch":[%s]},"settings":{"balancers":%d,"position":%d,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5},
                {"name":"marked","aim_us":500000,"hard_limit_us":3000000,"repeat":"idempotency_key","key_scope":"cell",
                "window_us":2000000,"late_value":0.5},
                {"name":"once","aim_us":500000,"hard_limit_us":3000000,"repeat":"non_idempotent","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":100000}],"machine_types":["m"],
                "family_info":{"cores_by_kind":[%d],"width_by_class":[1,1,1]},"rules":{"cold_from":0.3},
                "load_report":{"fields":["pending","busy_reqs"],"how":"answers"},
                "limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":250000,"conn_idle_us":30000000,"streams_per_conn":32}}}
                """
        .formatted(
            name,
            listen.getAddress().getHostAddress(),
            listen.getPort(),
            position,
            discovery.address().getAddress().getHostAddress(),
            discovery.address().getPort(),
            knownEvents,
            dispatchers,
            position,
            cores);
  }

  /** Has the process started with the faults of its system calls. */
  public void setFaults(SystemCallFaults faults) {
    environment.putAll(faults.environment());
  }

  /**
   * Returns an address of this host with a port that is free at the moment, and that the system
   * chooses for no outgoing connection.
   */
  public static InetSocketAddress freeAddress(String host) throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        return new InetSocketAddress(host, probe.getLocalPort());
      } catch (BindException e) {
        // The port is in use; another one is tried.
        continue;
      }
    }
  }

  /** Starts the process, and returns without waiting until it serves. */
  public void start() throws IOException {
    start(List.of());
  }

  /** Starts the process with SIGHUP ignored, as nohup does. */
  public void startWithSighupIgnored() throws IOException {
    start(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
  }

  private void start(List<String> commandPrefix) throws IOException {
    List<String> command = new ArrayList<>(commandPrefix);
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx64m",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve"));
    if (settingsFile != null) {
      command.addAll(List.of("--config", settingsFile.toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
    builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "COBALTSEAM_CONFIG"));
    builder.environment().putAll(environment);
    process = builder.start();
    Process started = process;
    EmulatedEngine.daemonThread(
            () -> {
              try (BufferedReader reader =
                  new BufferedReader(
                      new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                  synchronized (log) {
                    log.add(text);
                    log.notifyAll();
                  }
                }
              } catch (IOException e) {
                // The process was killed, which ends its log.
                return;
              }
            })
        .start();
  }

  /**
   * Waits until the log has a line that contains a text.
   *
   * @param from the index of the first line to search
   * @return the index of the line after the one found
   * @throws AssertionError if there is no such line within {@code timeoutMs}
   */
  public int awaitLogLine(String text, int from, long timeoutMs) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    synchronized (log) {
      for (int i = from; ; i++) {
        while (i >= log.size()) {
          long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
          if (remainingMs <= 0) {
            throw new AssertionError(
                "no log line contains '" + text + "':\n" + String.join("\n", log));
          }
          log.wait(remainingMs);
        }
        if (log.get(i).contains(text)) {
          return i + 1;
        }
      }
    }
  }

  /** Returns the number of lines in the log so far. */
  public int logLineCount() {
    synchronized (log) {
      return log.size();
    }
  }

  /** Returns the log so far. */
  public String log() {
    synchronized (log) {
      return String.join("\n", log);
    }
  }

  /** Returns whether the process has been started and has not ended. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends SIGKILL, and waits until the process has ended. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Waits until the process has ended; returns whether it did within this time. */
  public boolean awaitExitWithin(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Sends SIGTERM, and returns the counters that the process prints when it ends. */
  public Map<String, Long> terminate() throws IOException, InterruptedException {
    int from = logLineCount();
    signal("TERM");
    return awaitExit(from);
  }

  /**
   * Waits until the process has ended, and returns the counters that it printed.
   *
   * @param from the index of the first log line to search for the counters
   */
  public Map<String, Long> awaitExit(int from) throws InterruptedException {
    if (!process.waitFor(20, TimeUnit.SECONDS)) {
      throw new AssertionError("the process did not end within 20 s:\n" + log());
    }
    awaitLogLine("counters ", from, 5000);
    Map<String, Long> counters = new HashMap<>();
    String line =
        log()
            .lines()
            .filter(text -> text.startsWith("counters "))
            .reduce((earlier, later) -> later)
            .orElseThrow();
    for (String pair : line.substring("counters ".length()).split(" ")) {
      counters.put(
          pair.substring(0, pair.indexOf('=')),
          Long.parseLong(pair.substring(pair.indexOf('=') + 1)));
    }
    return counters;
  }

  /** Sends a signal to the process, for instance HUP. */
  public void signal(String name) throws IOException, InterruptedException {
    if (new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor()
        != 0) {
      throw new AssertionError("signal " + name + " could not be sent to the process");
    }
  }

  /** Sends SIGSTOP, and waits until all threads of the process are stopped. */
  public void suspend() throws IOException, InterruptedException {
    signal("STOP");
    long deadline = System.nanoTime() + SUSPEND_TIMEOUT_NANOS;
    while (!isStopped()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the process does not stop");
      }
    }
  }

  private boolean isStopped() throws IOException {
    Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
    try (Stream<Path> threads = Files.list(tasks)) {
      for (Path thread : threads.toList()) {
        String stat = Files.readString(thread.resolve("stat"));
        if (stat.charAt(stat.lastIndexOf(')') + STATE_OFFSET) != STOPPED_STATE) {
          return false;
        }
      }
      return true;
    } catch (NoSuchFileException e) {
      // A thread has just ended.
      return false;
    }
  }

  /** Continues the process after {@link #suspend}. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Returns the processor time that the process has used, in milliseconds. */
  public double processorMs() {
    return process.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
  }

  /** Writes the platform's configuration file, which is read at the next SIGHUP or start. */
  public void writeConfiguration(String text) throws IOException {
    Files.writeString(folder.resolve("config.json"), text);
  }

  /** Writes the dispatcher's settings file, which is read at the next SIGHUP or start. */
  public void writeSettings(String text) throws IOException {
    Files.writeString(settingsFile, text);
  }

  /** Returns the folder that holds the files of the process. */
  public File folder() {
    return folder.toFile();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
