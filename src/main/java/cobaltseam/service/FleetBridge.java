package cobaltseam.service;

import cobaltseam.capacity.LoadReports;
import cobaltseam.capacity.LoadReports.LoadReport;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.retrybudget.RetryBudget;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Hands values over between the fleet's thread and the event loop, which owns the requests. The
 * fleet's thread publishes a {@link FleetSnapshot}; the event loop reads it before it receives,
 * decides or sends anything. All values pass through atomic variables: neither thread ever waits
 * for the other.
 */
final class FleetBridge {
  private static final System.Logger LOG = System.getLogger(FleetBridge.class.getName());

  /** A part of the engines that grows by less than this ratio is not applied. */
  private static final double MIN_GROWTH_RATIO = 0.01;

  /** The smallest part of the engines that is ever applied. */
  private static final double MIN_PART = 1e-6;

  private static final long REPORTS_INTERVAL_US = 20_000;

  /**
   * Load reports that may wait while the event loop stands still; beyond them the oldest are
   * dropped.
   */
  private static final int MAX_PENDING_REPORTS = 4 * LoadReports.MAX_ENGINES;

  private final AtomicReference<FleetSnapshot> snapshot = new AtomicReference<>(FleetSnapshot.NONE);

  /** The bits of a double: the demand so far, written by the event loop alone. */
  private final AtomicLong offered = new AtomicLong();

  /** The latest load report of each engine that reported to this dispatcher. */
  private final AtomicReference<List<LoadReport>> localReports = new AtomicReference<>(List.of());

  /** Load reports from other dispatchers that the event loop has not read yet, or null. */
  private final AtomicReference<List<LoadReport>> remoteReports = new AtomicReference<>();

  /** The retries that are left, in thousandths. */
  private final AtomicLong remainingRetries = new AtomicLong();

  /** Written by the event loop alone. */
  private final AtomicLong firstAttempts = new AtomicLong();

  /** Written by the event loop alone. */
  private final AtomicLong wantedRetries = new AtomicLong();

  private final RequestTable requests;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final int configuredDispatchers;
  private final boolean hasMastership;

  // The fields from here on belong to the event loop.
  private FleetSnapshot applied = FleetSnapshot.NONE;
  private long reapplyAtUs = Long.MAX_VALUE;
  private double sharedOver;
  private Deployment active;
  private final Map<EngineId, LoadReport> reports = new HashMap<>();
  private boolean hasNewReports;
  private long nextReportsUs;

  /**
   * @param hasMastership whether mastership, and not the fleet, says over how many dispatchers
   *     engines are shared
   */
  FleetBridge(
      RequestTable requests,
      EventLoopQueue inbox,
      Clock clock,
      Deployment configured,
      boolean hasMastership) {
    this.requests = requests;
    this.inbox = inbox;
    this.clock = clock;
    configuredDispatchers = configured.dispatcherCount();
    this.hasMastership = hasMastership;
    sharedOver = configuredDispatchers;
  }

  /** Has the load reports of engines collected; to be called before the first request. */
  void collectReports() {
    requests.setLoadReports(this);
  }

  /** Has retries limited over the fleet; to be called before the first request. */
  void limitRetries() {
    requests.setRetryLimit(this);
  }

  // ---- called by the fleet's thread

  /** The retries that are left, for the retry budget. */
  RetryBudget.RemainingRetries retries() {
    return new RetryBudget.RemainingRetries() {
      @Override
      public long get() {
        return remainingRetries.get();
      }

      @Override
      public boolean compareAndSet(long expected, long to) {
        return remainingRetries.compareAndSet(expected, to);
      }
    };
  }

  /** How many attempts this dispatcher made so far. */
  FleetCoordinator.AttemptCounts attemptCounts() {
    return new FleetCoordinator.AttemptCounts() {
      @Override
      public long firstAttempts() {
        return firstAttempts.getOpaque();
      }

      @Override
      public long wantedRetries() {
        return wantedRetries.getOpaque();
      }
    };
  }

  /** Publishes a snapshot and wakes the event loop to read it. */
  void publish(FleetSnapshot latest) {
    snapshot.setRelease(latest);
    inbox.post(null, () -> {});
  }

  /** The demand so far, in microseconds of one thread. */
  double totalDemand() {
    return Double.longBitsToDouble(offered.getOpaque());
  }

  /** The latest load report of each engine that reported to this dispatcher. */
  List<LoadReport> localReports() {
    return localReports.getAcquire();
  }

