package cobaltseam.fleet;

import cobaltseam.Main;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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

/**
 * A fleet of real processes of the program on loopback, under a script of faults: {@link
 * FaultRelays} carry the datagrams, signals suspend and end the processes. The JSON log of each is
 * kept in its folder and read as {@link RecordedEvent}s.
 */
public final class RealFleet implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private final RealFleetPlan plan;
  private final List<Fault> faults;
  private final Path folder;
  private final long createdNs = System.nanoTime();
  private volatile long clockStartNs = createdNs;
  private final FaultRelays relays;
  private final ProcessRecord[] processes;
  private final int[] ports;
  private final List<RecordedEvent> recordedEvents = new ArrayList<>();
  private final List<String> errors = new ArrayList<>();
  private final List<String> scriptLog = new ArrayList<>();
  private final List<ActivationRecord> activations = new ArrayList<>();
  private final CapacityUsage usage = new CapacityUsage();
  private final Map<Integer, CapacityUsage.UsageRecord> usageWhenSuspended = new HashMap<>();

  /**
   * Chooses ports and writes the configuration of each process; none is started.
   *
   * @param folder where configurations, logs and states are kept
   */
  public RealFleet(RealFleetPlan plan, List<Fault> faults, long seed, Path folder)
      throws IOException {
    this.plan = plan;
    this.faults = List.copyOf(faults);
    this.folder = folder;
    relays = new FaultRelays(plan.processes(), this.faults, seed, clockStartNs);
    processes = new ProcessRecord[plan.processes()];
    FleetConfigurationWriter configuration = new FleetConfigurationWriter(plan, folder, relays);
    ports = new int[plan.processes()];
    List<ServerSocket> reservedPorts = new ArrayList<>();
    for (int index = 0; index < processes.length; index++) {
      processes[index] = new ProcessRecord();
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      reservedPorts.add(socket);
      ports[index] = socket.getLocalPort();
    }
    for (ServerSocket socket : reservedPorts) {
      socket.close();
    }
    for (int index = 0; index < processes.length; index++) {
      configuration.write(index, ports[index]);
    }
  }

  /** The name of a process in its fleet. */
  public static String name(int index) {
    return String.format("n%03d", index);
  }

  /** The folder of a process's persistent state. */
  public Path stateFolder(int index) {
    return folder.resolve(name(index)).resolve("kept");
  }

  /**
   * Writes another number of sends a command into a process's configuration, and has it read that.
   */
  public void setMaxAttempts(int index, int maxAttempts) throws IOException, InterruptedException {
    Path file = folder.resolve(name(index)).resolve("config.json");
    Files.writeString(
        file,
        Files.readString(file)
            .replaceAll("\"most_tries\":[0-9]+", "\"most_tries\":" + maxAttempts));
    logAction("hangup", index);
    signal(index, "HUP");
  }

  /** On which editions of the settings all acted, each by its own log. */
  public synchronized List<ActivationRecord> activations() {
    return List.copyOf(activations);
  }

  /** The editions that a process acts on now; none if it stepped back or is gone. */
  public synchronized List<String> activeVersions(int index) {
    return isAlive(index) ? processes[index].activeVersions : List.of();
  }

  /** The part of the engines that a process uses now; 0 if none. */
  public double usedShare(int index) {
    CapacityUsage.UsageRecord now = usage.current(index);
    return now == null ? 0 : now.amountAt(nowUs());
  }

  /** The most of the engines that all used at one time, by their logs. */
  public double peakUsage() {
    return usage.peak(nowUs()).amount();
  }

  private static long nowUs() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** Seconds since this fleet was made, whenever its script began. */
  public double elapsedS() {
    return (System.nanoTime() - createdNs) / 1e9;
  }

  private synchronized void recordActivation(int index, List<String> versions) {
    activations.add(new ActivationRecord(elapsedS(), index, versions));
  }

  /** Adds lines to the membership of a process's own file, and has it read that. */
  public void appendSettings(int index, String lines) throws IOException, InterruptedException {
    Files.writeString(
        folder.resolve(name(index)).resolve("cobaltseam.toml"),
        lines + "\n",
        StandardOpenOption.APPEND);
    logAction("hangup", index);
    signal(index, "HUP");
  }

  /**
   * The script's time begins now, and not with the first start: founders that end before there is a
   * view found none.
   */
  public void startClock() {
    clockStartNs = System.nanoTime();
    relays.setStart(clockStartNs);
  }

  // ---- processes

  /** Seconds since the clock was started. */
  public double scriptTimeS() {
    return (System.nanoTime() - clockStartNs) / 1e9;
  }

  private synchronized void logAction(String action, int index) {
    scriptLog.add(
        String.format(java.util.Locale.ROOT, "%.3f %s %s", scriptTimeS(), action, name(index)));
  }

  /** Starts a process, the first or a later one of this number. */
  public void start(int index) throws IOException {
    ProcessRecord state = processes[index];
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
      state.incarnation = 0;
      state.view = null;
      state.members = List.of();
      state.activeVersions = List.of();
      state.quorumState = "none";
      state.starts++;
      state.isSuspended = false;
    }
    Process process = builder.start();
    state.process = process;
    logAction("start", index);
    int start = state.starts;
    Path file = folder.resolve(name(index)).resolve("log-" + start + ".jsonl");
    Thread reader = new Thread(() -> read(index, start, process, file), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(int index, int start, Process process, Path file) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter copy = Files.newBufferedWriter(file)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        copy.write(line);
        copy.newLine();
        if (line.startsWith("{")) {
          readLogLine(index, start, JSON.readTree(line));
        }
      }
    } catch (IOException e) {
      // Killed in the middle of a line: its log ends there.
      logAction("log ends", index);
    }
  }

  private synchronized void readLogLine(int index, int start, JsonNode line) {
    ProcessRecord state = processes[index];
    String event = line.path("event").asText();
    state.events.merge(event, 1, Integer::sum);
    if (line.path("level").asText().equals("ERROR")) {
      errors.add(name(index) + ": " + line);
    }
    boolean isEarlierStart = start != state.starts;
    if (event.equals("membership.opened") && !isEarlierStart) {
      state.incarnation = line.path("birth").asLong();
      recordedEvents.add(
          new RecordedEvent(scriptTimeS(), index, state.incarnation, null, List.of(), true));
    } else if (event.equals("membership.view")) {
      String view = line.path("view").asText();
      long incarnation = line.path("birth").asLong();
      List<String> members =
          Arrays.stream(line.path("members").asText().split(" "))
              .filter(m -> !m.isEmpty())
              .toList();
      recordedEvents.add(
          new RecordedEvent(
              scriptTimeS(), index, incarnation, view.equals("none") ? null : view, members));
      if (!isEarlierStart) {
        state.incarnation = incarnation;
        state.view = view.equals("none") ? null : view;
        state.members = members;
      }
    } else if (event.equals("agreement.acts") && !isEarlierStart) {
      boolean isSteppedBack = line.path("mode").asText().equals("back");
      String lineage = state.view == null ? "none" : InvariantChecker.lineage(state.view);
      state.activeVersions =
          isSteppedBack
              ? List.of()
              : Arrays.stream(line.path("editions").asText().split(" "))
                  .map(version -> lineage + "/" + version)
                  .toList();
      recordActivation(index, state.activeVersions);
    } else if (event.equals("spread.parts") && !isEarlierStart && !state.isSuspended) {
      usage.record(
          CapacityUsage.UsageRecord.read(
              index, line.path("us").asLong(), line.path("steps").asText()));
    } else if (event.equals("membership.standing") && !isEarlierStart) {
      state.quorumState = line.path("standing").asText();
    }
    notifyAll();
  }

  /** Starts all processes. */
  public void startAll() throws IOException {
    for (int index = 0; index < processes.length; index++) {
      start(index);
    }
  }

  private void signal(int index, String name) throws IOException, InterruptedException {
    Process process = processes[index].process;
    if (process != null && process.isAlive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** SIGKILL, and waits for the end. */
  public void kill(int index) throws InterruptedException {
    logAction("kill", index);
    processes[index].process.destroyForcibly().waitFor();
    usage.recordEnd(index, nowUs());
    recordActivation(index, List.of());
  }

  /** SIGTERM. */
  public void terminate(int index) throws InterruptedException, IOException {
    logAction("term", index);
    signal(index, "TERM");
  }

  /** SIGSTOP. */
  public void suspend(int index) throws IOException, InterruptedException {
    logAction("stop", index);
    signal(index, "STOP");
    // What it wrote before it stood still is read first.
    TimeUnit.MILLISECONDS.sleep(50);
    processes[index].isSuspended = true;
    usageWhenSuspended.put(index, usage.current(index));
    usage.recordEnd(index, nowUs());
    recordActivation(index, List.of());
  }

  /** SIGCONT. */
  public void resume(int index) throws IOException, InterruptedException {
    recordActivation(index, processes[index].activeVersions);
    usage.recordUntil(usageWhenSuspended.remove(index), nowUs());
    processes[index].isSuspended = false;
    signal(index, "CONT");
    logAction("cont", index);
  }

  /** Whether a process of this number runs, suspended or not. */
  public boolean isAlive(int index) {
    return processes[index].process != null && processes[index].process.isAlive();
  }

  /** Resumes every process that is suspended. */
  void resumeAll() throws IOException, InterruptedException {
    for (int index = 0; index < processes.length; index++) {
      if (processes[index].isSuspended) {
        resume(index);
      }
    }
  }

  /** SIGKILL without a record, for a process that was told to end before. */
  void destroy(int index) throws InterruptedException {
    processes[index].process.destroyForcibly().waitFor();
  }

  boolean isSuspended(int index) {
    return processes[index].isSuspended;
  }

  /** Where a script keeps an earlier persistent state of a process. */
  Path earlierState(int index) {
    return folder.resolve(name(index)).resolve("earlier");
  }

  /** Writes what was done to which process, and when, into the fleet's folder. */
  void writeScriptLog() throws IOException {
    try (BufferedWriter writer = Files.newBufferedWriter(folder.resolve("acts.txt"))) {
      synchronized (this) {
        for (String entry : scriptLog) {
          writer.write(entry + "\n");
        }
      }
    }
  }

  // ---- what is asked

  /** Where a process takes clients. */
  public int port(int index) {
    return ports[index];
  }

  /** All events that processes logged so far, in the order read. */
  public synchronized List<RecordedEvent> recordedEvents() {
    return List.copyOf(recordedEvents);
  }

  /**
   * What processes logged as errors: a fault of a part ends that part while the process serves on.
   */
  public synchronized List<String> errors() {
    return List.copyOf(errors);
  }

  /** The quorum state that a process logged last. */
  public synchronized String quorumState(int index) {
    return processes[index].quorumState;
  }

  /** The id of the view that a process logged last, or null. */
  public synchronized String view(int index) {
    return processes[index].view;
  }

  /** The members of that view, name and incarnation each. */
  public synchronized List<String> members(int index) {
    return processes[index].members;
  }

  /** How often a process logged an event, over all its lives. */
  public synchronized int events(int index, String event) {
    return processes[index].events.getOrDefault(event, 0);
  }

  /** The processes that run now. */
  public synchronized Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int index = 0; index < processes.length; index++) {
      if (isAlive(index)) {
        live.add(new InvariantChecker.Live(index, name(index), processes[index].incarnation));
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
    for (RecordedEvent event : recordedEvents) {
      if (event.view() != null) {
        newest.merge(
            InvariantChecker.lineage(event.view()),
            event,
            (a, b) ->
                InvariantChecker.number(a.view()) < InvariantChecker.number(b.view()) ? b : a);
      }
    }
    Set<String> alive =
        live().stream().map(InvariantChecker.Live::identity).collect(Collectors.toSet());
    return newest.values().stream()
        .allMatch(
            event ->
                event.members().stream().filter(alive::contains).count()
                    < event.members().size() / 2 + 1);
  }

  /** Whether all that run hold one view of exactly these. */
  public synchronized boolean isSettled() {
    Set<InvariantChecker.Live> live = live();
    Set<String> alive =
        live.stream()
            .map(process -> process.name() + "#" + process.birth())
            .collect(Collectors.toCollection(TreeSet::new));
    Set<String> views = new TreeSet<>();
    for (InvariantChecker.Live process : live) {
      if (processes[process.process()].view == null
          || !new TreeSet<>(processes[process.process()].members).equals(alive)) {
        return false;
      }
      views.add(processes[process.process()].view);
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
        long remainingMs = (long) (withinS * 1000) - (System.nanoTime() - from) / 1_000_000;
        if (remainingMs <= 0) {
          return -1;
        }
        wait(Math.min(remainingMs, 50));
      }
    }
    return (System.nanoTime() - from) / 1e9;
  }

  /** Processor time that a process has used, in milliseconds. */
  public double processorMs(int index) {
    return processes[index].process.toHandle().info().totalCpuDuration().orElseThrow().toNanos()
        / 1e6;
  }

  /** The number of datagrams that passed the relays. */
  public long datagramsPassed() {
    return relays.forwardedCount();
  }

  /** Sends bytes to a process, as from no member. */
  public void sendDatagram(int to, byte[] bytes) throws IOException {
    relays.deliver(to, bytes);
  }

  @Override
  public void close() throws IOException {
    for (ProcessRecord state : processes) {
      if (state.process != null) {
        state.process.destroyForcibly();
      }
    }
    relays.close();
  }
}
