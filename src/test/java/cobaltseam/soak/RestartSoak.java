package cobaltseam.soak;

import cobaltseam.soak.SoakPlan.CallFault;
import cobaltseam.soak.SoakPlan.Fault;
import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EmulatedDiscovery;
import cobaltseam.standin.EmulatedEngine;
import cobaltseam.standin.EmulatedEngine.AttemptRecord;
import cobaltseam.standin.RequestLedger.Entry;
import cobaltseam.standin.SystemCallFaults;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** Runs one {@link SoakPlan} on dispatcher processes, and creates the record for the checks. */
final class RestartSoak implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int CORES = 8;
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int HANGING_EXECUTION_MS = 60_000;
  private static final int SETTLE_MS = 600;
  private static final int RELOAD_COUNT = 4;
  private static final int SUSPENSION_MS = 400;

  /** The time without faults at the start of a run, in which every request has to succeed. */
  private static final int QUIET_MS = 1500;

  /** One in this many answers has a fault, where a run has faults of answers. */
  private static final int ANSWERS_PER_FAULT = 10;

  private static final int[] CLOCK_STEPS_S = {5, -5, 3600, -3600, 0};

  /** How long after SIGTERM a dispatcher still admits requests on open connections. */
  private static final long SHUTDOWN_DELAY_NANOS = 700_000_000;

  /** One SIGTERM to a dispatcher, with its time in nanoseconds of {@link System#nanoTime}. */
  private record Shutdown(int dispatcher, long signalledAt) {
    /** Returns whether a request was pending during the shutdown and has to be answered. */
    boolean wasPending(Entry entry) {
      return entry.dispatcher() == dispatcher
          && entry.sentAt() < signalledAt + SHUTDOWN_DELAY_NANOS
          && entry.endedAt() > signalledAt;
    }
  }

  private final SoakPlan plan;
  private final EmulatedDiscovery discovery = new EmulatedDiscovery(HOST);
  private final List<EmulatedEngine> engines = new ArrayList<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<DispatcherProcess> dispatchers = new ArrayList<>();
  private final List<String> configurations = new ArrayList<>();
  private final List<Map<String, Long>> counters = new ArrayList<>();
  private final List<Shutdown> shutdowns = new ArrayList<>();
  private final List<Long> shutdownMs = new ArrayList<>();
  private final List<Long> readyMs = new ArrayList<>();
  private final List<Long> startsAfterDrainMs = new ArrayList<>();
  private final SystemCallFaults callFaults;
  private final IdleCrowd crowd;
  private int killed;
  private final AtomicInteger hangingEngine = new AtomicInteger(-1);
  private int reloads;

  RestartSoak(SoakPlan plan, Path folder) throws Exception {
    this.plan = plan;
    callFaults =
        SystemCallFaults.isCompilerInstalled()
            ? new SystemCallFaults(folder, null, plan.seed())
            : null;
    if (callFaults == null) {
      System.out.println("NOT INJECTED, no C compiler is installed: faults of system calls");
    }
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < plan.engines(); i++) {
      int engine = i;
      engines.add(new EmulatedEngine(HOST, requestClass -> executionMs(engine)));
      endpoints.add(endpointJson(i, "in_service"));
    }
    String knownEvents = discovery.publish(true, endpoints.toArray(String[]::new));
    for (int i = 0; i < plan.dispatchers(); i++) {
      addresses.add(DispatcherProcess.freeAddress(HOST));
      configurations.add(
          DispatcherProcess.configuration(
              "n" + i, addresses.get(i), i, plan.dispatchers(), CORES, discovery, knownEvents));
      dispatchers.add(new DispatcherProcess(folder.resolve("n" + i), configurations.get(i), null));
      if (callFaults != null) {
        dispatchers.get(i).setFaults(callFaults);
      }
    }
    crowd = new IdleCrowd(addresses, plan.conditions().crowd());
  }

  private long executionMs(int engine) {
    return hangingEngine.get() == engine
        ? HANGING_EXECUTION_MS
        : EmulatedEngine.randomAround(plan.engineMs());
  }

  private String endpointJson(int engine, String state) {
    return EmulatedDiscovery.endpointJson(engine + 1, engines.get(engine).address(), state);
  }

  /** Starts all dispatchers and clients, injects the faults of the plan, and stops everything. */
  SoakRecord run() throws Exception {
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.start();
    }
    for (DispatcherProcess dispatcher : dispatchers) {
      dispatcher.awaitLogLine("serves on", 0, START_TIMEOUT_MS);
    }
    SoakClients clients = new SoakClients(plan, addresses);
    applyConditions();
    crowd.start();
    clients.start();
    Thread.sleep(QUIET_MS);
    long quietUntil = System.nanoTime();
    for (Fault fault : plan.faults()) {
      Thread.sleep(fault.pauseMs());
      inject(fault);
    }
    Thread.sleep(SETTLE_MS);
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
        startsAfterDrainMs,
        quietRequests(requests, quietUntil),
        quietConnectMs(clients, quietUntil),
        overlappingAttempts(),
        killed);
  }

  private void applyConditions() {
    if (plan.conditions().hasAnswerFaults()) {
      engines.forEach(engine -> engine.injectAnswerFaults(ANSWERS_PER_FAULT));
    }
    CallFault fault = plan.conditions().callFault();
    if (fault != null && callFaults != null) {
      callFaults.inject(fault.call(), fault.failure(), fault.oneIn());
    }
  }

  /** Returns {@link SoakRecord#quietRequests}. */
  private List<Entry> quietRequests(List<Entry> requests, long quietUntil) {
    boolean isQuiet = !plan.conditions().hasAnswerFaults() && plan.conditions().crowd() == 0;
    return requests.stream().filter(e -> isQuiet && e.endedAt() < quietUntil).toList();
  }

  /** Returns {@link SoakRecord#quietConnectMs}. */
  private List<Long> quietConnectMs(SoakClients clients, long quietUntil) {
    boolean isQuiet = plan.conditions().crowd() == 0;
    return clients.connects().stream()
        .filter(connect -> isQuiet && connect.endedAt() < quietUntil)
        .map(connect -> TimeUnit.NANOSECONDS.toMillis(connect.endedAt() - connect.startedAt()))
        .toList();
  }

  /** Returns {@link SoakRecord#overlappingAttempts}. */
  private List<AttemptRecord> overlappingAttempts() {
    Map<String, List<AttemptRecord>> attemptsByCall =
        engines.stream()
            .flatMap(engine -> engine.attempts().stream())
            .collect(Collectors.groupingBy(AttemptRecord::callId));
    return attemptsByCall.values().stream()
        .flatMap(all -> all.stream().filter(a -> all.stream().anyMatch(a::overlaps)))
        .toList();
  }

  /** Returns {@link SoakRecord#startsAfterDepartureMs}. */
  private List<Long> startsAfterDepartureMs(Map<String, Long> departures) {
    List<Long> delaysMs = new ArrayList<>();
    for (EmulatedEngine engine : engines) {
      departures.forEach(
          (callId, departedAt) -> {
            long startedAt = engine.lastStartTimes().getOrDefault(callId, departedAt);
            delaysMs.add(TimeUnit.NANOSECONDS.toMillis(Math.max(0, startedAt - departedAt)));
          });
    }
    return delaysMs;
  }

  /** Returns {@link SoakRecord#lastAnswersMs}. */
  private List<Long> lastAnswersMs(List<Entry> requests) {
    List<Long> lastAnswers = new ArrayList<>();
    for (Shutdown shutdown : shutdowns) {
      long lastNanos =
          requests.stream()
              .filter(shutdown::wasPending)
              .mapToLong(e -> e.endedAt() - shutdown.signalledAt())
              .max()
              .orElse(0);
      lastAnswers.add(TimeUnit.NANOSECONDS.toMillis(lastNanos));
    }
    return lastAnswers;
  }

  /** Returns the time from SIGTERM to the end of each process, in milliseconds. */
  List<Long> shutdownMs() {
    return shutdownMs;
  }

  /** Returns the times of shutdowns and restarts, for the report of a long run. */
  String summary() {
    return "shutdowns took " + shutdownMs + " ms, restarts took " + readyMs + " ms";
  }

  private Map<String, Integer> executions(boolean countsStarts) {
    Map<String, Integer> sums = new HashMap<>();
    for (EmulatedEngine engine : engines) {
      engine
          .executions()
          .forEach(
              (callId, counts) -> {
                int count = countsStarts ? counts.started().get() : counts.completed().get();
                sums.merge(callId, count, Integer::sum);
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
        discovery.setSilent(true);
        restart(dispatcher);
        discovery.setSilent(false);
      }
      case RESTART_IN_SIGNAL_SERIES -> restartInSignalSeries(dispatcher);
      case RESTART_KILLED_AT_EARLIEST -> restartKilledAtEarliest(dispatcher);
      case SUSPENSION -> suspend(dispatchers.get(dispatcher));
      case CLOCK_STEPS -> stepClock();
      case RESTART_BESIDE_HANGING_ENGINE -> {
        hangingEngine.set(engine);
        Thread.sleep(SETTLE_MS);
        restart(dispatcher);
        hangingEngine.set(-1);
        engines.get(engine).resetConnections();
      }
      case RELOADS -> reload(dispatcher, RELOAD_COUNT);
      case ENGINE_RESET -> engines.get(engine).resetConnections();
      case ENGINE_DRAIN -> drain(engine);
      default -> throw new AssertionError(fault.kind());
    }
  }

  private void restart(int dispatcher) throws Exception {
    shutDown(List.of(dispatchers.get(dispatcher)));
    startAll(List.of(dispatchers.get(dispatcher)));
  }

  private void restartAll() throws Exception {
    shutDown(dispatchers);
    startAll(dispatchers);
  }

  private void restartBetweenReloads(int dispatcher) throws Exception {
    reload(dispatcher, 1);
    DispatcherProcess process = dispatchers.get(dispatcher);
    long signalledAt = System.nanoTime();
    int fromLine = process.logLineCount();
    process.signal("TERM");
    if (process.isAlive()) {
      process.signal("HUP");
    }
    recordShutdown(process, signalledAt, fromLine);
    startAll(List.of(process));
  }

  private void restartInSignalSeries(int dispatcher) throws Exception {
    DispatcherProcess process = dispatchers.get(dispatcher);
    long signalledAt = System.nanoTime();
    int fromLine = process.logLineCount();
    process.signal("TERM");
    process.signal("HUP");
    suspend(process);
    if (process.isAlive()) {
      process.signal("TERM");
    }
    recordShutdown(process, signalledAt, fromLine);
    startAll(List.of(process));
  }

  private void restartKilledAtEarliest(int dispatcher) throws Exception {
    DispatcherProcess process = dispatchers.get(dispatcher);
    long signalledAt = System.nanoTime();
    int fromLine = process.logLineCount();
    process.signal("TERM");
    if (process.awaitExitWithin(SoakCheck.MAX_LAST_ANSWER_MS)) {
      recordShutdown(process, signalledAt, fromLine);
    } else {
      process.kill();
      killed++;
      shutdowns.add(new Shutdown(dispatcher, signalledAt));
    }
    startAll(List.of(process));
  }

  private static void suspend(DispatcherProcess process) throws Exception {
    process.signal("STOP");
    Thread.sleep(SUSPENSION_MS);
    process.signal("CONT");
  }

  private void stepClock() throws Exception {
    for (int seconds : CLOCK_STEPS_S) {
      if (callFaults != null) {
        callFaults.setClockOffset(seconds, TimeUnit.SECONDS);
      }
      Thread.sleep(SETTLE_MS);
    }
  }

  /** Sends SIGTERM to several dispatchers, and then waits until each has ended. */
  private void shutDown(List<DispatcherProcess> processes) throws Exception {
    long signalledAt = System.nanoTime();
    List<Integer> fromLines = new ArrayList<>();
    for (DispatcherProcess process : processes) {
      fromLines.add(process.logLineCount());
      process.signal("TERM");
    }
    for (int i = 0; i < processes.size(); i++) {
      recordShutdown(processes.get(i), signalledAt, fromLines.get(i));
    }
  }

  private void recordShutdown(DispatcherProcess process, long signalledAt, int fromLine)
      throws Exception {
    shutdowns.add(new Shutdown(dispatchers.indexOf(process), signalledAt));
    counters.add(process.awaitExit(fromLine));
    shutdownMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAt));
  }

  private void startAll(List<DispatcherProcess> processes) throws Exception {
    long startedAt = System.nanoTime();
    List<Integer> fromLines = new ArrayList<>();
    for (DispatcherProcess process : processes) {
      fromLines.add(process.logLineCount());
      process.start();
    }
    for (int i = 0; i < processes.size(); i++) {
      processes.get(i).awaitLogLine("serves on", fromLines.get(i), START_TIMEOUT_MS);
      readyMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
    }
  }

  /**
   * Writes a new configuration before each SIGHUP. Only the quota changes, and it is always higher
   * than the load.
   */
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
    long publishedAt = System.nanoTime();
    discovery.publish(false, endpointJson(engine, "terminating"));
    Thread.sleep(SoakCheck.MAX_START_AFTER_DRAIN_MS + SETTLE_MS);
    long lastStart =
        engines.get(engine).lastStartTimes().values().stream()
            .mapToLong(Long::longValue)
            .max()
            .orElse(publishedAt);
    startsAfterDrainMs.add(TimeUnit.NANOSECONDS.toMillis(Math.max(0, lastStart - publishedAt)));
    discovery.publish(false, endpointJson(engine, "in_service"));
  }

  /** Returns the logs of all dispatchers, for the report of a failure. */
  String logs() {
    StringBuilder logs = new StringBuilder();
    dispatchers.forEach(dispatcher -> logs.append(dispatcher.log()).append("\n---\n"));
    return logs.toString();
  }

  @Override
  public void close() throws IOException {
    crowd.close();
    dispatchers.forEach(DispatcherProcess::close);
    for (EmulatedEngine engine : engines) {
      engine.close();
    }
    discovery.close();
  }
}
