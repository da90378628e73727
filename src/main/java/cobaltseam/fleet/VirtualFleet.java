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
 * A fleet of the real membership in virtual time, under a script of troubles. One seed, one
 * history.
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
    public static Plan of(int processes) {
      return new Plan(processes, 1, 2, Math.min(3, processes), 1, 5, false);
    }

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

    /** Of its clock, over that of the world. */
    double rate = 1;

    /** Which process of this number it is; events of a former one are void. */
    long life;

    boolean alive, started;

    /** While it is dead: whether it comes back as the same member. */
    boolean resumes;

    double wake = Double.MAX_VALUE;

    /** What its folder holds, held half a run before, and is being written. */
    PersistentState persistentState, earlierState;

    MembershipAction.Persist writing;

    /** What came while it stood still. */
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
        public String check(byte[] content) {
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
  private static final long TROUBLED = -1;
  private static final long COPIES = -2;
  private static final double SLOWEST_WRITE = 0.02;
  private static final int MOST_UNREAD = 4096;
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

  public VirtualFleet(Plan plan, List<Fault> faults, long seed) {
    this.plan = plan;
    this.faults = faults;
    chance = new SplittableRandom(seed);
    processes = new Process[plan.processes];
    for (int i = 0; i < processes.length; i++) {
      processes[i] = new Process();
      addresses.add(address(i));
      byAddress.put(addresses.get(i), i);
      at(chance.nextDouble() * plan.startWithinS, i, 0, null);
    }
    for (Fault t : faults) {
      for (int p : t.processes()) {
        switch (t.kind()) {
          case KILL, TERM, GONE, PAUSE, SLOW, LOSE, STALE -> {
            if (t.kind() == Fault.Kind.STALE) {
              at(t.atS() / 2, p, COPIES, null);
            }
            at(t.atS(), p, TROUBLED, null);
            at(t.endS(), p, TROUBLED, null);
          }
          default -> {}
        }
      }
    }
  }

  private static InetSocketAddress address(int i) {
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i}),
          PORT);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  static MemberName name(int i) {
    return new MemberName(String.format("n%04d", i));
  }

  private void at(double when, int process, long life, PeerMessage message) {
    events.add(new Event(when, turns++, process, life, message, null));
  }

  /** What a process's own clock says; each may run at a rate of its own. */
  private Timestamp moment(int i) {
    return new Timestamp(Math.round(now * 1e6 * processes[i].rate));
  }

  // ---- what is asked

  public List<RecordedEvent> recordedEvents() {
    return recordedEvents;
  }

  public double now() {
    return now;
  }

  public long sent() {
    return sent;
  }

  /** How often each kind of thing was noted, by all. */
  public Map<String, Integer> notes() {
    return notes;
  }

  public boolean isAlive(int i) {
    return processes[i].alive;
  }

  public QuorumState quorumState(int i) {
    return processes[i].membership.standing();
  }

  public View view(int i) {
    return processes[i].membership.view();
  }

  /** An operator has a process found another line in place of this view. */
  public void bootstrapAgain(int i, ViewId said) {
    processes[i].coordinator.foundAnew(said, moment(i));
    scheduleWake(i);
  }

  public int carriers(int i) {
    return processes[i].membership.carriers(moment(i));
  }

  public Set<InvariantChecker.Live> live() {
    Set<InvariantChecker.Live> live = new LinkedHashSet<>();
    for (int i = 0; i < processes.length; i++) {
      if (processes[i].alive) {
        Member self = processes[i].membership.self();
        live.add(new InvariantChecker.Live(i, self.name().value(), self.incarnation().value()));
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
      int i = byAddress.get(m.peerAddress());
      if (!processes[i].alive || !processes[i].membership.self().equals(m)) {
        return false;
      }
    }
    return true;
  }

  // ---- the run

  /** Plays until this moment. */
  public void run(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event e = events.poll();
      now = Math.max(now, e.at);
      play(e);
    }
    now = until;
  }

  private void play(Event e) {
    Process p = processes[e.process];
    if (e.life == TROUBLED) {
      injectFault(e.process);
    } else if (e.life == COPIES) {
      p.earlierState = p.persistentState;
    } else if (e.keep != null) {
      if (p.alive && stands(e.process)) {
        // A disk goes on writing while its process stands still; the process hears of it later.
        events.add(new Event(now + SLOWEST_WRITE, turns++, e.process, e.life, null, e.keep));
      } else if (p.alive && e.life == p.life && p.writing == e.keep) {
        p.persistentState = e.keep.what();
        p.writing = null;
        p.coordinator.kept(e.keep.number(), moment(e.process));
        scheduleWake(e.process);
      }
    } else if (e.message != null) {
      if (!p.alive || e.life != p.life) {
        // Late for a former process: the one that has its address now gets it.
        if (p.alive) {
          deliver(e.process, e.message);
        }
        return;
      }
      deliver(e.process, e.message);
    } else if (!p.started && e.life == 0) {
      start(e.process);
    } else if (p.alive && e.life == p.life && e.at >= p.wake) {
      if (stands(e.process)) {
        return;
      }
      due(e.process);
    }
  }

  /** Whether a process stands still now, and until when if it runs in turns. */
  private boolean stands(int i) {
    for (Fault t : faults) {
      if (t.processes().contains(i) && now >= t.atS() && now < t.endS()) {
        if (t.kind() == Fault.Kind.PAUSE) {
          return true;
        }
        if (t.kind() == Fault.Kind.SLOW && now * 10 % 1 > t.size()) {
          at(Math.floor(now * 10 + 1) / 10 + 1e-6, i, TROUBLED, null);
          return true;
        }
      }
    }
    return false;
  }

  private void deliver(int i, PeerMessage message) {
    Process p = processes[i];
    if (stands(i)) {
      if (p.unread.size() < MOST_UNREAD) {
        p.unread.add(message);
      }
      return;
    }
    if (p.wake < now - plan.healthCheckIntervalS / 2) {
      due(i);
    }
    p.coordinator.heard(message, moment(i));
    scheduleWake(i);
  }

  private void due(int i) {
    processes[i].coordinator.due(moment(i));
    scheduleWake(i);
  }

  private void start(int i) {
    Process p = processes[i];
    p.started = true;
    p.alive = true;
    p.resumes = false;
    p.life++;
    p.unread.clear();
    List<InetSocketAddress> seeds = new ArrayList<>();
    List<MemberName> founders = new ArrayList<>();
    for (int f = 0; f < Math.max(plan.bootstrapMembers, Math.min(8, plan.processes)); f++) {
      seeds.add(addresses.get(f));
      if (f < plan.bootstrapMembers) {
        founders.add(name(f));
      }
    }
    MembershipOptions terms =
        new MembershipOptions(
            new TimeSpan(Math.round(plan.healthCheckIntervalS * 1e6)),
            plan.healthCheckTimeoutS,
            3,
            founders,
            seeds,
            new TimeSpan(Math.round(plan.maxSendDelayS * 1e6)));
    Member self = new Member(name(i), new Incarnation(++incarnations), addresses.get(i));
    p.membership =
        plan.withPersistence
            ? Membership.lasting(terms, self, p.persistentState, chance.split())
            : new Membership(terms, self, chance.split());
    recordedEvents.add(
        new RecordedEvent(
            now, i, p.membership.self().incarnation().value(), null, List.of(), true));
    Lease lease =
        leaseOptions == null ? null : new Lease(leaseOptions, p.membership, chance.split());
    if (agreementOptions != null) {
      p.agreement =
          new ConfigurationAgreement(agreementOptions, p.membership, lease, TEXTS, chance.split());
      p.agreement.own("first".getBytes(StandardCharsets.UTF_8));
      if (p.persistentState != null) {
        p.persistentState.documents().forEach(p.agreement::knows);
      }
      recordActivation(i, null);
    }
    if (capacityOptions != null) {
      p.sharing =
          new StateGossip(
              p.membership.self().name(),
              p.membership.self().incarnation(),
              SHARING,
              chance.split(),
              moment(i));
    }
    p.coordinator = new FleetCoordinator(p.membership, lease, p.agreement, p.sharing, out(i, p));
    if (capacityOptions != null) {
      p.capacityLeases = new CapacityLeases(capacityOptions, p.coordinator.under(), chance.split());
      p.coordinator.holds(p.capacityLeases);
      needs(i, demands[i]);
    }
    p.coordinator.start(moment(i));
    scheduleWake(i);
  }

  /** A trouble of a process begins or ends. */
  private void injectFault(int i) {
    Process p = processes[i];
    for (Fault t : faults) {
      boolean dies = t.kind().endsProcess();
      if (dies && t.processes().contains(i) && Math.abs(t.atS() - now) < 1e-9 && p.alive) {
        if (t.kind() == Fault.Kind.TERM && !stands(i)) {
          p.coordinator.leave(moment(i));
        }
        p.alive = false;
        recordActivation(i, null);
        if (p.writing != null && chance.nextBoolean()) {
          p.persistentState = p.writing.what();
        }
        p.writing = null;
        p.resumes =
            plan.withPersistence
                && p.persistentState != null
                && (t.kind() == Fault.Kind.KILL || t.kind() == Fault.Kind.TERM);
        p.persistentState =
            t.kind() == Fault.Kind.LOSE
                ? null
                : t.kind() == Fault.Kind.STALE ? p.earlierState : p.persistentState;
        newest.values().forEach(this::lost);
      } else if (t.kind() == Fault.Kind.GONE
          && t.processes().contains(i)
          && Math.abs(t.atS() - now) < 1e-9) {
        p.resumes = false;
        newest.values().forEach(this::lost);
      } else if (dies
          && t.kind() != Fault.Kind.GONE
          && t.processes().contains(i)
          && Math.abs(t.endS() - now) < 1e-9
          && !p.alive
          && !staysDead(i)) {
        start(i);
      }
    }
    if (p.alive && stands(i)) {
      recordActivation(i, null);
    } else if (p.alive) {
      if (p.agreement != null) {
        p.coordinator.follow(moment(i));
        recordActivation(i, p.agreement.acting());
      }
      due(i);
      while (!p.unread.isEmpty() && p.alive) {
        deliver(i, p.unread.poll());
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
                  Process p = processes[byAddress.get(m.peerAddress())];
                  return (p.alive || p.resumes) && p.membership.self().equals(m);
                })
            .count();
    lostMajority |= live < view.majority();
  }

  private boolean staysDead(int i) {
    return faults.stream()
        .anyMatch(
            t ->
                t.processes().contains(i)
                    && t.atS() <= now
                    && (t.kind() == Fault.Kind.GONE
                        || t.kind().endsProcess() && now < t.endS() - 1e-9));
  }

  private void note(int i, View view) {
    Process p = processes[i];
    recordedEvents.add(
        new RecordedEvent(
            now,
            i,
            p.membership.self().incarnation().value(),
            view == null ? null : view.id().toString(),
            view == null
                ? List.of()
                : view.members().stream().map(m -> m.name() + "#" + m.incarnation()).toList()));
  }

  private FleetCoordinator.EffectSink out(int i, Process p) {
    long life = p.life;
    return new FleetCoordinator.EffectSink() {
      @Override
      public void tell(InetSocketAddress to, PeerMessage message) {
        VirtualFleet.this.send(i, to, message);
      }

      @Override
      public void act(MembershipAction act) {
        if (act instanceof MembershipAction.Persist keep) {
          p.writing = keep;
          events.add(
              new Event(now + SLOWEST_WRITE * chance.nextDouble(), turns++, i, life, null, keep));
        } else if (act instanceof MembershipAction.ViewInstalled installed) {
          note(i, installed.view());
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
      public void doing(AgreementEffect doing) {
        if (doing instanceof AgreementEffect.Activate on) {
          recordActivation(i, on.on());
        } else if (doing instanceof AgreementEffect.EventRecorded noted) {
          notes.merge(noted.event().label(), 1, Integer::sum);
        }
      }
    };
  }

  private void scheduleWake(int i) {
    Process p = processes[i];
    if (capacityOptions != null) {
      weigh();
    }
    Timestamp wake = p.coordinator.wake(moment(i));
    if (wake == null) {
      return;
    }
    double at = Math.max(now + 1e-6, wake.us() / 1e6 / p.rate);
    if (at < p.wake || p.wake <= now) {
      p.wake = at;
      at(at, i, p.life, null);
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
    for (Process p : processes) {
      p.rate = 1 + clocksApart * (chance.nextDouble() - 0.5);
    }
  }

  /** What a process needs from now on. */
  public void needs(int i, double demand) {
    demands[i] = demand;
    if (processes[i].capacityLeases != null) {
      processes[i].capacityLeases.needs(demand);
      processes[i].sharing.say(
          new MemberFigures(Map.of(FleetCoordinator.DEMAND, FleetCoordinator.figure(demand))));
    }
  }

  /** What a process may use at this moment; nothing while it stands still. */
  public long usable(int i) {
    Process p = processes[i];
    return p.alive && p.capacityLeases != null && !stands(i)
        ? p.capacityLeases.usable(moment(i))
        : 0;
  }

  /**
   * The most that all together might use at any moment, when, and whether there ever were two lines
   * of views at once.
   */
  public record PeakUsage(long amount, double atS, boolean twoLines) {}

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
    for (int i = 0; i < processes.length; i++) {
      sum += processes[i].alive ? demands[i] : 0;
      alive += processes[i].alive ? 1 : 0;
    }
    double missed = 0;
    long settled =
        capacityOptions.whole() - capacityOptions.alonePart() * capacityOptions.processes();
    for (int i = 0; i < processes.length && sum > 0; i++) {
      if (processes[i].alive) {
        double even = (double) settled / alive;
        double due =
            capacityOptions.alonePart()
                + capacityOptions.floor() * even
                + (1 - capacityOptions.floor()) * settled * demands[i] / sum;
        missed += Math.abs(usable(i) - due);
      }
    }
    return missed / 2 / capacityOptions.whole();
  }

  private void weigh() {
    long all = 0;
    long line = 0;
    boolean two = peakUsage.twoLines;
    for (int i = 0; i < processes.length; i++) {
      all += usable(i);
      View view = processes[i].alive ? processes[i].membership.view() : null;
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
    leaseOptions = new Lease.LeaseOptions(terms.contradiction(), terms.clockRates());
    for (Process p : processes) {
      p.rate = 1 + clocksApart * (chance.nextDouble() - 0.5);
    }
  }

  /** A process proposes a document; why it can't, or null. */
  public String propose(int i, byte[] content, long expect) {
    if (!processes[i].alive || stands(i)) {
      return "it is not there";
    }
    String why = processes[i].agreement.propose(content, expect, moment(i));
    processes[i].coordinator.follow(moment(i));
    scheduleWake(i);
    return why;
  }

  public ActiveConfiguration acting(int i) {
    return processes[i].agreement.acting();
  }

  /** What all acted on, in the order in which it was. */
  public List<ActivationRecord> activations() {
    return activations;
  }

  private void recordActivation(int i, ActiveConfiguration on) {
    long line =
        processes[i].membership.view() == null ? 0 : processes[i].membership.view().id().lineage();
    boolean back = on == null || on.mode() == ActiveConfiguration.Mode.BACK;
    activations.add(
        new ActivationRecord(
            now,
            i,
            back
                ? List.of()
                : on.versions().stream()
                    .map(e -> line + "/" + e.number() + ":" + e.hash())
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
