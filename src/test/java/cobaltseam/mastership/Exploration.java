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
 * Explores all states that a few routers can reach with the real state machine while advertisements
 * are lost, duplicated or late and routers pause or restart, each fault a bounded number of times
 * at every possible place. From every state on, without further faults, exactly one router must
 * become active and stay so.
 */
final class Exploration {
  static final TimeSpan INTERVAL = new TimeSpan(100_000);
  private static final TimeSpan LATENCY = new TimeSpan(1_000);
  private static final TimeSpan LATENESS = INTERVAL.times(1.5);
  private static final List<TimeSpan> PAUSES =
      List.of(INTERVAL.times(0.5), INTERVAL.times(3.2), INTERVAL.times(10));
  private static final Timestamp ZERO = new Timestamp(0);

  /** How often each fault may still occur. */
  record Faults(int lost, int doubled, int late, int pauses, int restarts) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);

    Faults afterLoss() {
      return new Faults(lost - 1, doubled, late, pauses, restarts);
    }

    Faults afterDuplication() {
      return new Faults(lost, doubled - 1, late, pauses, restarts);
    }

    Faults afterDelay() {
      return new Faults(lost, doubled, late - 1, pauses, restarts);
    }

    Faults afterPause() {
      return new Faults(lost, doubled, late, pauses - 1, restarts);
    }

    Faults afterRestart() {
      return new Faults(lost, doubled, late, pauses, restarts - 1);
    }
  }

  private record InFlightAdvertisement(int from, int to, int priority, Timestamp arrivesAt) {}

  /** The state of all routers and of the network; all times are relative to now. */
  private record SystemState(
      List<RouterState> routers,
      List<Timestamp> pausedUntil,
      List<InFlightAdvertisement> inFlight,
      Faults faultsLeft,
      Timestamp overlapSince) {}

  private final List<RouterOptions> options;
  private final List<InetAddress> addresses = new ArrayList<>();
  private final Set<SystemState> seen = new HashSet<>();
  private final TimeSpan settleTime;
  private final boolean requiresNoOverlap;
  private long steps;
  private TimeSpan longestOverlap = TimeSpan.ZERO;

  Exploration(List<RouterOptions> options, Faults bounds) {
    this.options = options;
    for (int i = 0; i < options.size(); i++) {
      addresses.add(Addresses.parse("10.0.0." + (i + 1)).orElseThrow());
    }
    // Two active down intervals after the longest pause and lateness: one until a router becomes
    // active, one until another that did not receive its advertisements yields.
    settleTime =
        INTERVAL
            .times(2 * VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 4)
            .plus(PAUSES.get(2))
            .plus(LATENESS);
    requiresNoOverlap = bounds.lost == 0 && bounds.late == 0 && bounds.restarts == 0;
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

  /** Explores all states; throws an AssertionError that describes the first violation. */
  void run(Faults faults) {
    List<RouterState> start =
        options.stream()
            .map(
                router ->
                    VirtualRouter.start(router, router.priority(), TimeSpan.ZERO, ZERO).state())
            .toList();
    Deque<SystemState> open = new ArrayDeque<>();
    add(
        open,
        new SystemState(start, Collections.nCopies(options.size(), ZERO), List.of(), faults, null));
    while (!open.isEmpty()) {
      SystemState state = open.removeLast();
      checkConvergence(state);
      successors(state, true).forEach(next -> add(open, next));
    }
  }

  private void add(Deque<SystemState> open, SystemState state) {
    if (seen.add(state)) {
      open.addLast(state);
    }
  }

  /** Checks that without further faults exactly one router becomes active and stays so. */
  private void checkConvergence(SystemState from) {
    SystemState state =
        new SystemState(
            from.routers, from.pausedUntil, from.inFlight, Faults.NONE, from.overlapSince);
    TimeSpan spent = TimeSpan.ZERO;
    int active = -1;
    while (spent.compareTo(settleTime.plus(INTERVAL.times(5))) < 0) {
      TimeSpan wait = nextEventTime(state).since(ZERO);
      spent = spent.plus(wait);
      state = successors(state, false).get(0);
      if (spent.compareTo(settleTime) >= 0) {
        List<Integer> now = activeRouters(state);
        if (now.size() != 1 || active >= 0 && now.get(0) != active) {
          throw new AssertionError(
              "active: " + now + " after " + spent + " of " + from + ", now " + state);
        }
        active = now.get(0);
      }
    }
  }

  private static List<Integer> activeRouters(SystemState state) {
    List<Integer> active = new ArrayList<>();
    for (int i = 0; i < state.routers.size(); i++) {
      if (state.routers.get(i).role() == Role.ACTIVE) {
        active.add(i);
      }
    }
    return active;
  }

  private Timestamp wakeOf(SystemState state, int index) {
    Timestamp wake = state.routers.get(index).timerExpiresAt();
    return wake == null ? null : later(wake, state.pausedUntil.get(index));
  }

  private static Timestamp later(Timestamp one, Timestamp other) {
    return one.isBefore(other) ? other : one;
  }

  private Timestamp nextEventTime(SystemState state) {
    Timestamp next = null;
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp at = wakeOf(state, i);
      next = at != null && (next == null || at.isBefore(next)) ? at : next;
    }
    for (InFlightAdvertisement advertisement : state.inFlight) {
      Timestamp at = later(advertisement.arrivesAt, state.pausedUntil.get(advertisement.to));
      next = next == null || at.isBefore(next) ? at : next;
    }
    return later(next, ZERO);
  }

  /**
   * All states that the next event can lead to; an advertisement that has arrived is handled before
   * a timer.
   */
  private List<SystemState> successors(SystemState state, boolean faulty) {
    steps++;
    Timestamp now = nextEventTime(state);
    for (InFlightAdvertisement advertisement : state.inFlight) {
      if (!now.isBefore(later(advertisement.arrivesAt, state.pausedUntil.get(advertisement.to)))) {
        return afterArrival(state, advertisement, now, faulty);
      }
    }
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp wake = wakeOf(state, i);
      if (wake != null && !now.isBefore(wake)) {
        return afterTimer(state, i, now, faulty);
      }
    }
    throw new AssertionError("nothing is due at " + now + " in " + state);
  }

  private List<SystemState> afterArrival(
      SystemState state, InFlightAdvertisement arrived, Timestamp now, boolean faulty) {
    List<InFlightAdvertisement> rest = new ArrayList<>(state.inFlight);
    rest.remove(arrived);
    SystemState received =
        new SystemState(
            state.routers, state.pausedUntil, rest, state.faultsLeft, state.overlapSince);
    Advertisement advertisement =
        new Advertisement(1, arrived.priority, 10, List.of(addresses.get(0)));
    InetAddress receiver = addresses.get(arrived.to);
    InetAddress sender = addresses.get(arrived.from);
    List<SystemState> successors = new ArrayList<>();
    addSuccessors(
        received,
        arrived.to,
        now,
        faulty,
        successors,
        (router, before) ->
            VirtualRouter.onAdvertisement(router, before, receiver, sender, advertisement, now));
    return successors;
  }

  private List<SystemState> afterTimer(
      SystemState state, int index, Timestamp now, boolean faulty) {
    List<SystemState> successors = new ArrayList<>();
    if (faulty && state.faultsLeft.pauses > 0) {
      PAUSES.forEach(pause -> successors.add(paused(state, index, pause, now)));
    }
    if (faulty && state.faultsLeft.restarts > 0) {
      successors.add(restarted(state, index, now));
    }
    addSuccessors(
        state,
        index,
        now,
        faulty,
        successors,
        (router, before) ->
            before.timerExpiresAt() != null && !now.isBefore(before.timerExpiresAt())
                ? VirtualRouter.onTimer(router, before, now)
                : new Transition(before));
    return successors;
  }

  private SystemState paused(SystemState state, int index, TimeSpan pause, Timestamp now) {
    List<Timestamp> pausedUntil = new ArrayList<>(state.pausedUntil);
    pausedUntil.set(index, now.plus(pause));
    return relativeTo(
        new SystemState(
            state.routers,
            pausedUntil,
            state.inFlight,
            state.faultsLeft.afterPause(),
            state.overlapSince),
        now);
  }

  private SystemState restarted(SystemState state, int index, Timestamp now) {
    RouterOptions router = options.get(index);
    List<RouterState> routers = new ArrayList<>(state.routers);
    routers.set(index, VirtualRouter.start(router, router.priority(), INTERVAL, now).state());
    return relativeTo(
        new SystemState(
            routers,
            state.pausedUntil,
            state.inFlight,
            state.faultsLeft.afterRestart(),
            state.overlapSince),
        now);
  }

  private interface Event {
    Transition apply(RouterOptions router, RouterState before);
  }

  /**
   * Checks the fence first, as the service does, then applies the event, then follows each way that
   * its advertisements can be delivered.
   */
  private void addSuccessors(
      SystemState state,
      int index,
      Timestamp now,
      boolean faulty,
      List<SystemState> successors,
      Event event) {
    RouterState before = state.routers.get(index);
    Transition fenced = VirtualRouter.fenceIfOverdue(options.get(index), before, now);
    Transition change = event.apply(options.get(index), fenced.state());
    List<MastershipAction> actions = new ArrayList<>(fenced.actions());
    actions.addAll(change.actions());
    checkTraffic(before.role() == Role.ACTIVE, change.state().role() == Role.ACTIVE, actions);
    List<RouterState> routers = new ArrayList<>(state.routers);
    routers.set(index, change.state());
    List<SystemState> states =
        List.of(
            new SystemState(
                routers, state.pausedUntil, state.inFlight, state.faultsLeft, state.overlapSince));
    for (MastershipAction action : actions) {
      if (action instanceof MastershipAction.Advertise advertise) {
        for (int to = 0; to < routers.size(); to++) {
          if (to != index) {
            states =
                deliveries(
                    states,
                    new InFlightAdvertisement(index, to, advertise.priority(), now.plus(LATENCY)),
                    faulty);
          }
        }
      }
    }
    states.forEach(next -> successors.add(relativeTo(withOverlap(next, now), now)));
  }

  /** Checks that a router serves exactly while it is active, by its actions and its role. */
  private static void checkTraffic(boolean before, boolean after, List<MastershipAction> actions) {
    boolean serving = before;
    for (MastershipAction action : actions) {
      if (action instanceof MastershipAction.Acquire == serving
          && !(action instanceof MastershipAction.Advertise)) {
        throw new AssertionError(actions + " while taking: " + serving);
      }
      serving =
          action instanceof MastershipAction.Acquire
              || serving && !(action instanceof MastershipAction.Release);
    }
    if (serving != after) {
      throw new AssertionError(actions + " lead to taking: " + serving + ", active: " + after);
    }
  }

  /** Each way that an advertisement can be delivered, from each of these states. */
  private static List<SystemState> deliveries(
      List<SystemState> states, InFlightAdvertisement advertisement, boolean faulty) {
    List<SystemState> more = new ArrayList<>();
    for (SystemState state : states) {
      Faults faults = state.faultsLeft;
      more.add(withInFlight(state, faults, advertisement));
      if (faulty && faults.lost > 0) {
        more.add(withInFlight(state, faults.afterLoss()));
      }
      InFlightAdvertisement late =
          new InFlightAdvertisement(
              advertisement.from,
              advertisement.to,
              advertisement.priority,
              advertisement.arrivesAt.plus(LATENESS));
      if (faulty && faults.doubled > 0) {
        more.add(withInFlight(state, faults.afterDuplication(), advertisement, late));
      }
      if (faulty && faults.late > 0) {
        more.add(withInFlight(state, faults.afterDelay(), late));
      }
    }
    return more;
  }

  private static SystemState withInFlight(
      SystemState state, Faults faultsLeft, InFlightAdvertisement... advertisements) {
    List<InFlightAdvertisement> inFlight = new ArrayList<>(state.inFlight);
    inFlight.addAll(List.of(advertisements));
    return new SystemState(
        state.routers, state.pausedUntil, inFlight, faultsLeft, state.overlapSince);
  }

  /** Sets since when two routers may both serve, and checks for how long they may. */
  private SystemState withOverlap(SystemState state, Timestamp now) {
    int admitted = 0;
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp fence = VirtualRouter.fenceDeadline(options.get(i), state.routers.get(i));
      // A paused router serves nothing; afterwards its fence time or the waiting advertisements
      // decide.
      boolean isPaused = now.isBefore(state.pausedUntil.get(i));
      admitted += fence != null && !fence.isBefore(now) && !isPaused ? 1 : 0;
    }
    Timestamp since = admitted < 2 ? null : state.overlapSince == null ? now : state.overlapSince;
    if (since != null) {
      longestOverlap = longestOverlap.max(now.since(since));
      if (requiresNoOverlap && now.since(since).compareTo(LATENCY) > 0) {
        throw new AssertionError("two take traffic for " + now.since(since) + " in " + state);
      }
    }
    return new SystemState(
        state.routers, state.pausedUntil, state.inFlight, state.faultsLeft, since);
  }

  /** The same state with all times relative to now; times that no longer matter become zero. */
  private SystemState relativeTo(SystemState state, Timestamp now) {
    TimeSpan past = now.since(ZERO);
    List<RouterState> routers = new ArrayList<>();
    for (RouterState router : state.routers) {
      routers.add(
          new RouterState(
              router.role(),
              ZERO,
              router.reason(),
              router.priority(),
              router.activeInterval(),
              shift(router.timerExpiresAt(), past, false),
              shift(router.lastAdvertisedAt(), past, false),
              shift(router.preemptionAllowedFrom(), past, true)));
    }
    return new SystemState(
        routers,
        state.pausedUntil.stream().map(m -> shift(m, past, true)).toList(),
        state.inFlight.stream()
            .map(f -> new InFlightAdvertisement(f.from, f.to, f.priority, f.arrivesAt.minus(past)))
            .toList(),
        state.faultsLeft,
        shift(state.overlapSince, past, false));
  }

  private static Timestamp shift(Timestamp moment, TimeSpan by, boolean onlyAhead) {
    Timestamp to = moment == null ? null : moment.minus(by);
    return to != null && onlyAhead && to.isBefore(ZERO) ? ZERO : to;
  }

  static RouterOptions routerOptions(int priority, boolean preempts) {
    return new RouterOptions(
        new VirtualRouterId(1, false),
        priority,
        INTERVAL,
        preempts,
        TimeSpan.ZERO,
        List.of(Addresses.parse("192.0.2.10").orElseThrow()));
  }

  /**
   * Prints a row of the table in docs/design-mastership.md for each argument: preemption,
   * priorities, then faults.
   */
  public static void main(String[] args) {
    System.out.println(
        "| priorities | preempts | lost | doubled | late | freezes | restarts | states | steps | longest overlap, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (String arg : args) {
      String[] parts = arg.split("[:,]");
      boolean preempts = parts[0].equals("preempt");
      int[] faults = new int[5];
      List<RouterOptions> options = new ArrayList<>();
      for (int i = 1; i < parts.length - 5; i++) {
        options.add(routerOptions(Integer.parseInt(parts[i]), preempts));
      }
      for (int i = 0; i < 5; i++) {
        faults[i] = Integer.parseInt(parts[parts.length - 5 + i]);
      }
      Faults of = new Faults(faults[0], faults[1], faults[2], faults[3], faults[4]);
      Exploration exploration = new Exploration(options, of);
      exploration.run(of);
      System.out.println(
          "| "
              + options.stream().map(t -> Integer.toString(t.priority())).toList()
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
