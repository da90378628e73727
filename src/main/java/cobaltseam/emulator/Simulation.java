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
import cobaltseam.emulator.EmulatedDispatcher.Attempt;
import cobaltseam.emulator.EngineModel.ProcessState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One run of an emulated site in virtual time: dispatchers, the network, engines, discovery and
 * faults; {@link ClientTraffic} generates the requests. Two runs with the same site, policy, faults
 * and seed execute the same events in the same order.
 */
public final class Simulation implements EngineLink {
  /** Creates the policy of one dispatcher. */
  interface PolicyFactory {
    Policy create(Deployment deployment, long seed, Simulation simulation);
  }

  /** The outcome of a run; {@code hash} covers all decisions, for comparing two runs. */
  public record Result(
      OutcomeCounts counts,
      List<String> violations,
      long violationCount,
      long events,
      double virtualS,
      double realS,
      long hash) {
    /** Requests admitted per second of real time; 0 if no time passed. */
    public double admittedPerSecond() {
      return realS <= 0 ? 0 : counts.admitted() / realS;
    }
  }

  /** When sampling of the load of the engines starts: after ten seconds of warm-up. */
  private static final long SAMPLING_START_US = Timeline.START_US + 10_000_000;

  /** The interval between two samples of the load of the engines. */
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
  private final long[] lastNotificationUs;
  private final long[] incarnations;
  private final List<Integer> deferredUpdates = new ArrayList<>();
  private final RandomGenerator network;

  /** Decides which attempts fail, get a bad plan or lose their answer. */
  private final RandomGenerator chance;

  private final RandomGenerator seeds;

  private EmulatedFleet fleet;
  private final double endS;
  private int discoveryStops;
  private double badPlanShare;
  private double badPlanFactor = 10;

