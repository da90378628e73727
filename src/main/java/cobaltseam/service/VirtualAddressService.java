package cobaltseam.service;

import cobaltseam.authentication.KeyRing;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.mastership.AdvertisementFilter;
import cobaltseam.mastership.HealthScore;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.mastership.Mastership;
import cobaltseam.mastership.MastershipAction;
import cobaltseam.mastership.ReplayGuard;
import cobaltseam.mastership.Role;
import cobaltseam.mastership.RouterState;
import cobaltseam.mastership.TransitionReason;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.transport.AdvertDatagramSocket;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.RejectionReason;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Runs VRRP for the virtual addresses of this dispatcher: passes advertisements between the socket
 * and {@link Mastership}, and executes the actions that it returns. All methods run on the event
 * loop, except that the socket delivers datagrams on its own thread.
 *
 * <p>An unexpected exception here ends mastership until the next start and nothing else: requests
 * in flight are completed, new ones are rejected.
 */
final class VirtualAddressService
    implements ClientSessions.AdmissionGate, VirtualAddressListeners.RouterCallbacks {
  /**
   * The inputs of the health score that {@link HealthSignals} does not measure itself.
   *
   * @param watchSilence the time since the endpoint watch last received data
   * @param enginesInService the number of engines that requests may be sent to
   * @param failingRatio the ratio of engines that fail, 0 to 1
   * @param descriptorRatio the ratio of file descriptors in use, 0 to 1
   */
  record HealthReport(
      TimeSpan watchSilence, int enginesInService, double failingRatio, double descriptorRatio) {}

  private static final System.Logger LOG = System.getLogger(VirtualAddressService.class.getName());
  private static final TimeSpan HEALTH_CHECK_PERIOD = new TimeSpan(100_000);

  /** A smaller relative change of the dispatcher count is not passed on to the request table. */
  private static final double MIN_CHANGE_RATIO = 0.01;

  /** Advertisement intervals within which a peer takes over from an active router that fails. */
  private static final int MAX_TAKEOVER_INTERVALS = 4;

  private final Supplier<HealthReport> healthReport;
  private final RequestTable requests;
  private final ClientSessions clients;
  private final EventLoopQueue eventLoop;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog rateLimitedLog;
  private final InetAddress localAddress;
  private final int configuredDispatchers;
  private final Mastership mastership;
  private final AdvertisementFilter filter;
  private final HealthScore healthScore;
  private final AdvertDatagramSocket socket;
  private final AdvertisementSender sender;
  private final VirtualAddressListeners listeners;
  private final MastershipRows rows;
  private Settings.VirtualAddressSettings settings;
  private Timers.Timer wakeTimer;
  private Timestamp nextHealthCheck;
  private double sharingDispatchers;
  private boolean hasFailed;

  VirtualAddressService(
      Settings.VirtualAddressSettings settings,
      ServiceConfiguration configuration,
      Supplier<HealthReport> healthReport,
      RequestTable requests,
      ClientSessions clients,
      BoundedAcceptor acceptor,
      EventLoopQueue eventLoop,
      Clock clock,
      Timers timers,
      Counters counters) {
    this.settings = settings;
    this.healthReport = healthReport;
    this.requests = requests;
    this.clients = clients;
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    rateLimitedLog = new RateLimitedLog(LOG, clock);
    localAddress = settings.listen().getAddress();
    configuredDispatchers = configuration.deployment().dispatcherCount();
    sharingDispatchers = configuredDispatchers;
    ReplayGuard replayGuard = new ReplayGuard(clock.now(), maxClockDifference(settings));
    mastership =
        new Mastership(
            localAddress,
            settings.routerOptions(),
            settings.peerAddresses(),
            dispatchersElsewhere(),
            maxAttemptDuration(configuration.deployment()),
            replayGuard.minListenPeriod(),
            settings.acceptsOtherIntervals());
    filter =
        new AdvertisementFilter(
            localAddress, mastership, replayGuard, settings.peerAddresses(), keys(settings));
    healthScore = new HealthScore(settings.healthScore());
    socket =
        new AdvertDatagramSocket(settings.listen(), settings.peerAddresses(), this::onDatagram);
    sender = new AdvertisementSender(localAddress, socket, clock, counters, rateLimitedLog);
    listeners =
        new VirtualAddressListeners(
            acceptor, eventLoop, clock, timers, counters, LOG, rateLimitedLog, this);
    settings.routers().forEach(listeners::configure);
    rows = new MastershipRows(mastership, healthScore, filter, listeners);
    clients.setAdmissionGate(this);
    clients.registerShow("mastership", () -> rows.rows(hasFailed, sharingDispatchers, clock.now()));
    requests.setSendPermission(() -> !mastership.isFenceOverdue(clock.now()));
  }

  private static TimeSpan maxClockDifference(Settings.VirtualAddressSettings settings) {
    return settings.authentication() == null
        ? TimeSpan.ZERO
        : settings.authentication().clockDifference();
  }

  /** The keys of authenticated advertisements, or null if they are not authenticated. */
  private static KeyRing keys(Settings.VirtualAddressSettings settings) {
    return settings.authentication() == null ? null : settings.authentication().keys();
  }

  /** The longest deadline of any request class, which bounds the duration of an attempt. */
  private static TimeSpan maxAttemptDuration(Deployment deployment) {
    return deployment.requestClasses().stream()
        .map(Deployment.RequestClass::deadline)
        .max(TimeSpan::compareTo)
        .orElse(TimeSpan.ZERO);
  }

  /** The number of dispatchers besides this one and its peers, as set or as configured. */
  private double dispatchersElsewhere() {
    return settings.dispatchersElsewhere() >= 0
        ? settings.dispatchersElsewhere()
        : Math.max(0, configuredDispatchers - 1 - settings.peers().size());
  }

  // ---- life cycle

  /** Whether clients can connect to the dispatcher's own address in backup, to be rejected. */
  boolean answersAsBackup() {
    return settings.answersAsBackup();
  }

  /**
   * Starts sending and receiving advertisements.
   *
   * @throws IOException if the address for advertisements can't be bound
   */
  void open() throws IOException {
    socket.open();
    nextHealthCheck = clock.now().plus(HEALTH_CHECK_PERIOD);
    timers.set(nextHealthCheck, this::checkHealth);
    execute(() -> mastership.start(clock.now()));
    LOG.log(
        Level.INFO,
        "sending and receiving VRRP advertisements on {0}",
        Field.of("address", settings.listen()),
        Field.event("mastership.opened"));
  }

  /** Applies reloaded settings, except those that can change only at a start. */
  void reconfigure(Settings.VirtualAddressSettings reloaded) {
    settings = withStartupSettings(reloaded);
    Set<InetAddress> peers = settings.peerAddresses();
    healthScore.reconfigure(settings.healthScore());
    settings.routers().forEach(this::reconfigureListener);
    execute(
        () ->
            mastership.reconfigure(
                settings.routerOptions(), peers, dispatchersElsewhere(), clock.now()));
    filter.reconfigure(peers, keys(settings));
    socket.setPeers(peers);
    listeners.retainOnly(new HashSet<>(mastership.routers()), settings.routers());
  }

  /** The reloaded settings, with those kept unchanged that can change only at a start. */
  private Settings.VirtualAddressSettings withStartupSettings(
      Settings.VirtualAddressSettings reloaded) {
    boolean switchesAuthentication =
        reloaded.authentication() == null != (settings.authentication() == null);
    if (reloaded.listen().equals(settings.listen()) && !switchesAuthentication) {
      return reloaded;
    }
    LOG.log(
        Level.WARNING,
        "the reload did not change mastership.listen or turn authentication of advertisements on or"
            + " off; restart to apply these changes",
        Field.event("configuration.partly"));
    return new Settings.VirtualAddressSettings(
        settings.listen(),
        reloaded.peers(),
        reloaded.coverage(),
        reloaded.acceptsOtherIntervals(),
        reloaded.dispatchersElsewhere(),
        reloaded.answersAsBackup(),
        reloaded.routers(),
        switchesAuthentication ? settings.authentication() : reloaded.authentication(),
        reloaded.healthScore());
  }

  /** Sets a router's service address; if it changes, sessions end as on loss of mastership. */
  private void reconfigureListener(Settings.RouterSettings router) {
    if (!listeners.changesAddress(router)) {
      listeners.configure(router);
      return;
    }
    VirtualRouterId id = router.options().router();
    boolean wasWanted = listeners.isWanted(id);
    stopServing(id);
    listeners.replace(router);
    if (wasWanted) {
      listeners.open(id);
    }
  }

  /** Resigns, so that a peer takes over within its skew time; requests in flight are completed. */
  void resign() {
    execute(() -> mastership.stop(TransitionReason.ENDED, clock.now()));
  }

  /** Closes the socket and stops the thread that binds service addresses. */
  void close() {
    socket.close();
    listeners.shutDown();
  }

  // ---- events

  /** Posts a received datagram to the event loop; called on the socket's thread. */
  private void onDatagram(byte[] bytes, InetAddress source) {
    eventLoop.post(
        null,
        () -> {
          socket.release(bytes, source);
          onAdvertisement(bytes, source);
        });
  }

  private void onAdvertisement(byte[] bytes, InetAddress source) {
    if (hasFailed) {
      return;
    }
    Timestamp now = clock.now();
    AdvertisementFilter.FilterResult result;
    try {
      result = filter.evaluate(bytes, source, localAddress, now);
    } catch (RuntimeException e) {
      fail(e);
      return;
    }
    if (result.rejection() != null) {
      counters.add(Count.MASTERSHIP_ADVERTS_REFUSED);
      rateLimitedLog.warn(
          "rejected a VRRP advertisement from {0}: {1}",
          Field.of("peer", Addresses.format(source)),
          Field.of("reason", result.rejection().explanation()),
          Field.event("mastership.advert_refused"));
      return;
    }
    counters.add(Count.MASTERSHIP_ADVERTS_TAKEN);
    execute(() -> mastership.onAdvertisement(source, result.advertisement(), now));
  }

  /** Leaves the active role if a peer may have become active while this process was suspended. */
  void fenceIfOverdue() {
    if (!hasFailed && mastership.isFenceOverdue(clock.now())) {
      execute(() -> mastership.fence(clock.now()));
    }
  }

  private void onWakeTimer() {
    execute(() -> mastership.onTimer(clock.now()));
  }

  private void checkHealth() {
    Timestamp now = clock.now();
    TimeSpan timerDelay = now.since(nextHealthCheck);
    nextHealthCheck = now.plus(HEALTH_CHECK_PERIOD);
    timers.set(nextHealthCheck, this::checkHealth);
    countRejected(RejectionReason.UNKNOWN_SENDER, socket.takeUnknownSourceCount());
    countRejected(RejectionReason.TOO_MANY, socket.takeDroppedCount());
    execute(
        () -> {
          int previousSteps = mastership.priorityReduction();
          int steps = healthScore.update(healthSignals(timerDelay), now);
          if (steps != previousSteps) {
            LOG.log(
                Level.WARNING,
                "the VRRP priority is now reduced by {0}; degraded health signals: {1}",
                Field.of("steps", steps),
                Field.of("signs", healthScore.degradedSignals()),
                Field.event("mastership.fitness"));
          }
          return mastership.setPriorityReduction(steps, now);
        });
  }

  private void countRejected(RejectionReason reason, long count) {
    counters.add(Count.MASTERSHIP_ADVERTS_REFUSED, count);
    filter.countRejected(reason, count);
  }

  private Map<HealthSignal, Double> healthSignals(TimeSpan timerDelay) {
    HealthReport report = healthReport.get();
    return HealthSignals.measure(
        report.watchSilence(),
        report.enginesInService(),
        report.failingRatio(),
        report.descriptorRatio(),
        timerDelay);
  }

  // ---- actions

  /** Executes the actions that mastership returns; an unexpected exception ends mastership. */
  private void execute(Supplier<List<MastershipAction>> decision) {
    if (hasFailed) {
      return;
    }
    try {
      decision.get().forEach(this::executeAction);
      updateSharing();
      timers.cancel(wakeTimer);
      Timestamp wake = mastership.nextTimerExpiry();
      wakeTimer = wake == null ? null : timers.set(wake, this::onWakeTimer);
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  /** Passes on the number of dispatchers that share the engines if it changed significantly. */
  private void updateSharing() {
    double dispatchers = mastership.effectiveDispatcherCount(clock.now());
    if (Math.abs(dispatchers - sharingDispatchers) > MIN_CHANGE_RATIO * sharingDispatchers) {
      sharingDispatchers = dispatchers;
      requests.setSharingDispatchers(dispatchers);
    }
  }

  private void executeAction(MastershipAction action) {
    if (action instanceof MastershipAction.Advertise advertise) {
      advertise(advertise);
    } else if (action instanceof MastershipAction.Acquire acquire) {
      acquire(acquire);
    } else if (action instanceof MastershipAction.Release release) {
      release(release);
    }
  }

  /**
   * Sends an advertisement if clients can already connect. Before that, the peer that serves the
   * address must not receive one, since it would stop serving. A resignation is always sent.
   */
  private void advertise(MastershipAction.Advertise advertise) {
    boolean isResignation = advertise.priority() == Advertisement.RESIGNATION_PRIORITY;
    if (isResignation || listeners.isListening(advertise.router())) {
      sender.send(advertise.options(), advertise.priority(), settings);
    }
  }

  private void acquire(MastershipAction.Acquire acquire) {
    counters.add(Count.MASTERSHIP_TAKEN);
    LOG.log(
        Level.INFO,
        "became active for virtual router {0}, reason {1}",
        Field.of("virtualRouter", acquire.router()),
        Field.of("reason", acquire.reason().label()),
        Field.event("mastership.taken"));
    listeners.open(acquire.router());
  }

  private void release(MastershipAction.Release release) {
    counters.add(Count.MASTERSHIP_LEFT);
    if (release.reason() == TransitionReason.FENCED) {
      counters.add(Count.MASTERSHIP_FENCED);
    }
    LOG.log(
        Level.WARNING,
        "is no longer active for virtual router {0}, reason {1}",
        Field.of("virtualRouter", release.router()),
        Field.of("reason", release.reason().label()),
        Field.event("mastership.left"));
    stopServing(release.router());
  }

  /** Closes a router's listener; sheds its queued requests and, once in backup, all others. */
  private void stopServing(VirtualRouterId router) {
    InetSocketAddress address = listeners.addressOf(router);
    listeners.close(router);
    clients.withdrawRequests(address::equals, true);
    if (!mastership.isActive()) {
      clients.withdrawRequests(local -> !listeners.isVirtual(local), false);
    }
  }

  /** Ends mastership until the next start: resigns and closes the listeners of all routers. */
  private void fail(RuntimeException cause) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "mastership failed and is off until this dispatcher is restarted", cause);
    try {
      for (MastershipAction action : mastership.stop(TransitionReason.FAULT, clock.now())) {
        if (action instanceof MastershipAction.Advertise resignation) {
          advertise(resignation);
        }
      }
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "could not resign after mastership failed; peers take over later", e);
    }
    hasFailed = true;
    timers.cancel(wakeTimer);
    listeners.closeAll();
    clients.withdrawRequests(listeners::isVirtual, true);
    clients.withdrawRequests(local -> !listeners.isVirtual(local), false);
  }

  // ---- callbacks of the listeners

  @Override
  public TimeSpan advertisementInterval(VirtualRouterId router) {
    return mastership.options(router).advertisementInterval();
  }

  @Override
  public void onServing(VirtualRouterId router) {
    mastership.onServing(router);
    fenceIfOverdue();
    RouterState state = mastership.state(router);
    if (state.role() == Role.ACTIVE) {
      advertise(new MastershipAction.Advertise(mastership.options(router), state.priority()));
    }
  }

  @Override
  public void onUnableToServe(VirtualRouterId router) {
    execute(() -> mastership.onUnableToServe(router, clock.now()));
  }

  // ---- admission of clients

  @Override
  public boolean admits(SocketAddress address) {
    if (hasFailed) {
      return false;
    }
    Timestamp now = clock.now();
    VirtualRouterId router = listeners.routerAt(address);
    return router != null
        ? mastership.canAdmit(router, now)
        : isListening() && !mastership.isFenceOverdue(now);
  }

  /** Whether this dispatcher is active for any virtual router and clients can connect to it. */
  private boolean isListening() {
    return mastership.isActive() && mastership.routers().stream().anyMatch(listeners::isListening);
  }

  @Override
  public boolean keepsSessions(SocketAddress address) {
    return !listeners.isVirtual(address) || admits(address);
  }

  /** The time within which a peer takes over the virtual router of this address. */
  @Override
  public TimeSpan retryAfter(SocketAddress address) {
    VirtualRouterId router = listeners.routerAt(address);
    return advertisementInterval(router != null ? router : mastership.routers().get(0))
        .times(MAX_TAKEOVER_INTERVALS);
  }
}
