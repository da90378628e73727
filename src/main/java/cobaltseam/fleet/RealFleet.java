package cobaltseam.fleet;

import cobaltseam.Main;
import cobaltseam.transport.PersistentStateCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet of real processes of the program on loopback, under a script of troubles: {@link
 * FaultRelays} rule the datagrams, signals rule the processes. What each says of itself in its JSON
 * log is kept in its folder and read as {@link RecordedEvent}s.
 */
public final class RealFleet implements AutoCloseable {
  /**
   * What a fleet is made of.
   *
   * @param own further lines of each process's own file
   * @param engines the event bus of all processes and what they know of it at the start, or null
   *     for one dead engine
   */
  public record Plan(
      int processes,
      int healthCheckIntervalMs,
      double healthCheckTimeoutMs,
      int bootstrapMembers,
      boolean withPersistence,
      String own,
      Engines engines) {
    public static Plan of(int processes) {
      return new Plan(processes, 200, 3, Math.min(3, processes), false, "", null);
    }

    public Plan withFolders() {
      return new Plan(
          processes,
          healthCheckIntervalMs,
          healthCheckTimeoutMs,
          bootstrapMembers,
          true,
          own,
          engines);
    }

    /** All agree on the settings. */
    public Plan withAgreement(int ms) {
      return with("[agreement]\ncontradiction_ms = " + ms);
    }

    /** Parts of the engines follow demand, and what each uses is logged. */
    public Plan withCapacityLeases(int leaseMs) {
      return with(
          "[spread]\nby = \"demand\"\nlease_ms = "
              + leaseMs
              + "\nround_ms = 300\nwindow_ms = 1500\naudit = true");
    }

    public Plan with(String lines) {
      return new Plan(
          processes,
          healthCheckIntervalMs,
          healthCheckTimeoutMs,
          bootstrapMembers,
          withPersistence,
          own + "\n" + lines,
          engines);
    }

    public Plan with(Engines at) {
      return new Plan(
          processes,
          healthCheckIntervalMs,
          healthCheckTimeoutMs,
          bootstrapMembers,
          withPersistence,
          own,
          at);
    }
  }

  /** Where the event bus is, and its first events as JSON. */
  public record Engines(InetSocketAddress bus, List<String> known) {
    static final Engines DEAD =
        new Engines(
            new InetSocketAddress("127.0.0.1", 1),
            List.of(
                "{\"offset\":1,\"topology\":{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s-00000001\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"z\","
                    + "\"model\":\"m\",\"state\":\"in_service\",\"boot_ms\":0}]}}"));
  }

  private static final class ProcessRecord {
    Process process;

    /** The birth that it last told, and the view; zero and null before. */
    long birth;

    String view;
    List<String> members = List.of();
    List<String> acts = List.of();
    String standing = "none";
    int starts;
    boolean stopped;
    final Map<String, Integer> events = new HashMap<>();
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SLICE_MS = 100;
  private final Plan plan;
  private final List<Fault> faults;
  private final Path folder;
  private final long made = System.nanoTime();
  private volatile long since = made;
  private final FaultRelays relays;
  private final ProcessRecord[] all;
  private final int[] ports;
  private final List<RecordedEvent> recordedEvents = new ArrayList<>();
  private final List<String> errors = new ArrayList<>();
  private final List<String> acts = new ArrayList<>();
  private final List<ActivationRecord> actings = new ArrayList<>();
  private final CapacityUsage parts = new CapacityUsage();
  private final Map<Integer, CapacityUsage.UsageRecord> stoppedWith = new HashMap<>();

