package cobaltseam.standin;

import cobaltseam.Main;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A real dispatcher in a process of its own, which tests start, freeze, kill, terminate and
 * restart.
 */
public final class DispatcherProcess implements AutoCloseable {
  private final Path folder;
  private final Path own;
  private final List<String> log = new ArrayList<>();
  private Process process;

  /**
   * @param own the own file, or null
   */
  public DispatcherProcess(Path folder, String configuration, String own) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("config.json"), configuration);
    this.own = own == null ? null : Files.writeString(folder.resolve("cobaltseam.toml"), own);
  }

  /**
   * The platform's configuration, with request classes that are idempotent, idempotent with a key,
   * and not idempotent.
   */
  public static String configuration(
      String name,
      InetSocketAddress listen,
      int position,
      int dispatchers,
      int cores,
      EmulatedDiscovery bus,
      String known) {
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
            bus.address().getAddress().getHostAddress(),
            bus.address().getPort(),
            known,
            dispatchers,
            position,
            cores);
  }

  /** Starts it, and returns at once. */
  public void start() throws IOException {
    start(List.of());
  }

  /** Starts it with SIGHUP ignored, as nohup does. */
  public void startWithSighupIgnored() throws IOException {
    start(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
  }

  private void start(List<String> before) throws IOException {
    List<String> line = new ArrayList<>(before);
    line.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx64m",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve"));
    if (own != null) {
      line.addAll(List.of("--config", own.toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
    builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "COBALTSEAM_CONFIG"));
    process = builder.start();
    Process started = process;
    EmulatedEngine.thread(
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
                // The process was killed; its log ends here.
                return;
              }
            })
        .start();
  }

  /**
   * Waits until a line with this text is in the log, from this line on. Returns the number of the
   * next line.
   */
  public int awaitLogLine(String text, int from, long withinMs) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
    synchronized (log) {
      for (int i = from; ; i++) {
        while (i >= log.size()) {
          long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
          if (left <= 0) {
            throw new AssertionError("no line with '" + text + "' in:\n" + String.join("\n", log));
          }
          log.wait(left);
        }
        if (log.get(i).contains(text)) {
          return i + 1;
        }
      }
    }
  }

  /** The number of lines in the log so far. */
  public int logLineCount() {
    synchronized (log) {
      return log.size();
    }
  }

  /** The log so far. */
  public String log() {
    synchronized (log) {
      return String.join("\n", log);
    }
  }

  /** Whether the process runs. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process, and waits until it has ended. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM, and returns the counters that the process prints at its end. */
  public Map<String, Long> terminate() throws IOException, InterruptedException {
    int from = logLineCount();
    signal("TERM");
    return awaitExit(from);
  }

  /**
   * Waits until the process has ended, and returns the counters that it printed after this line of
   * its log.
   */
  public Map<String, Long> awaitExit(int from) throws InterruptedException {
    if (!process.waitFor(20, TimeUnit.SECONDS)) {
      throw new AssertionError("it does not end:\n" + log());
    }
    awaitLogLine("counters ", from, 5000);
    Map<String, Long> counters = new HashMap<>();
    String line =
        log().lines().filter(l -> l.startsWith("counters ")).reduce((a, b) -> b).orElseThrow();
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
      throw new AssertionError("no signal " + name);
    }
  }

  /** The processor time that the process has used, in milliseconds. */
  public double processorMs() {
    return process.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
  }

  /** Writes the platform's configuration; it is read at the next SIGHUP or start. */
  public void writeConfiguration(String text) throws IOException {
    Files.writeString(folder.resolve("config.json"), text);
  }

  /** Writes our own settings file; it is read at the next SIGHUP or start. */
  public void writeSettings(String text) throws IOException {
    Files.writeString(own, text);
  }

  /** The folder that holds the files of the process. */
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
