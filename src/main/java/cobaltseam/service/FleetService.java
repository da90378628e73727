package cobaltseam.service;

import cobaltseam.capacity.CapacityLeases;
import cobaltseam.capacity.LoadReports.LoadReport;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.membership.Membership;
import cobaltseam.membership.QuorumState;
import cobaltseam.membership.ViewId;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.sharing.MemberFigures;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This dispatcher's part in its fleet, on a thread of its own. It passes messages and time to the
 * {@link FleetCoordinator} and publishes the results for the event loop through the {@link
 * FleetBridge}. A fault here ends fleet membership until the next start and nothing else: the
 * service goes on as one without it.
 */
final class FleetService {
  private static final System.Logger LOG = System.getLogger(FleetService.class.getName());
  private static final TimeSpan MAX_WAIT = new TimeSpan(1_000_000);

  /** Tasks run in one turn before due timers are looked at. */
  private static final int MAX_TASKS_PER_TURN = 1024;

  /** The rows of SHOW are no older than this. */
  private static final TimeSpan STATUS_REFRESH_INTERVAL = new TimeSpan(100_000);

  private static final TimeSpan FIGURES_INTERVAL = new TimeSpan(250_000);

  /** A timer that is late by more than this part of a period means that the process stood still. */
  private static final double MAX_LATE_PERIODS = 0.5;

  private final Settings.MembershipSettings settings;
  private final Settings.CapacitySettings capacitySettings;
  private final FleetBridge bridge;
  private final Clock clock;
  private final Counters counters;
  private final EventLoopQueue inbox;
  private final Timers timers = new Timers();
  private final FleetMessaging messaging;
  private final FleetStateFolder folder;
  private final FleetModules modules;
  private final Membership membership;
  private final AgreedConfiguration agreed;
  private final FleetCoordinator coordinator;
  private final FleetStatusRows status;

  /** The view that an operator's re-bootstrap replaced, or null. */
  private String rebootstrappedView;

  private Timers.Timer wakeTimer;
  private Timers.Timer carriersTimer;
  private Timers.Timer statusTimer;
  private Timestamp dueAt;
  private Timestamp figuresAt;
  private QuorumState quorumState = QuorumState.NONE;
  private FleetSnapshot snapshot = FleetSnapshot.NONE;

  /** Set once, by the fleet's thread. */
  private volatile boolean hasFailed;

  private volatile boolean isClosed;

  /**
   * @param settings with membership on
   * @param document this dispatcher's own settings; used if the fleet agrees on settings
   * @param hasMastership whether mastership, and not the fleet, says over how many dispatchers
   *     engines are shared
   */
  FleetService(
      Settings settings,
      ServiceConfiguration configuration,
      byte[] document,
      FleetBridge bridge,
      ClientSessions clients,
      boolean hasMastership,
      Clock clock,
      Counters counters) {
    this.settings = settings.membership();
    capacitySettings = settings.capacity();
    this.bridge = bridge;
    this.clock = clock;
    this.counters = counters;
    inbox = new EventLoopQueue(counters);
    RateLimitedLog log = new RateLimitedLog(LOG, clock);
    messaging = new FleetMessaging(this.settings, counters, log, this::receive);
    folder = new FleetStateFolder(this.settings.stateFolder(), this::stored, this::notStored);
    modules =
        new FleetModules(
            settings,
            configuration,
            document,
            folder,
            messaging,
            bridge,
            counters,
            log,
            clock.now());
    membership = modules.membership;
    agreed = modules.agreed;
    coordinator = modules.coordinator;
    status =
        new FleetStatusRows(
            settings, modules, folder, messaging, bridge, hasMastership, counters, clock);
    status.register(clients);
    // First in the queue: neither a message from the socket nor a hang-up may run before the start.
    inbox.post(null, () -> act(() -> coordinator.start(clock.now())));
  }

  private void stored(long number) {
    inbox.post(null, () -> act(() -> coordinator.persisted(number, clock.now())));
  }

  private void notStored(String reason) {
    inbox.post(null, () -> act(() -> coordinator.persistFailed(reason, clock.now())));
  }

  // ---- start and end