  /** Hands over load reports from other dispatchers, behind those that still wait. */
  void addRemoteReports(List<LoadReport> received) {
    List<LoadReport> waiting = remoteReports.getAndSet(null);
    List<LoadReport> all =
        new ArrayList<>(
            waiting == null
                ? List.of()
                : waiting.subList(
                    Math.max(0, waiting.size() - MAX_PENDING_REPORTS), waiting.size()));
    all.addAll(received);
    remoteReports.set(all);
  }

  /** The number of dispatchers in the settings. */
  int configuredDispatchers() {
    return configuredDispatchers;
  }

  // ---- called by the event loop

  /** Exchanges values with the fleet's thread and applies what has changed since the last call. */
  void exchange() {
    offered.setOpaque(Double.doubleToRawLongBits(requests.offeredLoad()));
    applyRemoteReports();
    publishLocalReports();
    FleetSnapshot latest = snapshot.getAcquire();
    if (latest != applied || clock.us() >= reapplyAtUs) {
      apply(latest, clock.us());
    }
  }

  private void applyRemoteReports() {
    // Read first: most times there are none, and a read is cheaper than an exchange.
    List<LoadReport> received =
        remoteReports.getAcquire() == null ? null : remoteReports.getAndSet(null);
    if (received != null) {
      received.forEach(
          report ->
              requests.updateEngineLoad(report.engine(), report.inFlight(), report.measuredAt()));
    }
  }

  private void publishLocalReports() {
    if (hasNewReports && clock.us() >= nextReportsUs) {
      hasNewReports = false;
      nextReportsUs = clock.us() + REPORTS_INTERVAL_US;
      localReports.setRelease(List.copyOf(reports.values()));
    }
  }

  /** The number of retries that are left. */
  long remainingRetries() {
    return remainingRetries.get() / RetryBudget.UNITS_PER_RETRY;
  }

  /** Counts the first attempt of a request. */
  void countFirstAttempt() {
    firstAttempts.setOpaque(firstAttempts.getPlain() + 1);
  }

  /** Counts a retry that was not made because none is left. */
  void countDeniedRetry() {
    wantedRetries.setOpaque(wantedRetries.getPlain() + 1);
  }

  /** Counts a retry and takes it from those that are left; false if none is left by now. */
  boolean takeRetry() {
    wantedRetries.setOpaque(wantedRetries.getPlain() + 1);
    for (long left = remainingRetries.get();
        left >= RetryBudget.UNITS_PER_RETRY;
        left = remainingRetries.get()) {
      if (remainingRetries.compareAndSet(left, left - RetryBudget.UNITS_PER_RETRY)) {
        return true;
      }
    }
    return false;
  }

  /** An engine reported how many requests it has in flight that do not wait for memory. */
  void recordReport(EngineId engine, double inFlight, Timestamp now) {
    if (reports.size() < LoadReports.MAX_ENGINES || reports.containsKey(engine)) {
      reports.put(engine, new LoadReport(engine, inFlight, now));
      hasNewReports = true;
    }
  }

  private void apply(FleetSnapshot latest, long nowUs) {
    applied = latest;
    reapplyAtUs = latest.nextChangeUs(nowUs);
    activate(nowUs < latest.activeUntilUs() ? latest.active() : latest.fallback());
    double shared = sharedOver(latest, nowUs);
    // A part that shrinks is applied at once, however little.
    boolean isNotable = shared > sharedOver || shared < sharedOver * (1 - MIN_GROWTH_RATIO);
    if (isNotable && !hasMastership) {
      sharedOver = shared;
      requests.setSharingDispatchers(sharedOver);
    }
  }

  private void activate(Deployment deployment) {
    if (deployment == null || deployment.equals(active)) {
      return;
    }
    active = deployment;
    requests.applySettings(deployment);
    LOG.log(
        Level.INFO,
        "other settings of decisions act from now on, with {0} requests in flight",
        Field.of("inHand", requests.openRequests()),
        Field.event("configuration.moved"));
  }

  /** Over how many dispatchers engines are shared; a fraction where parts are not even. */
  private double sharedOver(FleetSnapshot latest, long nowUs) {
    if (latest.parts() != null) {
      return 1 / Math.max(MIN_PART, latest.usablePart(nowUs));
    }
    return latest.carriers() > 0 ? latest.carriers() : configuredDispatchers;
  }

  /** The agreed settings that are active; null where the fleet agrees on none. */
  Deployment activeSettings() {
    return active;
  }
}
