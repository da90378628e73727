package cobaltseam.service;

import cobaltseam.agreement.AgreementEffect;
import cobaltseam.capacity.CapacityLeases;
import cobaltseam.capacity.DemandEstimate;
import cobaltseam.capacity.LoadReports;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.MembershipAction;
import cobaltseam.membership.MembershipOptions;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.PersistentState;
import cobaltseam.membership.QuorumState;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.retrybudget.RetryBudget;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.sharing.MemberFigures;
import cobaltseam.sharing.StateGossip;
import cobaltseam.store.AtomicFile;
import cobaltseam.store.BackgroundWriter;
import cobaltseam.transport.MessageCodec;
import cobaltseam.transport.MessageCodec.RejectionReason;
import cobaltseam.transport.PeerDatagramSocket;
import cobaltseam.transport.PersistentStateCodec;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * This dispatcher among those of its fleet, on a thread of its own: the one room for members'
 * messages. It carries them between the socket and {@link FleetCoordinator}, which hands each to
 * the module it is for, and publishes what follows for the module of commands through {@link
 * FleetBridge}. A fault of it ends it and nothing else: the service goes on as one without it.
 */
final class FleetService {
  private static final System.Logger LOG = System.getLogger(FleetService.class.getName());
  private static final int US_PER_MS = 1000;
  private static final double SECOND_US = 1e6;
  private static final TimeSpan LONGEST_WAIT = new TimeSpan(1_000_000);
  private static final int MOST_AT_ONCE = 1024;

  /** What SHOW tells is no older than this. */
  private static final TimeSpan SHOWN_EVERY = new TimeSpan(100_000);

  private static final TimeSpan SAYS_EVERY = new TimeSpan(250_000);

  /** By which part the rates of two clocks differ at most. */
  private static final double CLOCKS = 0.001;

  private record OutgoingMessage(InetSocketAddress to, PeerMessage message) {}

  private final Settings.MembershipSettings told;
  private final Settings.CapacitySettings spread;

  /** The view that an operator had this dispatcher found another line for, or null. */
  private String foundedAnew;

  private final ClientSessions clients;
  private final FleetBridge bridge;
  private final boolean masteredElsewhere;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final Timers deadlines = new Timers();
  private final Counters counters;
  private final RateLimitedLog log;
  private final MessageCodec codec;
  private final PeerDatagramSocket socket;
  private final Membership membership;
  private final Lease lease;
  private final AgreedConfiguration agreed;
  private final StateGossip sharing;
  private final CapacityLeases holdings;
  private final DemandEstimate demand;

  /** What engines told; null where members do not tell each other. */
  private final LoadReports reports;

  /** Caps further sends over the fleet; null where it does not. */
  private final RetryBudget purse;

  private final FleetCoordinator ground;

  /** Datagrams to send once what follows from them here is published. */
  private final List<OutgoingMessage> tells = new ArrayList<>();

  private final Map<RejectionReason, Long> refused = new EnumMap<>(RejectionReason.class);
  private final Map<String, Supplier<List<String[]>>> rows = new HashMap<>();
  private final AtomicReference<Map<String, List<String[]>>> shown =
      new AtomicReference<>(Map.of());
  private Timers.Timer wake, falls, shows;
  private Timestamp dueAt, saidAt;
  private QuorumState standing = QuorumState.NONE;
  private FleetSnapshot snapshot = FleetSnapshot.NONE;

  /** Set once, by its own thread. */
  private volatile boolean broken;

  private volatile boolean closed;
  private boolean open;

  /** What the lasting folder held at the start, or null. */
  private final PersistentState former;

  /** Writes the lasting folder; null where there is none, and then why. */
  private final BackgroundWriter writer;

  private String folderState = "";

