package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.SequenceKey;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One run of a world in virtual time: clients, dispatchers, the network, engines, the list of
 * engines, and what goes wrong. The same world, policy, faults and seed give the same run, event by
 * event.
 */
public final class Simulation implements EngineLink {
  /** Makes the policy of one dispatcher. */
  interface PolicyFactory {
    Policy of(Deployment told, long seed, Simulation truth);
  }

  /** What a run came to. */
  public record Result(
      OutcomeCounts counts,
      List<String> violations,
      long violationCount,
      long events,
      double virtualS,
      double realS,
      long hash) {
    /** Commands taken for each second that the run took. */
    public double pace() {
      return realS <= 0 ? 0 : counts.admitted() / realS;
    }
  }

  /** One thing that a client wants, over all its askings. */
  private static final class ClientRequest {
    int requestClass;
    int tenant;
    long firstUs;
    Order order;
    double estimateUs;
    String key;
    int retriesLeft;
    boolean closed;
  }

  private static final long START_US = 1_000_000_000L;
  private static final double LONGEST_RETRY_S = 0.05;

  /** From when on and how often it is looked how even the engines are loaded. */
  private static final long LOOK_FROM_US = START_US + 10_000_000;

  private static final long LOOK_US = 200_000;
  private static final int KEYS = 64;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final EmulatedSite site;
  private final Timeline time = new Timeline(new Timestamp(START_US));
  private final InvariantChecker invariants;
  private final OutcomeCounts counts;
  private final PolicyFactory policies;
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<EndpointState> endpointStates = new ArrayList<>();
  private final List<EmulatedDispatcher> dispatchers = new ArrayList<>();
  private final List<Set<Integer>> partitioned = new ArrayList<>();
  private final long[] heardUntil;
  private final long[] lives;
  private final List<Integer> untold = new ArrayList<>();
  private final RandomGenerator arrivals;
  private final RandomGenerator works;
  private final RandomGenerator network;
  private final RandomGenerator plans;
  private final RandomGenerator seeds;
  private final double[] profileParts;
  private final double[] tenantParts;
  private final double[] dataParts;

  /** Sums of the dispatchers' parts of the traffic; null where all carry alike. */
  private final double[] dispatcherParts;

  private EmulatedFleet fleet;
  private final double[] flooded;
  private final double endS;
  private int discoveryStoppedUntil;
  private double badPlans;
  private double badTimes = 10;
  private long asked;
  private long hash = 0xcbf29ce484222325L;
  private boolean coming = true;

  Simulation(
      EmulatedSite world, PolicyFactory policies, List<Fault> faults, double seconds, long seed) {
    this.site = world;
    this.policies = policies;
    endS = seconds;
    invariants = new InvariantChecker(world, time);
    counts = new OutcomeCounts(world.requestClasses().size());
    dispatcherParts = dispatcherParts(world);
    SplittableRandom all = new SplittableRandom(seed);
    arrivals = all.split();
    works = all.split();
    network = all.split();
    plans = all.split();
    seeds = all.split();
    RandomGenerator speeds = all.split();
    heardUntil = new long[world.dispatchers()];
    lives = new long[world.dispatchers()];
    for (int i = 0; i < world.engines().count(); i++) {
      double speed =
          Math.max(0.1, 1 + world.engines().speedSpread() * (2 * speeds.nextDouble() - 1));
      engines.add(
          new EngineModel(
              new EngineId(i + 1L),
              new LocationId("l" + i % world.engines().locations()),
              new GroupId(i % world.engines().groups()),
              speed,
              world.engines(),
              time));
      endpointStates.add(EndpointState.UP);
    }
    for (int i = 0; i < world.dispatchers(); i++) {
      dispatchers.add(new EmulatedDispatcher(i, time, this, invariants, counts));
      partitioned.add(new HashSet<>());
      start(i);
    }
    profileParts =
        cumulative(
            world.requestClasses().stream().mapToDouble(EmulatedSite.RequestClass::part).toArray());
    tenantParts = world.tenants().stream().mapToDouble(EmulatedSite.Tenant::part).toArray();
    flooded = new double[Math.max(1, tenantParts.length)];
    Arrays.fill(flooded, 1);
    double[] sets = new double[Math.max(0, world.load().dataSets())];
    for (int i = 0; i < sets.length; i++) {
      sets[i] = 1 / Math.pow(i + 1, world.load().skew());
    }
    dataParts = cumulative(sets);
    for (Fault fault : faults) {
      time.at(at(fault.atS()), () -> begin(fault));
    }
    time.at(LOOK_FROM_US, this::look);
    if (world.load().perSecond() > 0) {
      time.at(START_US, this::nextArrival);
    }
    for (int i = 0; i < world.load().closedClients(); i++) {
      time.at(
          START_US + Math.round(arrivals.nextDouble() * world.load().thinkMs() * 1000),
          () -> issueRequest(true));
    }
  }

