package stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One dispatcher, started by the command {@code run} of the deploy file in the repository's root. */
public final class Gateway implements AutoCloseable {
  public final String name;
  private final Path root;
  private final Path folder;
  private final Record record;
  private final boolean hasSettings;
  private Process process;

  /** Settings may be null: then the dispatcher has no settings file of its own. */
  public Gateway(
      String name, Path root, Path folder, String configuration, String settings, Record record)
      throws IOException {
    this.name = name;
    this.root = root;
    this.folder = folder;
    this.record = record;
    hasSettings = settings != null;
    Files.createDirectories(folder);
    writeConfiguration(configuration);
    if (hasSettings) {
      writeSettings(settings);
    }
  }

  public void writeConfiguration(String text) throws IOException {
    Files.writeString(folder.resolve("config.json"), text);
  }

  public void writeSettings(String text) throws IOException {
    Files.writeString(folder.resolve("own.toml"), text);
  }

  /** The value of {@code run} in deploy/balancer.toml. */
  private String runCommand() throws IOException {
    Matcher line =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!line.find()) {
      throw new IOException("deploy/balancer.toml has no run command");
    }
    return line.group(1).replace("\\\"", "\"");
  }

  public void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand())
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
    builder.environment().remove("GW_NAME");
    builder.environment().remove("GW_LISTEN");
    builder.environment().remove("COBALTSEAM_CONFIG");
    builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
    if (hasSettings) {
      builder.environment().put("COBALTSEAM_CONFIG", folder.resolve("own.toml").toString());
    }
    process = builder.start();
    Process started = process;
    // Ends it also where the case itself is ended.
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    record.line(name + " started, process " + process.pid());
  }

  public String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  /** Waits until the log holds a text at least this many times. */
  public boolean awaitLog(String text, int times, long limitMs)
      throws IOException, InterruptedException {
    long end = System.nanoTime() + limitMs * 1_000_000;
    while (System.nanoTime() < end && process.isAlive()) {
      if (log().split(Pattern.quote(text), -1).length - 1 >= times) {
        return true;
      }
      Thread.sleep(10);
    }
    return false;
  }

  public double signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    if (kill.waitFor() != 0) {
      throw new IOException("no signal could be sent to " + name);
    }
    return record.line(name + " was sent SIG" + signal);
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  @Override
  public void close() throws IOException {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (String line : log().split("\n")) {
      record.line("log of " + name + ": " + line);
    }
  }

  /**
   * A configuration of the platform in which one class may be repeated and one may not.
   *
   * @param limits the limits on attempts and connections, as JSON fields
   */
  public static String configuration(
      String name, InetSocketAddress listen, int position, int dispatchers, Bus bus, String known,
      String limits) {
    return String.format(
        """
        {"name":"%s","listen":"%s","seed":"8c1f30d27a5be96%d",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "bus":"%s","known":{"offset":1,"batch":[%s]},
        "settings":{"balancers":%d,"position":%d,"tick_us":5000,
        "classes":[
        {"name":"lookup","aim_us":1000000,"hard_limit_us":8000000,"importance":1.0,"repeat":"read_like","late_value":0.5},
        {"name":"load","aim_us":1000000,"hard_limit_us":8000000,"importance":1.0,"repeat":"non_idempotent","late_value":0.5}],
        "machine_types":["std"],"projects":[{"name":"acme","quota_rps":1000}],
        "family_info":{"cores_by_kind":[8],"width_by_class":[1,1]},
        "rules":{"cold_from":0.3,"warm_within_us":15000000,"fall_multiple":2.0,"overload_for_us":3000000,"drain_grace_us":1000000},
        "load_report":{"fields":["pending","busy_reqs"],"how":"answers"},
        "limits":{%s,"most_tries":3,"retry_after":true,"max_retry_after_us":500000,
        "conn_idle_us":30000000,"streams_per_conn":32}}}
        """,
        name, text(listen), position, text(bus.address()), known, dispatchers, position, limits);
  }

  /** The limits that the pages' sites have. */
  public static final String USUAL_LIMITS = "\"cancel\":true,\"connect_timeout_us\":250000";

  /** The rows of SHOW at an address of a dispatcher. */
  public static String show(InetSocketAddress address, String name) {
    try (Client client = new Client(address, 2000)) {
      return client.execute("SHOW cobaltseam." + name).text();
    } catch (IOException e) {
      return "no answer: " + e.getMessage();
    }
  }

  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** An address with a TCP and a UDP port that are free now and that the system gives to nobody. */
  public static InetSocketAddress free(String host) throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
      InetAddress address = InetAddress.getByName(host);
      try {
        new ServerSocket(port, 1, address).close();
        new DatagramSocket(port, address).close();
        return new InetSocketAddress(address, port);
      } catch (IOException e) {
        continue;
      }
    }
  }
}
