package cobaltseam.service;

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
import cobaltseam.mastership.RouterOptions;
import cobaltseam.mastership.RouterState;
import cobaltseam.mastership.TransitionReason;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.transport.AdvertDatagramSocket;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import cobaltseam.vrrp.RejectionReason;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

/**
 * This dispatcher among those of its hall: carries adverts between the socket and {@link
 * Mastership}, and makes the service follow what that says. Listeners are opened and closed on a
 * thread of their own, since that may wait.
 */
final class VirtualAddressService implements ClientSessions.AdmissionGate {
  /** What fitness is judged by, beside what is measured here. */
  record HealthReport(TimeSpan busSilent, int engines, double failing, double descriptors) {}

  private static final System.Logger LOG = System.getLogger(VirtualAddressService.class.getName());
  private static final TimeSpan BEAT = new TimeSpan(100_000);
  private static final double SECOND_US = 1e6;
  private static final int US_PER_CENTISECOND = 10_000;

  /**
   * A listener that can't be opened is tried again after this part of an interval, for this many
   * intervals.
   */
  private static final double TRY_AGAIN = 0.25;

  private static final int TRY_FOR = 4;

  /** The module hears of a number of dispatchers that changed by more than this part. */
  private static final double NOTABLE = 0.01;

  /** The listener of one virtual router, for as long as the router is set. */
  private static final class Listener {
    InetSocketAddress serve;

    /** Whether it is to be open; and whether it is, or about to be, as far as is known here. */
    boolean wanted, open, busy;

    Timestamp wantedSince;
  }

  private final Supplier<HealthReport> report;
  private final RequestTable commands;
  private final ClientSessions clients;
  private final BoundedAcceptor acceptor;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers deadlines;
  private final Counters counters;
  private final RateLimitedLog log;
  private final InetAddress self;
  private final int dispatchersTold;
  private final ReplayGuard freshness;
  private final Mastership mastership;
  private final AdvertisementFilter intake;
  private final HealthScore fitness;
  private final AdvertDatagramSocket socket;
  private final ExecutorService listening =
      Executors.newSingleThreadExecutor(VirtualAddressService::thread);
  private final Map<VirtualRouterId, Listener> listeners = new HashMap<>();
  private final Map<SocketAddress, VirtualRouterId> routers = new HashMap<>();
  private final Map<VirtualRouterId, Timestamp> noted = new HashMap<>();
  private Settings.VirtualAddressSettings told;
  private Timers.Timer wake;
  private Timestamp beat;
  private long sequence;
  private double sharedOver;
  private boolean broken;