  private static double[] dispatcherParts(EmulatedSite world) {
    Double skew = world.load().dispatcherSkew();
    if (skew == null || skew == 0) {
      return null;
    }
    double[] parts = new double[world.dispatchers()];
    for (int i = 0; i < parts.length; i++) {
      parts[i] = 1 / Math.pow(i + 1, skew);
    }
    return cumulative(parts);
  }

  /** The part of all traffic that a dispatcher gets. */
  double trafficOf(int dispatcher) {
    if (dispatcherParts == null) {
      return 1.0 / site.dispatchers();
    }
    double before = dispatcher == 0 ? 0 : dispatcherParts[dispatcher - 1];
    return (dispatcherParts[dispatcher] - before) / dispatcherParts[dispatcherParts.length - 1];
  }

  /** The dispatchers as one fleet, for policies that have one. */
  EmulatedFleet withFleet(boolean spreads, double newsMs) {
    fleet = fleet == null ? new EmulatedFleet(site, time, spreads, newsMs) : fleet;
    return fleet;
  }

  private void look() {
    counts.looked(
        engines.stream()
            .filter(e -> e.life == EngineModel.ProcessState.RUNS)
            .mapToDouble(EngineModel::threads)
            .toArray());
    time.at(time.nowUs() + LOOK_US, this::look);
  }

  private static double[] cumulative(double[] parts) {
    double[] sums = parts.clone();
    Arrays.parallelPrefix(sums, Double::sum);
    return sums;
  }

  private static long at(double seconds) {
    return START_US + Math.round(seconds * 1e6);
  }

  /** Runs it: clients come until the end, and all that was asked gets the time it may take. */
  Result run() {
    long started = System.nanoTime();
    time.run(new Timestamp(at(endS)));
    coming = false;
    double longest =
        site.requestClasses().stream()
                .mapToDouble(EmulatedSite.RequestClass::deadlineMs)
                .max()
                .orElse(0)
            / 1000;
    time.run(new Timestamp(at(endS + longest * 2 + 1)));
    return new Result(
        counts,
        invariants.violations().stream().map(InvariantChecker.Violation::toString).toList(),
        invariants.all(),
        time.happened(),
        (time.nowUs() - START_US) / 1e6,
        (System.nanoTime() - started) / 1e9,
        hash);
  }

  InvariantChecker referee() {
    return invariants;
  }

  /** What is so at engines, for a policy that may see it. */
  Baseline.TrueState truth() {
    return new Baseline.TrueState() {
      @Override
      public double pace(EngineId engine) {
        return engine(engine).pace(1);
      }

      @Override
      public boolean hasRoom(EngineId engine, int threads) {
        EngineModel e = engine(engine);
        return e.threads() == 0
            || e.threads() + threads <= site.engines().cores() * site.engines().knee();
      }
    };
  }

  private void note(long what) {
    hash = (hash ^ what) * FNV_PRIME;
  }

  // ---- clients