  /**
   * @param setup with membership on
   */
  FleetService(
      Settings setup,
      ServiceConfiguration configuration,
      byte[] document,
      FleetBridge bridge,
      ClientSessions clients,
      boolean masteredElsewhere,
      Clock clock,
      Counters counters) {
    told = setup.fleet();
    spread = setup.spread();
    this.bridge = bridge;
    this.clients = clients;
    this.masteredElsewhere = masteredElsewhere;
    this.clock = clock;
    this.counters = counters;
    inbox = new EventLoopQueue(counters);
    log = new RateLimitedLog(LOG, clock);
    Deployment own = configuration.deployment();
    TimeSpan longest =
        own.requestClasses().stream()
            .map(Deployment.RequestClass::deadline)
            .max(TimeSpan::compareTo)
            .orElse(TimeSpan.ZERO);
    codec =
        new MessageCodec(
            told.fleet(),
            told.sealing() == null ? null : told.sealing().keys(),
            told.sealing() == null ? 0 : told.sealing().writeKey());
    socket = new PeerDatagramSocket(told.listen(), this::came);
    MembershipOptions terms =
        new MembershipOptions(
            told.period(),
            told.patience(),
            told.helpers(),
            told.founders().stream().map(MemberName::new).toList(),
            told.seeds(),
            longest);
    // Later than any earlier process here, if clocks are right; if not, peers say so and it is
    // raised.
    Incarnation birth = new Incarnation(Math.max(1, System.currentTimeMillis()));
    Member self = new Member(new MemberName(configuration.name()), birth, told.advertise());
    SplittableRandom chance = new SplittableRandom(configuration.seed() ^ System.nanoTime());
    AtomicFile file = folder();
    former = file == null ? null : former(file);
    writer =
        folderState.isEmpty() ? new BackgroundWriter(file, this::stored, this::notStored) : null;
    membership =
        writer == null
            ? new Membership(terms, self, chance.split())
            : Membership.lasting(terms, self, former, chance.split());
    TimeSpan lasts =
        setup.agreed() != null ? setup.agreed().contradiction() : divides() ? spread.lease() : null;
    lease =
        lasts == null
            ? null
            : new Lease(new Lease.LeaseOptions(lasts, CLOCKS), membership, chance.split());
    agreed = setup.agreed() == null ? null : agreed(setup.agreed(), own, document, chance.split());
    sharing =
        !divides() && setup.repeats() == null
            ? null
            : new StateGossip(
                self.name(),
                membership.self().incarnation(),
                setup.sharing(MessageCodec.MAX_MESSAGE_BYTES / 2, CLOCKS),
                chance.split(),
                clock.now());
    ground =
        new FleetCoordinator(
            membership,
            lease,
            agreed == null ? null : agreed.agreement(),
            sharing,
            new EffectCarrier());
    holdings =
        !divides()
            ? null
            : new CapacityLeases(
                spread.terms(own.dispatcherCount()), ground.under(), chance.split());
    demand = !divides() ? null : new DemandEstimate(spread.window());
    reports =
        spread == null || !spread.news().isPositive()
            ? null
            : new LoadReports(spread.reports(CLOCKS), chance.split(), clock.now());
    if (reports != null) {
      ground.hears(reports);
      bridge.hears();
    }
    if (holdings != null) {
      ground.holds(holdings);
    }
    purse =
        setup.repeats() == null
            ? null
            : new RetryBudget(setup.repeats().terms(CLOCKS), bridge.left(), chance.split());
    if (purse != null) {
      ground.caps(purse, bridge.sends());
      bridge.caps();
      shows("repeats", this::repeatRows);
    }
    if (spread != null) {
      shows("spread", this::spreadRows);
    }
    shows("members", this::rows);
    // Before anything else can be handed over: a message that the socket brings, or a hang-up, may
    // not be heard first.
    inbox.post(null, () -> act(() -> ground.start(clock.now())));
  }

  /** Whether parts of the engines follow demand. */
  private boolean divides() {
    return spread != null && spread.byDemand();
  }

  private AgreedConfiguration agreed(
      Settings.AgreementSettings with, Deployment own, byte[] document, SplittableRandom chance) {
    AgreedConfiguration a = new AgreedConfiguration(with, membership, lease, own, counters, chance);
    a.own(document);
    if (former != null) {
      a.knows(former.documents());
    }
    shows("agreement", () -> a.rows(clock.now()));
    return a;
  }

  /**
   * SHOW cobaltseam.NAME tells these rows, as they were no longer ago than {@link #SHOWN_EVERY}.
   */
  private void shows(String name, Supplier<List<String[]>> of) {
    rows.put(name, of);
    clients.shows(name, () -> shown.getAcquire().getOrDefault(name, List.of()));
  }

  // ---- the lasting folder

  /**
   * The folder, where there is one that can be used; else why it is not, and membership goes on
   * without.
   */
  private AtomicFile folder() {
    if (told.folder() == null) {
      folderState = "none";
      return null;
    }
    try {
      return AtomicFile.open(
          told.folder(), PersistentStateCodec.FILE_NAME, PersistentStateCodec.FORMAT);
    } catch (IOException e) {
      withoutFolder(String.valueOf(e.getMessage()));
      return null;
    }
  }

