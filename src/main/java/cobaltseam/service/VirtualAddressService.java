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
 * Takes part in VRRP for the virtual addresses of this dispatcher: passes advertisements between
 * the socket and {@link Mastership}, and carries out what that decides. All methods run on the
 * event loop, except that the socket hands over datagrams on its own thread.
 *
 * <p>A fault in here ends mastership until the next start and nothing else: requests in flight are
 * finished, new ones are rejected.
 */
final class VirtualAddressService
    implements ClientSessions.AdmissionGate, VirtualAddressListeners.RouterCallbacks {
  /**
   * What the health score is judged by, beside what is measured in this package.
   *
   * @param watchSilence for how long the endpoint watch has received nothing
   * @param enginesInService the number of engines that may be given requests
   * @param failingShare the part of the engines that fail, 0 to 1
   * @param descriptorShare the part of the file descriptors in use, 0 to 1
   */
  record HealthReport(
      TimeSpan watchSilence, int enginesInService, double failingShare, double descriptorShare) {}

  private static final System.Logger LOG = System.getLogger(VirtualAddressService.class.getName());
  private static final TimeSpan HEALTH_CHECK_PERIOD = new TimeSpan(100_000);

  /** The request table is updated when the number of dispatchers changes by more than this part. */
  private static final double MIN_SHARING_CHANGE = 0.01;

  /**
   * Advertisement intervals after which a peer has taken over from an active router at the latest.
   */
  private static final int TAKEOVER_INTERVALS = 4;

  private final Supplier<HealthReport> healthReport;
  private final RequestTable requests;
  private final ClientSessions clients;
  private final EventLoopQueue eventLoop;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final RateLimitedLog rateLimitedLog;
  private final InetAddress self;
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
    self = settings.listen().getAddress();
    configuredDispatchers = configuration.deployment().dispatcherCount();
    sharingDispatchers = configuredDispatchers;
    ReplayGuard replayGuard = new ReplayGuard(clock.now(), maxClockDifference(settings));
    mastership =
        new Mastership(
            self,
            settings.routerOptions(),
            settings.peerAddresses(),
            dispatchersElsewhere(),
            maxAttemptDuration(configuration.deployment()),
            replayGuard.minListenPeriod(),
            settings.acceptsOtherIntervals());
    filter =
        new AdvertisementFilter(
            self, mastership, replayGuard, settings.peerAddresses(), keys(settings));
    healthScore = new HealthScore(settings.healthScore());
    socket =
        new AdvertDatagramSocket(settings.listen(), settings.peerAddresses(), this::onDatagram);
    sender = new AdvertisementSender(self, socket, clock, counters, rateLimitedLog);
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

  /** The keys of authenticated advertisements, or null where they are not authenticated. */
  private static KeyRing keys(Settings.VirtualAddressSettings settings) {
    return settings.authentication() == null ? null : settings.authentication().keys();
  }

  private static TimeSpan maxAttemptDuration(Deployment deployment) {
    return deployment.requestClasses().stream()
        .map(Deployment.RequestClass::deadline)
        .max(TimeSpan::compareTo)
        .orElse(TimeSpan.ZERO);
  }

  private double dispatchersElsewhere() {
    return settings.dispatchersElsewhere() >= 0
        ? settings.dispatchersElsewhere()
        : Math.max(0, configuredDispatchers - 1 - settings.peers().size());
  }

  // ---- life cycle

  /** Whether the dispatcher's own address answers clients, with a rejection, while in backup. */
  boolean answersAsBackup() {
    return settings.answersAsBackup();
  }

  /**
   * Starts sending and receiving advertisements.
   *
   * @throws IOException if the address of advertisements can't be bound
   */
  void open() throws IOException {
    socket.open();
    nextHealthCheck = clock.now().plus(HEALTH_CHECK_PERIOD);
    timers.set(nextHealthCheck, this::checkHealth);
    perform(() -> mastership.start(clock.now()));
    LOG.log(
        Level.INFO,
        "sending and receiving VRRP advertisements on {0}",
        Field.of("address", settings.listen()),
        Field.event("mastership.opened"));
  }

  /** Applies reloaded settings; those that can't change while running stay until the next start. */
  void reconfigure(Settings.VirtualAddressSettings reloaded) {
    settings = withFixedSettings(reloaded);
    Set<InetAddress> peers = settings.peerAddresses();
    healthScore.reconfigure(settings.healthScore());
    settings.routers().forEach(this::reconfigureListener);
    perform(
        () ->
            mastership.reconfigure(
                settings.routerOptions(), peers, dispatchersElsewhere(), clock.now()));
    filter.reconfigure(peers, keys(settings));
    socket.setPeers(peers);
    listeners.retainOnly(new HashSet<>(mastership.routers()), settings.routers());
  }

  private Settings.VirtualAddressSettings withFixedSettings(
      Settings.VirtualAddressSettings reloaded) {
    boolean switchesAuthentication =
        reloaded.authentication() == null != (settings.authentication() == null);
    if (reloaded.listen().equals(settings.listen()) && !switchesAuthentication) {
      return reloaded;
    }
    LOG.log(
        Level.WARNING,
        "mastership.listen, and whether advertisements are authenticated, change only at the next"
            + " start",
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

  /** Sessions at a service address that changes are ended as on any loss of mastership. */
  private void reconfigureListener(Settings.RouterSettings router) {
    if (!listeners.hasMoved(router)) {
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

  /** Resigns, so that a peer takes over within its skew time; requests in flight are finished. */
  void resign() {
    perform(() -> mastership.stop(TransitionReason.ENDED, clock.now()));
  }

  /** Closes the socket and ends the binding thread. */
  void close() {
    socket.close();
    listeners.shutDown();
  }

  // ---- events

  /** Runs on the socket's thread. */
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
    AdvertisementFilter.FilterResult verdict;
    try {
      verdict = filter.evaluate(bytes, source, self, now);
    } catch (RuntimeException e) {
      fail(e);
      return;
    }
    if (verdict.rejection() != null) {
      counters.add(Count.MASTERSHIP_ADVERTS_REFUSED);
      rateLimitedLog.warn(
          "advertisement from {0} rejected: {1}",
          Field.of("peer", Addresses.format(source)),
          Field.of("reason", verdict.rejection().explanation()),
          Field.event("mastership.advert_refused"));
      return;
    }
    counters.add(Count.MASTERSHIP_ADVERTS_TAKEN);
    perform(() -> mastership.onAdvertisement(source, verdict.advertisement(), now));
  }

  /** Steps back first, if a peer may have become active while this process did not run. */
  void fenceIfOverdue() {
    if (!hasFailed && mastership.isFenceOverdue(clock.now())) {
      perform(() -> mastership.fence(clock.now()));
    }
  }

  private void onWakeTimer() {
    perform(() -> mastership.onTimer(clock.now()));
  }

  private void checkHealth() {
    Timestamp now = clock.now();
    TimeSpan timerDelay = now.since(nextHealthCheck);
    nextHealthCheck = now.plus(HEALTH_CHECK_PERIOD);
    timers.set(nextHealthCheck, this::checkHealth);
    countRejected(RejectionReason.UNKNOWN_SENDER, socket.takeUnknownSourceCount());
    countRejected(RejectionReason.TOO_MANY, socket.takeDroppedCount());
    perform(
        () -> {
          int before = mastership.priorityReduction();
          int steps = healthScore.update(healthSignals(timerDelay), now);
          if (steps != before) {
            LOG.log(
                Level.WARNING,
                "health score: priority reduced by {0} steps, for {1}",
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
        report.failingShare(),
        report.descriptorShare(),
        timerDelay);
  }

  // ---- actions

  /** Asks mastership for a decision and carries it out; a fault ends mastership. */
  private void perform(Supplier<List<MastershipAction>> decision) {
    if (hasFailed) {
      return;
    }
    try {
      decision.get().forEach(this::carryOut);
      updateSharing();
      timers.cancel(wakeTimer);
      Timestamp wake = mastership.nextTimerExpiry();
      wakeTimer = wake == null ? null : timers.set(wake, this::onWakeTimer);
    } catch (RuntimeException e) {
      fail(e);
    }
  }

  private void updateSharing() {
    double dispatchers = mastership.effectiveDispatcherCount(clock.now());
    if (Math.abs(dispatchers - sharingDispatchers) > MIN_SHARING_CHANGE * sharingDispatchers) {
      sharingDispatchers = dispatchers;
      requests.setSharingDispatchers(dispatchers);
    }
  }

  private void carryOut(MastershipAction action) {
    if (action instanceof MastershipAction.Advertise advertise) {
      advertise(advertise);
    } else if (action instanceof MastershipAction.Acquire acquire) {
      acquire(acquire);
    } else if (action instanceof MastershipAction.Release release) {
      release(release);
    }
  }

  /**
   * Sends an advertisement, unless clients could not connect yet: whoever serves the address now
   * stops when it hears of another active router.
   */
  private void advertise(MastershipAction.Advertise advertise) {
    boolean isResignation = advertise.priority() == Advertisement.RESIGNATION_PRIORITY;
    if (isResignation || listeners.isListening(advertise.router())) {
      sender.send(mastership.options(advertise.router()), advertise.priority(), settings);
    }
  }

  private void acquire(MastershipAction.Acquire acquire) {
    counters.add(Count.MASTERSHIP_TAKEN);
    LOG.log(
        Level.INFO,
        "active for virtual router {0}: {1}",
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
        "no longer active for virtual router {0}: {1}",
        Field.of("virtualRouter", release.router()),
        Field.of("reason", release.reason().label()),
        Field.event("mastership.left"));
    stopServing(release.router());
  }

  /** Closes a router's listener, and sheds what is queued from its clients and, in backup, ours. */
  private void stopServing(VirtualRouterId router) {
    InetSocketAddress address = listeners.addressOf(router);
    listeners.close(router);
    clients.withdrawRequests(address::equals, true);
    if (!mastership.isActive()) {
      clients.withdrawRequests(at -> !listeners.isVirtual(at), false);
    }
  }

  /** Ends mastership until the next start: resigns and closes the virtual routers' listeners. */
  private void fail(RuntimeException cause) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "mastership failed and is off until the next start", cause);
    try {
      for (MastershipAction action : mastership.stop(TransitionReason.FAULT, clock.now())) {
        if (action instanceof MastershipAction.Advertise resignation) {
          advertise(resignation);
        }
      }
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "resigning after the failure of mastership failed too", e);
    }
    hasFailed = true;
    timers.cancel(wakeTimer);
    listeners.closeAll();
    clients.withdrawRequests(listeners::isVirtual, true);
    clients.withdrawRequests(at -> !listeners.isVirtual(at), false);
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
      advertise(new MastershipAction.Advertise(router, state.priority()));
    }
  }

  @Override
  public void onUnableToServe(VirtualRouterId router) {
    perform(() -> mastership.onUnableToServe(router, clock.now()));
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

  /** An active down interval, after which another dispatcher has taken over. */
  @Override
  public TimeSpan retryAfter(SocketAddress address) {
    VirtualRouterId router = listeners.routerAt(address);
    return advertisementInterval(router != null ? router : mastership.routers().get(0))
        .times(TAKEOVER_INTERVALS);
  }
}