  private double rate() {
    EmulatedSite.Load load = site.load();
    double t = (time.nowUs() - START_US) / 1e6;
    double swing =
        load.swingS() > 0 ? 1 + load.swing() * Math.sin(2 * Math.PI * t / load.swingS()) : 1;
    boolean burst = load.burstEveryS() > 0 && t % load.burstEveryS() < load.burstS();
    double flood = 1;
    for (int i = 0; i < tenantParts.length; i++) {
      flood += tenantParts[i] * (flooded[i] - 1) / Arrays.stream(tenantParts).sum();
    }
    return load.perSecond() * swing * (burst ? load.burstTimes() : 1) * flood;
  }

  private void nextArrival() {
    if (!coming) {
      return;
    }
    issueRequest(false);
    double gap = -Math.log(1 - arrivals.nextDouble()) / rate();
    time.at(time.nowUs() + Math.max(0, Math.round(gap * 1e6)), this::nextArrival);
  }

  private static int draw(double[] sums, double unit) {
    int found = Arrays.binarySearch(sums, unit * sums[sums.length - 1]);
    return Math.min(sums.length - 1, found >= 0 ? found + 1 : -found - 1);
  }

  private int drawTenant() {
    if (tenantParts.length == 0) {
      return -1;
    }
    double[] parts = tenantParts.clone();
    for (int i = 0; i < parts.length; i++) {
      parts[i] *= flooded[i];
    }
    return draw(cumulative(parts), arrivals.nextDouble());
  }

  private double workUs(EmulatedSite.RequestClass requestClass) {
    double mean = requestClass.workMs() * 1000;
    if (requestClass.cv() == 0) {
      return mean;
    }
    if (requestClass.cv() == 1) {
      return -Math.log(1 - works.nextDouble()) * mean;
    }
    double variance = Math.log(1 + requestClass.cv() * requestClass.cv());
    return mean * Math.exp(works.nextGaussian() * Math.sqrt(variance) - variance / 2);
  }

  private void issueRequest(boolean closed) {
    if (!coming) {
      return;
    }
    ClientRequest ask = new ClientRequest();
    ask.requestClass = draw(profileParts, arrivals.nextDouble());
    ask.tenant = drawTenant();
    ask.firstUs = time.nowUs();
    ask.closed = closed;
    ask.retriesLeft = site.load().retries();
    EmulatedSite.RequestClass requestClass = site.requestClasses().get(ask.requestClass);
    DataSetId data =
        dataParts.length == 0 ? null : new DataSetId(draw(dataParts, works.nextDouble()));
    ask.order = new Order(requestClass, workUs(requestClass), requestClass.memoryMb(), data);
    ask.estimateUs =
        ask.order.workUs() * Math.exp(site.load().estimateError() * works.nextGaussian());
    ask.key = requestClass.inOrder() ? "k" + works.nextInt(KEYS) : null;
    counts.offered(ask.requestClass, requestClass.priorityWeight(), ask.firstUs - START_US);
    attempt(ask);
  }

  private void attempt(ClientRequest ask) {
    EmulatedSite.RequestClass requestClass = ask.order.profile();
    EmulatedDispatcher host =
        dispatchers.get(
            dispatcherParts == null
                ? arrivals.nextInt(dispatchers.size())
                : draw(dispatcherParts, arrivals.nextDouble()));
    long there = time.nowUs() + Math.round(site.network().clientMs() * 1000);
    long until = time.nowUs() + requestClass.deadline().us();
    RequestId id = new RequestId("c" + asked++);
    Request command =
        new Request(
            id,
            new RequestClassId(requestClass.name()),
            ask.tenant < 0 ? null : new TenantId(site.tenants().get(ask.tenant).name()),
            ask.key == null ? null : new SequenceKey(ask.key),
            new Timestamp(until),
            new TimeSpan(Math.round(ask.estimateUs)),
            ask.order.data(),
            ask.order.memoryMb());
    boolean[] told = {false};
    time.at(
        there,
        () -> {
          if (!host.isUp()) {
            told[0] = true;
            retryLater(ask, TimeSpan.ZERO, () -> counts.row(ask.requestClass).failed++);
            return;
          }
          host.admit(
              command,
              ask.order,
              ask.key,
              new EmulatedDispatcher.ResponseListener() {
                @Override
                public void onFinalAnswer(InvariantChecker.FinalAnswer what, TimeSpan comeBack) {
                  time.after(
                      EmulatedSite.ms(site.network().clientMs()),
                      () -> {
                        if (!told[0]) {
                          told[0] = true;
                          Simulation.this.onFinalAnswer(ask, what, comeBack);
                        }
                      });
                }

                @Override
                public boolean hasClientLeft() {
                  return told[0];
                }
              });
        });
    time.at(
        until,
        () -> {
          if (!told[0]) {
            told[0] = true;
            host.clientLeft(id);
            counts.row(ask.requestClass).unanswered++;
            over(ask);
          }
        });
  }

