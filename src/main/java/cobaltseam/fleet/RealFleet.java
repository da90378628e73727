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
 * A fleet of real dispatcher processes on loopback under a script of faults: {@link FaultRelays}
 * relay the datagrams; signals suspend and end processes. The JSON log of each process is kept in
 * its folder and read as {@link RecordedEvent}s.
 */
public final class RealFleet implements AutoCloseable {

  /** How often, and how many times in a row, the log of a suspended process must have no input. */
  private static final int LOG_READ_INTERVAL_MS = 5;

  private static final int EMPTY_READS_OF_LOG = 10;

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
   * Chooses ports and writes the configuration of each process; starts none.
   *
   * @param folder where configurations, logs and persistent states are kept
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
   * Changes the maximum number of attempts per request in the configuration of a process and has
   * the process reload it.
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

  /** The versions of the settings on which the processes acted, according to their logs. */
  public synchronized List<ActivationRecord> activations() {
    return List.copyOf(activations);
  }

  /** The versions on which a process acts now; empty if it has fallen back or is not running. */
  public synchronized List<String> activeVersions(int index) {
    return isAlive(index) ? processes[index].activeVersions : List.of();
  }

  /** The share of the engines' capacity that a process may use now; 0 if none. */
  public double usedShare(int index) {
    CapacityUsage.UsageRecord now = usage.current(index);
    return now == null ? 0 : now.amountAt(nowUs());
  }

  /**
   * The largest share of the engines' capacity that all processes used at one time, according to
   * their logs.
   */
  public double peakUsage() {
    return usage.peak(nowUs()).amount();
  }

  /** Returns the machine's monotonic clock, which the processes log as well. */
  private static long nowUs() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Seconds since this fleet was created. */
  public double elapsedS() {
    return (System.nanoTime() - createdNs) / 1e9;
  }

  private synchronized void recordActivation(int index, List<String> versions) {
    activations.add(new ActivationRecord(elapsedS(), index, versions));
  }

  /**
   * Appends lines to the settings file of a process, whose last table is {@code [membership]}, and
   * has the process reload it.
   */
  public void appendSettings(int index, String lines) throws IOException, InterruptedException {
    Files.writeString(
        folder.resolve(name(index)).resolve("cobaltseam.toml"),
        lines + "\n",
        StandardOpenOption.APPEND);
    logAction("hangup", index);
    signal(index, "HUP");
  }

  /**
   * Starts the time of the script now instead of at the first start of a process: bootstrap members
   * that end before there is a view bootstrap none.
   */
  public void startClock() {
    clockStartNs = System.nanoTime();
    relays.setStart(clockStartNs);
  }

  // ---- processes

  /** Seconds since the start of the script. */
  public double scriptTimeS() {
    return (System.nanoTime() - clockStartNs) / 1e9;
  }

  private synchronized void logAction(String action, int index) {
    scriptLog.add(
        String.format(java.util.Locale.ROOT, "%.3f %s %s", scriptTimeS(), action, name(index)));
  }

  /** Adds environment variables to each later start of a process. */
  public void addEnvironment(int index, Map<String, String> variables) {
    processes[index].environment.putAll(variables);
  }