  private PersistentState former(AtomicFile file) {
    try {
      AtomicFile.Reading reading = file.read();
      PersistentState former =
          reading.value() == null ? null : PersistentStateCodec.read(reading.value()).orElse(null);
      if (reading.found() == AtomicFile.ReadStatus.LATER) {
        withoutFolder("written by a later program; it is left as it is");
      } else if (reading.found() == AtomicFile.ReadStatus.BROKEN
          || reading.value() != null && former == null) {
        LOG.log(
            Level.WARNING,
            "what {0} held is not whole: this process is another member",
            Field.of("folder", told.folder()),
            Field.event("membership.folder_broken"));
      }
      return former;
    } catch (IOException e) {
      withoutFolder(String.valueOf(e.getMessage()));
      return null;
    }
  }

  private void stored(long number) {
    inbox.post(null, () -> act(() -> ground.kept(number, clock.now())));
  }

  private void notStored(String why) {
    inbox.post(null, () -> act(() -> ground.notKept(why, clock.now())));
  }

  private void withoutFolder(String why) {
    folderState = why;
    LOG.log(
        Level.WARNING,
        "membership goes on without the folder {0}: {1}",
        Field.of("folder", told.folder()),
        Field.of("reason", why),
        Field.event("membership.folder_refused"));
  }

  // ---- from the start to the end

