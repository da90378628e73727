package cobaltseam.fleet;

import cobaltseam.agreement.ActiveConfiguration;
import cobaltseam.agreement.AgreementEffect;
import cobaltseam.agreement.ConfigurationAgreement;
import cobaltseam.capacity.CapacityLeases;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.MembershipAction;
import cobaltseam.membership.MembershipOptions;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.QuorumState;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.sharing.MemberFigures;
import cobaltseam.sharing.StateGossip;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A fleet that runs the production membership, agreement and capacity code in virtual time, under a
 * script of faults. The same seed gives the same history.
 */
public final class VirtualFleet {
  /**
   * The setup of a fleet.
   *
   * @param suspicionTimeoutPeriods the base of the suspicion timeout, in health check intervals
   * @param startWithinS all processes start within this time
   * @param maxAttemptDurationS the longest time for which an attempt of a member may occupy an
   *     engine
   */
  public record Plan(
      int processes,
      double healthCheckIntervalS,
      double suspicionTimeoutPeriods,
      int bootstrapMembers,
      double startWithinS,
      double maxAttemptDurationS,
      boolean withPersistence) {
    /** The default setup for this number of processes, without persistence. */
    public static Plan of(int processes) {
      return new Plan(processes, 1, 2, Math.min(3, processes), 1, 5, false);
    }

    /** This setup with a persistent state for each process. */
    public Plan withFolders() {
      return new Plan(
          processes,
          healthCheckIntervalS,
          suspicionTimeoutPeriods,
          bootstrapMembers,
          startWithinS,
          maxAttemptDurationS,
          true);
    }
  }

  private record Event(
      double at,
      long sequence,
      int process,
      long startNumber,
      PeerMessage message,
      MembershipAction.Persist persist)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Double.compare(at, other.at);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  private static final class Process {
    Membership membership;
    ConfigurationAgreement agreement;
    StateGossip sharing;
    CapacityLeases capacityLeases;
    FleetCoordinator coordinator;

    /** The rate of the clock of the process relative to virtual time. */
    double clockRate = 1;

    /** How often a process was started at this index; timers of an earlier start are ignored. */
    long startNumber;

    boolean isAlive;
    boolean hasStarted;

    /** While the process is dead: whether it will restart as the same member. */
    boolean resumesAsSameMember;

    double wakeAtS = Double.MAX_VALUE;

    final VirtualStateFolder folder = new VirtualStateFolder();

    /** The messages that arrived while the process was suspended. */
    final Deque<PeerMessage> unread = new ArrayDeque<>();
  }

  private static final int PORT = 7946;

  /**
   * Documents in virtual time are texts. Those that begin with "no" are rejected; two contradict
   * each other unless both begin with "log".
   */
  private static final ConfigurationAgreement.ConfigurationValidator TEXT_DOCUMENTS =
      new ConfigurationAgreement.ConfigurationValidator() {
        @Override
        public String rejectionReason(byte[] content) {
          return new String(content, StandardCharsets.UTF_8).startsWith("no")
              ? "the document can't be activated"
              : null;
        }

        @Override
        public boolean contradict(byte[] one, byte[] other) {
          return !(new String(one, StandardCharsets.UTF_8).startsWith("log")
              && new String(other, StandardCharsets.UTF_8).startsWith("log"));
        }
      };

  private static final cobaltseam.sharing.GossipOptions GOSSIP_OPTIONS =
      new cobaltseam.sharing.GossipOptions(
          new TimeSpan(500_000), 3, new TimeSpan(10_000_000), 8192, 0.001);
  private static final long FAULT_EVENT = -1;
  private static final long COPY_STATE_EVENT = -2;
  private static final double MAX_WRITE_S = 0.02;
  private static final double WRITE_RETRY_S = 0.5;
  private static final int MAX_UNREAD_MESSAGES = 4096;
  private final Plan plan;
  private final List<Fault> faults;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Process[] processes;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final Map<InetSocketAddress, Integer> byAddress = new HashMap<>();
  private final List<RecordedEvent> recordedEvents = new ArrayList<>();
  private final Map<String, Integer> eventCounts = new HashMap<>();
  private double now;
  private long nextSequence;
  private long incarnations;
  private long sent;

  /** The newest view of each lineage, as the first process to install it had it. */
  private final Map<Long, View> newestViews = new LinkedHashMap<>();