  /** Starts a process, or restarts one that has ended. */
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
    builder.environment().putAll(state.environment);
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
      while (true) {
        processes[index].isLogReaderIdle = !lines.ready();
        String line = lines.readLine();
        processes[index].isLogReaderIdle = false;
        if (line == null) {
          return;
        }
        copy.write(line);
        copy.newLine();
        if (line.startsWith("{")) {
          readLogLine(index, start, JSON.readTree(line));
        }
      }
    } catch (IOException e) {
      // The process was killed in the middle of a line: its log ends there.
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
              index,
              line.path("us").asLong(),
              line.path("machineUs").asLong(),
              line.path("steps").asText()));
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

  /** Sends SIGKILL and waits until the process has ended. */
  public void kill(int index) throws InterruptedException {
    logAction("kill", index);
    processes[index].process.destroyForcibly().waitFor();
    usage.recordEnd(index, nowUs());
    recordActivation(index, List.of());
  }

  /** Sends SIGTERM. */
  public void terminate(int index) throws InterruptedException, IOException {
    logAction("term", index);
    signal(index, "TERM");
  }

  /** Suspends a process with SIGSTOP. */
  public void suspend(int index) throws IOException, InterruptedException {
    logAction("stop", index);
    signal(index, "STOP");
    awaitLogRead(index);
    processes[index].isSuspended = true;
    usageWhenSuspended.put(index, usage.current(index));
    usage.recordEnd(index, nowUs());
    recordActivation(index, List.of());
  }

  /** Waits until all is read that a suspended process logged before its suspension. */
  private void awaitLogRead(int index) throws InterruptedException {
    ProcessRecord state = processes[index];
    int readsInARow = 0;
    while (readsInARow < EMPTY_READS_OF_LOG) {
      TimeUnit.MILLISECONDS.sleep(LOG_READ_INTERVAL_MS);
      boolean isRead = !state.process.isAlive() || state.isLogReaderIdle;
      readsInARow = isRead ? readsInARow + 1 : 0;
    }
  }

  /** Resumes a process with SIGCONT. */
  public void resume(int index) throws IOException, InterruptedException {
    recordActivation(index, processes[index].activeVersions);
    usage.recordUntil(usageWhenSuspended.remove(index), nowUs());
    processes[index].isSuspended = false;
    signal(index, "CONT");
    logAction("cont", index);
  }

  /** Whether a process is running, suspended or not. */
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

  /**
   * Sends SIGKILL without recording it, for a process that ignored SIGTERM, and waits for its end.
   */
  void destroy(int index) throws InterruptedException {
    processes[index].process.destroyForcibly().waitFor();
  }

  boolean isSuspended(int index) {
    return processes[index].isSuspended;
  }

  /** The file in which a script keeps an earlier persistent state of a process. */
  Path earlierState(int index) {
    return folder.resolve(name(index)).resolve("earlier");
  }

  /**
   * Writes the actions of the script on processes, with their times, into the folder of the fleet.
   */
  void writeScriptLog() throws IOException {
    try (BufferedWriter writer = Files.newBufferedWriter(folder.resolve("acts.txt"))) {
      synchronized (this) {
        for (String entry : scriptLog) {
          writer.write(entry + "\n");
        }
      }
    }
  }

  // ---- observations

  /** The port on which a process accepts clients. */
  public int port(int index) {
    return ports[index];
  }

  /** All events that processes have logged so far, in the order in which they were read. */
  public synchronized List<RecordedEvent> recordedEvents() {
    return List.copyOf(recordedEvents);
  }

  /**
   * The lines that processes logged as errors, including failures of one component that leave the
   * process serving.
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

  /** How often a process logged an event, over all its restarts. */
  public synchronized int events(int index, String event) {
    return processes[index].events.getOrDefault(event, 0);
  }

  /** The processes that are running, suspended or not. */
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
   * Whether in every lineage less than a majority of the newest view is alive, so that no view can
   * follow without an operator.
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

  /** Whether all running processes have installed one view whose members are exactly these. */
  public synchronized boolean isSettled() {
    Set<InvariantChecker.Live> live = live();
    Set<String> alive =
        live.stream()
            .map(liveProcess -> liveProcess.name() + "#" + liveProcess.birth())
            .collect(Collectors.toCollection(TreeSet::new));
    Set<String> views = new TreeSet<>();
    for (InvariantChecker.Live liveProcess : live) {
      if (processes[liveProcess.process()].view == null
          || !new TreeSet<>(processes[liveProcess.process()].members).equals(alive)) {
        return false;
      }
      views.add(processes[liveProcess.process()].view);
    }
    return views.size() == 1;
  }

  /**
   * Waits until {@link #isSettled}.
   *
   * @return the seconds waited, or -1 if the fleet did not settle in time
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

  /** The number of datagrams that the relays have forwarded. */
  public long datagramsPassed() {
    return relays.forwardedCount();
  }

  /** Sends a datagram to a process from an address that belongs to no member. */
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