  void open() throws IOException {
    socket.open();
    open = true;
    LOG.log(
        Level.INFO,
        "member {0}, birth {1}, of fleet {2} on {3}",
        Field.of("member", membership.self().name()),
        Field.of("birth", membership.self().incarnation()),
        Field.of("fleet", told.fleet()),
        Field.of("address", told.advertise()),
        Field.event("membership.opened"));
    if (agreed != null) {
      LOG.log(
          Level.INFO,
          "nothing is agreed here yet: the own settings are read cautiously",
          Field.event("agreement.starts_back"));
    }
    publish();
    Thread thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!closed) {
        Runnable task = inbox.next(deadlines.untilNext(clock.now(), LONGEST_WAIT));
        for (int heard = 1;
            task != null;
            task = heard++ < MOST_AT_ONCE ? inbox.next(TimeSpan.ZERO) : null) {
          look();
          task.run();
        }
        look();
        for (Runnable due = deadlines.due(clock.now());
            due != null;
            due = deadlines.due(clock.now())) {
          try {
            due.run();
          } catch (RuntimeException e) {
            fault(e);
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Tells the others that it leaves, so that no suspicion follows. */
  void leave() {
    inbox.post(null, () -> act(() -> ground.leave(clock.now())));
  }

  void close() {
    closed = true;
    if (open) {
      socket.close();
    }
    if (writer != null) {
      writer.close();
    }
  }

  /** Whether a fault has ended it. */
  boolean isEnded() {
    return broken;
  }

  /** Proposes settings to the fleet. */
  void propose(byte[] document) {
    inbox.post(
        null,
        () ->
            act(
                () -> {
                  agreed.propose(document, clock.now());
                  ground.follow(clock.now());
                }));
  }

  /**
   * What the own file says now: an operator's founding is heeded, all else waits for the next
   * start.
   */
  void renewed(Settings.MembershipSettings now) {
    inbox.post(null, () -> renewedHere(now));
  }

  private void renewedHere(Settings.MembershipSettings now) {
    boolean anew = now.foundAnew() != null && !now.foundAnew().equals(foundedAnew);
    if (!now.fixed().equals(told.fixed())) {
      LOG.log(
          Level.WARNING,
          "of [membership] only found_anew is read before the next start",
          Field.event("configuration.partly"));
    }
    if (anew) {
      act(() -> ground.foundAnew(ViewId.read(now.foundAnew()), clock.now()));
      // What was refused may be said again in the same words.
      boolean founded =
          membership.view() != null
              && membership.view().id().lineage() == membership.self().incarnation().value();
      foundedAnew = founded ? now.foundAnew() : null;
    }
  }

  // ---- what happens

  private void came(byte[] bytes) {
    inbox.post(
        null,
        () -> {
          socket.heard(bytes);
          if (!broken) {
            heard(bytes);
          }
        });
  }

  private void heard(byte[] bytes) {
    MessageCodec.DecodedMessage reading = codec.read(bytes);
    if (reading.rejection() != null) {
      counters.add(Count.MEMBERSHIP_DATAGRAMS_REFUSED);
      refused.merge(reading.rejection(), 1L, Long::sum);
      log.warn(
          "a datagram to {0} is refused: {1}",
          Field.of("address", told.listen()),
          Field.of("reason", reading.rejection().label()),
          Field.event("membership.refused"));
      return;
    }
    counters.add(Count.MEMBERSHIP_DATAGRAMS_TAKEN);
    act(() -> ground.heard(reading.message(), clock.now()));
  }

  /**
   * Before anything else is heard: whether this process stood still, for then its view may be an
   * old one.
   */
  private void look() {
    if (!broken
        && dueAt != null
        && clock.now().since(dueAt).compareTo(told.period().times(0.5)) > 0) {
      due();
    }
  }

  private void due() {
    counters.add(Count.MEMBERSHIP_DATAGRAMS_DROPPED, socket.tooMany());
    act(() -> ground.due(clock.now()));
  }

  // ---- what follows

  /** Asks what follows, and publishes it; a fault ends all of this and nothing else. */
  private void act(Runnable asked) {
    if (broken) {
      return;
    }
    try {
      needs();
      if (reports != null) {
        bridge.toldHere().forEach(reports::told);
      }
      asked.run();
      if (reports != null) {
        List<LoadReports.LoadReport> news = reports.news();
        if (!news.isEmpty()) {
          bridge.toldElsewhere(news);
        }
      }
      Timestamp now = clock.now();
      deadlines.cancel(wake);
      dueAt = ground.wake(now);
      wake = dueAt == null ? null : deadlines.set(dueAt, this::due);
      stands();
      deadlines.cancel(falls);
      Timestamp at = membership.carriersFallAt();
      falls = at == null ? null : deadlines.set(at, () -> act(() -> {}));
      // Whoever is told of a loan may use it at once: by then this process must not.
      publish();
      tells.forEach(this::send);
      tells.clear();
      if (shows == null) {
        shows = deadlines.set(now.plus(SHOWN_EVERY), this::tellRows);
      }
    } catch (RuntimeException e) {
      fault(e);
    }
  }

  /** Says what this dispatcher needs, and what it can do without. */
  private void needs() {
    Timestamp now = clock.now();
    if (sharing != null && (saidAt == null || now.since(saidAt).compareTo(SAYS_EVERY) >= 0)) {
      saidAt = now;
      Map<String, Long> figures = new HashMap<>();
      if (holdings != null) {
        double rate = demand.told(bridge.offered(), now);
        holdings.needs(rate);
        figures.put(FleetCoordinator.DEMAND, FleetCoordinator.figure(rate));
      }
      if (purse != null) {
        figures.put(FleetCoordinator.SPARE, purse.spare());
      }
      sharing.say(new MemberFigures(figures));
    }
  }

  /** Does what is decided. */
  private final class EffectCarrier implements FleetCoordinator.EffectSink {
    @Override
    public void tell(InetSocketAddress to, PeerMessage message) {
      tells.add(new OutgoingMessage(to, message));
    }

    @Override
    public void act(MembershipAction act) {
      if (act instanceof MembershipAction.Persist keep) {
        counters.add(Count.MEMBERSHIP_KEPT);
        writer.give(keep.number(), () -> PersistentStateCodec.write(keep.what()));
      } else if (act instanceof MembershipAction.ViewInstalled installed) {
        counters.add(Count.MEMBERSHIP_VIEWS);
        View view = installed.view();
        LOG.log(
            Level.INFO,
            "view {0} with {1} members: {2}",
            Field.of("view", view == null ? "none" : view.id()),
            Field.of("count", view == null ? 0 : view.members().size()),
            Field.of(
                "members",
                view == null
                    ? ""
                    : view.members().stream()
                        .map(m -> m.name() + "#" + m.incarnation())
                        .collect(Collectors.joining(" "))),
            Field.of("birth", membership.self().incarnation()),
            Field.event("membership.view"));
      } else if (act instanceof MembershipAction.EventRecorded noted) {
        counters.add(
            switch (noted.event()) {
              case SUSPECTED -> Count.MEMBERSHIP_SUSPECTED;
              case STOOD_STILL -> Count.MEMBERSHIP_STOOD_STILL;
              default -> Count.MEMBERSHIP_NOTED;
            });
        log.warn(
            "{0}: {1}, {2}",
            Field.of("member", noted.who()),
            Field.of("what", noted.event().label()),
            Field.of("detail", noted.detail()),
            Field.event("membership." + noted.event().label()));
      }
    }

    @Override
    public void doing(AgreementEffect doing) {
      if (doing instanceof AgreementEffect.Activate acts) {
        agreed.on(acts.on());
      } else if (doing instanceof AgreementEffect.EventRecorded noted) {
        agreed.noted(noted);
      }
    }
  }

  private void send(OutgoingMessage tell) {
    byte[] bytes = codec.write(tell.message);
    try {
      if (bytes == null) {
        throw new IOException("longer than " + MessageCodec.MAX_MESSAGE_BYTES + " bytes");
      }
      socket.send(bytes, tell.to);
      counters.add(Count.MEMBERSHIP_DATAGRAMS_SENT);
      counters.add(Count.MEMBERSHIP_BYTES_SENT, bytes.length);
    } catch (IOException | RuntimeException e) {
      counters.add(Count.MEMBERSHIP_DATAGRAMS_UNSENT);
      log.warn(
          "no datagram to {0}: {1}",
          Field.of("peer", tell.to),
          Field.of("reason", e.getMessage()),
          Field.event("membership.unsent"));
    }
  }

  private void stands() {
    QuorumState now = membership.standing();
    if (now != standing) {
      standing = now;
      LOG.log(
          Level.INFO,
          "standing: {0}",
          Field.of("standing", now.label()),
          Field.event("membership.standing"));
    }
  }

  /** Publishes what the module of commands is to go by, where that has changed. */
  private void publish() {
    Timestamp now = clock.now();
    int carriers = membership.carriers(now);
    Timestamp until = agreed == null ? null : agreed.until(now);
    FleetSnapshot then =
        agreed == null
            ? new FleetSnapshot(carriers, null, null, Long.MAX_VALUE, null, null)
            : new FleetSnapshot(
                carriers, agreed.acts(), agreed.back(), until == null ? 0 : until.us(), null, null);
    if (holdings != null) {
      then = then.with(holdings.steps(now), spread.whole());
    }
    if (!then.isLike(snapshot)) {
      snapshot = then;
      bridge.publish(then);
      if (divides() && spread.audit()) {
        LOG.log(
            Level.INFO,
            "holds these parts of the engines, each until: {0}",
            Field.of("steps", then.stepsText()),
            Field.of("us", now.us()),
            Field.event("spread.parts"));
      }
    }
  }

  /** Ends all of this for good; the service goes on as one that has none. */
  private void fault(RuntimeException e) {
    if (broken) {
      return;
    }
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "a fault in membership, which ends here until the next start", e);
    broken = true;
    deadlines.cancel(wake);
    deadlines.cancel(falls);
    Deployment back = agreed == null ? null : agreed.back();
    FleetSnapshot last = new FleetSnapshot(0, back, back, Long.MAX_VALUE, null, null);
    bridge.publish(
        holdings == null
            ? last
            : last.with(
                List.of(
                    new CapacityLeases.CapacityStep(
                        null, spread.terms(bridge.dispatchers()).alonePart())),
                spread.whole()));
    close();
    try {
      tellRows();
    } catch (RuntimeException again) {
      LOG.log(Level.ERROR, "what is shown of membership is as it was before its fault", again);
    }
  }

  // ---- what is asked

  private void tellRows() {
    shows = null;
    Map<String, List<String[]>> all = new HashMap<>();
    rows.forEach((name, of) -> all.put(name, of.get()));
    shown.setRelease(Map.copyOf(all));
  }

  /** SHOW cobaltseam.capacity. */
  private List<String[]> spreadRows() {
    Timestamp now = clock.now();
    List<String[]> told = new ArrayList<>();
    if (!divides()) {
      told.add(
          new String[] {
            "engines_reported", reports == null ? "not told" : Integer.toString(reports.size())
          });
      return told;
    }
    told.add(new String[] {"usable", part(holdings.usable(now))});
    told.add(new String[] {"alone", part(spread.terms(bridge.dispatchers()).alonePart())});
    told.add(new String[] {"even", part(holdings.even(now))});
    told.add(new String[] {"lent", part(holdings.lentOut(now))});
    told.add(new String[] {"borrowed", part(holdings.borrowed(now))});
    told.add(new String[] {"lease_left_ms", Long.toString(lease.left(now).us() / US_PER_MS)});
    StateGossip.Sum sum = sharing.sum(FleetCoordinator.DEMAND, now);
    told.add(
        new String[] {
          "demand_threads",
          String.format(
              Locale.ROOT,
              "%.3f of %.3f, %d members known, %d not",
              FleetCoordinator.demand(sharing.own(FleetCoordinator.DEMAND)) / SECOND_US,
              FleetCoordinator.demand(sum.sum()) / SECOND_US,
              sum.counted(),
              sum.unknown())
        });
    if (reports != null) {
      told.add(new String[] {"engines_reported", Integer.toString(reports.size())});
    }
    return told;
  }

  /** SHOW cobaltseam.retrybudget. */
  private List<String[]> repeatRows() {
    List<String[]> told = new ArrayList<>();
    told.add(
        new String[] {
          "left", String.format(Locale.ROOT, "%.3f", (double) bridge.left().get() / RetryBudget.ONE)
        });
    told.add(new String[] {"wanted_a_second", String.format(Locale.ROOT, "%.3f", purse.need())});
    told.add(new String[] {"first_sends", Long.toString(bridge.sends().firstAttempts())});
    told.add(
        new String[] {"further_sends_and_denied", Long.toString(bridge.sends().wantedRetries())});
    told.add(new String[] {"denied", Long.toString(counters.of(Count.REPEATS_DENIED))});
    StateGossip.Sum spare = sharing.sum(FleetCoordinator.SPARE, clock.now());
    told.add(
        new String[] {
          "others_can_spare",
          String.format(
              Locale.ROOT,
              "%.3f, %d members known, %d not",
              (double) (spare.sum() - sharing.own(FleetCoordinator.SPARE)) / RetryBudget.ONE,
              spare.counted(),
              spare.unknown())
        });
    return told;
  }

  private String part(long amount) {
    return String.format(Locale.ROOT, "%.6f", (double) amount / spread.whole());
  }

  /** SHOW cobaltseam.members. */
  private List<String[]> rows() {
    Timestamp now = clock.now();
    List<String[]> rows = new ArrayList<>();
    View view = membership.view();
    rows.add(new String[] {"membership", broken ? "ended by a fault" : "on"});
    rows.add(
        new String[] {
          "self",
          membership.self().name()
              + " birth "
              + membership.self().incarnation()
              + " at "
              + told.advertise()
        });
    rows.add(new String[] {"standing", membership.standing().label()});
    rows.add(
        new String[] {
          "view",
          view == null
              ? "none"
              : view.id()
                  + ", "
                  + view.members().size()
                  + " members, since "
                  + ms(now, membership.viewSince())
                  + " ms"
        });
    rows.add(
        new String[] {
          "engines_shared_over", shared() + (masteredElsewhere ? ", by mastership" : "")
        });
    rows.add(new String[] {"own_health", membership.health() + " (0 is well)"});
    rows.add(
        new String[] {
          "folder",
          told.folder() == null
              ? "none"
              : told.folder()
                  + (membership.isLasting()
                      ? ""
                      : ", not used: "
                          + (folderState.isEmpty() ? "lost while it ran" : folderState))
        });
    rows.add(new String[] {"bears_ms", Long.toString(membership.bears().us() / US_PER_MS)});
    for (Membership.MemberStatus seen : membership.seen()) {
      boolean held =
          view != null && view.contains(seen.member().name(), seen.member().incarnation());
      rows.add(
          new String[] {
            "member_" + seen.member().name(),
            seen.condition().name().toLowerCase(Locale.ROOT)
                + " since "
                + ms(now, seen.since())
                + " ms, "
                + (held ? "in the view" : "not in the view")
                + ", birth "
                + seen.member().incarnation()
                + " incarnation "
                + seen.incarnation()
                + ", heard "
                + (seen.heard() == null ? "never" : ms(now, seen.heard()) + " ms ago")
                + ", round trip "
                + (seen.roundTrip() == null ? "unknown" : seen.roundTrip().us() + " us")
                + (seen.by().isEmpty() ? "" : ", suspected by " + seen.by())
          });
    }
    refused.forEach(
        (why, times) ->
            rows.add(new String[] {"datagrams_refused_" + why.label(), Long.toString(times)}));
    return rows;
  }

  private String shared() {
    int over = membership.carriers(clock.now());
    return broken || over == 0 ? Integer.toString(bridge.dispatchers()) : Integer.toString(over);
  }

  private static long ms(Timestamp now, Timestamp then) {
    return then == null ? 0 : now.since(then).us() / US_PER_MS;
  }
}
