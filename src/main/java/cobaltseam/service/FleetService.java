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
import cobaltseam.service.EventLoopQueue.PostedTask;
import cobaltseam.settings.Settings;
import cobaltseam.sharing.MemberFigures;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the fleet membership of this dispatcher on a thread of its own. It passes messages and time
 * to the {@link FleetCoordinator} and publishes the results for the event loop through the {@link
 * FleetBridge}. An unexpected exception here ends fleet membership until the next start and nothing
 * else: the service continues as it would without a fleet.
 */
final class FleetService {
  private static final System.Logger LOG = System.getLogger(FleetService.class.getName());
  private static final TimeSpan MAX_TASK_WAIT = new TimeSpan(1_000_000);

  /** The number of tasks after which due timers run, however many tasks still wait. */
  private static final int MAX_TASKS_PER_ITERATION = 1024;

  /** The longest delay after which a change is visible in the rows of SHOW. */
  private static final TimeSpan STATUS_REFRESH_INTERVAL = new TimeSpan(100_000);

  /** The interval in which this dispatcher updates the figures that it shares. */
  private static final TimeSpan FIGURES_INTERVAL = new TimeSpan(250_000);

  /**
   * The delay of a timer, in periods of the failure detector, above which this process counts as
   * suspended.
   */
  private static final double MAX_TIMER_DELAY_PERIODS = 0.5;

  private final Settings.MembershipSettings settings;
  private final Settings.CapacitySettings capacitySettings;
  private final FleetBridge bridge;
  private final Clock clock;
  private final Counters counters;
  private final EventLoopQueue taskQueue;
  private final Timers timers = new Timers();
  private final FleetMessaging messaging;
  private final FleetStateFolder folder;
  private final FleetModules modules;
  private final Membership membership;
  private final AgreedConfiguration agreed;
  private final FleetCoordinator coordinator;
  private final FleetStatusRows status;

  /** The view that an operator's re-bootstrap has replaced, or null. */
  private String rebootstrappedView;

  private Timers.Timer advanceTimer;
  private Timers.Timer sharerExpiryTimer;
  private Timers.Timer statusTimer;
  private Timestamp advanceDueAt;
  private Timestamp figuresSharedAt;
  private QuorumState quorumState = QuorumState.NONE;
  private FleetSnapshot publishedSnapshot = FleetSnapshot.NONE;

  /** Whether an unexpected exception has ended membership. Set once, by the fleet's thread. */
  private volatile boolean hasFailed;

  private volatile boolean isClosed;

  /**
   * @param settings settings that enable membership
   * @param document the dispatch settings of this dispatcher; used only if the fleet agrees on
   *     settings
   * @param hasMastership whether mastership, and not the fleet, determines the number of
   *     dispatchers that share the engines
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
    taskQueue = new EventLoopQueue(counters);
    RateLimitedLog log = new RateLimitedLog(LOG, clock);
    messaging = new FleetMessaging(this.settings, counters, log, this::receive);
    folder = new FleetStateFolder(this.settings.stateFolder(), counters, new StateFolderListener());
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
    // Posted first, so that neither a received message nor a reload runs before the start.
    taskQueue.post(null, () -> runStep(() -> coordinator.start(clock.now())));
  }

  /** Passes the outcomes of writes to the state folder on to the fleet's thread. */
  private final class StateFolderListener implements FleetStateFolder.Listener {
    @Override
    public void onStateWritten(long number) {
      taskQueue.post(null, () -> runStep(() -> coordinator.persisted(number, clock.now())));
    }

    @Override
    public void onOutage(String reason) {
      taskQueue.post(null, () -> runStep(() -> coordinator.persistFailed(reason, clock.now())));
    }
  }