  private boolean lostMajority;
  private ConfigurationAgreement.AgreementOptions agreementOptions;
  private Lease.LeaseOptions leaseOptions;
  private cobaltseam.capacity.CapacityOptions capacityOptions;
  private double[] demands;
  private PeakUsage peakUsage = new PeakUsage(0, 0, false);
  private final List<ActivationRecord> activations = new ArrayList<>();

  /** Prepares a fleet; {@link #run} runs it. */
  public VirtualFleet(Plan plan, List<Fault> faults, long seed) {
    this.plan = plan;
    this.faults = faults;
    random = new SplittableRandom(seed);
    processes = new Process[plan.processes];
    for (int index = 0; index < processes.length; index++) {
      processes[index] = new Process();
      addresses.add(address(index));
      byAddress.put(addresses.get(index), index);
      schedule(random.nextDouble() * plan.startWithinS, index, 0, null);
    }
    for (Fault fault : faults) {
      for (int process : fault.processes()) {
        switch (fault.kind()) {
          case KILL, TERM, GONE, PAUSE, SLOW, LOSE, STALE -> {
            if (fault.kind() == Fault.Kind.STALE) {
              schedule(fault.atS() / 2, process, COPY_STATE_EVENT, null);
            }
            schedule(fault.atS(), process, FAULT_EVENT, null);
            schedule(fault.endS(), process, FAULT_EVENT, null);
          }
          default -> {}
        }
      }
    }
  }

