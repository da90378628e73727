package cobaltseam.service;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.Result;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** The commands in hand: asks the module for each, and carries out what it says. */
final class RequestTable implements EngineConnections.Listener {
  /** Who waits for the final answer of a command. */
  interface ResponseHandle {
    void complete(Result result);

    void shed(TimeSpan comeBack);

    void fail();

    /**
     * Whether nobody waits any more, as far as the I/O thread has read; this may run ahead of
     * {@link #departed}.
     */
    boolean hasClientLeft();
  }

  private static final System.Logger LOG = System.getLogger(RequestTable.class.getName());
  private static final int US_PER_MS = 1000;
  private static final int MOST_OPEN = 1 << 16;

  /**
   * After a fault of the module it is asked again after this, not at once, or one fault would
   * repeat.
   */
  private static final TimeSpan AFTER_FAULT = new TimeSpan(100_000);

  /** One command: while it is open someone waits, and beyond that a send may be out. */
  private static final class InFlightRequest {
    long key;
    RequestId id;
    Statement statement;
    ResponseHandle responseHandle;
    int sends;
    Attempt out;
  }

  private final Dispatcher dispatcher;
  private final EngineConnections engines;
  private final Timers deadlines;
  private final Clock clock;
  private final Counters counters;
  private final Set<String> profiles = new HashSet<>();
  private final Set<String> shares = new HashSet<>();
  private final SlotTable<InFlightRequest> slots = new SlotTable<>(MOST_OPEN);
  private final Map<RequestId, InFlightRequest> byId = new HashMap<>();
  private Timers.Timer wake;

  /** Whether this dispatcher may send at this moment; by default always. */
  private BooleanSupplier maySend = () -> true;

  /** Hears what engines tell of the commands that they hold; null where nobody does. */
  private FleetBridge reports;

  /** Caps further sends over the fleet; null where it does not. */
  private FleetBridge caps;

  /** Whether the module was told something and not yet asked what follows. */
  private boolean news;

  RequestTable(
      Deployment deployment,
      long seed,
      EngineConnections engines,
      Timers deadlines,
      Clock clock,
      Counters counters) {
    dispatcher = new Dispatcher(deployment, seed);
    known(deployment);
    this.engines = engines;
    this.deadlines = deadlines;
    this.clock = clock;
    this.counters = counters;
    engines.listener(this);
  }

  private void known(Deployment deployment) {
    profiles.clear();
    shares.clear();
    deployment.requestClasses().forEach(p -> profiles.add(p.id().value()));
    deployment.quotas().forEach(s -> shares.add(s.tenant().value()));
  }

  /**
   * Moves to other settings of decisions at once, between two turns of the loop, whatever is in
   * hand: {@link Dispatcher#applySettings} says which of them then count for what.
   */
  void moveTo(Deployment deployment) {
    dispatcher.applySettings(deployment, clock.now());
    known(deployment);
    counters.add(Count.CONFIGURATIONS_MOVED);
    news = true;
  }

  /** Commands that have no final answer yet. */
  int inHand() {
    return byId.size();
  }

  /** Before each send it is asked whether this dispatcher still may. */
  void sendsWhile(BooleanSupplier allowed) {
    maySend = allowed;
  }

  /** The engines are shared over so many dispatchers from now on. */
  void sharedOver(double dispatchers) {
    dispatcher.setSharingDispatchers(dispatchers);
    news = true;
  }

  /** The work of all commands taken so far, in microseconds of one thread. */
  double offered() {
    return dispatcher.offeredLoad();
  }

  /** Has the fleet hear what engines tell of the commands that they hold. */
  void reportsTo(FleetBridge bridge) {
    reports = bridge;
  }

  /** Has the fleet cap further sends. */
  void cappedBy(FleetBridge bridge) {
    caps = bridge;
  }

  private void capped() {
    if (caps != null) {
      dispatcher.setRemainingRetries(caps.furtherLeft());
    }
  }

  /**
   * What an engine told another dispatcher of the commands that it holds, at this moment or later.
   */
  void reported(EngineId engine, double inHand, Timestamp at) {
    dispatcher.updateEngineLoad(engine, inHand, at);
    news = true;
  }