  // ---- life cycle

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
        "member {0}, incarnation {1}, joins fleet {2} and is reachable at {3}",
        Field.of("member", membership.self().name()),
        Field.of("birth", membership.self().incarnation()),
        Field.of("fleet", settings.fleet()),
        Field.of("address", settings.advertise()),
        Field.event("membership.opened"));
    if (agreed != null) {
      LOG.log(
          Level.INFO,
          "the fleet has not agreed on dispatch settings yet: a conservative variant of those in the"
              + " configuration file is active",
          Field.event("agreement.starts_back"));
    }
    publish();
    // A client may send SHOW before the thread builds the rows for the first time.
    status.refresh();
    Thread thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!isClosed) {
        runTasks();
        detectSuspension();
        runDueTimers();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runTasks() throws InterruptedException {
    PostedTask task = taskQueue.poll(timers.untilNext(clock.now(), MAX_TASK_WAIT));
    int taskCount = 1;
    while (task != null) {
      detectSuspension();
      task.run();
      task = taskCount < MAX_TASKS_PER_ITERATION ? taskQueue.poll(TimeSpan.ZERO) : null;
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

  /** Notifies the other members that this one leaves, so that none suspects it. */
  void leave() {
    taskQueue.post(null, () -> runStep(() -> coordinator.leave(clock.now())));
  }

  /** Stops the thread, and closes the socket and the writer of the state folder. */
  void close() {
    isClosed = true;
    messaging.close();
    folder.close();
  }

  /** Whether an unexpected exception has ended membership. */
  boolean isEnded() {
    return hasFailed;
  }

  /** Proposes dispatch settings to the fleet. */
  void propose(byte[] document) {
    taskQueue.post(
        null,
        () ->
            runStep(
                () -> {
                  agreed.propose(document, clock.now());
                  coordinator.update(clock.now());
                }));
  }

  /**
   * Applies reloaded settings. A re-bootstrap that an operator requests takes effect; all other
   * changes wait for the next start.
   */
  void applyReloadedSettings(Settings.MembershipSettings reloaded) {
    taskQueue.post(null, () -> applyReloaded(reloaded));
  }

  private void applyReloaded(Settings.MembershipSettings reloaded) {
    if (!reloaded.withStartupSettingsOnly().equals(settings.withStartupSettingsOnly())) {
      LOG.log(
          Level.WARNING,
          "of the reloaded [membership] settings only found_anew was applied; restart to apply the"
              + " others",
          Field.event("configuration.partly"));
    }
    String view = reloaded.rebootstrapView();
    if (view != null && !view.equals(rebootstrappedView)) {
      runStep(() -> coordinator.rebootstrap(ViewId.parse(view), clock.now()));
      // After a rejection the operator may request the same view again.
      boolean isRebootstrapped =
          membership.view() != null
              && membership.view().id().lineage() == membership.self().incarnation().value();
      rebootstrappedView = isRebootstrapped ? view : null;
    }
  }

  // ---- messages and time

  /** Called on the socket's reading thread. */
  private void receive(byte[] datagram) {
    taskQueue.post(
        null,
        () -> {
          messaging.release(datagram);
          if (!hasFailed) {
            messaging
                .decode(datagram)
                .ifPresent(message -> runStep(() -> coordinator.receive(message, clock.now())));
          }
        });
  }

  /**
   * Runs the overdue advance before any other task if this process was suspended, since its view
   * may be outdated.
   */
  private void detectSuspension() {
    if (!hasFailed
        && advanceDueAt != null
        && clock
                .now()
                .since(advanceDueAt)
                .compareTo(settings.period().times(MAX_TIMER_DELAY_PERIODS))
            > 0) {
      advance();
    }
  }

  private void advance() {
    messaging.countDropped();
    runStep(() -> coordinator.advance(clock.now()));
  }

  // ---- results

  /**
   * Runs one step of the modules, publishes its results and only then sends its messages. The order
   * matters because a member that is lent capacity may use it at once, and by then this process
   * must have stopped using it. An unexpected exception ends membership and nothing else.
   */
  private void runStep(Runnable step) {
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
      scheduleAdvance(now);
      logQuorumState();
      scheduleSharerExpiry();
      publish();
      messaging.sendQueued();
      if (statusTimer == null) {
        statusTimer = timers.set(now.plus(STATUS_REFRESH_INTERVAL), this::refreshStatus);
      }
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  private void scheduleAdvance(Timestamp now) {
    timers.cancel(advanceTimer);
    advanceDueAt = coordinator.nextAdvanceAt(now);
    advanceTimer = advanceDueAt == null ? null : timers.set(advanceDueAt, this::advance);
  }

  /** Schedules the publication of the next decrease of the number of engine sharers. */
  private void scheduleSharerExpiry() {
    timers.cancel(sharerExpiryTimer);
    Timestamp expiry = membership.nextEngineSharerExpiry();
    sharerExpiryTimer = expiry == null ? null : timers.set(expiry, () -> runStep(() -> {}));
  }

  /** Updates the demand and the spare retries that this dispatcher shares with other members. */
  private void shareFigures() {
    Timestamp now = clock.now();
    if (modules.gossip == null
        || figuresSharedAt != null && now.since(figuresSharedAt).compareTo(FIGURES_INTERVAL) < 0) {
      return;
    }
    figuresSharedAt = now;
    Map<String, Long> figures = new HashMap<>();
    if (modules.capacityLeases != null) {
      double demandRate = modules.demand.update(bridge.totalDemand(), now);
      modules.capacityLeases.setDemand(demandRate);
      figures.put(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(demandRate));
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
          "the quorum state of this member is now {0}; while it is not majority, check that most"
              + " members are running and reachable",
          Field.of("standing", current.label()),
          Field.event("membership.standing"));
    }
  }

  /** Publishes a snapshot for the event loop if any of its values has changed. */
  private void publish() {
    Timestamp now = clock.now();
    FleetSnapshot current = currentSnapshot(now);
    if (current.isLike(publishedSnapshot)) {
      return;
    }
    publishedSnapshot = current;
    bridge.publish(current);
    if (modules.isDividedByDemand() && capacitySettings.logsChanges()) {
      LOG.log(
          Level.INFO,
          "usable shares of the engine capacity, each with its end in microseconds: {0}",
          Field.of("steps", current.sharesText()),
          Field.of("us", now.us()),
          Field.of("machineUs", clock.machineUs(now)),
          Field.event("spread.parts"));
    }
  }

  private FleetSnapshot currentSnapshot(Timestamp now) {
    int engineSharers = membership.engineSharerCount(now);
    FleetSnapshot current =
        new FleetSnapshot(engineSharers, null, null, Long.MAX_VALUE, null, null);
    if (agreed != null) {
      Timestamp activeUntil = agreed.activeUntil(now);
      long activeUntilUs = activeUntil == null ? 0 : activeUntil.us();
      current =
          new FleetSnapshot(
              engineSharers, agreed.active(), agreed.conservative(), activeUntilUs, null, null);
    }
    return modules.capacityLeases == null
        ? current
        : current.withCapacityShares(
            modules.capacityLeases.usableSteps(now), capacitySettings.totalUnits());
  }

  /** Ends membership until the next start; the service continues as it would without a fleet. */
  private void fail(RuntimeException cause) {
    if (hasFailed) {
      return;
    }
    counters.add(Count.FAULTS);
    LOG.log(
        Level.ERROR,
        "an unexpected exception ended fleet membership until the next start; restart this"
            + " dispatcher to rejoin the fleet",
        cause);
    hasFailed = true;
    status.markFailed();
    timers.cancel(advanceTimer);
    timers.cancel(sharerExpiryTimer);
    bridge.publish(failedSnapshot());
    close();
    try {
      refreshStatus();
    } catch (RuntimeException e) {
      LOG.log(
          Level.ERROR,
          "could not refresh the rows of SHOW, which predate the end of fleet membership",
          e);
    }
  }

  /** The snapshot after a failure: conservative settings and the standalone capacity share. */
  private FleetSnapshot failedSnapshot() {
    Deployment conservative = agreed == null ? null : agreed.conservative();
    FleetSnapshot withoutShares =
        new FleetSnapshot(0, conservative, conservative, Long.MAX_VALUE, null, null);
    if (modules.capacityLeases == null) {
      return withoutShares;
    }
    long standaloneAmount =
        capacitySettings.capacityOptions(bridge.configuredDispatchers()).standaloneAmount();
    return withoutShares.withCapacityShares(
        List.of(new CapacityLeases.CapacityStep(null, standaloneAmount)),
        capacitySettings.totalUnits());
  }

  private void refreshStatus() {
    statusTimer = null;
    status.refresh();
  }
}
