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
      double periodS,
      double patience,
      int founders,
      double startWithinS,
      double longestSendS,
      boolean folders) {
    public static Plan of(int processes) {
      return new Plan(processes, 1, 2, Math.min(3, processes), 1, 5, false);
    }

    public Plan withFolders() {
      return new Plan(processes, periodS, patience, founders, startWithinS, longestSendS, true);
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
    CapacityLeases holdings;
    FleetCoordinator ground;

    /** Of its clock, over that of the world. */
    double rate = 1;

    /** Which process of this number it is; events of a former one are void. */
    long life;

    boolean alive, started;

    /** While it is dead: whether it comes back as the same member. */
    boolean resumes;

    double wake = Double.MAX_VALUE;

    /** What its folder holds, held half a run before, and is being written. */
    PersistentState kept, earlier;

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
  private final List<Fault> troubles;
  private final SplittableRandom chance;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Process[] processes;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final Map<InetSocketAddress, Integer> byAddress = new HashMap<>();
  private final List<RecordedEvent> happenings = new ArrayList<>();
  private final Map<String, Integer> notes = new HashMap<>();
  private double now;
  private long turns;
  private long births;
  private long sent;

  /** The newest view of each line, by whoever came to hold it first. */
  private final Map<Long, View> newest = new LinkedHashMap<>();

  private boolean lostMajority;
  private ConfigurationAgreement.AgreementOptions agreed;
  private Lease.LeaseOptions leases;
  private cobaltseam.capacity.CapacityOptions divided;
  private double[] demands;
  private Most most = new Most(0, 0, false);
  private final List<ActivationRecord> acted = new ArrayList<>();

  public VirtualFleet(Plan plan, List<Fault> troubles, long seed) {
    this.plan = plan;
    this.troubles = troubles;
    chance = new SplittableRandom(seed);
    processes = new Process[plan.processes];
    for (int i = 0; i < processes.length; i++) {
      processes[i] = new Process();
      addresses.add(address(i));
      byAddress.put(addresses.get(i), i);
      at(chance.nextDouble() * plan.startWithinS, i, 0, null);
    }
    for (Fault t : troubles) {
      for (int p : t.who()) {
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

  public List<RecordedEvent> happenings() {
    return happenings;
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

  public QuorumState standing(int i) {
    return processes[i].membership.standing();
  }

  public View view(int i) {
    return processes[i].membership.view();
  }

  /** An operator has a process found another line in place of this view. */
  public void foundAnew(int i, ViewId said) {
    processes[i].ground.foundAnew(said, moment(i));
    wakes(i);
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
      troubled(e.process);
    } else if (e.life == COPIES) {
      p.earlier = p.kept;
    } else if (e.keep != null) {
      if (p.alive && stands(e.process)) {
        // A disk goes on writing while its process stands still; the process hears of it later.
        events.add(new Event(now + SLOWEST_WRITE, turns++, e.process, e.life, null, e.keep));
      } else if (p.alive && e.life == p.life && p.writing == e.keep) {
        p.kept = e.keep.what();
        p.writing = null;
        p.ground.kept(e.keep.number(), moment(e.process));
        wakes(e.process);
      }
    } else if (e.message != null) {
      if (!p.alive || e.life != p.life) {
        // Late for a former process: the one that has its address now gets it.
        if (p.alive) {
          hears(e.process, e.message);
        }
        return;
      }
      hears(e.process, e.message);
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
    for (Fault t : troubles) {
      if (t.who().contains(i) && now >= t.atS() && now < t.endS()) {
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

  private void hears(int i, PeerMessage message) {
    Process p = processes[i];
    if (stands(i)) {
      if (p.unread.size() < MOST_UNREAD) {
        p.unread.add(message);
      }
      return;
    }
    if (p.wake < now - plan.periodS / 2) {
      due(i);
    }
    p.ground.heard(message, moment(i));
    wakes(i);
  }

  private void due(int i) {
    processes[i].ground.due(moment(i));
    wakes(i);
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
    for (int f = 0; f < Math.max(plan.founders, Math.min(8, plan.processes)); f++) {
      seeds.add(addresses.get(f));
      if (f < plan.founders) {
        founders.add(name(f));
      }
    }
    MembershipOptions terms =
        new MembershipOptions(
            new TimeSpan(Math.round(plan.periodS * 1e6)),
            plan.patience,
            3,
            founders,
            seeds,
            new TimeSpan(Math.round(plan.longestSendS * 1e6)));
    Member self = new Member(name(i), new Incarnation(++births), addresses.get(i));
    p.membership =
        plan.folders
            ? Membership.lasting(terms, self, p.kept, chance.split())
            : new Membership(terms, self, chance.split());
    happenings.add(
        new RecordedEvent(
            now, i, p.membership.self().incarnation().value(), null, List.of(), true));
    Lease lease = leases == null ? null : new Lease(leases, p.membership, chance.split());
    if (agreed != null) {
      p.agreement = new ConfigurationAgreement(agreed, p.membership, lease, TEXTS, chance.split());
      p.agreement.own("first".getBytes(StandardCharsets.UTF_8));
      if (p.kept != null) {
        p.kept.documents().forEach(p.agreement::knows);
      }
      acts(i, null);
    }
    if (divided != null) {
      p.sharing =
          new StateGossip(
              p.membership.self().name(),
              p.membership.self().incarnation(),
              SHARING,
              chance.split(),
              moment(i));
    }
    p.ground = new FleetCoordinator(p.membership, lease, p.agreement, p.sharing, out(i, p));
    if (divided != null) {
      p.holdings = new CapacityLeases(divided, p.ground.under(), chance.split());
      p.ground.holds(p.holdings);
      needs(i, demands[i]);
    }
    p.ground.start(moment(i));
    wakes(i);
  }

  /** A trouble of a process begins or ends. */
  private void troubled(int i) {
    Process p = processes[i];
    for (Fault t : troubles) {
      boolean dies = t.kind().ends();
      if (dies && t.who().contains(i) && Math.abs(t.atS() - now) < 1e-9 && p.alive) {
        if (t.kind() == Fault.Kind.TERM && !stands(i)) {
          p.ground.leave(moment(i));
        }
        p.alive = false;
        acts(i, null);
        if (p.writing != null && chance.nextBoolean()) {
          p.kept = p.writing.what();
        }
        p.writing = null;
        p.resumes =
            plan.folders
                && p.kept != null
                && (t.kind() == Fault.Kind.KILL || t.kind() == Fault.Kind.TERM);
        p.kept =
            t.kind() == Fault.Kind.LOSE ? null : t.kind() == Fault.Kind.STALE ? p.earlier : p.kept;
        newest.values().forEach(this::lost);
      } else if (t.kind() == Fault.Kind.GONE
          && t.who().contains(i)
          && Math.abs(t.atS() - now) < 1e-9) {
        p.resumes = false;
        newest.values().forEach(this::lost);
      } else if (dies
          && t.kind() != Fault.Kind.GONE
          && t.who().contains(i)
          && Math.abs(t.endS() - now) < 1e-9
          && !p.alive
          && !staysDead(i)) {
        start(i);
      }
    }
    if (p.alive && stands(i)) {
      acts(i, null);
    } else if (p.alive) {
      if (p.agreement != null) {
        p.ground.follow(moment(i));
        acts(i, p.agreement.acting());
      }
      due(i);
      while (!p.unread.isEmpty() && p.alive) {
        hears(i, p.unread.poll());
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
    return troubles.stream()
        .anyMatch(
            t ->
                t.who().contains(i)
                    && t.atS() <= now
                    && (t.kind() == Fault.Kind.GONE || t.kind().ends() && now < t.endS() - 1e-9));
  }

  private void note(int i, View view) {
    Process p = processes[i];
    happenings.add(
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
        VirtualFleet.this.tell(i, to, message);
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
          acts(i, on.on());
        } else if (doing instanceof AgreementEffect.EventRecorded noted) {
          notes.merge(noted.event().label(), 1, Integer::sum);
        }
      }
    };
  }

  private void wakes(int i) {
    Process p = processes[i];
    if (divided != null) {
      weigh();
    }
    Timestamp wake = p.ground.wake(moment(i));
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
  public void divides(
      cobaltseam.capacity.CapacityOptions terms, Lease.LeaseOptions under, double clocksApart) {
    divided = terms;
    leases = under;
    demands = new double[processes.length];
    for (Process p : processes) {
      p.rate = 1 + clocksApart * (chance.nextDouble() - 0.5);
    }
  }

  /** What a process needs from now on. */
  public void needs(int i, double demand) {
    demands[i] = demand;
    if (processes[i].holdings != null) {
      processes[i].holdings.needs(demand);
      processes[i].sharing.say(
          new MemberFigures(Map.of(FleetCoordinator.DEMAND, FleetCoordinator.figure(demand))));
    }
  }

  /** What a process may use at this moment; nothing while it stands still. */
  public long usable(int i) {
    Process p = processes[i];
    return p.alive && p.holdings != null && !stands(i) ? p.holdings.usable(moment(i)) : 0;
  }

  /**
   * The most that all together might use at any moment, when, and whether there ever were two lines
   * of views at once.
   */
  public record Most(long amount, double atS, boolean twoLines) {}

  public Most most() {
    return most;
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
    long settled = divided.whole() - divided.alonePart() * divided.processes();
    for (int i = 0; i < processes.length && sum > 0; i++) {
      if (processes[i].alive) {
        double even = (double) settled / alive;
        double due =
            divided.alonePart()
                + divided.floor() * even
                + (1 - divided.floor()) * settled * demands[i] / sum;
        missed += Math.abs(usable(i) - due);
      }
    }
    return missed / 2 / divided.whole();
  }

  private void weigh() {
    long all = 0;
    long line = 0;
    boolean two = most.twoLines;
    for (int i = 0; i < processes.length; i++) {
      all += usable(i);
      View view = processes[i].alive ? processes[i].membership.view() : null;
      two |= view != null && line != 0 && line != view.id().lineage();
      line = view == null ? line : view.id().lineage();
    }
    boolean more = all > most.amount && !two;
    most = new Most(more ? all : most.amount, more ? now : most.atS, two);
  }

  // ---- the agreed document

  /**
   * From the next start of each process on, all agree on a document; clocks run up to this part
   * apart.
   */
  public void agrees(ConfigurationAgreement.AgreementOptions terms, double clocksApart) {
    agreed = terms;
    leases = new Lease.LeaseOptions(terms.contradiction(), terms.clockRates());
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
    processes[i].ground.follow(moment(i));
    wakes(i);
    return why;
  }

  public ActiveConfiguration acting(int i) {
    return processes[i].agreement.acting();
  }

  /** What all acted on, in the order in which it was. */
  public List<ActivationRecord> acted() {
    return acted;
  }

  private void acts(int i, ActiveConfiguration on) {
    long line =
        processes[i].membership.view() == null ? 0 : processes[i].membership.view().id().lineage();
    boolean back = on == null || on.mode() == ActiveConfiguration.Mode.BACK;
    acted.add(
        new ActivationRecord(
            now,
            i,
            back
                ? List.of()
                : on.versions().stream()
                    .map(e -> line + "/" + e.number() + ":" + e.hash())
                    .toList()));
  }

  private void tell(int from, InetSocketAddress address, PeerMessage message) {
    Integer to = byAddress.get(address);
    sent++;
    if (to == null) {
      return;
    }
    Fault.Fate fate = Fault.fate(troubles, from, to, now, chance);
    double delay = 0.0003 + 0.001 * chance.nextDouble() + fate.delayS();
    for (int n = 0; n < fate.times(); n++) {
      at(now + delay * (1 + n * chance.nextDouble()), to, processes[to].life, message);
    }
  }
}