  Simulation(
      EmulatedSite site, PolicyFactory policies, List<Fault> faults, double seconds, long seed) {
    this.site = site;
    this.policies = policies;
    endS = seconds;
    invariants = new InvariantChecker(site, time);
    counts = new OutcomeCounts(site.requestClasses().size());
    SplittableRandom root = new SplittableRandom(seed);
    RandomGenerator arrivals = root.split();
    RandomGenerator works = root.split();
    network = root.split();
    chance = root.split();
    seeds = root.split();
    RandomGenerator speeds = root.split();
    traffic = new ClientTraffic(site, time, dispatchers, counts, decisions, arrivals, works);
    lastNotificationUs = new long[site.dispatchers()];
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
      time.at(virtualUs(fault.atS()), () -> inject(fault));
    }
    time.at(SAMPLING_START_US, this::sampleLoad);
    traffic.start();
  }

  /** The share of all traffic that a dispatcher receives, from 0 to 1. */
  double trafficShareOf(int dispatcher) {
    return traffic.shareOf(dispatcher);
  }

  /** Returns the fleet of the dispatchers, which the first call creates. */
  EmulatedFleet withFleet(boolean sharesCapacity, double reportIntervalMs) {
    fleet = fleet == null ? new EmulatedFleet(site, time, sharesCapacity, reportIntervalMs) : fleet;
    return fleet;
  }

  private void sampleLoad() {
    counts.sampleLoad(
        engines.stream()
            .filter(e -> e.state == ProcessState.RUNNING)
            .mapToDouble(EngineModel::threads)
            .toArray());
    time.at(time.nowUs() + SAMPLE_INTERVAL_US, this::sampleLoad);
  }

  private static long virtualUs(double seconds) {
    return Timeline.START_US + Math.round(seconds * 1e6);
  }

  /**
   * Runs the simulation: clients issue requests until the end, and then virtual time goes on for
   * twice the longest deadline and a second, so that every open request can finish.
   */
  Result run() {
    long startNs = System.nanoTime();
    time.runUntil(new Timestamp(virtualUs(endS)));
    traffic.stop();
    double longestDeadlineS =
        site.requestClasses().stream()
                .mapToDouble(EmulatedSite.RequestClass::deadlineMs)
                .max()
                .orElse(0)
            / 1000;
    time.runUntil(new Timestamp(virtualUs(endS + longestDeadlineS * 2 + 1)));
    return new Result(
        counts,
        invariants.violations().stream().map(InvariantChecker.Violation::toString).toList(),
        invariants.violationCount(),
        time.executedEvents(),
        (time.nowUs() - Timeline.START_US) / 1e6,
        (System.nanoTime() - startNs) / 1e9,
        decisions.value());
  }

  InvariantChecker invariants() {
    return invariants;
  }

  /** The true state of the engines, for a policy that is allowed to see it. */
  Baseline.TrueState trueState() {
    return new Baseline.TrueState() {
      @Override
      public double timePerThreadWork(EngineId engine) {
        return engine(engine).timePerThreadWork(1);
      }

      @Override
      public boolean hasCapacity(EngineId engine, int threads) {
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

  private boolean isPartitioned(EmulatedDispatcher dispatcher, EngineModel engine) {
    return partitioned.get(dispatcher.number).contains((int) engine.id.value() - 1);
  }

  @Override
  public void send(EmulatedDispatcher from, Attempt attempt, RequestWork work) {
    decisions.add(attempt.engine.id.value() * 1_000_003 + time.nowUs());
    EmulatedSite.RequestClass requestClass = work.requestClass();
    boolean bad = chance.nextDouble() < Math.max(requestClass.badPlanShare(), badPlanShare);
    double workUs =
        work.workUs()
            * (bad
                ? badPlanShare > requestClass.badPlanShare()
                    ? badPlanFactor
                    : requestClass.badPlanFactor()
                : 1);
    boolean fails =
        chance.nextDouble() < Math.max(attempt.engine.errorRate, site.engines().errors());
    time.after(delay(), () -> arrive(from, attempt, work, workUs, fails));
  }

  private void arrive(
      EmulatedDispatcher from, Attempt attempt, RequestWork work, double workUs, boolean fails) {
    EngineModel engine = attempt.engine;
    if (attempt.isOver || isPartitioned(from, engine) || engine.state == ProcessState.VANISHED) {
      return;
    }
    if (engine.state == ProcessState.DIED) {
      deliverOutcome(from, attempt, AttemptResult.UNREACHABLE, -1);
      return;
    }
    if (fails) {
      deliverOutcome(from, attempt, AttemptResult.ERROR, engine.running());
      return;
    }
    if (invariants.overloadsColdEngine(engine, work.requestClass().workMs() * 1000)) {
      die(engine, false);
      deliverOutcome(from, attempt, AttemptResult.UNREACHABLE, -1);
      return;
    }
    int threads = work.requestClass().threads();
    EngineModel.Job job =
        new EngineModel.Job(
            threads,
            workUs,
            work.memoryMb(),
            () -> {
              invariants.attemptRan(from.number, from.requestId(attempt), attempt.observedIndex);
              if (!(engine.answerLossRate > 0 && chance.nextDouble() < engine.answerLossRate)) {
                deliverOutcome(from, attempt, AttemptResult.COMPLETED, engine.running());
              }
            },
            () -> deliverOutcome(from, attempt, AttemptResult.CONNECTION_LOST, -1));
    if (!engine.tryStart(job, work.data())) {
      deliverOutcome(from, attempt, AttemptResult.CAPACITY_EXCEEDED, engine.running());
      return;
    }
    attempt.job = job;
    if (site.limits().progressMs() > 0) {
      time.after(EmulatedSite.ms(site.limits().progressMs()), () -> progress(from, attempt));
    }
  }

  private void progress(EmulatedDispatcher from, Attempt attempt) {
    if (!attempt.isOver
        && !isPartitioned(from, attempt.engine)
        && attempt.engine.state == ProcessState.RUNNING) {
      double fraction = attempt.engine.progress(attempt.job);
      if (fraction < 1) {
        time.after(delay(), () -> from.updateProgress(attempt, fraction));
        time.after(EmulatedSite.ms(site.limits().progressMs()), () -> progress(from, attempt));
      }
    }
  }

  /** Sends the outcome of an attempt to its dispatcher, unless the two are partitioned. */
  private void deliverOutcome(
      EmulatedDispatcher to, Attempt attempt, AttemptResult result, double inFlight) {
    if (!isPartitioned(to, attempt.engine)) {
      time.after(delay(), () -> to.completeAttempt(attempt, result, inFlight));
    }
  }

  @Override
  public void abandon(EmulatedDispatcher from, Attempt attempt) {
    if (site.limits().canCancel()) {
      time.after(
          delay(),
          () -> {
            if (attempt.job != null && !isPartitioned(from, attempt.engine)) {
              attempt.engine.cancel(attempt.job);
            }
          });
    }
  }

  // ---- discovery

  /** Starts a dispatcher as a new incarnation and gives it the complete endpoint list. */
  private void start(int dispatcher) {
    incarnations[dispatcher]++;
    EmulatedDispatcher host = dispatchers.get(dispatcher);
    host.start(policies.create(site.deployment(dispatcher), seeds.nextLong(), this));
    List<EndpointStatus> endpoints = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      endpoints.add(endpointStatus(i));
    }
    host.updateEndpoints(endpoints, true);
  }

  private EndpointStatus endpointStatus(int engine) {
    EngineModel model = engines.get(engine);
    return new EndpointStatus(
        model.id,
        model.location,
        new MachineTypeId(EmulatedSite.MACHINE_TYPE),
        model.group,
        endpointStates.get(engine),
        new Timestamp(Math.max(0, model.startedUs)));
  }

  /** Changes an endpoint's state; each dispatcher is notified late, in the order of changes. */
  private void changeState(int engine, EndpointState state) {
    endpointStates.set(engine, state);
    if (discoveryStops > 0) {
      deferredUpdates.add(engine);
      return;
    }
    notifyDispatchers(engine);
  }

  private void notifyDispatchers(int engine) {
    EndpointStatus status = endpointStatus(engine);
    for (EmulatedDispatcher host : dispatchers) {
      double lagMs = site.discovery().lagMs() + network.nextDouble() * site.discovery().spreadMs();
      long when =
          Math.max(lastNotificationUs[host.number] + 1, time.nowUs() + Math.round(lagMs * 1000));
      lastNotificationUs[host.number] = when;
      long incarnation = incarnations[host.number];
      time.at(
          when,
          () -> {
            if (incarnations[host.number] == incarnation) {
              host.updateEndpoints(List.of(status), false);
            }
          });
    }
  }

  /** Ends an engine's process; silently, if open attempts are to stay without an outcome. */
  private void die(EngineModel engine, boolean silent) {
    engine.advance();
    engine.state = silent ? ProcessState.VANISHED : ProcessState.DIED;
    List<EngineModel.Job> dropped = engine.dropAll();
    if (!silent) {
      dropped.forEach(job -> job.onConnectionLost.run());
    }
    int number = (int) engine.id.value() - 1;
    time.after(
        EmulatedSite.ms(silent ? site.discovery().lagMs() * 2 : 0),
        () -> {
          if (engine.state != ProcessState.RUNNING) {
            changeState(number, EndpointState.REMOVED);
          }
        });
  }

  private void restart(int number) {
    EngineModel engine = engines.get(number);
    if (engine.state != ProcessState.RUNNING) {
      engine.state = ProcessState.RUNNING;
      engine.startedUs = time.nowUs();
      engine.advance();
      changeState(number, EndpointState.UP);
    }
  }

  // ---- faults

  private void inject(Fault fault) {
    long end = time.nowUs() + Math.round(fault.lengthS() * 1e6);
    switch (fault.kind()) {
      case SLOW -> changeSpeed(fault, 1 / fault.size(), fault.size(), end);
      case HANG -> changeSpeed(fault, 0, 0, end);
      case FAIL -> failAttempts(fault, end);
      case LOSE -> loseAnswers(fault, end);
      case VANISH, DIE -> takeDown(fault, end);
      case DRAIN -> drain(fault, end);
      case PARTITION -> {
        Set<Integer> unreachable = partitioned.get(fault.target());
        unreachable.addAll(fault.engines());
        time.at(end, () -> unreachable.removeAll(fault.engines()));
      }
      case PAUSE -> {
        dispatchers.get(fault.target()).setSuspended(true);
        time.at(end, () -> dispatchers.get(fault.target()).setSuspended(false));
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
        badPlanShare = fault.size();
        time.at(end, () -> badPlanShare = 0);
      }
      default -> throw new IllegalStateException(fault.kind().label());
    }
  }

  private void failAttempts(Fault fault, long end) {
    for (int number : fault.engines()) {
      engines.get(number).errorRate = fault.size();
      time.at(end, () -> engines.get(number).errorRate = 0);
    }
  }

  private void loseAnswers(Fault fault, long end) {
    for (int number : fault.engines()) {
      engines.get(number).answerLossRate = fault.size();
      time.at(end, () -> engines.get(number).answerLossRate = 0);
    }
  }

  private void takeDown(Fault fault, long end) {
    for (int number : fault.engines()) {
      if (engines.get(number).state == ProcessState.RUNNING) {
        die(engines.get(number), fault.kind() == Fault.Kind.VANISH);
        time.at(end, () -> restart(number));
      }
    }
  }

  private void drain(Fault fault, long end) {
    for (int number : fault.engines()) {
      if (engines.get(number).state == ProcessState.RUNNING) {
        changeState(number, EndpointState.DRAINING);
        time.at(end, () -> dieIfRunning(number));
        time.at(end + (end - time.nowUs()), () -> restart(number));
      }
    }
  }

  private void dieIfRunning(int number) {
    if (engines.get(number).state == ProcessState.RUNNING) {
      die(engines.get(number), false);
    }
  }

  private void stopDiscovery(long end) {
    discoveryStops++;
    time.at(end, this::resumeDiscovery);
  }

  private void resumeDiscovery() {
    if (--discoveryStops == 0) {
      List<Integer> deferred = List.copyOf(deferredUpdates);
      deferredUpdates.clear();
      deferred.stream().distinct().forEach(this::notifyDispatchers);
    }
  }

  /** Multiplies the speed of engines by a factor, and by another at the end; 0 and 0 for a hang. */
  private void changeSpeed(Fault fault, double factor, double endFactor, long end) {
    for (int number : fault.engines()) {
      EngineModel engine = engines.get(number);
      double before = engine.speedFactor;
      setSpeed(engine, endFactor == 0 ? 0 : before * factor);
      time.at(
          end,
          () ->
              setSpeed(
                  engine,
                  endFactor == 0 ? Math.max(before, 0.01) : engine.speedFactor * endFactor));
    }
  }

  private static void setSpeed(EngineModel engine, double factor) {
    engine.advance();
    engine.speedFactor = factor;
    engine.scheduleNextCompletion();
  }
}