  private void onFinalAnswer(
      ClientRequest ask, InvariantChecker.FinalAnswer what, TimeSpan comeBack) {
    EmulatedSite.RequestClass requestClass = ask.order.profile();
    note(what.ordinal() + 31L * time.nowUs());
    switch (what) {
      case ANSWERED -> {
        long latency = time.nowUs() - ask.firstUs;
        double target =
            requestClass.objective().us()
                + requestClass.objectivePerWork() * ask.order.workUs() / requestClass.threads();
        boolean in = latency <= Math.min(target, requestClass.deadline().us());
        counts.answered(
            ask.requestClass,
            requestClass.priorityWeight() * (in ? 1 : requestClass.latePriorityWeight()),
            in,
            latency,
            ask.firstUs - START_US);
        over(ask);
      }
      case SHED -> retryLater(ask, comeBack, () -> counts.row(ask.requestClass).shed++);
      default -> {
        counts.row(ask.requestClass).failed++;
        over(ask);
      }
    }
  }

  private void retryLater(ClientRequest ask, TimeSpan comeBack, Runnable otherwise) {
    TimeSpan wait =
        comeBack.max(EmulatedSite.ms(LONGEST_RETRY_S * 1000)).times(0.5 + arrivals.nextDouble());
    boolean inTime = time.nowUs() + wait.us() < ask.firstUs + ask.order.profile().deadline().us();
    if (ask.retriesLeft > 0 && inTime) {
      ask.retriesLeft--;
      time.after(wait, () -> attempt(ask));
    } else {
      otherwise.run();
      over(ask);
    }
  }

  private void over(ClientRequest ask) {
    if (ask.closed) {
      time.after(EmulatedSite.ms(site.load().thinkMs()), () -> issueRequest(true));
    }
  }

  // ---- the network and engines

  private TimeSpan delay() {
    EmulatedSite.Network net = site.network();
    return EmulatedSite.ms(net.oneWayMs() * (1 + net.jitter() * (2 * network.nextDouble() - 1)));
  }

  @Override
  public EngineModel engine(EngineId id) {
    return engines.get((int) id.value() - 1);
  }

  private boolean cut(EmulatedDispatcher host, EngineModel engine) {
    return partitioned.get(host.number).contains((int) engine.id.value() - 1);
  }

  @Override
  public void send(EmulatedDispatcher from, EmulatedDispatcher.Attempt out, Order order) {
    note(out.engine.id.value() * 1_000_003 + time.nowUs());
    EmulatedSite.RequestClass requestClass = order.profile();
    boolean bad = plans.nextDouble() < Math.max(requestClass.badPlans(), badPlans);
    double work =
        order.workUs()
            * (bad ? badPlans > requestClass.badPlans() ? badTimes : requestClass.badTimes() : 1);
    boolean fails = plans.nextDouble() < Math.max(out.engine.failing, site.engines().errors());
    time.after(delay(), () -> arrive(from, out, order, work, fails));
  }

