package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One run of an emulated site in virtual time: dispatchers, the network, engines, discovery and
 * faults; {@link ClientTraffic} brings the requests. The same site, policy, faults and seed give
 * the same run, event by event.
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

  /** From when on and how often it is looked how even the engines are loaded. */
  private static final long SAMPLE_FROM_US = Timeline.START_US + 10_000_000;

  private static final long SAMPLE_INTERVAL_US = 200_000;

  private final EmulatedSite site;
  private final Timeline time = new Timeline(new Timestamp(Timeline.START_US));
  private final InvariantChecker invariants;
  private final OutcomeCounts counts;
  private final PolicyFactory policies;
  private final ClientTraffic traffic;
  private final EventHash decisions = new EventHash();
  private final List<EngineModel> engines = new ArrayList<>();
  private final List<EndpointState> endpointStates = new ArrayList<>();
  private final List<EmulatedDispatcher> dispatchers = new ArrayList<>();
  private final List<Set<Integer>> partitioned = new ArrayList<>();
  private final long[] notifiedUntilUs;
  private final long[] incarnations;
  private final List<Integer> unsentUpdates = new ArrayList<>();
  private final RandomGenerator network;
  private final RandomGenerator plans;
  private final RandomGenerator seeds;

  private EmulatedFleet fleet;
  private final double endS;
  private int discoveryStops;
  private double badPlans;
  private double badTimes = 10;

  Simulation(
      EmulatedSite site, PolicyFactory policies, List<Fault> faults, double seconds, long seed) {
    this.site = site;
    this.policies = policies;
    endS = seconds;
    invariants = new InvariantChecker(site, time);
    counts = new OutcomeCounts(site.requestClasses().size());
    SplittableRandom all = new SplittableRandom(seed);
    RandomGenerator arrivals = all.split();
    RandomGenerator works = all.split();
    network = all.split();
    plans = all.split();
    seeds = all.split();
    RandomGenerator speeds = all.split();
    traffic = new ClientTraffic(site, time, dispatchers, counts, decisions, arrivals, works);
    notifiedUntilUs = new long[site.dispatchers()];
    incarnations = new long[site.dispatchers()];
    for (int i = 0; i < site.engines().count(); i++) {
      double speed =
          Math.max(0.1, 1 + site.engines().speedSpread() * (2 * speeds.nextDouble() - 1));
      engines.add(
          new EngineModel(
              new EngineId(i + 1L),
              new LocationId("l" + i % site.engines().locations()),
              new GroupId(i % site.engines().groups()),
              speed,
              site.engines(),
              time));
      endpointStates.add(EndpointState.UP);
    }
    for (int i = 0; i < site.dispatchers(); i++) {
      dispatchers.add(new EmulatedDispatcher(i, time, this, invariants, counts));
      partitioned.add(new HashSet<>());
      start(i);
    }
    for (Fault fault : faults) {
      time.at(at(fault.atS()), () -> inject(fault));
    }
    time.at(SAMPLE_FROM_US, this::sampleLoad);
    traffic.start();
  }

  /** The part of all traffic that a dispatcher gets. */
  double trafficOf(int dispatcher) {
    return traffic.partOf(dispatcher);
  }

  /** The dispatchers as one fleet, for policies that have one. */
  EmulatedFleet withFleet(boolean spreads, double newsMs) {
    fleet = fleet == null ? new EmulatedFleet(site, time, spreads, newsMs) : fleet;
    return fleet;
  }

  private void sampleLoad() {
    counts.looked(
        engines.stream()
            .filter(e -> e.life == EngineModel.ProcessState.RUNS)
            .mapToDouble(EngineModel::threads)
            .toArray());
    time.at(time.nowUs() + SAMPLE_INTERVAL_US, this::sampleLoad);
  }

  private static long at(double seconds) {
    return Timeline.START_US + Math.round(seconds * 1e6);
  }

  /** Runs it: clients come until the end, and all that was asked gets the time it may take. */
  Result run() {
    long started = System.nanoTime();
    time.run(new Timestamp(at(endS)));
    traffic.stop();
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
        (time.nowUs() - Timeline.START_US) / 1e6,
        (System.nanoTime() - started) / 1e9,
        decisions.value());
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
        EngineModel model = engine(engine);
        return model.threads() == 0
            || model.threads() + threads <= site.engines().cores() * site.engines().knee();
      }
    };
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

  private boolean isPartitioned(EmulatedDispatcher host, EngineModel engine) {
    return partitioned.get(host.number).contains((int) engine.id.value() - 1);
  }

  @Override
  public void send(EmulatedDispatcher from, EmulatedDispatcher.Attempt out, Order order) {
    decisions.add(out.engine.id.value() * 1_000_003 + time.nowUs());
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
    if (out.isOver
        || isPartitioned(from, engine)
        || engine.life == EngineModel.ProcessState.VANISHED) {
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
    if (!out.isOver
        && !isPartitioned(from, out.engine)
        && out.engine.life == EngineModel.ProcessState.RUNS) {
      double share = out.engine.progress(out.job);
      if (share < 1) {
        time.after(delay(), () -> from.updateProgress(out, share));
        time.after(EmulatedSite.ms(site.limits().progressMs()), () -> progress(from, out));
      }
    }
  }

  /** The outcome of an attempt travels back to its dispatcher, unless the two are partitioned. */
  private void deliverOutcome(
      EmulatedDispatcher to, EmulatedDispatcher.Attempt out, AttemptResult ending, double inHand) {
    if (!isPartitioned(to, out.engine)) {
      time.after(delay(), () -> to.completeAttempt(out, ending, inHand));
    }
  }

  @Override
  public void giveUp(EmulatedDispatcher from, EmulatedDispatcher.Attempt out) {
    if (site.limits().canCancel()) {
      time.after(
          delay(),
          () -> {
            if (out.job != null && !isPartitioned(from, out.engine)) {
              out.engine.cancel(out.job);
            }
          });
    }
  }

  // ---- discovery

  private void start(int dispatcher) {
    incarnations[dispatcher]++;
    EmulatedDispatcher host = dispatchers.get(dispatcher);
    host.start(policies.of(site.deployment(dispatcher), seeds.nextLong(), this));
    List<EndpointStatus> all = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      all.add(endpointStatus(i));
    }
    host.updateEndpoints(all, true);
  }

  private EndpointStatus endpointStatus(int engine) {
    EngineModel model = engines.get(engine);
    return new EndpointStatus(
        model.id,
        model.location,
        new MachineTypeId(EmulatedSite.KIND),
        model.group,
        endpointStates.get(engine),
        new Timestamp(Math.max(0, model.startedUs)));
  }

  /** An endpoint has changed its state: each dispatcher is notified late, and in order. */
  private void changeState(int engine, EndpointState to) {
    endpointStates.set(engine, to);
    if (discoveryStops > 0) {
      unsentUpdates.add(engine);
      return;
    }
    notifyDispatchers(engine);
  }

  private void notifyDispatchers(int engine) {
    EndpointStatus line = endpointStatus(engine);
    for (EmulatedDispatcher host : dispatchers) {
      double late = site.discovery().lagMs() + network.nextDouble() * site.discovery().spreadMs();
      long when =
          Math.max(notifiedUntilUs[host.number] + 1, time.nowUs() + Math.round(late * 1000));
      notifiedUntilUs[host.number] = when;
      long life = incarnations[host.number];
      time.at(
          when,
          () -> {
            if (incarnations[host.number] == life) {
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
            changeState(number, EndpointState.REMOVED);
          }
        });
  }

  private void restart(int number) {
    EngineModel engine = engines.get(number);
    if (engine.life != EngineModel.ProcessState.RUNS) {
      engine.life = EngineModel.ProcessState.RUNS;
      engine.startedUs = time.nowUs();
      engine.advance();
      changeState(number, EndpointState.UP);
    }
  }

  // ---- faults

  private void inject(Fault fault) {
    long end = time.nowUs() + Math.round(fault.lengthS() * 1e6);
    switch (fault.kind()) {
      case SLOW -> paced(fault, 1 / fault.size(), fault.size(), end);
      case HANG -> paced(fault, 0, 0, end);
      case FAIL -> failAttempts(fault, end);
      case LOSE -> loseAnswers(fault, end);
      case VANISH, DIE -> takeDown(fault, end);
      case DRAIN -> drain(fault, end);
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
          incarnations[fault.target()]++;
          time.at(end, () -> start(fault.target()));
        }
      }
      case ROSTER_STOPS -> stopDiscovery(end);
      case FLOOD -> {
        if (traffic.hasTenant(fault.target())) {
          traffic.setTenantLoad(fault.target(), fault.size());
          time.at(end, () -> traffic.setTenantLoad(fault.target(), 1));
        }
      }
      case BAD_PLANS -> {
        badPlans = fault.size();
        time.at(end, () -> badPlans = 0);
      }
      default -> throw new IllegalStateException(fault.kind().label());
    }
  }

  private void failAttempts(Fault fault, long end) {
    for (int number : fault.engines()) {
      engines.get(number).failing = fault.size();
      time.at(end, () -> engines.get(number).failing = 0);
    }
  }

  private void loseAnswers(Fault fault, long end) {
    for (int number : fault.engines()) {
      engines.get(number).losing = fault.size();
      time.at(end, () -> engines.get(number).losing = 0);
    }
  }

  private void takeDown(Fault fault, long end) {
    for (int number : fault.engines()) {
      if (engines.get(number).life == EngineModel.ProcessState.RUNS) {
        die(engines.get(number), fault.kind() == Fault.Kind.VANISH);
        time.at(end, () -> restart(number));
      }
    }
  }

  private void drain(Fault fault, long end) {
    for (int number : fault.engines()) {
      if (engines.get(number).life == EngineModel.ProcessState.RUNS) {
        changeState(number, EndpointState.DRAINING);
        time.at(end, () -> dieIfRunning(number));
        time.at(end + (end - time.nowUs()), () -> restart(number));
      }
    }
  }

  private void dieIfRunning(int number) {
    if (engines.get(number).life == EngineModel.ProcessState.RUNS) {
      die(engines.get(number), false);
    }
  }

  private void stopDiscovery(long end) {
    discoveryStops++;
    time.at(end, this::resumeDiscovery);
  }

  private void resumeDiscovery() {
    if (--discoveryStops == 0) {
      List<Integer> due = List.copyOf(unsentUpdates);
      unsentUpdates.clear();
      due.stream().distinct().forEach(this::notifyDispatchers);
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
