package cobaltseam.soak;

import cobaltseam.soak.SoakPlan.Fault;
import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.RequestLedger.Entry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Plays one {@link SoakPlan} on real processes, and records what the checks need. */
final class RestartSoak implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int CORES = 8;
  private static final int START_MS = 30_000;
  private static final int HANG_MS = 60_000;
  private static final int FAULT_MS = 600;
  private static final int RELOADS = 4;

  /** After SIGTERM, requests on open connections are owed an answer for so long. */
  private static final long ADMISSION_NANOS = 700_000_000;

  /** One SIGTERM, in nanoseconds of this process. */
  private record Shutdown(int dispatcher, long signalledAt) {
    /** Whether an answer to this request was owed during the shutdown. */
    boolean owes(Entry entry) {
      return entry.dispatcher() == dispatcher
          && entry.sentAt() < signalledAt + ADMISSION_NANOS
          && entry.endedAt() > signalledAt;
    }
  }

  private final SoakPlan plan;
  private final EmulatedDiscovery bus = new EmulatedDiscovery(HOST);
  private final List<EmulatedEngine> engines = new ArrayList<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<DispatcherProcess> dispatchers = new ArrayList<>();
  private final List<String> configurations = new ArrayList<>();
  private final List<Map<String, Long>> counters = new ArrayList<>();
  private final List<Shutdown> shutdowns = new ArrayList<>();
  private final List<Long> shutdownMs = new ArrayList<>();
  private final List<Long> readyMs = new ArrayList<>();
  private final List<Long> startsAfterDrainMs = new ArrayList<>();
  private final AtomicInteger hangingEngine = new AtomicInteger(-1);
  private int reloads;

  RestartSoak(SoakPlan plan, Path folder) throws IOException {
    this.plan = plan;
    List<String> targets = new ArrayList<>();
    for (int i = 0; i < plan.engines(); i++) {
      int number = i;
      engines.add(new EmulatedEngine(HOST, profile -> runMs(number)));
      targets.add(target(i, "in_service"));
    }
    String known = bus.publish(true, targets.toArray(String[]::new));
    for (int i = 0; i < plan.dispatchers(); i++) {
      addresses.add(freeAddress());
      configurations.add(
          DispatcherProcess.configuration(
              "n" + i, addresses.get(i), i, plan.dispatchers(), CORES, bus, known));
      dispatchers.add(new DispatcherProcess(folder.resolve("n" + i), configurations.get(i), null));
    }
  }

  private long runMs(int engine) {
    return hangingEngine.get() == engine ? HANG_MS : EmulatedEngine.randomAround(plan.engineMs());
  }

  private String target(int engine, String state) {
    return EmulatedDiscovery.endpointJson(engine + 1, engines.get(engine).address(), state);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return new InetSocketAddress(HOST, free.getLocalPort());
    }
  }

  /** Plays the whole plan. */
  SoakRecord play() throws Exception {
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.start();
    }
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.awaitLogLine("serves on", 0, START_MS);
    }
    SoakClients clients = new SoakClients(plan, addresses);
    clients.start();
    for (Fault fault : plan.faults()) {
      Thread.sleep(fault.pauseMs());
      inject(fault);
    }
    Thread.sleep(FAULT_MS);
    List<Entry> requests = clients.stop();
    shutDown(dispatchers);
    return new SoakRecord(
        requests,
        clients.departures().size(),
        startsAfterDepartureMs(clients.departures()),
        executions(true),
        executions(false),
        counters,
        lastAnswersMs(requests),
        readyMs,
        startsAfterDrainMs);
  }

  /** How long after its client had left each request was started last, where it was. */
  private List<Long> startsAfterDepartureMs(Map<String, Long> departures) {
    List<Long> late = new ArrayList<>();
    for (EmulatedEngine engine : engines) {
      departures.forEach(
          (call, leftAt) -> {
            long startedAt = engine.lastStartTimes().getOrDefault(call, leftAt);
            late.add(TimeUnit.NANOSECONDS.toMillis(Math.max(0, startedAt - leftAt)));
          });
    }
    return late;
  }

  /** How long after SIGTERM the last request of each shutdown had its end. */
  private List<Long> lastAnswersMs(List<Entry> requests) {
    List<Long> last = new ArrayList<>();
    for (Shutdown shutdown : shutdowns) {
      long lastNanos =
          requests.stream()
              .filter(shutdown::owes)
              .mapToLong(e -> e.endedAt() - shutdown.signalledAt())
              .max()
              .orElse(0);
      last.add(TimeUnit.NANOSECONDS.toMillis(lastNanos));
    }
    return last;
  }

  /** How long each process took from SIGTERM to its end, in milliseconds. */
  List<Long> shutdownMs() {
    return shutdownMs;
  }

  /** What the report of a long run holds of one seed. */
  String figures() {
    return "ends after SIGTERM " + shutdownMs + " ms, restarts ready " + readyMs + " ms";
  }

  private Map<String, Integer> executions(boolean started) {
    Map<String, Integer> sums = new HashMap<>();
    for (EmulatedEngine engine : engines) {
      engine
          .executions()
          .forEach(
              (call, ran) -> {
                int count = started ? ran.started().get() : ran.completed().get();
                sums.merge(call, count, Integer::sum);
              });
    }
    return sums;
  }

  private void inject(Fault fault) throws Exception {
    int dispatcher = fault.target() % dispatchers.size();
    int engine = fault.target() % engines.size();
    switch (fault.kind()) {
      case RESTART -> restart(dispatcher);
      case RESTART_ALL -> restartAll();
      case RESTART_BETWEEN_RELOADS -> restartBetweenReloads(dispatcher);
      case RESTART_IN_SILENCE -> {
        bus.setSilent(true);
        restart(dispatcher);
        bus.setSilent(false);
      }
      case RESTART_BESIDE_HANGING_ENGINE -> {
        hangingEngine.set(engine);
        Thread.sleep(FAULT_MS);
        restart(dispatcher);
        hangingEngine.set(-1);
        engines.get(engine).resetConnections();
      }
      case RELOADS -> reload(dispatcher, RELOADS);
      case ENGINE_RESET -> engines.get(engine).resetConnections();
      case ENGINE_DRAIN -> drain(engine);
      default -> throw new AssertionError(fault.kind());
    }
  }

  private void restart(int dispatcher) throws Exception {
    shutDown(List.of(dispatchers.get(dispatcher)));
    startAgain(List.of(dispatchers.get(dispatcher)));
  }

  private void restartAll() throws Exception {
    shutDown(dispatchers);
    startAgain(dispatchers);
  }

  private void restartBetweenReloads(int dispatcher) throws Exception {
    reload(dispatcher, 1);
    DispatcherProcess process = dispatchers.get(dispatcher);
    long from = System.nanoTime();
    int line = process.logLineCount();
    process.signal("TERM");
    if (process.isAlive()) {
      process.signal("HUP");
    }
    recordEnd(process, from, line);
    startAgain(List.of(process));
  }

  /** Sends SIGTERM to all of these, and then waits for the end of each. */
  private void shutDown(List<DispatcherProcess> processes) throws Exception {
    long from = System.nanoTime();
    List<Integer> lines = new ArrayList<>();
    for (DispatcherProcess process : processes) {
      lines.add(process.logLineCount());
      process.signal("TERM");
    }
    for (int i = 0; i < processes.size(); i++) {
      recordEnd(processes.get(i), from, lines.get(i));
    }
  }

  private void recordEnd(DispatcherProcess process, long from, int line) throws Exception {
    shutdowns.add(new Shutdown(dispatchers.indexOf(process), from));
    counters.add(process.awaitExit(line));
    shutdownMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
  }

  private void startAgain(List<DispatcherProcess> processes) throws Exception {
    long from = System.nanoTime();
    List<Integer> lines = new ArrayList<>();
    for (DispatcherProcess process : processes) {
      lines.add(process.logLineCount());
      process.start();
    }
    for (int i = 0; i < processes.size(); i++) {
      processes.get(i).awaitLogLine("serves on", lines.get(i), START_MS);
      readyMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
    }
  }

  /** Writes another configuration with each SIGHUP: another quota, which changes nothing here. */
  private void reload(int dispatcher, int times) throws Exception {
    for (int i = 0; i < times; i++) {
      reloads++;
      String quota = "\"quota_rps\":" + (100_000 + reloads);
      dispatchers
          .get(dispatcher)
          .writeConfiguration(
              configurations.get(dispatcher).replace("\"quota_rps\":100000", quota));
      dispatchers.get(dispatcher).signal("HUP");
    }
  }

  private void drain(int engine) throws Exception {
    long published = System.nanoTime();
    bus.publish(false, target(engine, "terminating"));
    Thread.sleep(SoakCheck.DRAIN_MS + FAULT_MS);
    long last =
        engines.get(engine).lastStartTimes().values().stream()
            .mapToLong(Long::longValue)
            .max()
            .orElse(published);
    startsAfterDrainMs.add(TimeUnit.NANOSECONDS.toMillis(Math.max(0, last - published)));
    bus.publish(false, target(engine, "in_service"));
  }

  /** The log of every dispatcher, for the report of a failure. */
  String logs() {
    StringBuilder logs = new StringBuilder();
    dispatchers.forEach(d -> logs.append(d.log()).append("\n---\n"));
    return logs.toString();
  }

  @Override
  public void close() throws IOException {
    dispatchers.forEach(DispatcherProcess::close);
    for (EmulatedEngine engine : engines) {
      engine.close();
    }
    bus.close();
  }
}