  /**
   * Sends nothing more for a command: held, it is given up at once; out, its answer still counts.
   */
  void withdraw(long key) {
    InFlightRequest c = slots.get(key);
    if (c != null && c.responseHandle != null) {
      counters.add(Count.MASTERSHIP_COMMANDS_WITHDRAWN);
      TimeSpan left = dispatcher.withdraw(c.id, clock.now());
      if (c.out != null && left != null) {
        engines.letTake(c.out, clock.now().plus(left));
      }
      news = true;
    }
  }

  /**
   * Gives up all that is in hand: nothing more is sent, what is out is called off, and each has its
   * final answer.
   */
  void giveUp() {
    for (InFlightRequest c : List.copyOf(byId.values())) {
      dispatcher.withdraw(c.id, clock.now());
      if (c.out != null) {
        engines.callOff(c.out);
      }
    }
    news = true;
  }

  /** Whether nobody waits for an answer. */
  boolean isEmpty() {
    return byId.isEmpty();
  }

  void listed(WatchEvent event) {
    engines.listed(event);
    Timestamp now = clock.now();
    dispatcher.updateEndpoints(event.list(), event.whole(), now);
    news = true;
  }

  /** Why a statement can't be taken in as a command, or null. */
  String unusable(Statement s) {
    if (!profiles.contains(s.profile())) {
      return "an unknown profile";
    }
    if (s.share() != null && !shares.isEmpty() && !shares.contains(s.share())) {
      return "an unknown holder of a share";
    }
    return byId.containsKey(new RequestId(s.call())) ? "a call that is in hand already" : null;
  }

  /**
   * Takes in a command that can be used. Its key, or NONE where none is free. It awaits {@link
   * #start}.
   */
  long take(Statement s, ResponseHandle responseHandle) {
    InFlightRequest c = new InFlightRequest();
    c.id = new RequestId(s.call());
    c.statement = s;
    c.responseHandle = responseHandle;
    c.key = slots.take(c);
    if (c.key != SlotTable.NONE) {
      counters.add(Count.COMMANDS_TAKEN);
      byId.put(c.id, c);
    }
    return c.key;
  }

  /**
   * Asks the module for a command that was read whole at this moment; its response handle may hear
   * at once.
   */
  void start(long key, Timestamp read) {
    InFlightRequest c = slots.get(key);
    Statement s = c.statement;
    Request command =
        new Request(
            c.id,
            new RequestClassId(s.profile()),
            s.share() != null && shares.contains(s.share()) ? new TenantId(s.share()) : null,
            null,
            read.plus(new TimeSpan(s.timeToLiveMs() * US_PER_MS)),
            new TimeSpan(Math.round(s.workMs() * US_PER_MS)),
            s.dataSet() < 0 ? null : new DataSetId(s.dataSet()),
            s.memoryMb());
    place(c, command);
    news = true;
  }

  /**
   * Asks the module where a command goes, unless its client has left: nothing is begun for one that
   * is gone.
   */
  private void place(InFlightRequest c, Request command) {
    if (isLeft(c)) {
      departed(c.key);
    } else {
      carryOut(c, () -> dispatcher.place(command, clock.now()));
    }
  }

  /** Nobody waits for this command any more. */
  void departed(long key) {
    InFlightRequest c = slots.get(key);
    if (c == null || c.responseHandle == null) {
      return;
    }
    counters.add(Count.COMMANDS_DEPARTED);
    c.responseHandle = null;
    dispatcher.clientLeft(c.id, clock.now());
    if (c.out != null) {
      engines.callOff(c.out);
    } else {
      forget(c);
    }
    news = true;
  }

  /** Whether its client has gone, though nothing was heard of that yet. */
  private static boolean isLeft(InFlightRequest c) {
    return c.responseHandle != null && c.responseHandle.hasClientLeft();
  }

  @Override
  public boolean isWanted(Attempt send) {
    InFlightRequest c = byId.get(send.command);
    return c != null && c.out == send && c.responseHandle != null && !isLeft(c);
  }

  @Override
  public void progressed(Attempt send, double share, Timestamp now) {
    if (share >= 0) {
      dispatcher.updateProgress(send.command, send.number, share, now);
      news = true;
    }
  }

  @Override
  public void spills(Attempt send, double missingMb) {
    dispatcher.updateMemoryShortfall(send.command, send.number, missingMb);
  }

  @Override
  public void blocked(Attempt send, Timestamp now) {
    dispatcher.markBlocked(send.command, send.number, now);
    news = true;
  }

