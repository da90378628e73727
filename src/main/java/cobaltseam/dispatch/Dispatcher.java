package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.State.*;
import java.util.*;
import java.util.random.RandomGenerator;
import java.util.stream.*;

/**
 * All decisions of one dispatcher. Callers hand a new command to {@link #place}, each outcome to
 * {@link #completeAttempt}, and after every call follow {@link #next} until it names a span to
 * wait; other news comes by {@link #updateEndpoints}, {@link #updateProgress} and {@link
 * #clientLeft}. The values that pass are the records beside this file. An instance knows its own
 * traffic, and shares nothing.
 *
 * <p>The ordinary path: each engine has a thread budget of two threads a core, split evenly over
 * the dispatchers. A command goes where most budget is left per core and waits, first come first
 * served, where none has room for its threads. While a profile's answers from an engine come at
 * usual speed, the budget there reaches up to the engine's whole figure.
 */
public final class Dispatcher {
  /** The design's figure: threads an engine is given for each of its cores. */
  private static final double THREADS_PER_CORE = 2;

  /** An answer within this multiple of its usual latency lets its threads be borrowed once more. */
  private static final double NEAR = 1.25;

  /** One beyond this, or no answer for as long, gives half of what is borrowed back. */
  private static final double SLOW = 1.75;

  /** Strain leaves an engine this part of its share, one thread a core. */
  private static final double LEAST_SHARE = 0.5;

  /** How much one answer moves an engine's remembered slowness or failures. */
  private static final double NEWS = 1.0 / 8;

  /** What is known of all engines together counts as this many answers of one engine. */
  private static final double BELIEF = 1.0;

  /**
   * This part of a profile's answers lies above its usual latency, followed in steps that end here.
   */
  private static final double USUAL_QUANTILE = 0.3;

  private static final double USUAL_STEP = 1.0 / 512;

  /**
   * A send may take this many times its expected latency before it is given up for another, and
   * never less than this part of the latency target: small commands meet pauses and handshakes too.
   */
  private static final double PATIENCE = 2.5;

  private static final double LEAST_PATIENCE = 0.25;

  /**
   * A send of this multiple of its latency, as its engine goes, has a bad plan: worse is no news.
   */
  private static final double WORST = 5;

  /**
   * The shortest latency target over these: time between redraws, time after which evidence halves.
   */
  private static final double DRAWS_PER_TARGET = 8;

  private static final double FADE_IN_TARGETS = 4;

  /**
   * The queue before a command may take this part of the time that it can wait, before one is shed.
   */
  private static final double QUEUE_PER_SLACK = 0.3;

  /**
   * Of what its rate is below one a second, a holder may send this many at once: no flood, but
   * chance.
   */
  private static final double FEW = 4;

  private static final double SECOND_US = 1e6;

  /** A command is compared with this many before it. */
  private static final int RECENT = 64;

  /**
   * A grant of memory covers this quantile of what a profile's answers needed, against the
   * estimate.
   */
  private static final double GRANT_QUANTILE = 0.9;

  /** Of what a cold engine may be sent at most, at one thread's work a core, this part is used. */
  private static final double COLD_CAUTION = 0.7;

  // ---- state that lives as long as the instance
  private int number, dispatchers;

  /** Dispatchers that the engines are shared over: all, or only those that carry traffic now. */
  private double sharers, overShareWorth;

  private boolean cancels, tellsProgress, tellsSpills, priorities;
  private TimeSpan margin, shortestTarget, longestComeBack, noteEvery;
  private Cold cold;

  /** The location whose engines go first of those with as much left; null if untold or unpriced. */
  private LocationId home;

  /**
   * What rations further sends: the last one is of the settings now, each other of earlier ones.
   */
  private final List<Ration> rations = new ArrayList<>();

  private final Map<RequestClassId, Way> ways = new HashMap<>();
  private final Map<MachineTypeId, Deployment.MachineType> kinds = new HashMap<>();
  private final Map<TenantId, Holder> holders = new HashMap<>();
  private final RandomGenerator chance;
  private final TreeMap<EngineId, Engine> engines = new TreeMap<>();
  private List<Engine> sorted = List.of();
  private final Map<RequestId, Cmd> open = new HashMap<>();

  /** Held commands, in the order taken. */
  private final TreeSet<Cmd> held = new TreeSet<>(Comparator.comparingLong(c -> c.turn));

  private Timestamp refreshed, judged, born;

  /** When it asked to be called again, and whether this moment came long after that. */
  private Timestamp promised;

  private boolean readLate;

  /** What outcomes tell of all engines together, and their reported commands in hand, a core. */
  private final Evidence slow = new Evidence(), failing = new Evidence(), load = new Evidence();

  /**
   * How many times their usual latency the engines' answers take now, at the middle one of them.
   */
  private double pace = 1;

  /**
   * Threads in hand on all engines, as reported, over their whole figure; above 1 if none is told.
   */
  private double full = WORST;

  /** Sends that may be called off, by when. */
  private final TreeSet<Sent> cuts =
      new TreeSet<>(
          Comparator.comparingLong((Sent s) -> s.cutAt.us()).thenComparingLong(s -> s.cmd.turn));

  private final Map<SequenceKey, Line> lines = new HashMap<>();

  /** Keys whose last command has ended, to be forgotten once they have rested. */
  private final Deque<SequenceKey> emptied = new ArrayDeque<>();

  private final Deque<Timestamp> taken = new ArrayDeque<>(), further = new ArrayDeque<>();

  /** Threads of a command on its engine, and how long it stays, both by time spent there. */
  private double meanThreads = 1;

  private TimeSpan meanStay;
  private long arrivals, furtherLeft = Long.MAX_VALUE;
  private double offered;

  /** Work of the last commands taken, and their benefit for it. */
  private final double[] recentTime = new double[RECENT], recentDensity = new double[RECENT];

  /** What the rules ask of a command, fixed when it is taken; of two settings it keeps to both. */
  record Bounds(
      RetrySafety repeat,
      Set<DeduplicationScope> scopes,
      TimeSpan remembered,
      boolean inOrder,
      int mostSends,
      TimeSpan keyRest,
      Set<LocationId> locations,
      Set<MachineTypeId> kinds) {
    Bounds and(Bounds o) {
      Set<DeduplicationScope> both =
          Stream.of(scopes, o.scopes).flatMap(Set::stream).collect(Collectors.toSet());
      // Replayable, uniqued, non-replayable: the later, the stricter; remembered counts if uniqued.
      RetrySafety stricter = repeat.compareTo(o.repeat) < 0 ? o.repeat : repeat;
      TimeSpan kept =
          repeat == RetrySafety.IDEMPOTENT
              ? o.remembered
              : o.repeat == RetrySafety.IDEMPOTENT ? remembered : remembered.min(o.remembered);
      return new Bounds(
          stricter,
          both,
          kept,
          inOrder || o.inOrder,
          Math.min(mostSends, o.mostSends),
          keyRest.max(o.keyRest),
          common(locations, o.locations),
          common(kinds, o.kinds));
    }

    private static <T> Set<T> common(Set<T> one, Set<T> other) {
      return one == null
          ? other
          : other == null ? one : one.stream().filter(other::contains).collect(Collectors.toSet());
    }

    boolean nowhere() {
      return locations != null && locations.isEmpty() || kinds != null && kinds.isEmpty();
    }
  }

