package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.VirtualRouter.Transition;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Every state that a few routers can come to, on the real rules, when adverts are lost, doubled or
 * late and routers stand still or start anew, each a bounded number of times at every possible
 * place. From every state on, with no more of that, exactly one must become active and stay so.
 */
final class Exploration {
  static final TimeSpan INTERVAL = new TimeSpan(100_000);
  private static final TimeSpan LATENCY = new TimeSpan(1_000);
  private static final TimeSpan LATE = INTERVAL.times(1.5);
  private static final List<TimeSpan> FREEZES =
      List.of(INTERVAL.times(0.5), INTERVAL.times(3.2), INTERVAL.times(10));
  private static final Timestamp ZERO = new Timestamp(0);

  /** How often each thing may go wrong. */
  record Faults(int lost, int doubled, int late, int freezes, int restarts) {
    boolean none() {
      return equals(new Faults(0, 0, 0, 0, 0));
    }
  }

  private record Flying(int from, int to, int priority, Timestamp at) {}

  /** All moments count from now. */
  private record World(
      List<RouterState> routers,
      List<Timestamp> frozen,
      List<Flying> flying,
      Faults left,
      Timestamp overlapSince) {}

  private final List<RouterOptions> terms;
  private final List<InetAddress> selves = new ArrayList<>();
  private final Set<World> seen = new HashSet<>();
  private final TimeSpan settle;
  private final boolean fencesHold;
  private long steps;
  private TimeSpan longestOverlap = TimeSpan.ZERO;

  Exploration(List<RouterOptions> terms, Faults faults) {
    this.terms = terms;
    for (int i = 0; i < terms.size(); i++) {
      selves.add(Addresses.read("10.0.0." + (i + 1)).orElseThrow());
    }
    // A down interval after the last fault, the longest freeze and lateness, and what an unheard
    // claim takes to yield.
    settle =
        INTERVAL
            .times(2 * VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 4)
            .plus(FREEZES.get(2))
            .plus(LATE);
    fencesHold = faults.lost == 0 && faults.late == 0 && faults.restarts == 0;
  }

  int states() {
    return seen.size();
  }

  long steps() {
    return steps;
  }

  TimeSpan longestOverlap() {
    return longestOverlap;
  }

  /** Explores all; throws with what went wrong. */
  void run(Faults faults) {
    List<RouterState> start =
        terms.stream()
            .map(t -> VirtualRouter.start(t, t.priority(), TimeSpan.ZERO, ZERO).state())
            .toList();
    Deque<World> open = new ArrayDeque<>();
    add(open, new World(start, Collections.nCopies(terms.size(), ZERO), List.of(), faults, null));
    while (!open.isEmpty()) {
      World world = open.removeLast();
      settles(world);
      step(world, true).forEach(w -> add(open, w));
    }
  }

  private void add(Deque<World> open, World world) {
    if (seen.add(world)) {
      open.addLast(world);
    }
  }

  /** Without further faults exactly one is active after a while, and the same one stays. */
  private void settles(World from) {
    World world =
        new World(
            from.routers, from.frozen, from.flying, new Faults(0, 0, 0, 0, 0), from.overlapSince);
    TimeSpan spent = TimeSpan.ZERO;
    int active = -1;
    while (spent.compareTo(settle.plus(INTERVAL.times(5))) < 0) {
      TimeSpan wait = next(world).since(ZERO);
      spent = spent.plus(wait);
      world = step(world, false).get(0);
      if (spent.compareTo(settle) >= 0) {
        List<Integer> now = active(world);
        if (now.size() != 1 || active >= 0 && now.get(0) != active) {
          throw new AssertionError(
              "active: " + now + " after " + spent + " of " + from + ", now " + world);
        }
        active = now.get(0);
      }
    }
  }

  private static List<Integer> active(World world) {
    List<Integer> active = new ArrayList<>();
    for (int i = 0; i < world.routers.size(); i++) {
      if (world.routers.get(i).role() == Role.ACTIVE) {
        active.add(i);
      }
    }
    return active;
  }

  private Timestamp wakeOf(World w, int i) {
    Timestamp wake = w.routers.get(i).wakeAt();
    return wake == null ? null : later(wake, w.frozen.get(i));
  }

  private static Timestamp later(Timestamp one, Timestamp other) {
    return one.isBefore(other) ? other : one;
  }

  private Timestamp next(World w) {
    Timestamp next = null;
    for (int i = 0; i < w.routers.size(); i++) {
      Timestamp at = wakeOf(w, i);
      next = at != null && (next == null || at.isBefore(next)) ? at : next;
    }
    for (Flying f : w.flying) {
      Timestamp at = later(f.at, w.frozen.get(f.to));
      next = next == null || at.isBefore(next) ? at : next;
    }
    return later(next, ZERO);
  }

