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
import cobaltseam.membership.PersistentState;
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
 * A fleet of the real membership in virtual time, under a script of faults. The same seed gives the
 * same history.
 */
public final class VirtualFleet {
  /** What a fleet is made of. */
  public record Plan(
      int processes,
      double healthCheckIntervalS,
      double healthCheckTimeoutS,
      int bootstrapMembers,
      double startWithinS,
      double maxSendDelayS,
      boolean withPersistence) {
    /** The usual plan of so many processes, without persistence. */
    public static Plan of(int processes) {
      return new Plan(processes, 1, 2, Math.min(3, processes), 1, 5, false);
    }

    /** The same with a persistent state for each process. */
    public Plan withFolders() {
      return new Plan(
          processes,
          healthCheckIntervalS,
          healthCheckTimeoutS,
          bootstrapMembers,
          startWithinS,
          maxSendDelayS,
          true);
    }
  }

  private record Event(
      double at,
      long turn,
      int process,
      long life,
      PeerMessage message,
      MembershipAction.Persist keep)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Double.compare(at, other.at);
      return order != 0 ? order : Long.compare(turn, other.turn);
    }
  }

  private static final class Process {
    Membership membership;
    ConfigurationAgreement agreement;
    StateGossip sharing;
    CapacityLeases capacityLeases;
    FleetCoordinator coordinator;

    /** Rate of its clock over that of virtual time. */
    double rate = 1;

    /** Number of the process under this index; events of a former process are void. */
    long life;

    boolean alive;
    boolean started;

    /** While it is dead: whether it will restart as the same member. */
    boolean resumes;

    double wake = Double.MAX_VALUE;

    /** The state in its folder. */
    PersistentState persistentState;

    /** The persistent state of half a run before. */
    PersistentState earlierState;

    /** The write that is under way. */
    MembershipAction.Persist writing;

    /** Messages that arrived while it was suspended. */
    final Deque<PeerMessage> unread = new ArrayDeque<>();
  }

  private static final int PORT = 7946;

  /**
   * Documents in virtual time are texts: what begins with "no" is refused, and two contradict
   * unless both begin with "log".
   */
  private static final ConfigurationAgreement.ConfigurationValidator TEXTS =
      new ConfigurationAgreement.ConfigurationValidator() {
        @Override
        public String rejectionReason(byte[] content) {
          return new String(content, StandardCharsets.UTF_8).startsWith("no")
              ? "it can't be acted on"
              : null;
        }

        @Override
        public boolean contradict(byte[] one, byte[] other) {
          return !(new String(one, StandardCharsets.UTF_8).startsWith("log")
              && new String(other, StandardCharsets.UTF_8).startsWith("log"));
        }
      };

  private static final cobaltseam.sharing.GossipOptions SHARING =
      new cobaltseam.sharing.GossipOptions(
          new TimeSpan(500_000), 3, new TimeSpan(10_000_000), 8192, 0.001);
  private static final long FAULT_EVENT = -1;
  private static final long COPY_STATE_EVENT = -2;
  private static final double MAX_WRITE_S = 0.02;
  private static final int MAX_UNREAD_MESSAGES = 4096;
  private final Plan plan;
  private final List<Fault> faults;
  private final SplittableRandom chance;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Process[] processes;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final Map<InetSocketAddress, Integer> byAddress = new HashMap<>();
  private final List<RecordedEvent> recordedEvents = new ArrayList<>();
  private final Map<String, Integer> notes = new HashMap<>();
  private double now;
  private long turns;
  private long incarnations;
  private long sent;

  /** The newest view of each line, by whoever came to hold it first. */
  private final Map<Long, View> newest = new LinkedHashMap<>();

  private boolean lostMajority;
  private ConfigurationAgreement.AgreementOptions agreementOptions;
  private Lease.LeaseOptions leaseOptions;
  private cobaltseam.capacity.CapacityOptions capacityOptions;
  private double[] demands;
  private PeakUsage peakUsage = new PeakUsage(0, 0, false);
  private final List<ActivationRecord> activations = new ArrayList<>();

  /** Prepares a fleet; {@link #run} plays it. */
  public VirtualFleet(Plan plan, List<Fault> faults, long seed) {
    this.plan = plan;
    this.faults = faults;
    chance = new SplittableRandom(seed);
    processes = new Process[plan.processes];
    for (int index = 0; index < processes.length; index++) {
      processes[index] = new Process();
      addresses.add(address(index));
      byAddress.put(addresses.get(index), index);
      at(chance.nextDouble() * plan.startWithinS, index, 0, null);
    }
    for (Fault fault : faults) {
      for (int process : fault.processes()) {
        switch (fault.kind()) {
          case KILL, TERM, GONE, PAUSE, SLOW, LOSE, STALE -> {
            if (fault.kind() == Fault.Kind.STALE) {
              at(fault.atS() / 2, process, COPY_STATE_EVENT, null);
            }
            at(fault.atS(), process, FAULT_EVENT, null);
            at(fault.endS(), process, FAULT_EVENT, null);
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
      throw new IllegalStateException("an address of four bytes is always valid", e);
    }
  }

  static MemberName name(int index) {
    return new MemberName(String.format("n%04d", index));
  }

  private void at(double when, int process, long life, PeerMessage message) {
    events.add(new Event(when, turns++, process, life, message, null));
  }

  /** What a process's own clock says; each may run at a rate of its own. */
  private Timestamp moment(int index) {
    return new Timestamp(Math.round(now * 1e6 * processes[index].rate));
  }

  // ---- what is asked

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

  /** How often each kind of thing was noted, by all. */
  public Map<String, Integer> notes() {
    return notes;
  }

  /** Whether a process runs, suspended or not. */
  public boolean isAlive(int index) {
    return processes[index].alive;
  }

  /** The quorum state that a process believes in. */
  public QuorumState quorumState(int index) {
    return processes[index].membership.quorumState();
  }

  /** The view that a process holds, or null. */
  public View view(int index) {
    return processes[index].membership.view();
  }

  /** An operator has a process found another line in place of this view. */
  public void bootstrapAgain(int index, ViewId said) {
    processes[index].coordinator.rebootstrap(said, moment(index));
    scheduleWake(index);
  }

  /** Over how many members a process shares the engines now. */
  public int carriers(int index) {
    return processes[index].membership.engineSharerCount(moment(index));
  }

  /** The processes that run now. */
  public Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int index = 0; index < processes.length; index++) {
      if (processes[index].alive) {
        Member self = processes[index].membership.self();
        live.add(new InvariantChecker.Live(index, self.name().value(), self.incarnation().value()));
      }
    }
    return live;
  }

  /** Whether all that live hold one view of just these. */
  public boolean isSettled() {
    Set<InvariantChecker.Live> live = live();
    View first = null;
    for (InvariantChecker.Live l : live) {
      View view = view(l.process());
      if (view == null
          || view.members().size() != live.size()
          || first != null && !first.id().equals(view.id())) {
        return false;
      }
      first = view;
    }
    for (Member m : first == null ? List.<Member>of() : first.members()) {
      int index = byAddress.get(m.peerAddress());
      if (!processes[index].alive || !processes[index].membership.self().equals(m)) {
        return false;
      }
    }
    return true;
  }

  // ---- the run

  /** Plays until this moment. */
  public void run(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      play(event);
    }
    now = until;
  }

  private void play(Event event) {
    Process process = processes[event.process];
    if (event.life == FAULT_EVENT) {
      injectFault(event.process);
    } else if (event.life == COPY_STATE_EVENT) {
      process.earlierState = process.persistentState;
    } else if (event.keep != null) {
      if (process.alive && isSuspended(event.process)) {
        // A disk goes on writing while its process stands still; the process hears of it later.
        events.add(
            new Event(now + MAX_WRITE_S, turns++, event.process, event.life, null, event.keep));
      } else if (process.alive && event.life == process.life && process.writing == event.keep) {
        process.persistentState = event.keep.state();
        process.writing = null;
        process.coordinator.persisted(event.keep.number(), moment(event.process));
        scheduleWake(event.process);
      }
    } else if (event.message != null) {
      if (!process.alive || event.life != process.life) {
        // Late for a former process: the one that has its address now gets it.
        if (process.alive) {
          deliver(event.process, event.message);
        }
        return;
      }
      deliver(event.process, event.message);
    } else if (!process.started && event.life == 0) {
      start(event.process);
    } else if (process.alive && event.life == process.life && event.at >= process.wake) {
      if (isSuspended(event.process)) {
        return;
      }
      due(event.process);
    }
  }

  /** Whether a process is suspended now; one that runs in turns is scheduled for its next turn. */
  private boolean isSuspended(int index) {
    for (Fault fault : faults) {
      if (fault.processes().contains(index) && now >= fault.atS() && now < fault.endS()) {
        if (fault.kind() == Fault.Kind.PAUSE) {
          return true;
        }
        if (fault.kind() == Fault.Kind.SLOW && now * 10 % 1 > fault.size()) {
          at(Math.floor(now * 10 + 1) / 10 + 1e-6, index, FAULT_EVENT, null);
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
    if (process.wake < now - plan.healthCheckIntervalS / 2) {
      due(index);
    }
    process.coordinator.receive(message, moment(index));
    scheduleWake(index);
  }

  private void due(int index) {
    processes[index].coordinator.advance(moment(index));
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
        plan.healthCheckTimeoutS,
        3,
        bootstrapMembers,
        seeds,
        new TimeSpan(Math.round(plan.maxSendDelayS * 1e6)));
  }

  private void start(int index) {
    Process process = processes[index];
    process.started = true;
    process.alive = true;
    process.resumes = false;
    process.life++;
    process.unread.clear();
    MembershipOptions options = membershipOptions();
    Member self = new Member(name(index), new Incarnation(++incarnations), addresses.get(index));
    process.membership =
        plan.withPersistence
            ? Membership.withFolder(options, self, process.persistentState, chance.split())
            : new Membership(options, self, chance.split());
    recordedEvents.add(
        new RecordedEvent(
            now, index, process.membership.self().incarnation().value(), null, List.of(), true));
    Lease lease =
        leaseOptions == null ? null : new Lease(leaseOptions, process.membership, chance.split());
    if (agreementOptions != null) {
      startAgreement(index, lease);
    }
    if (capacityOptions != null) {
      process.sharing =
          new StateGossip(
              process.membership.self().name(),
              process.membership.self().incarnation(),
              SHARING,
              chance.split(),
              moment(index));
    }
    process.coordinator =
        new FleetCoordinator(
            process.membership, lease, process.agreement, process.sharing, out(index, process));
    if (capacityOptions != null) {
      process.capacityLeases =
          new CapacityLeases(capacityOptions, process.coordinator.leaseContext(), chance.split());
      process.coordinator.setCapacityLeases(process.capacityLeases);
      needs(index, demands[index]);
    }
    process.coordinator.start(moment(index));
    scheduleWake(index);
  }

  private void startAgreement(int index, Lease lease) {
    Process process = processes[index];
    process.agreement =
        new ConfigurationAgreement(
            agreementOptions, process.membership, lease, TEXTS, chance.split());
    process.agreement.setOwnDocument("first".getBytes(StandardCharsets.UTF_8));
    if (process.persistentState != null) {
      process.persistentState.documents().forEach(process.agreement::addPersistedDocument);
    }
    recordActivation(index, null);
  }

  /** A fault of a process begins or ends. */
  private void injectFault(int index) {
    Process process = processes[index];
    for (Fault fault : faults) {
      boolean dies = fault.kind().endsProcess();
      if (dies
          && fault.processes().contains(index)
          && Math.abs(fault.atS() - now) < 1e-9
          && process.alive) {
        if (fault.kind() == Fault.Kind.TERM && !isSuspended(index)) {
          process.coordinator.leave(moment(index));
        }
        process.alive = false;
        recordActivation(index, null);
        if (process.writing != null && chance.nextBoolean()) {
          process.persistentState = process.writing.state();
        }
        process.writing = null;
        process.resumes =
            plan.withPersistence
                && process.persistentState != null
                && (fault.kind() == Fault.Kind.KILL || fault.kind() == Fault.Kind.TERM);
        process.persistentState =
            fault.kind() == Fault.Kind.LOSE
                ? null
                : fault.kind() == Fault.Kind.STALE ? process.earlierState : process.persistentState;
        newest.values().forEach(this::lost);
      } else if (fault.kind() == Fault.Kind.GONE
          && fault.processes().contains(index)
          && Math.abs(fault.atS() - now) < 1e-9) {
        process.resumes = false;
        newest.values().forEach(this::lost);
      } else if (dies
          && fault.kind() != Fault.Kind.GONE
          && fault.processes().contains(index)
          && Math.abs(fault.endS() - now) < 1e-9
          && !process.alive
          && !staysDead(index)) {
        start(index);
      }
    }
    if (process.alive && isSuspended(index)) {
      recordActivation(index, null);
    } else if (process.alive) {
      if (process.agreement != null) {
        process.coordinator.follow(moment(index));
        recordActivation(index, process.agreement.activeConfiguration());
      }
      due(index);
      while (!process.unread.isEmpty() && process.alive) {
        deliver(index, process.unread.poll());
      }
    }
  }

  /** The number of the newest view of any line. */
  public long newestNumber() {
    return newest.values().stream().mapToLong(v -> v.id().number()).max().orElse(0);
  }

  /**
   * Whether ever less than a majority of the newest view lived: no successor is possible, and an
   * operator decides.
   */
  public boolean lostMajority() {
    newest.values().forEach(this::lost);
    return lostMajority;
  }

  private void lost(View view) {
    long live =
        view.members().stream()
            .filter(
                m -> {
                  Process process = processes[byAddress.get(m.peerAddress())];
                  return (process.alive || process.resumes) && process.membership.self().equals(m);
                })
            .count();
    lostMajority |= live < view.majority();
  }

  private boolean staysDead(int index) {
    return faults.stream()
        .anyMatch(
            fault ->
                fault.processes().contains(index)
                    && fault.atS() <= now
                    && (fault.kind() == Fault.Kind.GONE
                        || fault.kind().endsProcess() && now < fault.endS() - 1e-9));
  }

  private void note(int index, View view) {
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

  private FleetCoordinator.EffectSink out(int index, Process process) {
    long life = process.life;
    return new FleetCoordinator.EffectSink() {
      @Override
      public void send(InetSocketAddress to, PeerMessage message) {
        VirtualFleet.this.send(index, to, message);
      }

      @Override
      public void handleMembership(MembershipAction act) {
        if (act instanceof MembershipAction.Persist keep) {
          process.writing = keep;
          events.add(
              new Event(now + MAX_WRITE_S * chance.nextDouble(), turns++, index, life, null, keep));
        } else if (act instanceof MembershipAction.ViewInstalled installed) {
          note(index, installed.view());
          View view = installed.view();
          if (view != null
              && newest.merge(
                      view.id().lineage(),
                      view,
                      (a, b) -> a.id().number() < b.id().number() ? b : a)
                  == view) {
            lost(view);
          }
        } else if (act instanceof MembershipAction.EventRecorded noted) {
          notes.merge(noted.event().label(), 1, Integer::sum);
        }
      }

      @Override
      public void handleAgreement(AgreementEffect doing) {
        if (doing instanceof AgreementEffect.Activate on) {
          recordActivation(index, on.configuration());
        } else if (doing instanceof AgreementEffect.EventRecorded noted) {
          notes.merge(noted.event().label(), 1, Integer::sum);
        }
      }
    };
  }

  private void scheduleWake(int index) {
    Process process = processes[index];
    if (capacityOptions != null) {
      recordUsage();
    }
    Timestamp wake = process.coordinator.nextAdvanceAt(moment(index));
    if (wake == null) {
      return;
    }
    double at = Math.max(now + 1e-6, wake.us() / 1e6 / process.rate);
    if (at < process.wake || process.wake <= now) {
      process.wake = at;
      at(at, index, process.life, null);
    }
  }

  // ---- the parts of a whole

  /**
   * From the next start of each process on, all hold parts of a whole; clocks run up to this part
   * apart.
   */
  public void enableCapacityLeases(
      cobaltseam.capacity.CapacityOptions terms, Lease.LeaseOptions under, double clocksApart) {
    capacityOptions = terms;
    leaseOptions = under;
    demands = new double[processes.length];
    for (Process process : processes) {
      process.rate = 1 + clocksApart * (chance.nextDouble() - 0.5);
    }
  }

  /** What a process needs from now on. */
  public void needs(int index, double demand) {
    demands[index] = demand;
    if (processes[index].capacityLeases != null) {
      processes[index].capacityLeases.setDemand(demand);
      processes[index].sharing.setOwnFigures(
          new MemberFigures(
              Map.of(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(demand))));
    }
  }

  /** What a process may use at this moment; nothing while it stands still. */
  public long usable(int index) {
    Process process = processes[index];
    return process.alive && process.capacityLeases != null && !isSuspended(index)
        ? process.capacityLeases.usableAmount(moment(index))
        : 0;
  }

  /**
   * The most that all together might use at any moment, when, and whether there ever were two lines
   * of views at once.
   */
  public record PeakUsage(long amount, double atS, boolean twoLines) {}

  /** The largest use of capacity so far. */
  public PeakUsage peakUsage() {
    return peakUsage;
  }

  /**
   * How much of the whole is held by other than those who need it: half of all differences between
   * the part of each and what its need asks for among those alive.
   */
  public double missed() {
    double sum = 0;
    int alive = 0;
    for (int index = 0; index < processes.length; index++) {
      sum += processes[index].alive ? demands[index] : 0;
      alive += processes[index].alive ? 1 : 0;
    }
    double missed = 0;
    long settled =
        capacityOptions.totalCapacity()
            - capacityOptions.standaloneAmount() * capacityOptions.maxProcesses();
    for (int index = 0; index < processes.length && sum > 0; index++) {
      if (processes[index].alive) {
        double even = (double) settled / alive;
        double due =
            capacityOptions.standaloneAmount()
                + capacityOptions.minRetainedRatio() * even
                + (1 - capacityOptions.minRetainedRatio()) * settled * demands[index] / sum;
        missed += Math.abs(usable(index) - due);
      }
    }
    return missed / 2 / capacityOptions.totalCapacity();
  }

  private void recordUsage() {
    long all = 0;
    long line = 0;
    boolean two = peakUsage.twoLines;
    for (int index = 0; index < processes.length; index++) {
      all += usable(index);
      View view = processes[index].alive ? processes[index].membership.view() : null;
      two |= view != null && line != 0 && line != view.id().lineage();
      line = view == null ? line : view.id().lineage();
    }
    boolean more = all > peakUsage.amount && !two;
    peakUsage = new PeakUsage(more ? all : peakUsage.amount, more ? now : peakUsage.atS, two);
  }

  // ---- the agreed document

  /**
   * From the next start of each process on, all agree on a document; clocks run up to this part
   * apart.
   */
  public void enableAgreement(ConfigurationAgreement.AgreementOptions terms, double clocksApart) {
    agreementOptions = terms;
    leaseOptions = new Lease.LeaseOptions(terms.maxContradiction(), terms.maxClockRateRatio());
    for (Process process : processes) {
      process.rate = 1 + clocksApart * (chance.nextDouble() - 0.5);
    }
  }

  /** A process proposes a document; why it can't, or null. */
  public String propose(int index, byte[] content, long expect) {
    if (!processes[index].alive || isSuspended(index)) {
      return "it is not there";
    }
    String why = processes[index].agreement.propose(content, expect, moment(index));
    processes[index].coordinator.follow(moment(index));
    scheduleWake(index);
    return why;
  }

  /** The configuration that is active at a process. */
  public ActiveConfiguration acting(int index) {
    return processes[index].agreement.activeConfiguration();
  }

  /** What all acted on, in the order in which it was. */
  public List<ActivationRecord> activations() {
    return activations;
  }

  private void recordActivation(int index, ActiveConfiguration on) {
    long line =
        processes[index].membership.view() == null
            ? 0
            : processes[index].membership.view().id().lineage();
    boolean back = on == null || on.mode() == ActiveConfiguration.Mode.FALLBACK;
    activations.add(
        new ActivationRecord(
            now,
            index,
            back
                ? List.of()
                : on.versions().stream()
                    .map(version -> line + "/" + version.number() + ":" + version.hash())
                    .toList()));
  }

  private void send(int from, InetSocketAddress address, PeerMessage message) {
    Integer to = byAddress.get(address);
    sent++;
    if (to == null) {
      return;
    }
    Fault.DatagramFate fate = Fault.fate(faults, from, to, now, chance);
    double delay = 0.0003 + 0.001 * chance.nextDouble() + fate.delayS();
    for (int n = 0; n < fate.copies(); n++) {
      at(now + delay * (1 + n * chance.nextDouble()), to, processes[to].life, message);
    }
  }
}