  VirtualAddressService(
      Settings.VirtualAddressSettings told,
      ServiceConfiguration configuration,
      Supplier<HealthReport> report,
      RequestTable commands,
      ClientSessions clients,
      BoundedAcceptor acceptor,
      EventLoopQueue inbox,
      Clock clock,
      Timers deadlines,
      Counters counters) {
    this.told = told;
    this.report = report;
    this.commands = commands;
    this.clients = clients;
    this.acceptor = acceptor;
    this.inbox = inbox;
    this.clock = clock;
    this.deadlines = deadlines;
    this.counters = counters;
    log = new RateLimitedLog(LOG, clock);
    self = told.listen().getAddress();
    dispatchersTold = configuration.deployment().dispatcherCount();
    sharedOver = dispatchersTold;
    TimeSpan difference = told.sealing() == null ? TimeSpan.ZERO : told.sealing().clockDifference();
    freshness = new ReplayGuard(clock.now(), difference);
    TimeSpan longest =
        configuration.deployment().requestClasses().stream()
            .map(Deployment.RequestClass::deadline)
            .max(TimeSpan::compareTo)
            .orElse(TimeSpan.ZERO);
    mastership =
        new Mastership(
            self,
            told.terms(),
            told.peerAddresses(),
            elsewhere(),
            longest,
            freshness.minListenPeriod(),
            told.followsIntervals());
    intake =
        new AdvertisementFilter(
            self,
            mastership,
            freshness,
            told.peerAddresses(),
            told.sealing() == null ? null : told.sealing().keys());
    fitness = new HealthScore(told.fitness());
    socket = new AdvertDatagramSocket(told.listen(), told.peerAddresses(), this::came);
    told.seats().forEach(this::listener);
    clients.guardedBy(this);
    clients.shows("mastership", this::rows);
    commands.sendsWhile(this::maySend);
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "listeners");
    thread.setDaemon(true);
    return thread;
  }

  private double elsewhere() {
    return told.elsewhere() >= 0
        ? told.elsewhere()
        : Math.max(0, dispatchersTold - 1 - told.peers().size());
  }

  private void listener(Settings.RouterSettings seat) {
    Listener l = listeners.computeIfAbsent(seat.terms().router(), r -> new Listener());
    l.serve = seat.serve();
    routers.put(seat.serve(), seat.terms().router());
  }

  // ---- from the start to the end

  boolean answersStandingBy() {
    return told.standByAnswers();
  }

  void open() throws IOException {
    socket.open();
    beat = clock.now().plus(BEAT);
    deadlines.set(beat, this::beat);
    act(() -> mastership.start(clock.now()));
    LOG.log(
        Level.INFO,
        "adverts are sent and heard on {0}",
        Field.of("address", told.listen()),
        Field.event("mastership.opened"));
  }

  /** New terms of the own file; what they can't change here stays until the next start. */
  void renewed(Settings.VirtualAddressSettings anew) {
    if (!anew.listen().equals(told.listen())
        || anew.sealing() == null != (told.sealing() == null)) {
      LOG.log(
          Level.WARNING,
          "mastership.listen, and whether adverts are sealed, stay until the next start",
          Field.event("configuration.partly"));
      anew =
          new Settings.VirtualAddressSettings(
              told.listen(),
              anew.peers(),
              anew.covers(),
              anew.followsIntervals(),
              anew.elsewhere(),
              anew.standByAnswers(),
              anew.seats(),
              anew.sealing() == null != (told.sealing() == null) ? told.sealing() : anew.sealing(),
              anew.fitness());
    }
    told = anew;
    Set<InetAddress> peers = told.peerAddresses();
    fitness.reconfigure(told.fitness());
    // Served elsewhere from now on: what is open at the old address is wound down as on any loss.
    for (Settings.RouterSettings seat : told.seats()) {
      Listener l = listeners.get(seat.terms().router());
      if (l != null && !l.serve.equals(seat.serve())) {
        boolean wanted = l.wanted;
        left(seat.terms().router());
        listeners.put(seat.terms().router(), new Listener());
        listener(seat);
        if (wanted) {
          want(seat.terms().router());
        }
      } else {
        listener(seat);
      }
    }
    act(() -> mastership.reconfigure(told.terms(), peers, elsewhere(), clock.now()));
    intake.reconfigure(peers, told.sealing() == null ? null : told.sealing().keys());
    socket.peers(peers);
    Set<VirtualRouterId> set = new HashSet<>(mastership.routers());
    listeners.keySet().removeIf(r -> !set.contains(r));
    Set<InetSocketAddress> served = new HashSet<>();
    told.seats().forEach(s -> served.add(s.serve()));
    routers.keySet().removeIf(a -> !served.contains(a));
  }

  /** Resigns: a peer takes over within its skew. What is in hand here is finished. */
  void leave() {
    act(() -> mastership.stop(TransitionReason.ENDED, clock.now()));
  }

  void close() {
    socket.close();
    listening.shutdownNow();
  }

  // ---- what happens

  private void came(byte[] bytes, InetAddress source) {
    inbox.post(
        null,
        () -> {
          socket.heard(bytes, source);
          heard(bytes, source);
        });
  }

  private void heard(byte[] bytes, InetAddress source) {
    if (broken) {
      return;
    }
    Timestamp now = clock.now();
    AdvertisementFilter.Verdict verdict;
    try {
      verdict = intake.evaluate(bytes, source, self, now);
    } catch (RuntimeException e) {
      fault(e);
      return;
    }
    if (verdict.rejection() != null) {
      counters.add(Count.MASTERSHIP_ADVERTS_REFUSED);
      log.warn(
          "an advert from {0} is refused: {1}",
          Field.of("peer", Addresses.text(source)),
          Field.of("reason", verdict.rejection().explanation()),
          Field.event("mastership.advert_refused"));
      return;
    }
    counters.add(Count.MASTERSHIP_ADVERTS_TAKEN);
    act(() -> mastership.onAdvertisement(source, verdict.advertisement(), now));
  }

  /** Steps back first, if a mastership may have passed while this process stood still. */
  void look() {
    if (!broken && mastership.isFenceOverdue(clock.now())) {
      act(() -> mastership.fence(clock.now()));
    }
  }

  private boolean maySend() {
    return !mastership.isFenceOverdue(clock.now());
  }

  private void due() {
    act(() -> mastership.onTimer(clock.now()));
  }

  /** Looks at its own fitness, and at how many dispatchers carry traffic. */
  private void beat() {
    Timestamp now = clock.now();
    TimeSpan late = now.since(beat);
    beat = now.plus(BEAT);
    deadlines.set(beat, this::beat);
    intake.countRejected(RejectionReason.UNKNOWN_SENDER, counted(socket.strangers()));
    intake.countRejected(RejectionReason.TOO_MANY, counted(socket.tooMany()));
    act(
        () -> {
          int before = mastership.priorityReduction();
          int steps = fitness.update(signs(late), now);
          if (steps != before) {
            LOG.log(
                Level.WARNING,
                "fitness: {0} steps of priority given up, for {1}",
                Field.of("steps", steps),
                Field.of("signs", fitness.countedSignals()),
                Field.event("mastership.fitness"));
          }
          return mastership.reducePriority(steps, now);
        });
  }

  private long counted(long refused) {
    counters.add(Count.MASTERSHIP_ADVERTS_REFUSED, refused);
    return refused;
  }

  private Map<HealthSignal, Double> signs(TimeSpan late) {
    HealthReport seen = report.get();
    Map<HealthSignal, Double> values = new EnumMap<>(HealthSignal.class);
    values.put(HealthSignal.BUS_SILENT, seen.busSilent().us() / SECOND_US);
    values.put(HealthSignal.NO_ENGINE, seen.engines() == 0 ? 1.0 : 0.0);
    values.put(HealthSignal.ENGINES_FAILING, seen.failing());
    values.put(HealthSignal.DESCRIPTORS, seen.descriptors());
    values.put(HealthSignal.LATE, late.us() / SECOND_US);
    double memory = memory();
    if (memory >= 0) {
      values.put(HealthSignal.MEMORY, memory);
    }
    return values;
  }

  /** The heap's part in use after the last collection, or below zero before the first. */
  private static double memory() {
    long used = 0;
    long most = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage left = pool.getType() == MemoryType.HEAP ? pool.getCollectionUsage() : null;
      used += left == null ? 0 : left.getUsed();
      most += left == null || left.getMax() < 0 ? 0 : left.getMax();
    }
    return most == 0 || used == 0 ? -1 : (double) used / most;
  }

  // ---- what follows

  /** Asks mastership, and does what it says; a fault of it ends mastership and nothing else. */
  private void act(Supplier<List<MastershipAction>> asked) {
    if (broken) {
      return;
    }
    try {
      for (MastershipAction act : asked.get()) {
        carryOut(act);
      }
      Timestamp now = clock.now();
      double over = mastership.effectiveDispatcherCount(now);
      if (Math.abs(over - sharedOver) > NOTABLE * sharedOver) {
        sharedOver = over;
        commands.sharedOver(over);
      }
      deadlines.cancel(wake);
      wake = mastership.nextWake() == null ? null : deadlines.set(mastership.nextWake(), this::due);
    } catch (RuntimeException e) {
      fault(e);
    }
  }

  private void carryOut(MastershipAction act) {
    VirtualRouterId router = act.router();
    if (act instanceof MastershipAction.Advertise advertise) {
      advertise(router, advertise.priority());
    } else if (act instanceof MastershipAction.Acquire take) {
      counters.add(Count.MASTERSHIP_TAKEN);
      LOG.log(
          Level.INFO,
          "active for virtual router {0}: {1}",
          Field.of("virtualRouter", router),
          Field.of("reason", take.reason().label()),
          Field.event("mastership.taken"));
      want(router);
    } else if (act instanceof MastershipAction.Release leave) {
      counters.add(Count.MASTERSHIP_LEFT);
      if (leave.reason() == TransitionReason.FENCED) {
        counters.add(Count.MASTERSHIP_FENCED);
      }
      LOG.log(
          Level.WARNING,
          "no longer active for virtual router {0}: {1}",
          Field.of("virtualRouter", router),
          Field.of("reason", leave.reason().label()),
          Field.event("mastership.left"));
      left(router);
    }
  }

  private void advertise(VirtualRouterId router, int priority) {
    RouterOptions terms = mastership.options(router);
    Advertisement advert =
        new Advertisement(
            router.value(),
            priority,
            (int) (terms.advertisementInterval().us() / US_PER_CENTISECOND),
            terms.addresses());
    sequence = Math.max(sequence + 1, clock.now().us());
    for (InetSocketAddress peer : told.peers()) {
      byte[] bytes = AdvertisementCodec.encode(advert, self, peer.getAddress(), told.covers());
      if (told.sealing() != null) {
        bytes =
            AdvertisementAuthenticator.sign(
                bytes,
                self,
                peer.getAddress(),
                told.sealing().keys(),
                told.sealing().writeKey(),
                sequence);
      }
      try {
        socket.send(bytes, peer);
        counters.add(Count.MASTERSHIP_ADVERTS_SENT);
      } catch (IOException e) {
        counters.add(Count.MASTERSHIP_ADVERTS_UNSENT);
        log.warn(
            "no advert to {0}: {1}",
            Field.of("peer", peer),
            Field.of("reason", e.getMessage()),
            Field.event("mastership.advert_unsent"));
      }
    }
  }

  /**
   * Opens the listener of a router, and goes on trying where its address is still held by another.
   */
  private void want(VirtualRouterId router) {
    Listener l = listeners.get(router);
    l.wanted = true;
    l.wantedSince = clock.now();
    follow(router, l);
  }

  private void left(VirtualRouterId router) {
    Listener l = listeners.get(router);
    l.wanted = false;
    follow(router, l);
    clients.standDown(at -> l.serve.equals(at), true);
    if (!mastership.isActive()) {
      clients.standDown(at -> !routers.containsKey(at), false);
    }
  }

  /** Brings a listener to where it is wanted, a step at a time. */
  private void follow(VirtualRouterId router, Listener l) {
    if (l.busy || l.wanted == l.open) {
      return;
    }
    l.busy = true;
    boolean opens = l.wanted;
    listening.execute(
        () -> {
          IOException failed = null;
          try {
            if (opens) {
              acceptor.bind(l.serve);
            } else {
              acceptor.unbind(l.serve);
            }
          } catch (IOException e) {
            failed = e;
          } catch (RuntimeException e) {
            failed = new IOException(e);
          }
          IOException why = failed;
          inbox.post(null, () -> followed(router, l, opens, why));
        });
  }

  private void followed(VirtualRouterId router, Listener l, boolean opens, IOException why) {
    l.busy = false;
    if (why == null || !opens) {
      l.open = opens;
      if (opens && l.wanted) {
        mastership.onServing(router);
        LOG.log(
            Level.INFO,
            "takes clients on {0}",
            Field.of("address", l.serve),
            Field.of("virtualRouter", router),
            Field.event("mastership.serves"));
      }
      follow(router, l);
      return;
    }
    counters.add(Count.MASTERSHIP_BINDS_FAILED);
    log.warn(
        "no clients on {0} yet: {1}",
        Field.of("address", l.serve),
        Field.of("reason", why.getMessage()),
        Field.event("mastership.bind_failed"));
    if (!l.wanted || listeners.get(router) != l) {
      return;
    }
    TimeSpan interval = mastership.options(router).advertisementInterval();
    if (clock.now().since(l.wantedSince).compareTo(interval.times(TRY_FOR)) > 0) {
      act(() -> mastership.onUnableToServe(router, clock.now()));
    } else {
      deadlines.set(clock.now().plus(interval.times(TRY_AGAIN)), () -> follow(router, l));
    }
  }

  /**
   * Ends mastership for good, and takes nothing new at its addresses; what is in hand is finished.
   */
  private void fault(RuntimeException e) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "a fault in mastership, which ends here until the next start", e);
    try {
      mastership
          .stop(TransitionReason.FAULT, clock.now())
          .forEach(
              a -> {
                if (a instanceof MastershipAction.Advertise resigns) {
                  advertise(resigns.router(), resigns.priority());
                }
              });
    } catch (RuntimeException again) {
      LOG.log(Level.ERROR, "nor could it resign", again);
    }
    broken = true;
    deadlines.cancel(wake);
    listeners.forEach(
        (router, l) -> {
          l.wanted = false;
          follow(router, l);
        });
    clients.standDown(routers::containsKey, true);
    clients.standDown(at -> !routers.containsKey(at), false);
  }

  // ---- what is asked

  @Override
  public boolean admits(SocketAddress at) {
    Timestamp now = clock.now();
    if (broken) {
      return false;
    }
    VirtualRouterId router = routers.get(at);
    return router != null
        ? mastership.canAdmit(router, now)
        : mastership.isActive() && !mastership.isFenceOverdue(now);
  }

  @Override
  public boolean stays(SocketAddress at) {
    return !routers.containsKey(at) || admits(at);
  }

  /** After a down interval another has taken over. */
  @Override
  public TimeSpan comeBack(SocketAddress at) {
    VirtualRouterId router = routers.getOrDefault(at, mastership.routers().get(0));
    return mastership.options(router).advertisementInterval().times(TRY_FOR);
  }

  /** SHOW cobaltseam.mastership. */
  private List<String[]> rows() {
    Timestamp now = clock.now();
    List<String[]> rows = new ArrayList<>();
    rows.add(new String[] {"mastership", broken ? "ended by a fault" : "on"});
    rows.add(
        new String[] {
          "engines_shared_over", String.format(java.util.Locale.ROOT, "%.2f", sharedOver)
        });
    rows.add(
        new String[] {
          "fitness_steps",
          mastership.priorityReduction()
              + " "
              + fitness.countedSignals().stream().map(HealthSignal::label).toList()
        });
    for (VirtualRouterId router : mastership.routers()) {
      RouterState s = mastership.state(router);
      String name = "router_" + router + "_";
      rows.add(
          new String[] {
            name + "state",
            s == null
                ? "initialize"
                : s.role() == Role.ACTIVE
                    ? "active"
                    : s.role().name().toLowerCase(java.util.Locale.ROOT)
          });
      if (s != null) {
        rows.add(new String[] {name + "since_ms", Long.toString(now.since(s.since()).us() / 1000)});
        rows.add(new String[] {name + "reason", s.reason().label()});
        rows.add(
            new String[] {
              name + "priority", s.priority() + " of " + mastership.options(router).priority()
            });
      }
      rows.add(
          new String[] {
            name + "serves",
            listeners.get(router).serve + (listeners.get(router).open ? " open" : " closed")
          });
      mastership
          .claims(router)
          .forEach(
              (peer, claim) ->
                  rows.add(
                      new String[] {
                        name + "peer_" + Addresses.text(peer),
                        "priority "
                            + claim.priority()
                            + ", "
                            + now.since(claim.receivedAt()).us() / 1000
                            + " ms ago"
                      }));
    }
    rows.add(new String[] {"adverts_taken", Long.toString(intake.acceptedCount())});
    for (ChecksumCoverage what : ChecksumCoverage.values()) {
      rows.add(
          new String[] {
            "adverts_covering_" + what.name().toLowerCase(java.util.Locale.ROOT),
            Long.toString(intake.acceptedCountWith(what))
          });
    }
    for (RejectionReason why : RejectionReason.values()) {
      if (intake.rejectedCount(why) > 0) {
        rows.add(
            new String[] {
              "adverts_refused_" + why.label(), Long.toString(intake.rejectedCount(why))
            });
      }
    }
    return rows;
  }
}