  /** Every world that the next event can lead to; what has flown is heard before what is due. */
  private List<World> step(World w, boolean faulty) {
    steps++;
    Timestamp now = next(w);
    List<World> worlds = new ArrayList<>();
    Flying come =
        w.flying.stream()
            .filter(f -> !now.isBefore(later(f.at, w.frozen.get(f.to))))
            .findFirst()
            .orElse(null);
    if (come != null) {
      List<Flying> rest = new ArrayList<>(w.flying);
      rest.remove(come);
      World heard = new World(w.routers, w.frozen, rest, w.left, w.overlapSince);
      Advertisement advert = new Advertisement(1, come.priority, 10, List.of(selves.get(0)));
      follow(
          heard,
          come.to,
          now,
          faulty,
          worlds,
          (t, s) ->
              VirtualRouter.onAdvertisement(
                  t, s, selves.get(come.to), selves.get(come.from), advert, now));
      return worlds;
    }
    for (int i = 0; i < w.routers.size(); i++) {
      Timestamp at = wakeOf(w, i);
      if (at == null || now.isBefore(at)) {
        continue;
      }
      if (faulty && w.left.freezes > 0) {
        for (TimeSpan freeze : FREEZES) {
          List<Timestamp> frozen = new ArrayList<>(w.frozen);
          frozen.set(i, now.plus(freeze));
          Faults left =
              new Faults(
                  w.left.lost, w.left.doubled, w.left.late, w.left.freezes - 1, w.left.restarts);
          worlds.add(shifted(new World(w.routers, frozen, w.flying, left, w.overlapSince), now));
        }
      }
      if (faulty && w.left.restarts > 0) {
        List<RouterState> routers = new ArrayList<>(w.routers);
        routers.set(
            i, VirtualRouter.start(terms.get(i), terms.get(i).priority(), INTERVAL, now).state());
        Faults left =
            new Faults(
                w.left.lost, w.left.doubled, w.left.late, w.left.freezes, w.left.restarts - 1);
        worlds.add(shifted(new World(routers, w.frozen, w.flying, left, w.overlapSince), now));
      }
      follow(
          w,
          i,
          now,
          faulty,
          worlds,
          (t, s) ->
              s.wakeAt() != null && !now.isBefore(s.wakeAt())
                  ? VirtualRouter.onTimer(t, s, now)
                  : new Transition(s));
      return worlds;
    }
    throw new AssertionError("nothing is due at " + now + " in " + w);
  }

  private interface Event {
    Transition on(RouterOptions terms, RouterState standing);
  }

  /** The fence first, as in service; then the event; then each way that its adverts can go. */
  private void follow(
      World w, int i, Timestamp now, boolean faulty, List<World> worlds, Event event) {
    RouterState before = w.routers.get(i);
    Transition fenced = VirtualRouter.fenceIfOverdue(terms.get(i), before, now);
    Transition change = event.on(terms.get(i), fenced.state());
    List<MastershipAction> acts = new ArrayList<>(fenced.actions());
    acts.addAll(change.actions());
    taking(before.role() == Role.ACTIVE, change.state().role() == Role.ACTIVE, acts);
    List<RouterState> routers = new ArrayList<>(w.routers);
    routers.set(i, change.state());
    List<World> ways = List.of(new World(routers, w.frozen, w.flying, w.left, w.overlapSince));
    for (MastershipAction act : acts) {
      if (act instanceof MastershipAction.Advertise advertise) {
        for (int to = 0; to < routers.size(); to++) {
          if (to != i) {
            ways = flown(ways, new Flying(i, to, advertise.priority(), now.plus(LATENCY)), faulty);
          }
        }
      }
    }
    ways.forEach(x -> worlds.add(shifted(overlap(x, now), now)));
  }

  /** Traffic is taken by no other than an active one: what acts say must be what its role is. */
  private static void taking(boolean before, boolean after, List<MastershipAction> acts) {
    boolean taking = before;
    for (MastershipAction act : acts) {
      if (act instanceof MastershipAction.Acquire == taking
          && !(act instanceof MastershipAction.Advertise)) {
        throw new AssertionError(acts + " while taking: " + taking);
      }
      taking =
          act instanceof MastershipAction.Acquire
              || taking && !(act instanceof MastershipAction.Release);
    }
    if (taking != after) {
      throw new AssertionError(acts + " lead to taking: " + taking + ", active: " + after);
    }
  }