  /**
   * How cold an engine starts, for how long, and how many times what it can do it may be sent here.
   */
  record Cold(double from, TimeSpan within, double multiple) {
    Cold and(Cold o) {
      return new Cold(Math.min(from, o.from), within.max(o.within), Math.min(multiple, o.multiple));
    }
  }

  /**
   * What outcomes tell of one figure: their sum and number, both fading with time and with news.
   */
  static final class Evidence {
    double sum, weight;

    void add(double news, double step) {
      sum += news - sum * step;
      weight += 1 - weight * step;
    }

    void fade(double keep) {
      sum *= keep;
      weight *= keep;
    }

    /**
     * The mean of what was heard, where that is little drawn towards what is otherwise believed.
     */
    double mean(double believed) {
      return (sum + believed * BELIEF) / (weight + BELIEF);
    }
  }

  public Dispatcher(Deployment told, long seed) {
    chance = new SplittableRandom(seed);
    read(told);
    sharers = dispatchers;
    meanStay = shortestTarget;
  }

  private void read(Deployment told) {
    number = Math.max(0, told.dispatcherIndex());
    dispatchers = Math.max(1, told.dispatcherCount());
    cancels = told.capabilities().canCancel();
    noteEvery = told.capabilities().progressInterval();
    tellsProgress = noteEvery.isPositive() && cancels;
    tellsSpills = noteEvery.isPositive() && told.capabilities().hasMemoryGrants();
    priorities = told.capabilities().hasEnginePriorities();
    margin = told.capabilities().clockTick().times(2);
    longestComeBack =
        told.capabilities().allowsRetryAfter()
            ? told.capabilities().maxRetryAfter()
            : TimeSpan.ZERO;
    overShareWorth = told.overQuotaWeight();
    home = told.place().crossingCosts() ? told.place().location() : null;
    Deployment.Rules rules = told.rules();
    double multiple = rules.slowStartLimitFactor() * COLD_CAUTION / dispatchers;
    cold = new Cold(rules.slowStartFraction(), rules.slowStartDuration(), multiple);
    if (rules.retryWindow() != null) {
      rations.removeIf(r -> r.same(rules));
      rations.add(new Ration(rules.freeRetries(), rules.retryRatio(), rules.retryWindow(), null));
    }
    shortestTarget =
        told.requestClasses().stream()
            .map(RequestClass::latencyObjective)
            .min(TimeSpan::compareTo)
            .orElse(margin);
    told.requestClasses().forEach(p -> ways.put(p.id(), way(p, told)));
    told.machineTypes().forEach(k -> kinds.put(k.id(), k));
    double all = told.quotas().stream().mapToDouble(Deployment.Quota::perSecond).sum();
    for (Deployment.Quota s : told.quotas()) {
      Holder holder = new Holder();
      holder.perSecond = s.perSecond() / dispatchers;
      holder.portion = all > 0 ? s.perSecond() / all : 1;
      holders.put(s.tenant(), holder);
    }
  }

  private Way way(RequestClass p, Deployment told) {
    Way w = new Way();
    w.index = ways.size();
    w.threads = Math.max(1, p.threads());
    w.benefit = p.priorityWeight();
    w.lateBenefit = p.latePriorityWeight();
    w.target = p.latencyObjective();
    w.clientTimeout = p.deadline();
    w.stretch = p.objectivePerWork();
    w.usualWork = w.threads * w.target.us() / PATIENCE;
    w.need = NEAR;
    w.bounds =
        new Bounds(
            p.retrySafety(),
            p.deduplicationScope() == null ? Set.of() : Set.of(p.deduplicationScope()),
            p.deduplicationWindow(),
            p.inOrder(),
            told.capabilities().maxAttempts(),
            told.rules().sequenceKeyRest(),
            p.locations() == null ? null : Set.copyOf(p.locations()),
            p.machineTypes() == null ? null : Set.copyOf(p.machineTypes()));
    // What holds a data set goes first where others wait for that: the sooner it ends, the fewer
    // stand.
    boolean holds =
        p.loadsDataSet() && told.requestClasses().stream().anyMatch(RequestClass::waitsForLoads);
    w.priority = holds || w.target.compareTo(shortestTarget) <= 0 ? 3 : 1;
    return w;
  }

  // ---- the three calls
  /** Where to send a command, new or held; a new one that has to wait is held from here on. */
  public Placement place(Request request, Timestamp now) {
    refresh(now);
    Cmd cmd = open.get(request.id());
    if (cmd == null) {
      cmd = take(request, now);
    }
    if (cmd.out != null || cmd.over) {
      return Placement.queue();
    }
    if (lost(cmd, now)) {
      return giveUp(cmd);
    }
    Engine best = choose(cmd, now);
    return best == null ? Placement.queue() : send(cmd, best, now);
  }