  private void arrive(
      EmulatedDispatcher from,
      EmulatedDispatcher.Attempt out,
      Order order,
      double work,
      boolean fails) {
    EngineModel engine = out.engine;
    if (out.isOver || cut(from, engine) || engine.life == EngineModel.ProcessState.VANISHED) {
      return;
    }
    if (engine.life == EngineModel.ProcessState.DIED) {
      deliverOutcome(from, out, AttemptResult.UNREACHABLE, -1);
      return;
    }
    if (fails) {
      deliverOutcome(from, out, AttemptResult.ERROR, engine.running());
      return;
    }
    if (invariants.pushesOver(engine, order.profile().workMs() * 1000)) {
      die(engine, false);
      deliverOutcome(from, out, AttemptResult.UNREACHABLE, -1);
      return;
    }
    int threads = order.profile().threads();
    EngineModel.Job job =
        new EngineModel.Job(
            threads,
            work,
            order.memoryMb(),
            () -> {
              invariants.ran(from.number, from.command(out), out.seen);
              if (!(engine.losing > 0 && plans.nextDouble() < engine.losing)) {
                deliverOutcome(from, out, AttemptResult.COMPLETED, engine.running());
              }
            },
            () -> deliverOutcome(from, out, AttemptResult.CONNECTION_LOST, -1));
    if (!engine.begin(job, order.data())) {
      deliverOutcome(from, out, AttemptResult.CAPACITY_EXCEEDED, engine.running());
      return;
    }
    out.job = job;
    if (site.limits().progressMs() > 0) {
      time.after(EmulatedSite.ms(site.limits().progressMs()), () -> progress(from, out));
    }
  }

  private void progress(EmulatedDispatcher from, EmulatedDispatcher.Attempt out) {
    if (!out.isOver && !cut(from, out.engine) && out.engine.life == EngineModel.ProcessState.RUNS) {
      double share = out.engine.progress(out.job);
      if (share < 1) {
        time.after(delay(), () -> from.updateProgress(out, share));
        time.after(EmulatedSite.ms(site.limits().progressMs()), () -> progress(from, out));
      }
    }
  }

  /** Word of a send goes back to its dispatcher, unless the way is cut. */
  private void deliverOutcome(
      EmulatedDispatcher to, EmulatedDispatcher.Attempt out, AttemptResult ending, double inHand) {
    if (!cut(to, out.engine)) {
      time.after(delay(), () -> to.completeAttempt(out, ending, inHand));
    }
  }

  @Override
  public void giveUp(EmulatedDispatcher from, EmulatedDispatcher.Attempt out) {
    if (site.limits().canCancel()) {
      time.after(
          delay(),
          () -> {
            if (out.job != null && !cut(from, out.engine)) {
              out.engine.cancel(out.job);
            }
          });
    }
  }

  // ---- the list

