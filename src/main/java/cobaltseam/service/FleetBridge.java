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
 * Exchanges values between the fleet's thread and the event loop, which owns the requests. The
 * fleet's thread publishes a {@link FleetSnapshot}; the event loop reads it before it receives,
 * decides or sends anything. All values pass through atomic variables, so neither thread ever waits
 * for the other.
 */
final class FleetBridge {
  private static final System.Logger LOG = System.getLogger(FleetBridge.class.getName());

  /** An increase of this dispatcher's capacity share by less than this ratio is not applied. */
  private static final double MIN_GROWTH_RATIO = 0.01;

  /** The smallest capacity share that is ever applied, so that the dispatcher count is finite. */
  private static final double MIN_CAPACITY_SHARE = 1e-6;

  /** The shortest interval between two publications of local load reports. */
  private static final long REPORTS_INTERVAL_US = 20_000;

  /**
   * The number of load reports that may wait while the event loop does not run; if there are more,
   * the oldest are dropped.
   */
  private static final int MAX_PENDING_REPORTS = 4 * LoadReports.MAX_ENGINES;

  private final AtomicReference<FleetSnapshot> snapshot = new AtomicReference<>(FleetSnapshot.NONE);

  /**
   * The bits of a double: the total demand since the start in microseconds of one thread. Written
   * by the event loop alone.
   */
  private final AtomicLong totalDemandBits = new AtomicLong();

  /** The latest load report of each engine that reported to this dispatcher. */
  private final AtomicReference<List<LoadReport>> localReports = new AtomicReference<>(List.of());

  /** Load reports from other dispatchers that the event loop has not read yet, or null. */
  private final AtomicReference<List<LoadReport>> remoteReports = new AtomicReference<>();

  /** The retries that are left in the retry budget, in thousandths. */
  private final AtomicLong remainingRetries = new AtomicLong();

  /** The number of first attempts of requests; written by the event loop alone. */
  private final AtomicLong firstAttempts = new AtomicLong();

  /** The number of retries, made and denied; written by the event loop alone. */
  private final AtomicLong wantedRetries = new AtomicLong();

  private final RequestTable requests;
  private final EventLoopQueue eventLoop;
  private final Clock clock;
  private final int configuredDispatchers;
  private final boolean hasMastership;

  // The event loop alone accesses the fields below.
  private FleetSnapshot appliedSnapshot = FleetSnapshot.NONE;
  private long reapplyAtUs = Long.MAX_VALUE;
  private double sharingDispatchers;
  private Deployment activeSettings;
  private final Map<EngineId, LoadReport> reportsByEngine = new HashMap<>();
  private boolean hasNewReports;
  private long nextReportsAtUs;

  /**
   * @param hasMastership whether mastership, and not the fleet, determines the number of
   *     dispatchers that share the engines
   */
  FleetBridge(
      RequestTable requests,
      EventLoopQueue eventLoop,
      Clock clock,
      Deployment configured,
      boolean hasMastership) {
    this.requests = requests;
    this.eventLoop = eventLoop;
    this.clock = clock;
    configuredDispatchers = configured.dispatcherCount();
    this.hasMastership = hasMastership;
    sharingDispatchers = configuredDispatchers;
  }

  /** Enables the collection of load reports; to be called before the first request. */
  void collectReports() {
    requests.setLoadReports(this);
  }

  /** Enables the fleet-wide limit of retries; to be called before the first request. */
  void limitRetries() {
    requests.setRetryLimit(this);
  }

  // ---- called by the fleet's thread

  /** Access to the number of retries that are left, for the retry budget. */
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