  private static InetSocketAddress address(int index) {
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(
              new byte[] {10, (byte) (index >> 16), (byte) (index >> 8), (byte) index}),
          PORT);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("a four-byte address must be valid", e);
    }
  }

  static MemberName name(int index) {
    return new MemberName(String.format("n%04d", index));
  }

  private void schedule(double when, int process, long startNumber, PeerMessage message) {
    events.add(new Event(when, nextSequence++, process, startNumber, message, null));
  }

  /** The time of the clock of a process, which may run at a rate of its own. */
  private Timestamp clockTime(int index) {
    return new Timestamp(Math.round(now * 1e6 * processes[index].clockRate));
  }

  // ---- observations

  /** All events that members recorded so far, in order. */
  public List<RecordedEvent> recordedEvents() {
    return recordedEvents;
  }

  /** The virtual time, in seconds from the start. */
  public double now() {
    return now;
  }

  /** The number of datagrams sent so far. */
  public long sent() {
    return sent;
  }

  /** How often the members recorded each kind of event, by its label. */
  public Map<String, Integer> eventCounts() {
    return eventCounts;
  }

  /** Whether a process is running, suspended or not. */
  public boolean isAlive(int index) {
    return processes[index].isAlive;
  }

  /** The quorum state of a process in its own estimate. */
  public QuorumState quorumState(int index) {
    return processes[index].membership.quorumState();
  }

  /** The view that a process has installed, or null. */
  public View view(int index) {
    return processes[index].membership.view();
  }

  /** Requests as an operator that a process re-bootstraps a lineage in place of this view. */
  public void rebootstrap(int index, ViewId expectedView) {
    processes[index].coordinator.rebootstrap(expectedView, clockTime(index));
    scheduleWake(index);
  }

  /** The number of members among which a process divides the engines now. */
  public int engineSharerCount(int index) {
    return processes[index].membership.engineSharerCount(clockTime(index));
  }

  /** The processes that are running, suspended or not. */
  public Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int index = 0; index < processes.length; index++) {
      if (processes[index].isAlive) {
        Member self = processes[index].membership.self();
        live.add(new InvariantChecker.Live(index, self.name().value(), self.incarnation().value()));
      }
    }
    return live;
  }

  /** Whether all running processes have installed one view whose members are exactly these. */
  public boolean isSettled() {
    Set<InvariantChecker.Live> live = live();
    View first = null;
    for (InvariantChecker.Live liveProcess : live) {
      View view = view(liveProcess.process());
      if (view == null
          || view.members().size() != live.size()
          || first != null && !first.id().equals(view.id())) {
        return false;
      }
      first = view;
    }
    for (Member member : first == null ? List.<Member>of() : first.members()) {
      int index = byAddress.get(member.peerAddress());
      if (!processes[index].isAlive || !processes[index].membership.self().equals(member)) {
        return false;
      }
    }
    return true;
  }

  // ---- simulation

  /** Runs until this time, in seconds from the start. */
  public void run(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      play(event);
    }
    now = until;
  }

  private boolean isFolderFull(int index) {
    return faults.stream()
        .anyMatch(
            fault ->
                fault.kind() == Fault.Kind.FULL_FOLDER
                    && fault.processes().contains(index)
                    && now >= fault.atS()
                    && now < fault.endS());
  }

  /** Ends a write of a process: it fails and is repeated, or the process learns of its success. */
  private void playWrite(Process process, Event event) {
    boolean isCurrent =
        process.isAlive
            && event.startNumber == process.startNumber
            && process.folder.isPending(event.persist);
    if (!isCurrent) {
      return;
    }
    if (isFolderFull(event.process)) {
      process.folder.fail(now);
      if (process.folder.isOutageDue(now) && !isSuspended(event.process)) {
        process.folder.setOutageReported();
        process.coordinator.persistFailed("full", clockTime(event.process));
        scheduleWake(event.process);
      }
      scheduleWrite(WRITE_RETRY_S, event.process, event.startNumber, event.persist);
    } else if (isSuspended(event.process)) {
      // The disk completes writes during a suspension; the process learns of it afterwards.
      scheduleWrite(MAX_WRITE_S, event.process, event.startNumber, event.persist);
    } else {
      process.folder.complete();
      process.coordinator.persisted(event.persist.number(), clockTime(event.process));
      scheduleWake(event.process);
    }
  }

  private void scheduleWrite(
      double delayS, int index, long startNumber, MembershipAction.Persist write) {
    events.add(new Event(now + delayS, nextSequence++, index, startNumber, null, write));
  }

  private void play(Event event) {
    Process process = processes[event.process];
    if (event.startNumber == FAULT_EVENT) {
      injectFault(event.process);
    } else if (event.startNumber == COPY_STATE_EVENT) {
      process.folder.saveCopy();
    } else if (event.persist != null) {
      playWrite(process, event);
    } else if (event.message != null) {
      if (!process.isAlive || event.startNumber != process.startNumber) {
        // Sent to an earlier process: the one that has its address now receives it.
        if (process.isAlive) {
          deliver(event.process, event.message);
        }
        return;
      }
      deliver(event.process, event.message);
    } else if (!process.hasStarted && event.startNumber == 0) {
      start(event.process);
    } else if (process.isAlive
        && event.startNumber == process.startNumber
        && event.at >= process.wakeAtS) {
      if (isSuspended(event.process)) {
        return;
      }
      advance(event.process);
    }
  }

  /**
   * Whether a process is suspended now. Schedules the resumption of one that a {@link
   * Fault.Kind#SLOW} fault suspends.
   */
  private boolean isSuspended(int index) {
    for (Fault fault : faults) {
      if (fault.processes().contains(index) && now >= fault.atS() && now < fault.endS()) {
        if (fault.kind() == Fault.Kind.PAUSE) {
          return true;
        }
        if (fault.kind() == Fault.Kind.SLOW && now * 10 % 1 > fault.size()) {
          schedule(Math.floor(now * 10 + 1) / 10 + 1e-6, index, FAULT_EVENT, null);
          return true;
        }
      }
    }
    return false;
  }

  private void deliver(int index, PeerMessage message) {
    Process process = processes[index];
    if (isSuspended(index)) {
      if (process.unread.size() < MAX_UNREAD_MESSAGES) {
        process.unread.add(message);
      }
      return;
    }
    if (process.wakeAtS < now - plan.healthCheckIntervalS / 2) {
      advance(index);
    }
    process.coordinator.receive(message, clockTime(index));
    scheduleWake(index);
  }

  private void advance(int index) {
    processes[index].coordinator.advance(clockTime(index));
    scheduleWake(index);
  }

  private MembershipOptions membershipOptions() {
    List<InetSocketAddress> seeds = new ArrayList<>();
    List<MemberName> bootstrapMembers = new ArrayList<>();
    for (int f = 0; f < Math.max(plan.bootstrapMembers, Math.min(8, plan.processes)); f++) {
      seeds.add(addresses.get(f));
      if (f < plan.bootstrapMembers) {
        bootstrapMembers.add(name(f));
      }
    }
    return new MembershipOptions(
        new TimeSpan(Math.round(plan.healthCheckIntervalS * 1e6)),
        plan.suspicionTimeoutPeriods,
        3,
        bootstrapMembers,
        seeds,
        new TimeSpan(Math.round(plan.maxAttemptDurationS * 1e6)));
  }

  private void start(int index) {
    Process process = processes[index];
    process.hasStarted = true;
    process.isAlive = true;
    process.resumesAsSameMember = false;
    process.startNumber++;
    process.unread.clear();
    MembershipOptions options = membershipOptions();
    Member self = new Member(name(index), new Incarnation(++incarnations), addresses.get(index));
    process.membership =
        plan.withPersistence
            ? Membership.withFolder(options, self, process.folder.stored(), random.split())
            : new Membership(options, self, random.split());
    recordedEvents.add(
        new RecordedEvent(
            now, index, process.membership.self().incarnation().value(), null, List.of(), true));
    Lease lease =
        leaseOptions == null ? null : new Lease(leaseOptions, process.membership, random.split());
    if (agreementOptions != null) {
      startAgreement(index, lease);
    }
    if (capacityOptions != null) {
      process.sharing =
          new StateGossip(
              process.membership.self().name(),
              process.membership.self().incarnation(),
              GOSSIP_OPTIONS,
              random.split(),
              clockTime(index));
    }
    process.coordinator =
        new FleetCoordinator(
            process.membership,
            lease,
            process.agreement,
            process.sharing,
            effectSink(index, process));
    if (capacityOptions != null) {
      process.capacityLeases =
          new CapacityLeases(capacityOptions, process.coordinator.leaseContext(), random.split());
      process.coordinator.setCapacityLeases(process.capacityLeases);
      setDemand(index, demands[index]);
    }
    process.coordinator.start(clockTime(index));
    scheduleWake(index);
  }

  private void startAgreement(int index, Lease lease) {
    Process process = processes[index];
    process.agreement =
        new ConfigurationAgreement(
            agreementOptions, process.membership, lease, TEXT_DOCUMENTS, random.split());
    process.agreement.setOwnDocument("first".getBytes(StandardCharsets.UTF_8));
    if (process.folder.stored() != null) {
      process.folder.stored().documents().forEach(process.agreement::addPersistedDocument);
    }
    recordActivation(index, null);
  }

  /** Begins or ends the faults of a process that are due now. */
  private void injectFault(int index) {
    Process process = processes[index];
    for (Fault fault : faults) {
      boolean dies = fault.kind().endsProcess();
      if (dies
          && fault.processes().contains(index)
          && Math.abs(fault.atS() - now) < 1e-9
          && process.isAlive) {
        if (fault.kind() == Fault.Kind.TERM && !isSuspended(index)) {
          process.coordinator.leave(clockTime(index));
        }
        process.isAlive = false;
        recordActivation(index, null);
        if (process.folder.hasPending() && random.nextBoolean()) {
          process.folder.complete();
        }
        process.folder.abandon();
        process.resumesAsSameMember =
            plan.withPersistence
                && process.folder.stored() != null
                && (fault.kind() == Fault.Kind.KILL || fault.kind() == Fault.Kind.TERM);
        if (fault.kind() == Fault.Kind.LOSE) {
          process.folder.clear();
        } else if (fault.kind() == Fault.Kind.STALE) {
          process.folder.restoreCopy();
        }
        newestViews.values().forEach(this::updateLostMajority);
      } else if (fault.kind() == Fault.Kind.GONE
          && fault.processes().contains(index)
          && Math.abs(fault.atS() - now) < 1e-9) {
        process.resumesAsSameMember = false;
        newestViews.values().forEach(this::updateLostMajority);
      } else if (dies
          && fault.kind() != Fault.Kind.GONE
          && fault.processes().contains(index)
          && Math.abs(fault.endS() - now) < 1e-9
          && !process.isAlive
          && !remainsDown(index)) {
        start(index);
      }
    }
    if (process.isAlive && isSuspended(index)) {
      recordActivation(index, null);
    } else if (process.isAlive) {
      if (process.agreement != null) {
        process.coordinator.update(clockTime(index));
        recordActivation(index, process.agreement.activeConfiguration());
      }
      advance(index);
      while (!process.unread.isEmpty() && process.isAlive) {
        deliver(index, process.unread.poll());
      }
    }
  }

  /** The highest view number of all lineages. */
  public long newestNumber() {
    return newestViews.values().stream().mapToLong(view -> view.id().number()).max().orElse(0);
  }

  /**
   * Whether at any time less than a majority of a newest view was alive or going to resume, so that
   * no view could follow without an operator.
   */
  public boolean lostMajority() {
    newestViews.values().forEach(this::updateLostMajority);
    return lostMajority;
  }

  private void updateLostMajority(View view) {
    long live =
        view.members().stream()
            .filter(
                member -> {
                  Process process = processes[byAddress.get(member.peerAddress())];
                  return (process.isAlive || process.resumesAsSameMember)
                      && process.membership.self().equals(member);
                })
            .count();
    lostMajority |= live < view.majority();
  }

  private boolean remainsDown(int index) {
    return faults.stream()
        .anyMatch(
            fault ->
                fault.processes().contains(index)
                    && fault.atS() <= now
                    && (fault.kind() == Fault.Kind.GONE
                        || fault.kind().endsProcess() && now < fault.endS() - 1e-9));
  }

  private void recordView(int index, View view) {
    Process process = processes[index];
    recordedEvents.add(
        new RecordedEvent(
            now,
            index,
            process.membership.self().incarnation().value(),
            view == null ? null : view.id().toString(),
            view == null
                ? List.of()
                : view.members().stream().map(m -> m.name() + "#" + m.incarnation()).toList()));
  }

  private FleetCoordinator.EffectSink effectSink(int index, Process process) {
    long startNumber = process.startNumber;
    return new FleetCoordinator.EffectSink() {
      @Override
      public void send(InetSocketAddress to, PeerMessage message) {
        VirtualFleet.this.send(index, to, message);
      }

      @Override
      public void handleMembership(MembershipAction action) {
        if (action instanceof MembershipAction.Persist persist) {
          process.folder.submit(persist);
          scheduleWrite(MAX_WRITE_S * random.nextDouble(), index, startNumber, persist);
        } else if (action instanceof MembershipAction.ViewInstalled installed) {
          recordView(index, installed.view());
          View view = installed.view();
          if (view != null
              && newestViews.merge(
                      view.id().lineage(),
                      view,
                      (old, other) -> old.id().number() < other.id().number() ? other : old)
                  == view) {
            updateLostMajority(view);
          }
        } else if (action instanceof MembershipAction.EventRecorded recorded) {
          eventCounts.merge(recorded.event().label(), 1, Integer::sum);
        }
      }

      @Override
      public void handleAgreement(AgreementEffect effect) {
        if (effect instanceof AgreementEffect.Activate activation) {
          recordActivation(index, activation.configuration());
        } else if (effect instanceof AgreementEffect.EventRecorded recorded) {
          eventCounts.merge(recorded.event().label(), 1, Integer::sum);
        }
      }
    };
  }

  private void scheduleWake(int index) {
    Process process = processes[index];
    if (capacityOptions != null) {
      recordUsage();
    }
    Timestamp next = process.coordinator.nextAdvanceAt(clockTime(index));
    if (next == null) {
      return;
    }
    double atS = Math.max(now + 1e-6, next.us() / 1e6 / process.clockRate);
    if (atS < process.wakeAtS || process.wakeAtS <= now) {
      process.wakeAtS = atS;
      schedule(atS, index, process.startNumber, null);
    }
  }

  // ---- capacity leases

  /**
   * Makes processes divide a total capacity, from their next start on. Any two clocks differ in
   * rate by at most this ratio.
   */
  public void enableCapacityLeases(
      cobaltseam.capacity.CapacityOptions options,
      Lease.LeaseOptions leaseTerms,
      double clockRateDifference) {
    capacityOptions = options;
    leaseOptions = leaseTerms;
    demands = new double[processes.length];
    for (Process process : processes) {
      process.clockRate = 1 + clockRateDifference * (random.nextDouble() - 0.5);
    }
  }

  /** Sets the demand of a process from now on. */
  public void setDemand(int index, double demand) {
    demands[index] = demand;
    if (processes[index].capacityLeases != null) {
      processes[index].capacityLeases.setDemand(demand);
      processes[index].sharing.setOwnFigures(
          new MemberFigures(
              Map.of(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(demand))));
    }
  }

  /** The capacity that a process may use now; zero while it is suspended. */
  public long usableAmount(int index) {
    Process process = processes[index];
    return process.isAlive && process.capacityLeases != null && !isSuspended(index)
        ? process.capacityLeases.usableAmount(clockTime(index))
        : 0;
  }

  /**
   * The largest capacity that all processes together could use, when, and whether views of two
   * lineages ever existed at once.
   */
  public record PeakUsage(long amount, double atS, boolean twoLineages) {}

  /** The largest usable capacity so far; it is only updated until a second lineage appears. */
  public PeakUsage peakUsage() {
    return peakUsage;
  }

  /**
   * The ratio of the total capacity that is allocated to other processes than demand asks for: half
   * the sum of the differences between the usable and the expected amounts of live processes.
   */
  public double misallocatedRatio() {
    double sum = 0;
    int alive = 0;
    for (int index = 0; index < processes.length; index++) {
      sum += processes[index].isAlive ? demands[index] : 0;
      alive += processes[index].isAlive ? 1 : 0;
    }
    double difference = 0;
    long settled =
        capacityOptions.totalCapacity()
            - capacityOptions.standaloneAmount() * capacityOptions.maxProcesses();
    for (int index = 0; index < processes.length && sum > 0; index++) {
      if (processes[index].isAlive) {
        double even = (double) settled / alive;
        double expected =
            capacityOptions.standaloneAmount()
                + capacityOptions.minRetainedRatio() * even
                + (1 - capacityOptions.minRetainedRatio()) * settled * demands[index] / sum;
        difference += Math.abs(usableAmount(index) - expected);
      }
    }
    return difference / 2 / capacityOptions.totalCapacity();
  }

  private void recordUsage() {
    long total = 0;
    long lineage = 0;
    boolean twoLineages = peakUsage.twoLineages;
    for (int index = 0; index < processes.length; index++) {
      total += usableAmount(index);
      View view = processes[index].isAlive ? processes[index].membership.view() : null;
      twoLineages |= view != null && lineage != 0 && lineage != view.id().lineage();
      lineage = view == null ? lineage : view.id().lineage();
    }
    boolean isPeak = total > peakUsage.amount && !twoLineages;
    peakUsage =
        new PeakUsage(isPeak ? total : peakUsage.amount, isPeak ? now : peakUsage.atS, twoLineages);
  }

  // ---- agreement

  /**
   * Makes processes agree on a document, from their next start on. Any two clocks differ in rate by
   * at most this ratio.
   */
  public void enableAgreement(
      ConfigurationAgreement.AgreementOptions options, double clockRateDifference) {
    agreementOptions = options;
    leaseOptions = new Lease.LeaseOptions(options.maxContradiction(), options.maxClockRateRatio());
    for (Process process : processes) {
      process.clockRate = 1 + clockRateDifference * (random.nextDouble() - 0.5);
    }
  }

  /**
   * Proposes a document at a process.
   *
   * @param expectedNumber the number of the version that the document replaces, or -1 for any
   * @return the cause of the rejection, or null if the document was proposed
   */
  public String propose(int index, byte[] content, long expectedNumber) {
    if (!processes[index].isAlive || isSuspended(index)) {
      return "the process is not running";
    }
    String rejection =
        processes[index].agreement.propose(content, expectedNumber, clockTime(index));
    processes[index].coordinator.update(clockTime(index));
    scheduleWake(index);
    return rejection;
  }

  /** The configuration that is active at a process. */
  public ActiveConfiguration configuration(int index) {
    return processes[index].agreement.activeConfiguration();
  }

  /** The versions on which all processes acted, in chronological order. */
  public List<ActivationRecord> activations() {
    return activations;
  }

  private void recordActivation(int index, ActiveConfiguration configuration) {
    long lineage =
        processes[index].membership.view() == null
            ? 0
            : processes[index].membership.view().id().lineage();
    boolean hasFallenBack =
        configuration == null || configuration.mode() == ActiveConfiguration.Mode.FALLBACK;
    activations.add(
        new ActivationRecord(
            now,
            index,
            hasFallenBack
                ? List.of()
                : configuration.versions().stream()
                    .map(version -> lineage + "/" + version.number() + ":" + version.hash())
                    .toList()));
  }

  private void send(int from, InetSocketAddress address, PeerMessage message) {
    Integer to = byAddress.get(address);
    sent++;
    if (to == null) {
      return;
    }
    Fault.Delivery delivery = Fault.delivery(faults, from, to, now, random);
    double delay = 0.0003 + 0.001 * random.nextDouble() + delivery.delayS();
    for (int n = 0; n < delivery.copies(); n++) {
      schedule(now + delay * (1 + n * random.nextDouble()), to, processes[to].startNumber, message);
    }
  }
}