  @Override
  public void ended(Attempt send, AttemptResult ending, Timestamp now) {
    InFlightRequest c = byId.get(send.command);
    if (c == null || c.out != send) {
      return;
    }
    c.out = null;
    if (reports != null && send.inHand >= 0) {
      reports.heard(send.engine, Math.max(0, send.inHand - Math.max(0, send.queue)), now);
    }
    ResponseHandle answered = ending == AttemptResult.COMPLETED ? c.responseHandle : null;
    c.responseHandle = ending == AttemptResult.COMPLETED ? null : c.responseHandle;
    boolean over = c.responseHandle == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            c.id,
            send.number,
            send.engine,
            ending,
            now.since(send.at),
            over,
            new TimeSpan(-1),
            -1,
            send.queue,
            send.inHand);
    carryOut(c, () -> dispatcher.completeAttempt(outcome, now));
    if (over) {
      forget(c);
    }
    if (answered != null) {
      counters.add(Count.COMMANDS_ANSWERED);
      answered.complete(send.result);
    }
    news = true;
  }

  private void forget(InFlightRequest c) {
    byId.remove(c.id);
    slots.free(c.key);
  }

  /**
   * Follows the module, where there is news for it, until it names a span to wait; wakes up after
   * that.
   */
  void follow() {
    if (!news) {
      return;
    }
    news = false;
    TimeSpan wait;
    try {
      wait = followed(counters.of(Count.FAULTS));
    } catch (RuntimeException e) {
      fault(e);
      wait = AFTER_FAULT;
    }
    deadlines.cancel(wake);
    wake = wait == null ? null : deadlines.set(clock.now().plus(wait), () -> news = true);
  }

  private TimeSpan followed(long faults) {
    Timestamp now = clock.now();
    capped();
    NextStep pause = dispatcher.next(now);
    while (pause.delay() != null && !pause.delay().isPositive()) {
      if (counters.of(Count.FAULTS) > faults) {
        return AFTER_FAULT;
      }
      InFlightRequest c = pause.request() == null ? null : byId.get(pause.request().id());
      if (pause.cancelAttempt() >= 0
          && c != null
          && c.out != null
          && c.out.number == pause.cancelAttempt()) {
        engines.callOff(c.out);
      } else if (pause.request() != null && c == null) {
        dispatcher.clientLeft(pause.request().id(), now);
      } else if (pause.request() != null) {
        place(c, pause.request());
      } else if (pause.healthCheck() != null) {
        engines.probe(pause.healthCheck(), now);
      }
      now = clock.now();
      capped();
      pause = dispatcher.next(now);
    }
    return pause.delay();
  }

  private void fault(RuntimeException e) {
    counters.add(Count.FAULTS);
    LOG.log(Level.ERROR, "a fault in a decision", e);
  }

  /** Asks the module for one command; a fault of its code fails this command and no other. */
  private void carryOut(InFlightRequest c, Supplier<Placement> asked) {
    Placement p;
    capped();
    try {
      p = asked.get();
    } catch (RuntimeException e) {
      fault(e);
      p = Placement.fail();
      deadlines.set(clock.now(), () -> dispatcher.clientLeft(c.id, clock.now()));
    }
    if (c == null || c.responseHandle == null) {
      return;
    }
    switch (p.decision()) {
      case SEND ->
          c.out =
              maySend.getAsBoolean() && isWithinCap(c)
                  ? engines.send(c.id, c.sends++, p, c.statement, clock.now())
                  : engines.neverSend(c.id, c.sends++, p.engine(), c.statement, clock.now());
      case SHED -> {
        denied(c);
        counters.add(Count.COMMANDS_SHED);
        ResponseHandle responseHandle = c.responseHandle;
        forget(c);
        responseHandle.shed(p.retryAfter());
      }
      case FAIL -> {
        denied(c);
        counters.add(Count.COMMANDS_FAILED);
        ResponseHandle responseHandle = c.responseHandle;
        forget(c);
        responseHandle.fail();
      }
      default -> {}
    }
  }

  private boolean isWithinCap(InFlightRequest c) {
    if (caps == null) {
      return true;
    }
    if (c.sends == 0) {
      caps.first();
      return true;
    }
    return caps.takesFurther();
  }

  /**
   * One that was sent and is given up while nothing is left to be sent again may have been given up
   * for that.
   */
  private void denied(InFlightRequest c) {
    if (caps != null && c.sends > 0 && caps.furtherLeft() < 1) {
      counters.add(Count.REPEATS_DENIED);
      caps.denied();
    }
  }
}