  private void start(int dispatcher) {
    lives[dispatcher]++;
    EmulatedDispatcher host = dispatchers.get(dispatcher);
    host.start(policies.of(site.deployment(dispatcher), seeds.nextLong(), this));
    List<EndpointStatus> all = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      all.add(endpointStatus(i));
    }
    host.updateEndpoints(all, true);
  }

  private EndpointStatus endpointStatus(int engine) {
    EngineModel e = engines.get(engine);
    return new EndpointStatus(
        e.id,
        e.location,
        new MachineTypeId(EmulatedSite.KIND),
        e.group,
        endpointStates.get(engine),
        new Timestamp(Math.max(0, e.startedUs)));
  }

  /** An engine's line has changed: each dispatcher hears of it late, and in order. */
  private void changed(int engine, EndpointState to) {
    endpointStates.set(engine, to);
    if (discoveryStoppedUntil > 0) {
      untold.add(engine);
      return;
    }
    notifyDispatchers(engine);
  }

  private void notifyDispatchers(int engine) {
    EndpointStatus line = endpointStatus(engine);
    for (EmulatedDispatcher host : dispatchers) {
      double late = site.discovery().lagMs() + network.nextDouble() * site.discovery().spreadMs();
      long when = Math.max(heardUntil[host.number] + 1, time.nowUs() + Math.round(late * 1000));
      heardUntil[host.number] = when;
      long life = lives[host.number];
      time.at(
          when,
          () -> {
            if (lives[host.number] == life) {
              host.updateEndpoints(List.of(line), false);
            }
          });
    }
  }

  private void die(EngineModel engine, boolean silent) {
    engine.advance();
    engine.life = silent ? EngineModel.ProcessState.VANISHED : EngineModel.ProcessState.DIED;
    List<EngineModel.Job> dropped = engine.drop();
    if (!silent) {
      dropped.forEach(j -> j.cut.run());
    }
    int number = (int) engine.id.value() - 1;
    time.after(
        EmulatedSite.ms(silent ? site.discovery().lagMs() * 2 : 0),
        () -> {
          if (engine.life != EngineModel.ProcessState.RUNS) {
            changed(number, EndpointState.GONE);
          }
        });
  }

  private void returns(int number) {
    EngineModel engine = engines.get(number);
    if (engine.life != EngineModel.ProcessState.RUNS) {
      engine.life = EngineModel.ProcessState.RUNS;
      engine.startedUs = time.nowUs();
      engine.advance();
      changed(number, EndpointState.UP);
    }
  }

  // ---- what goes wrong

  private void begin(Fault fault) {
    long end = time.nowUs() + Math.round(fault.lengthS() * 1e6);
    switch (fault.kind()) {
      case SLOW -> paced(fault, 1 / fault.size(), fault.size(), end);
      case HANG -> paced(fault, 0, 0, end);
      case FAIL ->
          fault
              .engines()
              .forEach(
                  e -> {
                    engines.get(e).failing = fault.size();
                    time.at(end, () -> engines.get(e).failing = 0);
                  });
      case LOSE ->
          fault
              .engines()
              .forEach(
                  e -> {
                    engines.get(e).losing = fault.size();
                    time.at(end, () -> engines.get(e).losing = 0);
                  });
      case VANISH, DIE ->
          fault
              .engines()
              .forEach(
                  e -> {
                    if (engines.get(e).life == EngineModel.ProcessState.RUNS) {
                      die(engines.get(e), fault.kind() == Fault.Kind.VANISH);
                      time.at(end, () -> returns(e));
                    }
                  });
      case DRAIN ->
          fault
              .engines()
              .forEach(
                  e -> {
                    if (engines.get(e).life == EngineModel.ProcessState.RUNS) {
                      changed(e, EndpointState.DRAINING);
                      time.at(
                          end,
                          () -> {
                            if (engines.get(e).life == EngineModel.ProcessState.RUNS) {
                              die(engines.get(e), false);
                            }
                          });
                      time.at(end + (end - time.nowUs()), () -> returns(e));
                    }
                  });
      case PARTITION -> {
        Set<Integer> of = partitioned.get(fault.target());
        of.addAll(fault.engines());
        time.at(end, () -> of.removeAll(fault.engines()));
      }
      case PAUSE -> {
        dispatchers.get(fault.target()).standStill(true);
        time.at(end, () -> dispatchers.get(fault.target()).standStill(false));
      }
      case KILL -> {
        if (dispatchers.get(fault.target()).isUp()) {
          dispatchers.get(fault.target()).kill();
          lives[fault.target()]++;
          time.at(end, () -> start(fault.target()));
        }
      }
      case ROSTER_STOPS -> {
        discoveryStoppedUntil++;
        time.at(
            end,
            () -> {
              if (--discoveryStoppedUntil == 0) {
                List<Integer> due = List.copyOf(untold);
                untold.clear();
                due.stream().distinct().forEach(this::notifyDispatchers);
              }
            });
      }
      case FLOOD -> {
        if (fault.target() < tenantParts.length) {
          flooded[fault.target()] = fault.size();
          time.at(end, () -> flooded[fault.target()] = 1);
        }
      }
      case BAD_PLANS -> {
        badPlans = fault.size();
        time.at(end, () -> badPlans = 0);
      }
      default -> throw new IllegalStateException(fault.kind().label());
    }
  }

  private void paced(Fault fault, double factor, double back, long end) {
    for (int e : fault.engines()) {
      EngineModel engine = engines.get(e);
      double before = engine.slowed;
      pace(engine, back == 0 ? 0 : before * factor);
      time.at(end, () -> pace(engine, back == 0 ? Math.max(before, 0.01) : engine.slowed * back));
    }
  }

  private static void pace(EngineModel engine, double to) {
    engine.advance();
    engine.slowed = to;
    engine.plan();
  }
}