  private static List<World> flown(List<World> ways, Flying advert, boolean faulty) {
    List<World> more = new ArrayList<>();
    for (World w : ways) {
      Faults l = w.left;
      more.add(with(w, l, advert));
      if (faulty && l.lost > 0) {
        more.add(with(w, new Faults(l.lost - 1, l.doubled, l.late, l.freezes, l.restarts)));
      }
      Flying late = new Flying(advert.from, advert.to, advert.priority, advert.at.plus(LATE));
      if (faulty && l.doubled > 0) {
        more.add(
            with(
                w, new Faults(l.lost, l.doubled - 1, l.late, l.freezes, l.restarts), advert, late));
      }
      if (faulty && l.late > 0) {
        more.add(with(w, new Faults(l.lost, l.doubled, l.late - 1, l.freezes, l.restarts), late));
      }
    }
    return more;
  }

  private static World with(World w, Faults left, Flying... adverts) {
    List<Flying> flying = new ArrayList<>(w.flying);
    flying.addAll(List.of(adverts));
    return new World(w.routers, w.frozen, flying, left, w.overlapSince);
  }

  /** Two that may both take traffic at this moment: for how long by now. */
  private World overlap(World w, Timestamp now) {
    int admitted = 0;
    for (int i = 0; i < w.routers.size(); i++) {
      Timestamp fence = VirtualRouter.fenceTime(terms.get(i), w.routers.get(i));
      // One that stands still takes nothing; when it goes on, its fence or the adverts that wait
      // for it decide.
      boolean frozen = now.isBefore(w.frozen.get(i));
      admitted += fence != null && !fence.isBefore(now) && !frozen ? 1 : 0;
    }
    Timestamp since = admitted < 2 ? null : w.overlapSince == null ? now : w.overlapSince;
    if (since != null) {
      longestOverlap = longestOverlap.max(now.since(since));
      if (fencesHold && now.since(since).compareTo(LATENCY) > 0) {
        throw new AssertionError("two take traffic for " + now.since(since) + " in " + w);
      }
    }
    return new World(w.routers, w.frozen, w.flying, w.left, since);
  }

  /** The same world with now as the moment zero; what is long past is all the same. */
  private World shifted(World w, Timestamp now) {
    TimeSpan past = now.since(ZERO);
    List<RouterState> routers = new ArrayList<>();
    for (RouterState s : w.routers) {
      routers.add(
          new RouterState(
              s.role(),
              ZERO,
              s.reason(),
              s.priority(),
              s.activeInterval(),
              moved(s.wakeAt(), past, false),
              moved(s.lastAdvertisedAt(), past, false),
              moved(s.preemptionAllowedFrom(), past, true)));
    }
    return new World(
        routers,
        w.frozen.stream().map(m -> moved(m, past, true)).toList(),
        w.flying.stream().map(f -> new Flying(f.from, f.to, f.priority, f.at.minus(past))).toList(),
        w.left,
        moved(w.overlapSince, past, false));
  }

  private static Timestamp moved(Timestamp moment, TimeSpan by, boolean onlyAhead) {
    Timestamp to = moment == null ? null : moment.minus(by);
    return to != null && onlyAhead && to.isBefore(ZERO) ? ZERO : to;
  }

  static RouterOptions terms(int priority, boolean preempts) {
    return new RouterOptions(
        new VirtualRouterId(1, false),
        priority,
        INTERVAL,
        preempts,
        TimeSpan.ZERO,
        List.of(Addresses.read("192.0.2.10").orElseThrow()));
  }

  /**
   * A line of the table in docs/design-mastership.md for each row of arguments: priorities, then
   * faults.
   */
  public static void main(String[] args) {
    System.out.println(
        "| priorities | preempts | lost | doubled | late | freezes | restarts | states | steps | longest overlap, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (String arg : args) {
      String[] parts = arg.split("[:,]");
      boolean preempts = parts[0].equals("preempt");
      int[] faults = new int[5];
      List<RouterOptions> terms = new ArrayList<>();
      for (int i = 1; i < parts.length - 5; i++) {
        terms.add(terms(Integer.parseInt(parts[i]), preempts));
      }
      for (int i = 0; i < 5; i++) {
        faults[i] = Integer.parseInt(parts[parts.length - 5 + i]);
      }
      Faults of = new Faults(faults[0], faults[1], faults[2], faults[3], faults[4]);
      Exploration exploration = new Exploration(terms, of);
      exploration.run(of);
      System.out.println(
          "| "
              + terms.stream().map(t -> Integer.toString(t.priority())).toList()
              + " | "
              + preempts
              + " | "
              + faults[0]
              + " | "
              + faults[1]
              + " | "
              + faults[2]
              + " | "
              + faults[3]
              + " | "
              + faults[4]
              + " | "
              + exploration.states()
              + " | "
              + exploration.steps()
              + " | "
              + exploration.longestOverlap().us() / 1000.0
              + " |");
    }
  }
}
