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
 * Explores all states that a few routers running {@link VirtualRouter} can reach while
 * advertisements are lost, duplicated or delayed and routers are suspended or restarted. Each fault
 * occurs a bounded number of times, at every possible point. From every reachable state, without
 * further faults, exactly one router must become active and remain active.
 */
final class Exploration {
  static final TimeSpan INTERVAL = new TimeSpan(100_000);
  private static final TimeSpan LATENCY = new TimeSpan(1_000);
  private static final TimeSpan EXTRA_DELAY = INTERVAL.times(1.5);
  private static final List<TimeSpan> SUSPENSIONS =
      List.of(INTERVAL.times(0.5), INTERVAL.times(3.2), INTERVAL.times(10));
  private static final Timestamp ZERO = new Timestamp(0);

  /** The remaining number of occurrences of each fault. */
  record Faults(int lost, int duplicated, int delayed, int suspensions, int restarts) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);

    Faults afterLoss() {
      return new Faults(lost - 1, duplicated, delayed, suspensions, restarts);
    }

    Faults afterDuplication() {
      return new Faults(lost, duplicated - 1, delayed, suspensions, restarts);
    }

    Faults afterDelay() {
      return new Faults(lost, duplicated, delayed - 1, suspensions, restarts);
    }

    Faults afterSuspension() {
      return new Faults(lost, duplicated, delayed, suspensions - 1, restarts);
    }

    Faults afterRestart() {
      return new Faults(lost, duplicated, delayed, suspensions, restarts - 1);
    }
  }

  private record InFlightAdvertisement(int from, int to, int priority, Timestamp arrivesAt) {}

  /**
   * The state of all routers and of the network; all times are relative to the current time.
   *
   * @param overlapSince since when two routers may both serve, or null
   */
  private record SystemState(
      List<RouterState> routers,
      List<Timestamp> suspendedUntil,
      List<InFlightAdvertisement> inFlight,
      Faults faultsLeft,
      Timestamp overlapSince) {}

  private final List<RouterOptions> options;
  private final List<InetAddress> addresses = new ArrayList<>();
  private final Set<SystemState> visited = new HashSet<>();
  private final TimeSpan settleTime;
  private final boolean requiresNoOverlap;
  private long steps;
  private TimeSpan longestOverlap = TimeSpan.ZERO;

  Exploration(List<RouterOptions> options, Faults bounds) {
    this.options = options;
    for (int i = 0; i < options.size(); i++) {
      addresses.add(Addresses.parse("10.0.0." + (i + 1)).orElseThrow());
    }
    // Two active down intervals after the longest suspension and delay: one until a router becomes
    // active, one until another router that did not receive its advertisements yields.
    settleTime =
        INTERVAL
            .times(2 * VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 4)
            .plus(SUSPENSIONS.get(2))
            .plus(EXTRA_DELAY);
    requiresNoOverlap = bounds.lost == 0 && bounds.delayed == 0 && bounds.restarts == 0;
  }

  int states() {
    return visited.size();
  }

  long steps() {
    return steps;
  }

  TimeSpan longestOverlap() {
    return longestOverlap;
  }

  /**
   * Explores all states.
   *
   * @throws AssertionError that describes the first violation
   */
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
    if (visited.add(state)) {
      open.addLast(state);
    }
  }

  /** Checks that, without further faults, exactly one router becomes and remains active. */
  private void checkConvergence(SystemState from) {
    SystemState state =
        new SystemState(
            from.routers, from.suspendedUntil, from.inFlight, Faults.NONE, from.overlapSince);
    TimeSpan elapsed = TimeSpan.ZERO;
    int active = -1;
    while (elapsed.compareTo(settleTime.plus(INTERVAL.times(5))) < 0) {
      TimeSpan wait = nextEventTime(state).since(ZERO);
      elapsed = elapsed.plus(wait);
      state = successors(state, false).get(0);
      if (elapsed.compareTo(settleTime) >= 0) {
        List<Integer> activeNow = activeRouters(state);
        if (activeNow.size() != 1 || active >= 0 && activeNow.get(0) != active) {
          throw new AssertionError(
              "active routers " + activeNow + " after " + elapsed + " from " + from + ": " + state);
        }
        active = activeNow.get(0);
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

  /** When a router handles its timer, or null if no timer runs. */
  private Timestamp timerExpiryOf(SystemState state, int index) {
    Timestamp expiry = state.routers.get(index).timerExpiresAt();
    return expiry == null ? null : later(expiry, state.suspendedUntil.get(index));
  }

  private static Timestamp later(Timestamp one, Timestamp other) {
    return one.isBefore(other) ? other : one;
  }

  private Timestamp nextEventTime(SystemState state) {
    Timestamp next = null;
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp at = timerExpiryOf(state, i);
      next = at != null && (next == null || at.isBefore(next)) ? at : next;
    }
    for (InFlightAdvertisement advertisement : state.inFlight) {
      Timestamp at = later(advertisement.arrivesAt, state.suspendedUntil.get(advertisement.to));
      next = next == null || at.isBefore(next) ? at : next;
    }
    return later(next, ZERO);
  }

  /**
   * All states that the next event can lead to. An advertisement that has arrived is handled before
   * a timer that expires at the same time.
   */
  private List<SystemState> successors(SystemState state, boolean withFaults) {
    steps++;
    Timestamp now = nextEventTime(state);
    for (InFlightAdvertisement advertisement : state.inFlight) {
      if (!now.isBefore(
          later(advertisement.arrivesAt, state.suspendedUntil.get(advertisement.to)))) {
        return afterArrival(state, advertisement, now, withFaults);
      }
    }
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp expiry = timerExpiryOf(state, i);
      if (expiry != null && !now.isBefore(expiry)) {
        return afterTimer(state, i, now, withFaults);
      }
    }
    throw new AssertionError("no event is due at " + now + " in " + state);
  }

  private List<SystemState> afterArrival(
      SystemState state, InFlightAdvertisement arrived, Timestamp now, boolean withFaults) {
    List<InFlightAdvertisement> remaining = new ArrayList<>(state.inFlight);
    remaining.remove(arrived);
    SystemState received =
        new SystemState(
            state.routers, state.suspendedUntil, remaining, state.faultsLeft, state.overlapSince);
    Advertisement advertisement =
        new Advertisement(1, arrived.priority, 10, List.of(addresses.get(0)));
    InetAddress receiver = addresses.get(arrived.to);
    InetAddress sender = addresses.get(arrived.from);
    List<SystemState> successors = new ArrayList<>();
    addSuccessors(
        received,
        arrived.to,
        now,
        withFaults,
        successors,
        (router, before) ->
            VirtualRouter.onAdvertisement(router, before, receiver, sender, advertisement, now));
    return successors;
  }

  private List<SystemState> afterTimer(
      SystemState state, int index, Timestamp now, boolean withFaults) {
    List<SystemState> successors = new ArrayList<>();
    if (withFaults && state.faultsLeft.suspensions > 0) {
      SUSPENSIONS.forEach(duration -> successors.add(suspended(state, index, duration, now)));
    }
    if (withFaults && state.faultsLeft.restarts > 0) {
      successors.add(restarted(state, index, now));
    }
    addSuccessors(
        state,
        index,
        now,
        withFaults,
        successors,
        (router, before) ->
            before.timerExpiresAt() != null && !now.isBefore(before.timerExpiresAt())
                ? VirtualRouter.onTimer(router, before, now)
                : new Transition(before));
    return successors;
  }

  private SystemState suspended(SystemState state, int index, TimeSpan duration, Timestamp now) {
    List<Timestamp> suspendedUntil = new ArrayList<>(state.suspendedUntil);
    suspendedUntil.set(index, now.plus(duration));
    return relativeTo(
        new SystemState(
            state.routers,
            suspendedUntil,
            state.inFlight,
            state.faultsLeft.afterSuspension(),
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
            state.suspendedUntil,
            state.inFlight,
            state.faultsLeft.afterRestart(),
            state.overlapSince),
        now);
  }

  private interface Event {
    Transition apply(RouterOptions router, RouterState before);
  }

  /**
   * Adds the states after an event at a router: fences the router first if this is overdue, as the
   * service does, then applies the event, then branches on each way to deliver its advertisements.
   */
  private void addSuccessors(
      SystemState state,
      int index,
      Timestamp now,
      boolean withFaults,
      List<SystemState> successors,
      Event event) {
    RouterState before = state.routers.get(index);
    Transition fenced = VirtualRouter.fenceIfOverdue(options.get(index), before, now);
    Transition change = event.apply(options.get(index), fenced.state());
    List<MastershipAction> actions = new ArrayList<>(fenced.actions());
    actions.addAll(change.actions());
    checkServing(before.role() == Role.ACTIVE, change.state().role() == Role.ACTIVE, actions);
    List<RouterState> routers = new ArrayList<>(state.routers);
    routers.set(index, change.state());
    List<SystemState> states =
        List.of(
            new SystemState(
                routers,
                state.suspendedUntil,
                state.inFlight,
                state.faultsLeft,
                state.overlapSince));
    for (MastershipAction action : actions) {
      if (action instanceof MastershipAction.Advertise advertise) {
        for (int to = 0; to < routers.size(); to++) {
          if (to != index) {
            states =
                deliveries(
                    states,
                    new InFlightAdvertisement(index, to, advertise.priority(), now.plus(LATENCY)),
                    withFaults);
          }
        }
      }
    }
    states.forEach(next -> successors.add(relativeTo(withOverlap(next, now), now)));
  }

  /** Checks that the actions of a router start and stop serving in accordance with its role. */
  private static void checkServing(
      boolean isActiveBefore, boolean isActiveAfter, List<MastershipAction> actions) {
    boolean isServing = isActiveBefore;
    for (MastershipAction action : actions) {
      if (action instanceof MastershipAction.Acquire == isServing
          && !(action instanceof MastershipAction.Advertise)) {
        throw new AssertionError("actions " + actions + " while serving is " + isServing);
      }
      isServing =
          action instanceof MastershipAction.Acquire
              || isServing && !(action instanceof MastershipAction.Release);
    }
    if (isServing != isActiveAfter) {
      throw new AssertionError(
          "after actions " + actions + " serving is " + isServing + ", active is " + isActiveAfter);
    }
  }

  /** The states after each way to deliver, delay, duplicate or lose an advertisement. */
  private static List<SystemState> deliveries(
      List<SystemState> states, InFlightAdvertisement advertisement, boolean withFaults) {
    List<SystemState> successors = new ArrayList<>();
    for (SystemState state : states) {
      Faults faults = state.faultsLeft;
      successors.add(withInFlight(state, faults, advertisement));
      if (withFaults && faults.lost > 0) {
        successors.add(withInFlight(state, faults.afterLoss()));
      }
      InFlightAdvertisement delayed =
          new InFlightAdvertisement(
              advertisement.from,
              advertisement.to,
              advertisement.priority,
              advertisement.arrivesAt.plus(EXTRA_DELAY));
      if (withFaults && faults.duplicated > 0) {
        successors.add(withInFlight(state, faults.afterDuplication(), advertisement, delayed));
      }
      if (withFaults && faults.delayed > 0) {
        successors.add(withInFlight(state, faults.afterDelay(), delayed));
      }
    }
    return successors;
  }

  private static SystemState withInFlight(
      SystemState state, Faults faultsLeft, InFlightAdvertisement... advertisements) {
    List<InFlightAdvertisement> inFlight = new ArrayList<>(state.inFlight);
    inFlight.addAll(List.of(advertisements));
    return new SystemState(
        state.routers, state.suspendedUntil, inFlight, faultsLeft, state.overlapSince);
  }

  /** Updates since when two routers may both serve, and checks the duration of this overlap. */
  private SystemState withOverlap(SystemState state, Timestamp now) {
    int servingCount = 0;
    for (int i = 0; i < state.routers.size(); i++) {
      Timestamp fence = VirtualRouter.fenceDeadline(options.get(i), state.routers.get(i));
      // A suspended router serves nothing. When it resumes, its fence deadline or the unread
      // advertisements determine whether it serves.
      boolean isSuspended = now.isBefore(state.suspendedUntil.get(i));
      servingCount += fence != null && !fence.isBefore(now) && !isSuspended ? 1 : 0;
    }
    Timestamp since =
        servingCount < 2 ? null : state.overlapSince == null ? now : state.overlapSince;
    if (since != null) {
      longestOverlap = longestOverlap.max(now.since(since));
      if (requiresNoOverlap && now.since(since).compareTo(LATENCY) > 0) {
        throw new AssertionError("two routers serve for " + now.since(since) + " in " + state);
      }
    }
    return new SystemState(
        state.routers, state.suspendedUntil, state.inFlight, state.faultsLeft, since);
  }

  /** The same state with all times relative to now; times whose age has no effect become zero. */
  private SystemState relativeTo(SystemState state, Timestamp now) {
    TimeSpan elapsed = now.since(ZERO);
    List<RouterState> routers = new ArrayList<>();
    for (RouterState router : state.routers) {
      routers.add(
          new RouterState(
              router.role(),
              ZERO,
              router.reason(),
              router.priority(),
              router.activeInterval(),
              shift(router.timerExpiresAt(), elapsed, false),
              shift(router.lastAdvertisedAt(), elapsed, false),
              shift(router.preemptionAllowedFrom(), elapsed, true)));
    }
    return new SystemState(
        routers,
        state.suspendedUntil.stream().map(time -> shift(time, elapsed, true)).toList(),
        state.inFlight.stream()
            .map(
                a ->
                    new InFlightAdvertisement(a.from, a.to, a.priority, a.arrivesAt.minus(elapsed)))
            .toList(),
        state.faultsLeft,
        shift(state.overlapSince, elapsed, false));
  }

  private static Timestamp shift(Timestamp time, TimeSpan by, boolean clampsToZero) {
    Timestamp shifted = time == null ? null : time.minus(by);
    return shifted != null && clampsToZero && shifted.isBefore(ZERO) ? ZERO : shifted;
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
   * Prints a table with a row for each argument, as in docs/design-mastership.md. An argument such
   * as {@code preempt:200,100:3,1,1,1,1} consists of the preempt mode, where any other word turns
   * preemption off, the priorities, and the numbers of lost, duplicated and delayed advertisements,
   * suspensions and restarts.
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
      Faults bounds = new Faults(faults[0], faults[1], faults[2], faults[3], faults[4]);
      Exploration exploration = new Exploration(options, bounds);
      exploration.run(bounds);
      System.out.println(
          "| "
              + options.stream().map(router -> Integer.toString(router.priority())).toList()
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