  public RealFleet(Plan plan, List<Fault> faults, long seed, Path folder) throws IOException {
    this.plan = plan;
    this.faults = List.copyOf(faults);
    this.folder = folder;
    relays = new FaultRelays(plan.processes, this.faults, seed, since);
    all = new ProcessRecord[plan.processes];
    ports = new int[plan.processes];
    List<ServerSocket> free = new ArrayList<>();
    for (int index = 0; index < all.length; index++) {
      all[index] = new ProcessRecord();
      ServerSocket listens = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      free.add(listens);
      ports[index] = listens.getLocalPort();
    }
    for (ServerSocket each : free) {
      each.close();
    }
    for (int index = 0; index < all.length; index++) {
      configure(index);
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  public static String name(int index) {
    return String.format("n%03d", index);
  }

  private void configure(int index) throws IOException {
    Path own = Files.createDirectories(folder.resolve(name(index)));
    Engines engines = plan.engines == null ? Engines.DEAD : plan.engines;
    Files.writeString(
        own.resolve("config.json"),
        """
                {"name":"%s","listen":"127.0.0.1:%d","seed":"%016x","limits":{"sockets":128,"memory_mb":64},
                "bus":"%s","known":{"offset":%d,"batch":[%s]},
                "settings":{"balancers":%d,"position":%d,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":1000}],"machine_types":["m"],"family_info":{"cores_by_kind":[4]},
                "rules":{"cold_from":0.3},"limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":250000,"conn_idle_us":30000000,"streams_per_conn":32}}}
                """
            .formatted(
                name(index),
                ports[index],
                0x8c1f30d27a5be964L + index,
                text(engines.bus()),
                engines.known().size(),
                String.join(",", engines.known()),
                plan.processes,
                index));
    String seeds =
        IntStream.range(0, Math.min(8, plan.processes))
            .mapToObj(s -> "\"" + text(relays.seenAt(s)) + "\"")
            .collect(Collectors.joining(", "));
    String founders =
        IntStream.range(0, plan.bootstrapMembers)
            .mapToObj(f -> "\"" + name(f) + "\"")
            .collect(Collectors.joining(", "));
    Files.writeString(
        own.resolve("cobaltseam.toml"),
        """
                [logging]
                form = "json"
                %s
                [membership]
                fleet = "rig"
                listen = "%s"
                advertise = "%s"
                seeds = [%s]
                founders = [%s]
                period_ms = %d
                patience = %s
                %s
                """
            .formatted(
                plan.own,
                text(relays.listensAt(index)),
                text(relays.seenAt(index)),
                seeds,
                founders,
                plan.healthCheckIntervalMs,
                plan.healthCheckTimeoutMs,
                plan.withPersistence ? "folder = \"kept\"" : ""));
  }

  /** Where a process keeps what it promised. */
  public Path stateFolder(int index) {
    return folder.resolve(name(index)).resolve("kept");
  }

  /**
   * Writes another number of sends a command into a process's configuration, and has it read that.
   */
  public void settings(int index, int mostSends) throws IOException, InterruptedException {
    Path file = folder.resolve(name(index)).resolve("config.json");
    Files.writeString(
        file,
        Files.readString(file).replaceAll("\"most_tries\":[0-9]+", "\"most_tries\":" + mostSends));
    activations("hangup", index);
    signal(index, "HUP");
  }

  /** On which editions of the settings all acted, each by its own log. */
  public synchronized List<ActivationRecord> activations() {
    return List.copyOf(actings);
  }

  /** The editions that a process acts on now; none if it stepped back or is gone. */
  public synchronized List<String> acts(int index) {
    return isAlive(index) ? all[index].acts : List.of();
  }

  /** The part of the engines that a process uses now; 0 if none. */
  public double part(int index) {
    CapacityUsage.UsageRecord now = parts.currentAmount(index);
    return now == null ? 0 : now.at(us());
  }

  /** The most of the engines that all used at one time, by their logs. */
  public double peakUsage() {
    return parts.peak(us()).amount();
  }

  private static long us() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** Seconds since this fleet was made, whenever its script began. */
  public double clock() {
    return (System.nanoTime() - made) / 1e9;
  }

  private synchronized void acts(int index, List<String> editions) {
    actings.add(new ActivationRecord(clock(), index, editions));
  }

  /** Adds lines to the membership of a process's own file, and has it read that. */
  public void appendSettings(int index, String more) throws IOException, InterruptedException {
    Files.writeString(
        folder.resolve(name(index)).resolve("cobaltseam.toml"),
        more + "\n",
        StandardOpenOption.APPEND);
    activations("hangup", index);
    signal(index, "HUP");
  }

  /**
   * The script's time begins now, and not with the first start: founders that end before there is a
   * view found none.
   */
  public void startClock() {
    since = System.nanoTime();
    relays.since(since);
  }

  // ---- processes

  public double now() {
    return (System.nanoTime() - since) / 1e9;
  }

  private synchronized void activations(String what, int index) {
    acts.add(String.format(java.util.Locale.ROOT, "%.3f %s %s", now(), what, name(index)));
  }

  public void start(int index) throws IOException {
    ProcessRecord one = all[index];
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Xms16m",
                "-Xmx64m",
                "-Xss256k",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve",
                "--config",
                folder.resolve(name(index)).resolve("cobaltseam.toml").toString())
            .redirectErrorStream(true);
    builder
        .environment()
        .put("GW_CONFIG", folder.resolve(name(index)).resolve("config.json").toString());
    builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "COBALTSEAM_CONFIG"));
    synchronized (this) {
      one.birth = 0;
      one.view = null;
      one.members = List.of();
      one.acts = List.of();
      one.standing = "none";
      one.starts++;
      one.stopped = false;
    }
    Process process = builder.start();
    one.process = process;
    activations("start", index);
    int start = one.starts;
    Path file = folder.resolve(name(index)).resolve("log-" + start + ".jsonl");
    Thread reader = new Thread(() -> read(index, start, process, file), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(int index, int start, Process process, Path file) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter keep = Files.newBufferedWriter(file)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        keep.write(line);
        keep.newLine();
        if (line.startsWith("{")) {
          readLogLine(index, start, JSON.readTree(line));
        }
      }
    } catch (IOException e) {
      // Killed in the middle of a line: its log ends there.
      activations("log ends", index);
    }
  }

  private synchronized void readLogLine(int index, int start, JsonNode line) {
    ProcessRecord one = all[index];
    String event = line.path("event").asText();
    one.events.merge(event, 1, Integer::sum);
    if (line.path("level").asText().equals("ERROR")) {
      errors.add(name(index) + ": " + line);
    }
    boolean former = start != one.starts;
    if (event.equals("membership.opened") && !former) {
      one.birth = line.path("birth").asLong();
      recordedEvents.add(new RecordedEvent(now(), index, one.birth, null, List.of(), true));
    } else if (event.equals("membership.view")) {
      String view = line.path("view").asText();
      long birth = line.path("birth").asLong();
      List<String> members =
          Arrays.stream(line.path("members").asText().split(" "))
              .filter(m -> !m.isEmpty())
              .toList();
      recordedEvents.add(
          new RecordedEvent(now(), index, birth, view.equals("none") ? null : view, members));
      if (!former) {
        one.birth = birth;
        one.view = view.equals("none") ? null : view;
        one.members = members;
      }
    } else if (event.equals("agreement.acts") && !former) {
      boolean back = line.path("mode").asText().equals("back");
      String of = one.view == null ? "none" : InvariantChecker.line(one.view);
      one.acts =
          back
              ? List.of()
              : Arrays.stream(line.path("editions").asText().split(" "))
                  .map(e -> of + "/" + e)
                  .toList();
      acts(index, one.acts);
    } else if (event.equals("spread.parts") && !former && !one.stopped) {
      parts.record(
          CapacityUsage.UsageRecord.read(
              index, line.path("us").asLong(), line.path("steps").asText()));
    } else if (event.equals("membership.standing") && !former) {
      one.standing = line.path("standing").asText();
    }
    notifyAll();
  }

  public void startAll() throws IOException {
    for (int index = 0; index < all.length; index++) {
      start(index);
    }
  }

  private void signal(int index, String name) throws IOException, InterruptedException {
    Process process = all[index].process;
    if (process != null && process.isAlive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  public void kill(int index) throws InterruptedException {
    activations("kill", index);
    all[index].process.destroyForcibly().waitFor();
    parts.recordEnd(index, us());
    acts(index, List.of());
  }

  /** SIGTERM. */
  public void terminate(int index) throws InterruptedException, IOException {
    activations("term", index);
    signal(index, "TERM");
  }

  public void suspend(int index) throws IOException, InterruptedException {
    activations("stop", index);
    signal(index, "STOP");
    // What it wrote before it stood still is read first.
    TimeUnit.MILLISECONDS.sleep(50);
    all[index].stopped = true;
    stoppedWith.put(index, parts.currentAmount(index));
    parts.recordEnd(index, us());
    acts(index, List.of());
  }

  public void resume(int index) throws IOException, InterruptedException {
    acts(index, all[index].acts);
    parts.recordUntil(stoppedWith.remove(index), us());
    all[index].stopped = false;
    signal(index, "CONT");
    activations("cont", index);
  }

  public boolean isAlive(int index) {
    return all[index].process != null && all[index].process.isAlive();
  }

  // ---- what is asked

  /** Where a process takes clients. */
  public int port(int index) {
    return ports[index];
  }

  public synchronized List<RecordedEvent> recordedEvents() {
    return List.copyOf(recordedEvents);
  }

  /**
   * What processes logged as errors: a fault of a part ends that part while the process serves on.
   */
  public synchronized List<String> errors() {
    return List.copyOf(errors);
  }

  public synchronized String quorumState(int index) {
    return all[index].standing;
  }

  public synchronized String view(int index) {
    return all[index].view;
  }

  public synchronized List<String> members(int index) {
    return all[index].members;
  }

  /** How often a process logged an event, over all its lives. */
  public synchronized int events(int index, String event) {
    return all[index].events.getOrDefault(event, 0);
  }

  public synchronized Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int index = 0; index < all.length; index++) {
      if (isAlive(index)) {
        live.add(new InvariantChecker.Live(index, name(index), all[index].birth));
      }
    }
    return live;
  }

  /**
   * Whether less than a majority of the newest view of each line lives: there is no successor, and
   * an operator decides.
   */
  public synchronized boolean lostMajority() {
    Map<String, RecordedEvent> newest = new HashMap<>();
    for (RecordedEvent h : recordedEvents) {
      if (h.view() != null) {
        newest.merge(
            InvariantChecker.line(h.view()),
            h,
            (a, b) ->
                InvariantChecker.number(a.view()) < InvariantChecker.number(b.view()) ? b : a);
      }
    }
    Set<String> alive =
        live().stream().map(InvariantChecker.Live::identity).collect(Collectors.toSet());
    return newest.values().stream()
        .allMatch(
            h -> h.members().stream().filter(alive::contains).count() < h.members().size() / 2 + 1);
  }

  public synchronized boolean isSettled() {
    Set<InvariantChecker.Live> live = live();
    Set<String> alive =
        live.stream()
            .map(l -> l.name() + "#" + l.birth())
            .collect(Collectors.toCollection(TreeSet::new));
    Set<String> views = new TreeSet<>();
    for (InvariantChecker.Live l : live) {
      if (all[l.process()].view == null || !new TreeSet<>(all[l.process()].members).equals(alive)) {
        return false;
      }
      views.add(all[l.process()].view);
    }
    return views.size() == 1;
  }

  /**
   * Waits until all that live hold one view of just these; the seconds since the call, or below
   * zero if they do not.
   */
  public double awaitSettled(double withinS) throws InterruptedException {
    long from = System.nanoTime();
    synchronized (this) {
      while (!isSettled()) {
        long left = (long) (withinS * 1000) - (System.nanoTime() - from) / 1_000_000;
        if (left <= 0) {
          return -1;
        }
        wait(Math.min(left, 50));
      }
    }
    return (System.nanoTime() - from) / 1e9;
  }

  public double processorMs(int index) {
    return all[index].process.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
  }

  public long datagrams() {
    return relays.passed();
  }

  /** Says bytes to a process in nobody's name. */
  public void sendDatagram(int to, byte[] bytes) throws IOException {
    relays.say(to, bytes);
  }

  // ---- the script

  /**
   * Plays what the script does to processes; datagrams follow it by themselves. Returns when all of
   * it is over.
   */
  public void play() throws IOException, InterruptedException {
    double end = faults.stream().mapToDouble(Fault::endS).max().orElse(0);
    Set<String> done = new LinkedHashSet<>();
    while (now() < end + 0.01) {
      for (int t = 0; t < faults.size(); t++) {
        Fault trouble = faults.get(t);
        for (int p : trouble.processes()) {
          follow(trouble, p, t + "/" + p, done);
        }
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    for (int index = 0; index < all.length; index++) {
      if (all[index].stopped) {
        resume(index);
      }
    }
    try (BufferedWriter to = Files.newBufferedWriter(folder.resolve("acts.txt"))) {
      synchronized (this) {
        for (String act : acts) {
          to.write(act + "\n");
        }
      }
    }
  }

  private void follow(Fault fault, int index, String key, Set<String> done)
      throws IOException, InterruptedException {
    boolean during = now() >= fault.atS() && now() < fault.endS();
    boolean over = now() >= fault.endS();
    switch (fault.kind()) {
      case PAUSE -> {
        if (during && done.add(key + "stop")) {
          suspend(index);
        } else if (over && done.add(key + "go") && all[index].stopped) {
          resume(index);
        }
      }
      case SLOW -> {
        boolean rests = during && now() * 1000 % SLICE_MS > SLICE_MS * fault.size();
        if (during && rests != all[index].stopped) {
          if (rests) {
            suspend(index);
          } else {
            resume(index);
          }
        } else if (over && done.add(key + "go") && all[index].stopped) {
          resume(index);
        }
      }
      case KILL, GONE, TERM, LOSE, STALE -> {
        if (fault.kind() == Fault.Kind.STALE
            && now() >= fault.atS() / 2
            && done.add(key + "copy")) {
          copy(
              stateFolder(index).resolve(PersistentStateCodec.FILE_NAME),
              folder.resolve(name(index)).resolve("earlier"));
        }
        if (during && done.add(key + "end") && isAlive(index)) {
          if (fault.kind() == Fault.Kind.TERM) {
            terminate(index);
          } else {
            kill(index);
          }
        } else if (over
            && fault.kind() != Fault.Kind.GONE
            && done.contains(key + "end")
            && done.add(key + "start")
            && !goneForGood(index)) {
          if (isAlive(index) && fault.kind() == Fault.Kind.TERM) {
            all[index].process.destroyForcibly().waitFor();
          }
          if (!isAlive(index)) {
            if (fault.kind() == Fault.Kind.LOSE) {
              Files.deleteIfExists(stateFolder(index).resolve(PersistentStateCodec.FILE_NAME));
            } else if (fault.kind() == Fault.Kind.STALE) {
              copy(
                  folder.resolve(name(index)).resolve("earlier"),
                  stateFolder(index).resolve(PersistentStateCodec.FILE_NAME));
            }
            start(index);
          }
        }
      }
      default -> {}
    }
  }

  private static void copy(Path from, Path to) throws IOException {
    if (Files.exists(from)) {
      Files.createDirectories(to.getParent());
      Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private boolean goneForGood(int index) {
    return faults.stream()
        .anyMatch(
            t -> t.kind() == Fault.Kind.GONE && t.processes().contains(index) && t.atS() <= now());
  }

  @Override
  public void close() throws IOException {
    for (ProcessRecord one : all) {
      if (one.process != null) {
        one.process.destroyForcibly();
      }
    }
    relays.close();
  }
}
