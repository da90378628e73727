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
    for (int i = 0; i < all.length; i++) {
      all[i] = new ProcessRecord();
      ServerSocket listens = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      free.add(listens);
      ports[i] = listens.getLocalPort();
    }
    for (ServerSocket each : free) {
      each.close();
    }
    for (int i = 0; i < all.length; i++) {
      configure(i);
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  public static String name(int i) {
    return String.format("n%03d", i);
  }

  private void configure(int i) throws IOException {
    Path own = Files.createDirectories(folder.resolve(name(i)));
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
                name(i),
                ports[i],
                0x8c1f30d27a5be964L + i,
                text(engines.bus()),
                engines.known().size(),
                String.join(",", engines.known()),
                plan.processes,
                i));
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
                text(relays.listensAt(i)),
                text(relays.seenAt(i)),
                seeds,
                founders,
                plan.healthCheckIntervalMs,
                plan.healthCheckTimeoutMs,
                plan.withPersistence ? "folder = \"kept\"" : ""));
  }

  /** Where a process keeps what it promised. */
  public Path stateFolder(int i) {
    return folder.resolve(name(i)).resolve("kept");
  }

  /**
   * Writes another number of sends a command into a process's configuration, and has it read that.
   */
  public void settings(int i, int mostSends) throws IOException, InterruptedException {
    Path file = folder.resolve(name(i)).resolve("config.json");
    Files.writeString(
        file,
        Files.readString(file).replaceAll("\"most_tries\":[0-9]+", "\"most_tries\":" + mostSends));
    activations("hangup", i);
    signal(i, "HUP");
  }

  /** On which editions of the settings all acted, each by its own log. */
  public synchronized List<ActivationRecord> activations() {
    return List.copyOf(actings);
  }

  /** The editions that a process acts on now; none if it stepped back or is gone. */
  public synchronized List<String> acts(int i) {
    return isAlive(i) ? all[i].acts : List.of();
  }

  /** The part of the engines that a process uses now; 0 if none. */
  public double part(int i) {
    CapacityUsage.UsageRecord now = parts.currentAmount(i);
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

  private synchronized void acts(int i, List<String> editions) {
    actings.add(new ActivationRecord(clock(), i, editions));
  }

  /** Adds lines to the membership of a process's own file, and has it read that. */
  public void appendSettings(int i, String more) throws IOException, InterruptedException {
    Files.writeString(
        folder.resolve(name(i)).resolve("cobaltseam.toml"), more + "\n", StandardOpenOption.APPEND);
    activations("hangup", i);
    signal(i, "HUP");
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

  private synchronized void activations(String what, int i) {
    acts.add(String.format(java.util.Locale.ROOT, "%.3f %s %s", now(), what, name(i)));
  }

  public void start(int i) throws IOException {
    ProcessRecord one = all[i];
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
                folder.resolve(name(i)).resolve("cobaltseam.toml").toString())
            .redirectErrorStream(true);
    builder
        .environment()
        .put("GW_CONFIG", folder.resolve(name(i)).resolve("config.json").toString());
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
    activations("start", i);
    int start = one.starts;
    Path file = folder.resolve(name(i)).resolve("log-" + start + ".jsonl");
    Thread reader = new Thread(() -> read(i, start, process, file), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(int i, int start, Process process, Path file) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter keep = Files.newBufferedWriter(file)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        keep.write(line);
        keep.newLine();
        if (line.startsWith("{")) {
          readLogLine(i, start, JSON.readTree(line));
        }
      }
    } catch (IOException e) {
      // Killed in the middle of a line: its log ends there.
      activations("log ends", i);
    }
  }

  private synchronized void readLogLine(int i, int start, JsonNode line) {
    ProcessRecord one = all[i];
    String event = line.path("event").asText();
    one.events.merge(event, 1, Integer::sum);
    if (line.path("level").asText().equals("ERROR")) {
      errors.add(name(i) + ": " + line);
    }
    boolean former = start != one.starts;
    if (event.equals("membership.opened") && !former) {
      one.birth = line.path("birth").asLong();
      recordedEvents.add(new RecordedEvent(now(), i, one.birth, null, List.of(), true));
    } else if (event.equals("membership.view")) {
      String view = line.path("view").asText();
      long birth = line.path("birth").asLong();
      List<String> members =
          Arrays.stream(line.path("members").asText().split(" "))
              .filter(m -> !m.isEmpty())
              .toList();
      recordedEvents.add(
          new RecordedEvent(now(), i, birth, view.equals("none") ? null : view, members));
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
      acts(i, one.acts);
    } else if (event.equals("spread.parts") && !former && !one.stopped) {
      parts.record(
          CapacityUsage.UsageRecord.read(i, line.path("us").asLong(), line.path("steps").asText()));
    } else if (event.equals("membership.standing") && !former) {
      one.standing = line.path("standing").asText();
    }
    notifyAll();
  }

  public void startAll() throws IOException {
    for (int i = 0; i < all.length; i++) {
      start(i);
    }
  }

  private void signal(int i, String name) throws IOException, InterruptedException {
    Process process = all[i].process;
    if (process != null && process.isAlive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  public void kill(int i) throws InterruptedException {
    activations("kill", i);
    all[i].process.destroyForcibly().waitFor();
    parts.recordEnd(i, us());
    acts(i, List.of());
  }

  /** SIGTERM. */
  public void terminate(int i) throws InterruptedException, IOException {
    activations("term", i);
    signal(i, "TERM");
  }

  public void suspend(int i) throws IOException, InterruptedException {
    activations("stop", i);
    signal(i, "STOP");
    // What it wrote before it stood still is read first.
    TimeUnit.MILLISECONDS.sleep(50);
    all[i].stopped = true;
    stoppedWith.put(i, parts.currentAmount(i));
    parts.recordEnd(i, us());
    acts(i, List.of());
  }

  public void resume(int i) throws IOException, InterruptedException {
    acts(i, all[i].acts);
    parts.recordUntil(stoppedWith.remove(i), us());
    all[i].stopped = false;
    signal(i, "CONT");
    activations("cont", i);
  }

  public boolean isAlive(int i) {
    return all[i].process != null && all[i].process.isAlive();
  }

  // ---- what is asked

  /** Where a process takes clients. */
  public int port(int i) {
    return ports[i];
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

  public synchronized String quorumState(int i) {
    return all[i].standing;
  }

  public synchronized String view(int i) {
    return all[i].view;
  }

  public synchronized List<String> members(int i) {
    return all[i].members;
  }

  /** How often a process logged an event, over all its lives. */
  public synchronized int events(int i, String event) {
    return all[i].events.getOrDefault(event, 0);
  }

  public synchronized Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int i = 0; i < all.length; i++) {
      if (isAlive(i)) {
        live.add(new InvariantChecker.Live(i, name(i), all[i].birth));
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

  public double processorMs(int i) {
    return all[i].process.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
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
    for (int i = 0; i < all.length; i++) {
      if (all[i].stopped) {
        resume(i);
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

  private void follow(Fault t, int p, String key, Set<String> done)
      throws IOException, InterruptedException {
    boolean during = now() >= t.atS() && now() < t.endS();
    boolean over = now() >= t.endS();
    switch (t.kind()) {
      case PAUSE -> {
        if (during && done.add(key + "stop")) {
          suspend(p);
        } else if (over && done.add(key + "go") && all[p].stopped) {
          resume(p);
        }
      }
      case SLOW -> {
        boolean rests = during && now() * 1000 % SLICE_MS > SLICE_MS * t.size();
        if (during && rests != all[p].stopped) {
          if (rests) {
            suspend(p);
          } else {
            resume(p);
          }
        } else if (over && done.add(key + "go") && all[p].stopped) {
          resume(p);
        }
      }
      case KILL, GONE, TERM, LOSE, STALE -> {
        if (t.kind() == Fault.Kind.STALE && now() >= t.atS() / 2 && done.add(key + "copy")) {
          copy(
              stateFolder(p).resolve(PersistentStateCodec.FILE_NAME),
              folder.resolve(name(p)).resolve("earlier"));
        }
        if (during && done.add(key + "end") && isAlive(p)) {
          if (t.kind() == Fault.Kind.TERM) {
            terminate(p);
          } else {
            kill(p);
          }
        } else if (over
            && t.kind() != Fault.Kind.GONE
            && done.contains(key + "end")
            && done.add(key + "start")
            && !goneForGood(p)) {
          if (isAlive(p) && t.kind() == Fault.Kind.TERM) {
            all[p].process.destroyForcibly().waitFor();
          }
          if (!isAlive(p)) {
            if (t.kind() == Fault.Kind.LOSE) {
              Files.deleteIfExists(stateFolder(p).resolve(PersistentStateCodec.FILE_NAME));
            } else if (t.kind() == Fault.Kind.STALE) {
              copy(
                  folder.resolve(name(p)).resolve("earlier"),
                  stateFolder(p).resolve(PersistentStateCodec.FILE_NAME));
            }
            start(p);
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

  private boolean goneForGood(int p) {
    return faults.stream()
        .anyMatch(
            t -> t.kind() == Fault.Kind.GONE && t.processes().contains(p) && t.atS() <= now());
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