  /** What to do after an outcome: write nothing, or a final answer. */
  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
    Sent sent = out(outcome.request(), outcome.attempt());
    if (sent == null) {
      return Placement.queue();
    }
    Cmd cmd = sent.cmd;
    cmd.out = null;
    settle(sent, outcome, now);
    refreshed = null;
    AttemptResult ending = outcome.result();
    boolean unsure =
        ending == AttemptResult.TIMED_OUT
            || ending == AttemptResult.CONNECTION_LOST
            || ending == AttemptResult.CANCELLED;
    if (unsure && cmd.bounds.inOrder && cmd.command.sequenceKey() != null) {
      lines.get(cmd.command.sequenceKey()).restUntil = now.plus(cmd.bounds.keyRest);
    }
    if (outcome.isLast() || cmd.over || ending == AttemptResult.COMPLETED) {
      end(cmd);
      return Placement.queue();
    }
    if (!ending.neverRan() && cmd.mayHaveRunSince == null) {
      cmd.mayHaveRunSince = sent.at;
      cmd.group = sent.engine.group;
      cmd.location = sent.engine.location;
    }
    cmd.giveUpAt = giveUpAt(cmd);
    cmd.late = cmd.targetAt.isBefore(now.plus(expected(cmd)));
    if (cmd.sends >= cmd.bounds.mostSends || ending == AttemptResult.NEVER_SENT || lost(cmd, now)) {
      return giveUp(cmd);
    }
    hold(cmd);
    return Placement.queue();
  }

  /** The held command to place next, or how long to wait before asking again. */
  public NextStep next(Timestamp now) {
    refresh(now);
    TimeSpan next = redraw();
    if (!cuts.isEmpty()) {
      Sent first = cuts.first();
      if (!now.isBefore(first.cutAt) && !readLate) {
        cuts.remove(first);
        return NextStep.cancelAttempt(first.cmd.command, first.number);
      }
      next = first.cutAt.since(now).max(margin);
    }
    promised = now.plus(redraw());
    if (held.isEmpty()) {
      return NextStep.waitFor(open.isEmpty() ? null : next.min(redraw()));
    }
    for (Cmd cmd : held) {
      if (lost(cmd, now)) {
        return NextStep.placeAgain(cmd.command);
      }
      next = next.min(cmd.giveUpAt.since(now));
    }
    Cmd victim = victim(now);
    if (victim != null) {
      victim.drop = true;
      return NextStep.placeAgain(victim.command);
    }
    boolean[] full = new boolean[ways.size()];
    for (Cmd cmd : held) {
      boolean plain = cmd.sends == 0 && cmd.bounds == cmd.way.bounds && !cmd.bounds.inOrder;
      boolean skipped = plain && full[cmd.way.index];
      if (!skipped && choose(cmd, now) != null) {
        return NextStep.placeAgain(cmd.command);
      }
      full[cmd.way.index] |= plain;
    }
    return NextStep.waitFor(next.min(redraw()));
  }

  // ---- news
  /**
   * Moves to other settings at once, whatever is in hand. What was learnt of engines stays, and of
   * profiles of the same width; borrowing starts afresh. A command taken before keeps its latency
   * target and client timeout, and to the rules of both: stricter repeat kind, fewest sends,
   * longest rest of a key, engines that both let it go to (with none it is given up), both budgets
   * of further sends for the earlier one's window. An engine that is cold by either keeps to both
   * until it is warm by both.
   */
  public void applySettings(Deployment told, Timestamp now) {
    Map<RequestClassId, Way> before = new HashMap<>(ways);
    Map<TenantId, Holder> holdersBefore = new HashMap<>(holders);
    double sharing = sharers < dispatchers ? sharers : 0;
    rations.replaceAll(r -> r.until() != null ? r : r.until(now.plus(r.window())));
    ways.clear();
    kinds.clear();
    holders.clear();
    read(told);
    holders.forEach((id, h) -> h.spent(holdersBefore.get(id)));
    sharers = dispatchers;
    setSharingDispatchers(sharing > 0 ? sharing : dispatchers);
    Set<Way> used = new HashSet<>();
    open.values().forEach(c -> used.add(c.way));
    before.forEach(
        (id, old) -> {
          Way w = ways.get(id);
          if (w == null && used.contains(old)) {
            old.gone = true;
            old.index = ways.size();
            ways.put(id, old);
          } else if (w != null && w.threads == old.threads) {
            w.learnt(old);
          }
        });
    for (Engine e : engines.values()) {
      boolean wasCold = cold(e, now);
      Cold both = e.cold.and(cold);
      e.cold = cold;
      e.cold = wasCold || cold(e, now) ? both : cold;
      e.coldWork = Math.min(0, e.coldWork);
      e.borrowed = new double[ways.size()];
      sized(e);
    }
    lines.values().forEach(l -> l.queue.clear());
    held.clear();
    open.values().stream()
        .sorted(Comparator.comparingLong((Cmd c) -> c.turn))
        .forEach(
            c -> {
              c.way = ways.get(c.command.requestClass());
              Bounds both = c.bounds.and(c.way.bounds);
              c.bounds = both.equals(c.way.bounds) ? c.way.bounds : both;
              c.drop |= c.bounds.nowhere();
              line(c);
              if (c.out == null) {
                hold(c);
              } else if (!cancels && cuts.remove(c.out)) {
                c.out.cutAt = null;
              }
            });
    refreshed = null;
  }

  /**
   * The list of engines, whole or changes only. Within one list, not being up overrules being up.
   */
  public void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now) {
    refreshed = null;
    if (whole) {
      engines.values().forEach(e -> e.standing = EndpointState.GONE);
    }
    for (EndpointStatus line :
        list.stream().sorted(Comparator.comparing(EndpointStatus::state)).toList()) {
      Engine e = engines.computeIfAbsent(line.engine(), id -> fresh(id, now));
      boolean restarted = e.started != null && e.started.isBefore(line.startedAt());
      e.location = line.location();
      e.kind = line.machineType();
      e.group = line.group();
      sized(e);
      e.standing = line.state();
      if (e.started == null || restarted) {
        e.started = line.startedAt();
        e.cold = cold;
        e.coldWork = 0;
        e.drawn = now;
      }
      if (restarted) {
        e.slow.fade(0);
        e.failing.fade(0);
        Arrays.fill(e.borrowed, 0);
        e.inHand = -1;
      }
    }
    // One that started lately may be named again, and what it was sent still counts.
    engines
        .values()
        .removeIf(e -> e.standing == EndpointState.GONE && e.threads == 0 && !cold(e, now));
    sorted = new ArrayList<>(engines.values());
  }

  private void sized(Engine e) {
    Deployment.MachineType kind = kinds.get(e.kind);
    e.cores = kind == null ? 1 : kind.cores();
    e.whole = e.cores * THREADS_PER_CORE;
    e.memoryPerThread = kind == null ? 0 : kind.memoryMb() / e.whole;
  }

  /**
   * What an engine told another dispatcher of the commands in hand there, at this moment or later.
   */
  public void updateEngineLoad(EngineId id, double inHand, Timestamp at) {
    Engine e = engines.get(id);
    if (e != null && (e.reported == null || e.reported.isBefore(at)) && e.started.isBefore(at)) {
      e.inHand = inHand;
      e.reported = at;
      load.add(inHand / e.cores, NEWS);
    }
  }

  /**
   * Of what all dispatchers may send again together so much is left here; else what failed is given
   * up.
   */
  public void setRemainingRetries(long sends) {
    furtherLeft = sends;
  }

  /**
   * The work of all commands taken so far, in microseconds of one thread: what this dispatcher
   * needs.
   */
  public double offeredLoad() {
    return offered;
  }

  /** Whether nothing is held, out, or counted anywhere. */
  boolean idle() {
    return open.isEmpty() && held.isEmpty() && sorted.stream().allMatch(e -> e.threads == 0);
  }

  private Engine fresh(EngineId id, Timestamp now) {
    Engine e = new Engine();
    e.id = id;
    e.borrowed = new double[ways.size()];
    e.drawn = now;
    e.draw = chance.nextDouble();
    return e;
  }

  /**
   * How far a send is. Guards against bad plans, and against cutting what is merely slow: it is
   * called off at once if all of it would take WORST times its usual latency at the engine's pace,
   * and else given the time that it still needs. Harm: a rough note that is far too low costs the
   * work done.
   */
  public void updateProgress(RequestId id, int send, double share, Timestamp now) {
    Sent sent = out(id, send);
    if (sent == null || !(share > 0)) {
      return;
    }
    Cmd cmd = sent.cmd;
    TimeSpan spent = now.since(sent.at);
    TimeSpan rest = spent.times((1 - Math.min(1, share)) / share);
    double pace = Math.max(pace(cmd.way), Math.exp(sent.engine.slowness));
    boolean bad = spent.plus(rest).compareTo(usually(cmd).times(WORST * pace)) > 0;
    // Near its end a rough note tells too little rest: what is all but done was cut for it.
    cutAt(sent, bad ? now : now.plus(rest.times(PATIENCE).max(spent.times(NEAR - 1))));
  }

  /** The send of this number, if it is out. */
  private Sent out(RequestId id, int send) {
    Cmd cmd = open.get(id);
    return cmd == null || cmd.out == null || cmd.out.number != send ? null : cmd.out;
  }

  private void cutAt(Sent sent, Timestamp when) {
    if (sent.cutAt != null && cuts.remove(sent)) {
      sent.cutAt = when;
      cuts.add(sent);
    }
  }

  /** A send spills for want of so much memory: tells its profile's need where answers don't. */
  public void updateMemoryShortfall(RequestId id, int send, double missingMb) {
    Sent sent = out(id, send);
    if (sent != null && sent.missingMb == 0 && missingMb > 0 && tellsSpills) {
      sent.missingMb = missingMb;
      learnNeed(sent, -1);
    }
  }

  /**
   * A send stands still while a load holds what it reads. Where another may follow on another
   * engine, it is called off at once, with no work lost. Guards against waits behind loads that
   * last longer than a quick command's target. Harm: the load was all but done, or no other engine
   * gets room in time.
   */
  public void markBlocked(RequestId id, int send, Timestamp now) {
    Sent sent = out(id, send);
    if (sent == null) {
      return;
    }
    Cmd cmd = sent.cmd;
    sent.blocked = true;
    cmd.blockedAt = cmd.blockedAt == null ? new HashMap<>() : cmd.blockedAt;
    cmd.blockedAt.put(sent.engine, now);
    if (sorted.stream().anyMatch(e -> !heldThere(cmd, e, now) && allowed(cmd, e, now))) {
      cutAt(sent, now);
    }
  }

  /** Whether a load holds what the command reads there, as far as known. */
  private static boolean heldThere(Cmd cmd, Engine e, Timestamp now) {
    Timestamp since = cmd.blockedAt == null ? null : cmd.blockedAt.get(e);
    return since != null && now.since(since).compareTo(cmd.way.target.times(LEAST_PATIENCE)) < 0;
  }

  /**
   * Over how many dispatchers the engines are shared from now on, where some of those told stand
   * by; at least 1. What all together may send a cold engine stays split over all that were told,
   * so that no split and no take-over can push one over.
   */
  public void setSharingDispatchers(double carrying) {
    double before = sharers;
    sharers = Math.max(1, carrying);
    holders.values().forEach(h -> h.perSecond *= before / sharers);
    refreshed = null;
  }

  /**
   * Nothing more is to be sent for the command: held, it is given up when asked next. A send that
   * is out may take this span from now, as no other follows that it would leave time for; null if
   * none is out.
   */
  public TimeSpan withdraw(RequestId id, Timestamp now) {
    Cmd cmd = open.get(id);
    if (cmd != null) {
      cmd.drop = true;
      if (cmd.out != null && cmd.out.cutAt != null) {
        cuts.remove(cmd.out);
      }
    }
    return cmd == null || cmd.out == null ? null : longest(cmd, now);
  }

  /** The client has left: nothing more is owed for the command. */
  public void clientLeft(RequestId id, Timestamp now) {
    Cmd cmd = open.get(id);
    if (cmd != null) {
      cmd.over = true;
      if (cmd.out == null) {
        end(cmd);
      }
    }
  }

  // ---- the ordinary path: budgets, borrowing, the choice of engine
  /** The engine with most budget left per core that this command may go to now, or null. */
  private Engine choose(Cmd cmd, Timestamp now) {
    if (!myTurn(cmd, now) || cmd.sends > 0 && !furtherAllowed(now)) {
      return null;
    }
    Engine best = null;
    double most = 0;
    // Ties start at the dispatcher's number, or, so that engines find their data warm, at that of
    // the
    // data set, the same everywhere; not where shares hold no whole command, and so many would
    // herd.
    DataSetId data = cmd.command.dataSet();
    boolean thin = !sorted.isEmpty() && sorted.get(0).whole / sharers < cmd.way.threads;
    int start =
        data == null || thin
            ? number
            : (int) Math.floorMod(data.value(), Math.max(1L, sorted.size()));
    for (int i = 0; i < sorted.size(); i++) {
      Engine e = sorted.get((start + i) % sorted.size());
      if (!allowed(cmd, e, now) || heldThere(cmd, e, now)) {
        continue;
      }
      // Ranked by what is left of its own share: ranked by what it may borrow, an engine that
      // looks a little faster would draw everything until it is slow.
      double left = Math.floor((share(e, now) - e.threads) / threads(cmd, e)) / e.cores;
      if (fits(e, cmd, now)
          && (best == null
              || left > most
              || left == most && e.location.equals(home) && !best.location.equals(home))) {
        best = e;
        most = left;
      }
    }
    return best;
  }

  /** Room for the profile's threads, or, where the budget is below them, the draw of the moment. */
  private boolean fits(Engine e, Cmd cmd, Timestamp now) {
    double threads = threads(cmd, e);
    double budget = share(e, now);
    // What is over its share may borrow only where reports tell of room beyond it: a flood finds
    // none,
    // the traffic of a dispatcher that stopped does, and would else be shed beside idle engines.
    double beyond = cmd.overShare ? e.whole * (1 - 1 / NEAR) : 0;
    if (e.threads + threads > budget
        && (beyond == 0 || load.weight > 0)
        && roomForAll(e, threads + beyond, now)) {
      budget *= 1 + (sharers - 1) * borrowed(e, cmd.way);
    }
    // One that stood behind a load takes its threads along, to where reports tell of room for them.
    if (cmd.blockedAt != null && load.weight > 0 && roomForAll(e, threads, now)) {
      return true;
    }
    if (budget < threads) {
      return e.threads == 0 && e.draw < budget / threads;
    }
    return budget - e.threads >= threads;
  }

  /**
   * The threads that a command counts: its profile's, or as many as its part of the engine's memory
   * goes with. Guards against mixes that spill while threads are left. Harm: estimates that lie too
   * high.
   */
  private static double threads(Cmd cmd, Engine e) {
    double byMemory = e.memoryPerThread > 0 ? cmd.command.memoryMb() / e.memoryPerThread : 0;
    return Math.max(cmd.way.threads, Math.min(byMemory, e.whole));
  }

  /** How much of the others' budget may be borrowed: as answers there tell, or else all answers. */
  private static double borrowed(Engine e, Way way) {
    double heard = e.slow.weight;
    return (e.borrowed[way.index] * heard + way.borrowed * BELIEF) / (heard + BELIEF);
  }

  /**
   * Whether an engine's whole figure has room, by the commands that it last reported in hand.
   * Guards against all dispatchers borrowing the same room; where nothing is reported, answers
   * alone tell.
   */
  private boolean roomForAll(Engine e, double threads, Timestamp now) {
    if (load.weight == 0) {
      return true;
    }
    double fresh = e.inHand < 0 ? 0 : Math.pow(0.5, now.since(e.reported).over(shortestTarget));
    double inHand = e.inHand * fresh + load.sum / load.weight * e.cores * (1 - fresh);
    double others = Math.max(0, inHand - e.out.size()) * meanThreads;
    return e.threads + others + threads <= e.whole * e.health * warmth(e, now);
  }

  /** This dispatcher's even share of an engine's figure, as far as the engine is well and warm. */
  private double share(Engine e, Timestamp now) {
    return e.whole / sharers * e.health * warmth(e, now);
  }

  /** The part of its work that an engine started a while ago is taken to do. */
  private double warmth(Engine e, Timestamp now) {
    if (!cold(e, now)) {
      return 1;
    }
    return e.cold.from + (1 - e.cold.from) * Math.max(0, now.since(e.started).over(e.cold.within));
  }

  private boolean cold(Engine e, Timestamp now) {
    return e.started.us() > 0 && now.since(e.started).compareTo(e.cold.within) < 0;
  }

  /**
   * Draws anew for chance sends. Guards, too, against pushing over an engine that has just started,
   * by one dispatcher or by hundreds: what came since the last draw may be sent, or a command
   * beyond it by that chance; none is saved up, what was sent ahead is owed. Growth is taken to be
   * as late as it may be.
   */
  private void draw(Engine e, Timestamp now) {
    if (cold(e, now)) {
      double come = e.cores * e.cold.multiple * warmth(e, now) * now.since(e.drawn).us();
      e.coldWork = Math.min(0, e.coldWork) + come;
    }
    e.draw = chance.nextDouble();
    e.drawn = now;
  }

  private TimeSpan redraw() {
    return shortestTarget.times(1 / DRAWS_PER_TARGET);
  }

  // ---- what a command may expect
  /** The work of a command: its estimate, or what its profile usually needs. */
  private static double work(Cmd cmd) {
    return cmd.command.work().isPositive() ? cmd.command.work().us() : cmd.way.usualWork;
  }

  /** Latency to expect at usual speed. */
  private static TimeSpan usually(Cmd cmd) {
    double ratio = cmd.way.usual * Math.exp(cmd.way.scatter);
    return new TimeSpan(1 + Math.round(work(cmd) / cmd.way.threads * ratio));
  }

  /** Latency to expect at the pace at which the engines answer now. */
  private TimeSpan expected(Cmd cmd) {
    return usually(cmd).times(pace(cmd.way));
  }

  /** The pace of one profile: wide ones may wait long where narrow ones are quick. */
  private double pace(Way way) {
    return Math.exp(Math.max(0, way.slow.mean(Math.log(pace))));
  }

  /** From when on a held command is given up: it could not be answered in time to be of use. */
  private Timestamp giveUpAt(Cmd cmd) {
    Timestamp last = cmd.command.deadline().minus(margin);
    TimeSpan expected = expected(cmd);
    if (cmd.way.lateBenefit > 0) {
      Timestamp late = last.minus(expected);
      return late.isBefore(cmd.takenAt) ? last : late;
    }
    Timestamp inTime = cmd.targetAt.minus(expected);
    return inTime.isBefore(last) ? inTime : last;
  }

  private boolean lost(Cmd cmd, Timestamp now) {
    return cmd.drop
        || cmd.sends > 0 && furtherLeft < 1
        || !repeatable(cmd, now)
        || !now.isBefore(cmd.giveUpAt);
  }

  /**
   * How long a send may take. Guards against sends that stay silent, hang or drew a bad plan, where
   * another may follow: those hold threads, and the sooner they go the sooner a better one is out.
   * Harm: a slow but sound send is cut and its work lost; hence the pace of its profile or engine.
   */
  private TimeSpan sendTimeout(Cmd cmd, Engine e, Timestamp now) {
    TimeSpan timeout = longest(cmd, now);
    // Where a time-out stops no work, a second send only adds its work to the first's, which runs
    // on.
    if (mayFollow(cmd) && cancels) {
      double there = Math.max(pace(cmd.way), Math.exp(e.slowness));
      timeout = usually(cmd).times(PATIENCE * there).max(cmd.way.target.times(LEAST_PATIENCE));
    }
    return timeout.min(longest(cmd, now));
  }

  private static boolean mayFollow(Cmd cmd) {
    return cmd.sends < cmd.bounds.mostSends && cmd.bounds.repeat == RetrySafety.IDEMPOTENT;
  }

  /** How long a send can be of use. */
  private TimeSpan longest(Cmd cmd, Timestamp now) {
    TimeSpan left = cmd.command.deadline().minus(margin).since(now);
    if (cmd.way.lateBenefit == 0) {
      left = left.min(cmd.targetAt.since(now).times(NEAR));
    }
    return left.max(margin);
  }

  private Placement send(Cmd cmd, Engine e, Timestamp now) {
    held.remove(cmd);
    Sent sent = new Sent();
    sent.cmd = cmd;
    sent.engine = e;
    sent.number = cmd.sends++;
    sent.at = now;
    sent.expected = usually(cmd);
    if (sent.number > 0) {
      further.addLast(now);
    }
    cmd.out = sent;
    TimeSpan timeout = sendTimeout(cmd, e, now);
    if (tellsProgress && mayFollow(cmd)) {
      // Without a note due by then, slow work is not told from a bad plan.
      TimeSpan note = noteEvery.times(NEAR);
      sent.cutAt =
          now.plus(note.compareTo(cmd.targetAt.since(now)) < 0 ? timeout.max(note) : timeout);
      cuts.add(sent);
      timeout = longest(cmd, now);
    }
    e.out.add(sent);
    sent.threads = threads(cmd, e);
    e.threads += sent.threads;
    if (cold(e, now)) {
      e.coldWork -= Math.max(cmd.way.usualWork, work(cmd));
    }
    sent.grantMb = grant(cmd);
    TimeSpan startWithin =
        cmd.mayHaveRunSince == null || cmd.bounds.repeat != RetrySafety.IDEMPOTENT_WITH_KEY
            ? null
            : cmd.bounds.remembered.minus(now.since(cmd.mayHaveRunSince));
    return Placement.send(
        e.id, timeout, priorities ? cmd.way.priority : -1, sent.grantMb, startWithin);
  }

  /**
   * Memory for a send: the estimate, times what answers of the profile needed over theirs at a high
   * quantile. Guards against spills where estimates lie low; without them the engine chooses.
   */
  private static double grant(Cmd cmd) {
    return cmd.way.needs == 0 ? 0 : cmd.way.need * cmd.command.memoryMb();
  }

  private void learnNeed(Sent sent, double toldMb) {
    double estimate = sent.cmd.command.memoryMb();
    Way way = sent.cmd.way;
    if (estimate <= 0) {
      return;
    }
    // Untold, what spilled needed what it lacked as well, and what did not needed less than its
    // grant.
    double granted = sent.grantMb > 0 ? sent.grantMb : estimate;
    double less = sent.grantMb > 0 ? Math.min(granted, way.need * estimate) * (1 - NEWS) : granted;
    double needMb = toldMb > 0 ? toldMb : sent.missingMb > 0 ? granted + sent.missingMb : less;
    // Guards against an estimate near zero: no one answer moves the ratio beyond WORST either way.
    double news = Math.max(1 / WORST, Math.min(WORST, needMb / estimate));
    double step = Math.max(NEWS / 4, 1.0 / (NEAR + ++way.needs)) * Math.max(way.need, news);
    double moved = way.need + step * (news > way.need ? GRANT_QUANTILE : GRANT_QUANTILE - 1);
    way.need = Math.max(0, Math.min(WORST, moved));
  }

  /** A send is over: its threads are free, and its latency tells how its engine does. */
  private void settle(Sent sent, AttemptOutcome outcome, Timestamp now) {
    Engine e = sent.engine;
    Way way = sent.cmd.way;
    e.out.remove(sent);
    if (sent.cutAt != null) {
      cuts.remove(sent);
    }
    draw(e, now);
    fade(now);
    TimeSpan took = now.since(sent.at);
    e.threads = e.out.isEmpty() ? 0 : e.threads - sent.threads;
    if (outcome.inFlightAtEngine() >= 0) {
      e.inHand = Math.max(0, outcome.inFlightAtEngine() - Math.max(0, outcome.queuedAtEngine()));
      e.reported = now;
      load.add(e.inHand / e.cores, NEWS);
    }
    double part = Math.min(1, took.over(shortestTarget)) * NEWS;
    meanThreads += (sent.threads - meanThreads) * part;
    meanStay = meanStay.plus(took.minus(meanStay).times(part));
    double ratio = Math.max(1 / WORST, Math.min(WORST, took.over(sent.expected)));
    boolean answered = outcome.result() == AttemptResult.COMPLETED;
    // Late is no news of one that stood behind a load, or that this dispatcher read late.
    if (ratio > NEAR
        && (answered && readLate
            || sent.blocked && (answered || outcome.result() == AttemptResult.CANCELLED))) {
      e.heard = answered ? now : e.heard;
      return;
    }
    switch (outcome.result()) {
      case COMPLETED -> {
        e.heard = now;
        fails(e, 0);
        if (!sent.cmd.command.work().isPositive()) {
          learnWork(
              way,
              outcome.workDone().isPositive()
                  ? outcome.workDone().us()
                  : (double) way.threads * took.us());
        }
        if (outcome.memoryUsedMb() > 0 || tellsSpills && sent.missingMb == 0) {
          learnNeed(sent, outcome.memoryUsedMb());
        }
        slows(e, way, Math.log(ratio));
        if (ratio <= NEAR) {
          double more = way.threads / e.whole;
          e.borrowed[way.index] = Math.min(1, e.borrowed[way.index] + more);
          way.borrowed = Math.min(1, way.borrowed + more / Math.max(1, sorted.size()));
        } else if (ratio > SLOW) {
          fallBack(sent);
        }
        double raw = ratio * Math.exp(way.scatter);
        boolean roomy = full <= 1 / NEAR && failing.mean(0) <= NEWS;
        if (roomy) {
          learnScatter(way, Math.log(raw));
        }
        double step = raw > 1 ? USUAL_QUANTILE - 1 : USUAL_QUANTILE;
        // Guards against a jam that becomes the usual: unless reports tell of room, only the first
        // answers raise it fast. Guards as well against estimates so low that all looks like a jam.
        boolean fast = ++way.answers * NEWS <= 1 || ratio <= 1 || pace <= NEAR || roomy;
        way.usual *=
            Math.exp(-step * Math.max(USUAL_STEP, fast ? 1 / (1 / NEWS + way.answers) : 0));
      }
      case TIMED_OUT, CANCELLED -> {
        slows(e, way, Math.max(e.slowness, Math.log(ratio)));
        fallBack(sent);
        if (ratio > SLOW && (e.heard == null || e.heard.isBefore(sent.at))) {
          // Guards against an engine that hangs: cut sends free its budget, and it would draw
          // more. A bad plan does not count, where others were answered meanwhile.
          fails(e, 1);
        }
      }
      case ERROR, CONNECTION_LOST, UNREACHABLE, CAPACITY_EXCEEDED -> fails(e, 1);
      default -> {}
    }
  }

  /**
   * How far the mean answer lies over its usual latency while reports tell of room. Guards against
   * rough estimates and cold data that look like overload; full engines teach nothing, so that no
   * jam becomes the usual. Harm: engines that are slow for another cause while few commands are in
   * hand.
   */
  private static void learnScatter(Way way, double news) {
    double step = Math.max(NEWS / 4, 1.0 / (1 / NEWS + ++way.calm));
    way.scatter = Math.max(0, way.scatter + (news - way.scatter) * step);
  }

  /**
   * Gives back half of what was borrowed, once a send: its answer is slow, or overdue and still
   * out.
   */
  private static void fallBack(Sent sent) {
    if (!sent.slow) {
      sent.slow = true;
      sent.engine.borrowed[sent.cmd.way.index] /= 2;
      sent.cmd.way.borrowed /= 2;
    }
  }

  // ---- health
  private void slows(Engine e, Way way, double news) {
    e.slow.add(news, NEWS);
    way.slow.add(news, NEWS / 4);
    slow.add(Math.min(news, Math.log(SLOW)), NEWS);
  }

  private void fails(Engine e, double news) {
    e.failing.add(news, NEWS);
    failing.add(news, NEWS);
  }

  private void fade(Timestamp now) {
    if (now.equals(judged)) {
      return;
    }
    // Guards against a dispatcher that stood still: what it then reads came at some time before.
    readLate = promised != null && now.since(promised).compareTo(redraw()) > 0;
    double targets = judged == null ? 0 : now.since(judged).over(shortestTarget);
    double keep = Math.pow(0.5, targets / FADE_IN_TARGETS);
    judged = now;
    slow.fade(keep);
    failing.fade(keep);
    load.fade(keep);
    ways.values().forEach(w -> w.slow.fade(Math.pow(keep, shortestTarget.over(w.target))));
    for (Engine e : sorted) {
      e.slow.fade(keep);
      e.failing.fade(keep);
    }
  }

  /**
   * Brings what changes with time up to this moment. An engine's health cuts its share: by strain,
   * which guards against mixes that pass its peak while all dispatchers keep to their budgets, and
   * against slow-downs of any cause; by failures, which guards against an engine that fails quickly
   * and would draw all commands by being always free, down to the design's own chance sends. Harm:
   * an engine slowed from outside could do more; a sound one that was unlucky gets less until that
   * fades. By its lag behind the middle engine, which guards against engines that slow down alone.
   * A send cut while its engine answered nothing counts as failed.
   */
  private void refresh(Timestamp now) {
    if (now.equals(refreshed)) {
      return;
    }
    refreshed = now;
    fade(now);
    double allSlow = slow.mean(0);
    double allFailing = failing.mean(0);
    // Renewed soon, unless all is not usual: then at the stay of a send, so that the threads out
    // come to
    // the share in the mean. Guards against hundreds of dispatchers that fill the engines by
    // chance.
    full = load.weight > 0 ? load.sum / load.weight * meanThreads / THREADS_PER_CORE : WORST;
    // Reports come with answers alone: what fails or stays silent tells of no room.
    full += Math.max(0, 1 - full) * allFailing;
    boolean unusual = pace > NEAR && full > LEAST_SHARE || load.weight > 0 && full > 1 / NEAR;
    TimeSpan renewal = unusual ? meanStay : meanStay.min(redraw());
    double[] slowness = new double[sorted.size()];
    for (int i = 0; i < slowness.length; i++) {
      Engine e = sorted.get(i);
      for (Sent sent : e.out) {
        if (!readLate && now.since(sent.at).over(sent.expected) > SLOW) {
          fallBack(sent);
        }
      }
      e.slowness = e.slow.mean(allSlow);
      slowness[i] = e.slowness;
      double strain = Math.min(1, Math.max(LEAST_SHARE, NEAR / Math.exp(e.slowness)));
      double well = Math.min(1, (1 - e.failing.mean(allFailing)) / (1 - allFailing));
      double lag = Math.min(1, NEAR * pace / Math.exp(e.slowness));
      e.health = strain * well * well * lag;
      if (now.since(e.drawn).compareTo(renewal) >= 0) {
        draw(e, now);
      }
    }
    Arrays.sort(slowness);
    pace = slowness.length == 0 ? 1 : Math.exp(Math.max(0, slowness[(slowness.length - 1) / 2]));
  }

  // ---- overload
  /** Takes a command in: its latency target, and whether its holder is over its share. */
  private Cmd take(Request request, Timestamp now) {
    Cmd cmd = new Cmd();
    cmd.command = request;
    cmd.way = ways.get(request.requestClass());
    if (cmd.way == null || cmd.way.gone) {
      throw new IllegalArgumentException("unknown profile " + request.requestClass().value());
    }
    cmd.bounds = cmd.way.bounds;
    cmd.turn = arrivals++;
    cmd.takenAt = now;
    // An estimate beyond all that its client waits for is no guide to what is usual.
    if (request.work().isPositive()) {
      double most = (double) cmd.way.threads * cmd.way.clientTimeout.us();
      learnWork(cmd.way, Math.min(request.work().us(), most));
    }
    cmd.targetAt =
        now.plus(cmd.way.target)
            .plus(new TimeSpan(Math.round(cmd.way.stretch * work(cmd) / cmd.way.threads)));
    cmd.late = cmd.targetAt.isBefore(now.plus(expected(cmd)));
    Holder holder = holders.get(request.tenant());
    if (holder != null) {
      // Its even part of the share, or, where this dispatcher carries more than most, its portion
      // of
      // what usually comes here.
      born = born == null ? now : born;
      double usual = arrivals / Math.max(1, now.since(born).us() / SECOND_US);
      double rate = Math.max(holder.perSecond, holder.portion * usual * NEAR);
      double burst = Math.max(rate, FEW);
      double more =
          holder.filled == null ? burst : rate * now.since(holder.filled).us() / SECOND_US;
      holder.tokens = Math.min(burst, holder.tokens + more);
      holder.filled = now;
      cmd.overShare = holder.tokens < 1;
      holder.tokens -= cmd.overShare ? 0 : 1;
    }
    cmd.drop = tooDear(cmd);
    offered += work(cmd);
    forget(now);
    taken.addLast(now);
    while (!emptied.isEmpty() && rested(lines.get(emptied.peekFirst()), now)) {
      lines.computeIfPresent(
          emptied.removeFirst(), (key, line) -> line.queue.isEmpty() ? null : line);
    }
    open.put(request.id(), cmd);
    hold(cmd);
    line(cmd);
    return cmd;
  }

  private void line(Cmd cmd) {
    if (cmd.bounds.inOrder && cmd.command.sequenceKey() != null) {
      lines.computeIfAbsent(cmd.command.sequenceKey(), k -> new Line()).queue.addLast(cmd);
    }
  }

  /**
   * Whether a new command has too little benefit for its threads' time: as the pool slows, with the
   * square of its pace, a part goes from the least dense end of what came here lately. Guards
   * against overload that no one dispatcher's queue shows, and one holder's flood: over its share
   * it is worth little, and goes first. Harm: a shared slow-down that leaves room. Not before it is
   * known what is usual.
   */
  private boolean tooDear(Cmd cmd) {
    double time = work(cmd);
    double density = cmd.way.benefit * (cmd.overShare ? overShareWorth : 1) / time;
    double all = 0, below = 0;
    double among = chance.nextDouble();
    for (int i = 0; i < RECENT; i++) {
      all += recentTime[i];
      int than = Double.compare(recentDensity[i], density);
      below += recentTime[i] * (than < 0 ? 1 : than > 0 ? 0 : among);
    }
    int at = (int) (arrivals % RECENT);
    recentTime[at] = time;
    recentDensity[at] = density;
    double pace = pace(cmd.way);
    return below < all * (1 - NEAR / (pace * pace)) && arrivals * NEWS >= 2 && full > LEAST_SHARE;
  }

  /** Without estimates, what answers took tells the usual work of a profile. */
  private static void learnWork(Way way, double work) {
    way.usualWork += (work - way.usualWork) * Math.max(NEWS / 4, 1.0 / ++way.known);
  }

  private void hold(Cmd cmd) {
    cmd.giveUpAt = giveUpAt(cmd);
    cmd.threadTime = cmd.way.threads * (double) expected(cmd).us();
    cmd.density =
        cmd.way.benefit
            * (cmd.overShare ? overShareWorth : 1)
            * (cmd.late ? cmd.way.lateBenefit : 1)
            / cmd.threadTime;
    held.add(cmd);
  }

  /**
   * The held command to shed, if the queue is too long for one in it to be answered in time: of
   * that one and those ahead of it, the one of least benefit for its threads and time. Only
   * commands as narrow count as ahead, since narrow ones pass wide ones that fit nowhere. Guards
   * against overload, whatever its cause; harm: a burst of free threads would have cleared the
   * queue.
   */
  private Cmd victim(Timestamp now) {
    double[] threads = new double[ways.size()];
    for (Engine e : sorted) {
      for (Way way : e.standing == EndpointState.UP ? ways.values() : List.<Way>of()) {
        threads[way.index] += share(e, now) * (1 + (sharers - 1) * borrowed(e, way));
      }
    }
    double[] ahead = new double[ways.size()];
    for (Cmd cmd : held) {
      int way = cmd.way.index;
      double slack = cmd.targetAt.since(now).us() - cmd.threadTime / cmd.way.threads;
      if (threads[way] > 0 && !cmd.late && ahead[way] > threads[way] * slack * QUEUE_PER_SLACK) {
        Cmd least = cmd;
        for (Cmd other : held.headSet(cmd)) {
          if (other.way.threads <= cmd.way.threads && other.density < least.density) {
            least = other;
          }
        }
        return least;
      }
      for (Way w : ways.values()) {
        ahead[w.index] += w.threads >= cmd.way.threads ? cmd.threadTime : 0;
      }
    }
    return null;
  }

  // ---- the rules
  /** Whether the rules let this command go to this engine now: list, placement, repeats, warmth. */
  private boolean allowed(Cmd cmd, Engine e, Timestamp now) {
    Bounds w = cmd.bounds;
    if (e.standing != EndpointState.UP
        || w.locations != null && !w.locations.contains(e.location)
        || w.kinds != null && !w.kinds.contains(e.kind)) {
      return false;
    }
    if (cmd.mayHaveRunSince != null
        && w.repeat == RetrySafety.IDEMPOTENT_WITH_KEY
        && (w.scopes.contains(DeduplicationScope.LOCATION) && !e.location.equals(cmd.location)
            || w.scopes.contains(DeduplicationScope.GROUP) && !e.group.equals(cmd.group))) {
      return false;
    }
    return !cold(e, now)
        || e.coldWork > 0 && e.draw * Math.max(cmd.way.usualWork, work(cmd)) <= e.coldWork;
  }

  /** Whether what is known of a command's sends lets it be sent once more. */
  private boolean repeatable(Cmd cmd, Timestamp now) {
    return cmd.mayHaveRunSince == null
        || cmd.bounds.repeat == RetrySafety.IDEMPOTENT
        || cmd.bounds.repeat == RetrySafety.IDEMPOTENT_WITH_KEY
            && now.since(cmd.mayHaveRunSince).compareTo(cmd.bounds.remembered) < 0;
  }

  /** Whether a command with a key has its turn: first in line, and the key rested. */
  private boolean myTurn(Cmd cmd, Timestamp now) {
    if (!cmd.bounds.inOrder || cmd.command.sequenceKey() == null) {
      return true;
    }
    Line line = lines.get(cmd.command.sequenceKey());
    return line.queue.peekFirst() == cmd && (cmd.sends > 0 || rested(line, now));
  }

  private static boolean rested(Line line, Timestamp now) {
    return line == null || line.restUntil == null || !now.isBefore(line.restUntil);
  }

  private boolean furtherAllowed(Timestamp now) {
    forget(now);
    return rations.stream()
        .allMatch(
            r -> {
              Timestamp from = now.minus(r.window());
              return further.stream().filter(m -> !m.isBefore(from)).count() + 1
                  <= r.free() + r.ratio() * taken.stream().filter(from::isBefore).count();
            });
  }

  /** Drops from both counts what lies outside every window; on its edge, whatever is stricter. */
  private void forget(Timestamp now) {
    rations.removeIf(r -> r.until() != null && !now.isBefore(r.until()));
    Timestamp from =
        now.minus(
            rations.stream().map(Ration::window).max(TimeSpan::compareTo).orElse(TimeSpan.ZERO));
    while (!taken.isEmpty() && !from.isBefore(taken.peekFirst())) {
      taken.removeFirst();
    }
    while (!further.isEmpty() && further.peekFirst().isBefore(from)) {
      further.removeFirst();
    }
  }

  /** The final answer of a command that is given up: shed where a repeat is known to do no harm. */
  private Placement giveUp(Cmd cmd) {
    boolean harmless =
        cmd.mayHaveRunSince == null
            || cmd.bounds.repeat == RetrySafety.IDEMPOTENT
            || cmd.bounds.repeat == RetrySafety.IDEMPOTENT_WITH_KEY
                && cmd.bounds.scopes.equals(Set.of(DeduplicationScope.ALL));
    end(cmd);
    return harmless ? Placement.shed(longestComeBack) : Placement.fail();
  }

  /** Forgets a command that has its final answer. */
  private void end(Cmd cmd) {
    cmd.over = true;
    held.remove(cmd);
    open.remove(cmd.command.id());
    if (cmd.bounds.inOrder && cmd.command.sequenceKey() != null) {
      Line line = lines.get(cmd.command.sequenceKey());
      line.queue.remove(cmd);
      if (line.queue.isEmpty()) {
        emptied.addLast(cmd.command.sequenceKey());
      }
    }
  }
}