  /**
   * Opens the socket, publishes the first snapshot and the first rows of SHOW, and starts the
   * thread.
   *
   * @throws IOException if the address can't be bound
   */
  void open() throws IOException {
    messaging.open();
    LOG.log(
        Level.INFO,
        "member {0}, incarnation {1}, of fleet {2} on {3}",
        Field.of("member", membership.self().name()),
        Field.of("birth", membership.self().incarnation()),
        Field.of("fleet", settings.fleet()),
        Field.of("address", settings.advertise()),
        Field.event("membership.opened"));
    if (agreed != null) {
      LOG.log(
          Level.INFO,
          "no settings are agreed yet: a conservative reading of the own settings is active",
          Field.event("agreement.starts_back"));
    }
    publish();
    // Clients may ask before the thread has built rows for the first time.
    status.refresh();
    Thread thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!isClosed) {
        runTasks();
        detectPause();
        runDueTimers();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runTasks() throws InterruptedException {
    Runnable task = inbox.poll(timers.untilNext(clock.now(), MAX_WAIT));
    int taskCount = 1;
    while (task != null) {
      detectPause();
      task.run();
      task = taskCount < MAX_TASKS_PER_TURN ? inbox.poll(TimeSpan.ZERO) : null;
      taskCount++;
    }
  }

  private void runDueTimers() {
    for (Runnable due = timers.pollDue(clock.now());
        due != null;
        due = timers.pollDue(clock.now())) {
      try {
        due.run();
      } catch (RuntimeException e) {
        fail(e);
      }
    }
  }

  /** Tells the other members that this one leaves, so that none suspects it. */
  void leave() {
    inbox.post(null, () -> act(() -> coordinator.leave(clock.now())));
  }

  /** Ends the thread, the socket and the writer of the folder. */
  void close() {
    isClosed = true;
    messaging.close();
    folder.close();
  }

  /** Whether a fault has ended membership. */
  boolean isEnded() {
    return hasFailed;
  }

  /** Proposes settings to the fleet. */
  void propose(byte[] document) {
    inbox.post(
        null,
        () ->
            act(
                () -> {
                  agreed.propose(document, clock.now());
                  coordinator.follow(clock.now());
                }));
  }

  /**
   * Applies what the own settings file says now: an operator's re-bootstrap takes effect, all else
   * waits for the next start.
   */
  void applyRenewedSettings(Settings.MembershipSettings renewed) {
    inbox.post(null, () -> applyRenewed(renewed));
  }

  private void applyRenewed(Settings.MembershipSettings renewed) {
    if (!renewed.withStartupSettingsOnly().equals(settings.withStartupSettingsOnly())) {
      LOG.log(
          Level.WARNING,
          "of [membership] only found_anew is read before the next start",
          Field.event("configuration.partly"));
    }
    String view = renewed.rebootstrapView();
    if (view != null && !view.equals(rebootstrappedView)) {
      act(() -> coordinator.rebootstrap(ViewId.parse(view), clock.now()));
      // A request that was rejected may be repeated with the same view.
      boolean isDone =
          membership.view() != null
              && membership.view().id().lineage() == membership.self().incarnation().value();
      rebootstrappedView = isDone ? view : null;
    }
  }

  // ---- messages and time

  /** Called on the socket's reading thread. */
  private void receive(byte[] datagram) {
    inbox.post(
        null,
        () -> {
          messaging.release(datagram);
          if (!hasFailed) {
            messaging
                .decode(datagram)
                .ifPresent(message -> act(() -> coordinator.receive(message, clock.now())));
          }
        });
  }

  /**
   * Runs what is overdue before any other task if this process stood still, since its view may be
   * an old one then.
   */
  private void detectPause() {
    if (!hasFailed
        && dueAt != null
        && clock.now().since(dueAt).compareTo(settings.period().times(MAX_LATE_PERIODS)) > 0) {
      runDue();
    }
  }

  private void runDue() {
    messaging.countDropped();
    act(() -> coordinator.advance(clock.now()));
  }

  // ---- results

  /**
   * Runs one step of the modules, publishes its results and only then sends its messages: a member
   * that is lent capacity may use it at once, so by then this process must not. A fault ends
   * membership and nothing else.
   */
  private void act(Runnable step) {
    if (hasFailed) {
      return;
    }
    try {
      shareFigures();
      if (modules.loadReports != null) {
        bridge.localReports().forEach(modules.loadReports::addLocalReport);
      }
      step.run();
      if (modules.loadReports != null) {
        List<LoadReport> received = modules.loadReports.takeReceivedReports();
        if (!received.isEmpty()) {
          bridge.addRemoteReports(received);
        }
      }
      Timestamp now = clock.now();
      scheduleWake(now);
      logQuorumState();
      scheduleCarriersChange();
      publish();
      messaging.sendQueued();
      if (statusTimer == null) {
        statusTimer = timers.set(now.plus(STATUS_REFRESH_INTERVAL), this::refreshStatus);
      }
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  private void scheduleWake(Timestamp now) {
    timers.cancel(wakeTimer);
    dueAt = coordinator.nextAdvanceAt(now);
    wakeTimer = dueAt == null ? null : timers.set(dueAt, this::runDue);
  }

  private void scheduleCarriersChange() {
    timers.cancel(carriersTimer);
    Timestamp at = membership.nextEngineSharerExpiry();
    carriersTimer = at == null ? null : timers.set(at, () -> act(() -> {}));
  }

  /** Shares this dispatcher's demand and its spare retries with the other members. */
  private void shareFigures() {
    Timestamp now = clock.now();
    if (modules.gossip == null
        || figuresAt != null && now.since(figuresAt).compareTo(FIGURES_INTERVAL) < 0) {
      return;
    }
    figuresAt = now;
    Map<String, Long> figures = new HashMap<>();
    if (modules.capacityLeases != null) {
      double rate = modules.demand.update(bridge.totalDemand(), now);
      modules.capacityLeases.setDemand(rate);
      figures.put(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(rate));
    }
    if (modules.retryBudget != null) {
      figures.put(FleetCoordinator.SPARE_RETRIES_FIGURE, modules.retryBudget.spareUnits());
    }
    modules.gossip.setOwnFigures(new MemberFigures(figures));
  }

  private void logQuorumState() {
    QuorumState current = membership.quorumState();
    if (current != quorumState) {
      quorumState = current;
      LOG.log(
          Level.INFO,
          "quorum state: {0}",
          Field.of("standing", current.label()),
          Field.event("membership.standing"));
    }
  }

  /** Publishes a snapshot for the event loop if anything in it has changed. */
  private void publish() {
    Timestamp now = clock.now();
    FleetSnapshot current = currentSnapshot(now);
    if (current.isLike(snapshot)) {
      return;
    }
    snapshot = current;
    bridge.publish(current);
    if (modules.isDividedByDemand() && capacitySettings.logsChanges()) {
      LOG.log(
          Level.INFO,
          "usable parts of the engines, each with its end: {0}",
          Field.of("steps", current.stepsText()),
          Field.of("us", now.us()),
          Field.event("spread.parts"));
    }
  }

  private FleetSnapshot currentSnapshot(Timestamp now) {
    int carriers = membership.engineSharerCount(now);
    FleetSnapshot current = new FleetSnapshot(carriers, null, null, Long.MAX_VALUE, null, null);
    if (agreed != null) {
      Timestamp until = agreed.activeUntil(now);
      long untilUs = until == null ? 0 : until.us();
      current =
          new FleetSnapshot(carriers, agreed.active(), agreed.conservative(), untilUs, null, null);
    }
    return modules.capacityLeases == null
        ? current
        : current.withParts(modules.capacityLeases.usableSteps(now), capacitySettings.totalUnits());
  }

  /** Ends membership until the next start; the service goes on as one without it. */
  private void fail(RuntimeException cause) {
    if (hasFailed) {
      return;
    }
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "a fault in membership, which ends here until the next start", cause);
    hasFailed = true;
    status.markFailed();
    timers.cancel(wakeTimer);
    timers.cancel(carriersTimer);
    bridge.publish(failedSnapshot());
    close();
    try {
      refreshStatus();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "the shown status of membership is the one before its fault", e);
    }
  }

  /** The snapshot after a fault: conservative settings, and the standalone part of the engines. */
  private FleetSnapshot failedSnapshot() {
    Deployment conservative = agreed == null ? null : agreed.conservative();
    FleetSnapshot last =
        new FleetSnapshot(0, conservative, conservative, Long.MAX_VALUE, null, null);
    if (modules.capacityLeases == null) {
      return last;
    }
    long standalone =
        capacitySettings.capacityOptions(bridge.configuredDispatchers()).standaloneAmount();
    return last.withParts(
        List.of(new CapacityLeases.CapacityStep(null, standalone)), capacitySettings.totalUnits());
  }

  private void refreshStatus() {
    statusTimer = null;
    status.refresh();
  }
}