  /** The number of attempts that this dispatcher has made since the start. */
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
    eventLoop.post(null, () -> {});
  }

  /** The total demand since the start, in microseconds of one thread. */
  double totalDemand() {
    return Double.longBitsToDouble(totalDemandBits.getOpaque());
  }

  /** The latest load report of each engine that reported to this dispatcher. */
  List<LoadReport> localReports() {
    return localReports.getAcquire();
  }

  /** Appends load reports from other dispatchers to those that the event loop has not read yet. */
  void addRemoteReports(List<LoadReport> received) {
    List<LoadReport> pending = remoteReports.getAndSet(null);
    List<LoadReport> all =
        new ArrayList<>(
            pending == null
                ? List.of()
                : pending.subList(
                    Math.max(0, pending.size() - MAX_PENDING_REPORTS), pending.size()));
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
    totalDemandBits.setOpaque(Double.doubleToRawLongBits(requests.offeredLoad()));
    applyRemoteReports();
    publishLocalReports();
    FleetSnapshot latest = snapshot.getAcquire();
    if (latest != appliedSnapshot || clock.us() >= reapplyAtUs) {
      apply(latest, clock.us());
    }
  }

  private void applyRemoteReports() {
    // Usually there are none, and a read costs less than an atomic exchange.
    List<LoadReport> received =
        remoteReports.getAcquire() == null ? null : remoteReports.getAndSet(null);
    if (received != null) {
      received.forEach(
          report ->
              requests.updateEngineLoad(report.engine(), report.inFlight(), report.measuredAt()));
    }
  }

  private void publishLocalReports() {
    if (hasNewReports && clock.us() >= nextReportsAtUs) {
      hasNewReports = false;
      nextReportsAtUs = clock.us() + REPORTS_INTERVAL_US;
      localReports.setRelease(List.copyOf(reportsByEngine.values()));
    }
  }

  /** The number of whole retries that are left in the retry budget. */
  long remainingRetries() {
    return remainingRetries.get() / RetryBudget.UNITS_PER_RETRY;
  }

  /** Counts the first attempt of a request. */
  void countFirstAttempt() {
    firstAttempts.setOpaque(firstAttempts.getPlain() + 1);
  }

  /** Counts a retry that was denied because none is left. */
  void countDeniedRetry() {
    wantedRetries.setOpaque(wantedRetries.getPlain() + 1);
  }

  /**
   * Counts a retry and takes it from those that are left.
   *
   * @return whether the retry may be made; false if none is left any more
   */
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

  /**
   * Records a load report of an engine. Engines beyond {@link LoadReports#MAX_ENGINES} are ignored.
   *
   * @param inFlight the number of requests in flight that do not wait for memory
   */
  void recordReport(EngineId engine, double inFlight, Timestamp now) {
    if (reportsByEngine.size() < LoadReports.MAX_ENGINES || reportsByEngine.containsKey(engine)) {
      reportsByEngine.put(engine, new LoadReport(engine, inFlight, now));
      hasNewReports = true;
    }
  }

  private void apply(FleetSnapshot latest, long nowUs) {
    appliedSnapshot = latest;
    reapplyAtUs = latest.nextChangeUs(nowUs);
    activate(nowUs < latest.activeUntilUs() ? latest.active() : latest.fallback());
    double current = sharingDispatchers(latest, nowUs);
    // A smaller capacity share is applied at once, however small the difference is.
    boolean isSignificant =
        current > sharingDispatchers || current < sharingDispatchers * (1 - MIN_GROWTH_RATIO);
    if (isSignificant && !hasMastership) {
      sharingDispatchers = current;
      requests.setSharingDispatchers(sharingDispatchers);
    }
  }

  private void activate(Deployment deployment) {
    if (deployment == null || deployment.equals(activeSettings)) {
      return;
    }
    activeSettings = deployment;
    requests.applySettings(deployment);
    LOG.log(
        Level.INFO,
        "agreed dispatch settings took effect while {0} requests were open",
        Field.of("inHand", requests.openRequests()),
        Field.event("configuration.moved"));
  }

  /**
   * The number of dispatchers that share the engines: the inverse of this dispatcher's capacity
   * share, and thus a fraction if the shares are not equal.
   */
  private double sharingDispatchers(FleetSnapshot latest, long nowUs) {
    if (latest.capacityShares() != null) {
      return 1 / Math.max(MIN_CAPACITY_SHARE, latest.usableShare(nowUs));
    }
    return latest.engineSharers() > 0 ? latest.engineSharers() : configuredDispatchers;
  }

  /** The active agreed settings; null if the fleet does not agree on settings. */
  Deployment activeSettings() {
    return activeSettings;
  }
}
