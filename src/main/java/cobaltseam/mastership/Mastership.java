package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.VirtualRouter.Transition;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.RejectionReason;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Every virtual router of one dispatcher: which it is active for, what follows from adverts, from
 * time, from its fitness and from new terms, and over how many dispatchers the engines are to be
 * shared. It does no I/O: moments come from the caller, and what it is to do goes back as {@link
 * MastershipAction}s.
 *
 * <p>Callers ask {@link #onTimer} no later than {@link #nextWake}, and {@link #canAdmit} before
 * each thing that only an active dispatcher may do; whatever comes after a gap that lets a peer
 * claim is preceded by stepping back.
 */
public final class Mastership {
  /**
   * An unable router stays back for this many down intervals at first, twice as many each time, up
   * to the most.
   */
  private static final int INITIAL_BACKOFF_DOWN_INTERVALS = 2;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** A moment at which a router is to be looked at. */
  private record RouterTimer(Timestamp at, VirtualRouterId router)
      implements Comparable<RouterTimer> {
    @Override
    public int compareTo(RouterTimer other) {
      int order = at.compareTo(other.at);
      return order != 0 ? order : router.compareTo(other.router);
    }
  }

  /** One virtual router, for as long as it is set. */
  private static final class RouterSlot {
    RouterOptions options;
    RouterState state;
    Timestamp wakeAt, fenceAt;

    /** How often in a row it was unable to serve. */
    int failuresInARow;
  }

  /** What a peer last said of a virtual router. */
  public record ObservedClaim(int priority, Timestamp receivedAt, TimeSpan interval) {
    /** Until when its sender counts as active without another. */
    Timestamp expiresAt() {
      return priority == Advertisement.RESIGNATION_PRIORITY
          ? receivedAt
          : receivedAt.plus(interval.times(VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 1));
    }
  }

  private final InetAddress self;
  private final TreeMap<VirtualRouterId, RouterSlot> slots = new TreeMap<>();
  private final TreeSet<RouterTimer> wakeTimers = new TreeSet<>();
  private final TreeSet<RouterTimer> fenceTimers = new TreeSet<>();
  private final Map<InetAddress, Map<VirtualRouterId, ObservedClaim>> claims = new HashMap<>();
  private final TimeSpan maxAttemptDuration;
  private final TimeSpan minListenPeriod;
  private final boolean acceptsOtherIntervals;
  private Set<InetAddress> peers;
  private double dispatchersElsewhere;
  private int priorityReduction;
  private Timestamp startedAt;

  /**
   * @param self the address that adverts come from
   * @param peers where adverts that count come from
   * @param dispatchersElsewhere dispatchers that carry traffic and are not of this group
   * @param maxAttemptDuration after which no send of a former active dispatcher can still hold an
   *     engine
   * @param minListenPeriod how long to listen at least before the first claim
   * @param acceptsOtherIntervals whether adverts count that tell another interval than ours
   */
  public Mastership(
      InetAddress self,
      Collection<RouterOptions> routers,
      Set<InetAddress> peers,
      double dispatchersElsewhere,
      TimeSpan maxAttemptDuration,
      TimeSpan minListenPeriod,
      boolean acceptsOtherIntervals) {
    this.self = self;
    this.peers = Set.copyOf(peers);
    this.dispatchersElsewhere = dispatchersElsewhere;
    this.maxAttemptDuration = maxAttemptDuration;
    this.minListenPeriod = minListenPeriod;
    this.acceptsOtherIntervals = acceptsOtherIntervals;
    for (RouterOptions options : routers) {
      RouterSlot slot = new RouterSlot();
      slot.options = options;
      slots.put(options.router(), slot);
    }
  }

  // ---- what happens

  public List<MastershipAction> start(Timestamp now) {
    startedAt = now;
    List<MastershipAction> actions = new ArrayList<>();
    slots
        .values()
        .forEach(
            s ->
                apply(
                    s,
                    VirtualRouter.start(
                        s.options, effectivePriority(s.options), minListenPeriod, now),
                    actions));
    return actions;
  }

  /** Ends every router; active ones resign first. */
  public List<MastershipAction> stop(TransitionReason reason, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    for (RouterSlot s : slots.values()) {
      if (s.state != null && s.state.role() != Role.INITIALIZE) {
        apply(s, VirtualRouter.stop(s.options, s.state, reason, now), actions);
      }
    }
    return actions;
  }

  /** Why an advert does not count here, whoever sent it. */
  public Optional<RejectionReason> rejectionReason(Advertisement advertisement) {
    RouterSlot slot = slots.get(routerIdOf(advertisement));
    if (slot == null) {
      return Optional.of(RejectionReason.UNKNOWN_ROUTER);
    }
    if (!new HashSet<>(slot.options.addresses()).equals(new HashSet<>(advertisement.addresses()))) {
      return Optional.of(RejectionReason.ADDRESSES_DIFFER);
    }
    boolean differs =
        !VirtualRouter.advertisementInterval(advertisement)
            .equals(slot.options.advertisementInterval());
    return differs && !acceptsOtherIntervals
        ? Optional.of(RejectionReason.INTERVAL_DIFFERS)
        : Optional.empty();
  }

  /**
   * An advert that counts has come: see {@link #rejectionReason}, and {@link AdvertisementFilter}
   * for who may send one.
   */
  public List<MastershipAction> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterSlot slot = slots.get(routerIdOf(advertisement));
    if (slot == null || slot.state == null || !peers.contains(sender)) {
      return actions;
    }
    claims
        .computeIfAbsent(sender, s -> new HashMap<>())
        .put(
            slot.options.router(),
            new ObservedClaim(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    apply(
        slot,
        VirtualRouter.onAdvertisement(slot.options, slot.state, self, sender, advertisement, now),
        actions);
    return actions;
  }

  /** Whatever is due by now. */
  public List<MastershipAction> onTimer(Timestamp now) {
    List<MastershipAction> actions = fence(now);
    List<RouterTimer> expired =
        new ArrayList<>(
            wakeTimers.headSet(new RouterTimer(now, new VirtualRouterId(Integer.MAX_VALUE, true))));
    for (RouterTimer timer : expired) {
      RouterSlot slot = slots.get(timer.router);
      apply(slot, VirtualRouter.onTimer(slot.options, slot.state, now), actions);
    }
    return actions;
  }

  /** Steps back from every router whose peers may have claimed meanwhile. */
  public List<MastershipAction> fence(Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    while (!fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now)) {
      RouterSlot slot = slots.get(fenceTimers.first().router);
      apply(slot, VirtualRouter.fenceIfOverdue(slot.options, slot.state, now), actions);
    }
    return actions;
  }

  /** This dispatcher is less able to serve by this many steps of priority; none is ever below 1. */
  public List<MastershipAction> reducePriority(int steps, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    if (steps != priorityReduction) {
      priorityReduction = steps;
      slots.values().stream()
          .filter(s -> s.state != null)
          .forEach(
              s ->
                  apply(
                      s,
                      VirtualRouter.changePriority(
                          s.options, s.state, effectivePriority(s.options), now),
                      actions));
    }
    return actions;
  }

  /**
   * It can't serve for a router that it is active for: another is to try, and it stays back for a
   * while.
   */
  public List<MastershipAction> onUnableToServe(VirtualRouterId router, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterSlot slot = slots.get(router);
    if (slot != null && slot.state != null) {
      TimeSpan backoff =
          VirtualRouter.activeDownInterval(slot.state)
              .times(
                  INITIAL_BACKOFF_DOWN_INTERVALS
                      * Math.pow(2, Math.min(slot.failuresInARow, MAX_BACKOFF_DOUBLINGS)));
      slot.failuresInARow++;
      apply(
          slot, VirtualRouter.resignUnableToServe(slot.options, slot.state, backoff, now), actions);
    }
    return actions;
  }

  /** It does serve for a router. */
  public void onServing(VirtualRouterId router) {
    if (slots.containsKey(router)) {
      slots.get(router).failuresInARow = 0;
    }
  }

  /** New terms: of routers that stay, that go, and that come. */
  public List<MastershipAction> reconfigure(
      Collection<RouterOptions> routers,
      Set<InetAddress> newPeers,
      double newDispatchersElsewhere,
      Timestamp now) {
    List<MastershipAction> actions = fence(now);
    peers = Set.copyOf(newPeers);
    claims.keySet().retainAll(peers);
    dispatchersElsewhere = newDispatchersElsewhere;
    Map<VirtualRouterId, RouterOptions> remaining = new TreeMap<>();
    routers.forEach(options -> remaining.put(options.router(), options));
    for (VirtualRouterId id : List.copyOf(slots.keySet())) {
      RouterSlot slot = slots.get(id);
      RouterOptions options = remaining.remove(id);
      if (options == null) {
        apply(
            slot,
            VirtualRouter.stop(slot.options, slot.state, TransitionReason.REMOVED, now),
            actions);
        slots.remove(id);
      } else if (!options.equals(slot.options)) {
        slot.options = options;
        apply(
            slot,
            VirtualRouter.changeOptions(options, slot.state, effectivePriority(options), now),
            actions);
      }
    }
    for (RouterOptions options : remaining.values()) {
      RouterSlot slot = new RouterSlot();
      slot.options = options;
      slots.put(options.router(), slot);
      apply(
          slot,
          VirtualRouter.start(options, effectivePriority(options), minListenPeriod, now),
          actions);
    }
    claims.values().forEach(c -> c.keySet().retainAll(slots.keySet()));
    return actions;
  }

  // ---- what is asked

  /** When to ask {@link #onTimer} next, or null. */
  public Timestamp nextWake() {
    return wakeTimers.isEmpty() ? null : wakeTimers.first().at;
  }

  /** Whether traffic of this virtual router may be taken and sent on at this moment. */
  public boolean canAdmit(VirtualRouterId router, Timestamp now) {
    RouterSlot slot = slots.get(router);
    return slot != null
        && slot.state != null
        && slot.state.role() == Role.ACTIVE
        && !VirtualRouter.fenceTime(slot.options, slot.state).isBefore(now);
  }

  /**
   * Whether any mastership may have passed unnoticed: {@link #fence} is to be asked before anything
   * else.
   */
  public boolean isFenceOverdue(Timestamp now) {
    return !fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now);
  }

  /** Whether it is active for any virtual router. */
  public boolean isActive() {
    return !fenceTimers.isEmpty();
  }

  /**
   * Over how many dispatchers the engines are shared now: those elsewhere, this one, and each peer
   * that is heard as active. A peer no longer heard fades out over the longest time that a send of
   * its can still hold an engine; and so does, after a start, one that was there before and was
   * never heard. In a split each claimant that hears the other leaves it its part; one that hears
   * nothing takes all, so that an engine is given at most its whole figure by each claimant.
   */
  public double effectiveDispatcherCount(Timestamp now) {
    double others = 0;
    for (Map<VirtualRouterId, ObservedClaim> claimsOfPeer : claims.values()) {
      double share = 0;
      for (ObservedClaim claim : claimsOfPeer.values()) {
        share =
            Math.max(
                share,
                now.isBefore(claim.expiresAt()) ? 1 : remainingShare(claim.receivedAt(), now));
      }
      others += share;
    }
    boolean alone = peers.isEmpty() || startedAt == null || !claims.isEmpty();
    return dispatchersElsewhere + 1 + (alone ? others : remainingShare(startedAt, now));
  }

  private double remainingShare(Timestamp from, Timestamp now) {
    return maxAttemptDuration.isPositive()
        ? Math.max(0, 1 - now.since(from).over(maxAttemptDuration))
        : 0;
  }

  public int priorityReduction() {
    return priorityReduction;
  }

  /** Every router, in order. */
  public List<VirtualRouterId> routers() {
    return List.copyOf(slots.keySet());
  }

  public RouterOptions options(VirtualRouterId router) {
    return slots.get(router).options;
  }

  /** Where a router stands, or null before the start. */
  public RouterState state(VirtualRouterId router) {
    return slots.get(router).state;
  }

  /** What each peer last said of a router. */
  public Map<InetAddress, ObservedClaim> claims(VirtualRouterId router) {
    Map<InetAddress, ObservedClaim> claimsOfPeer = new HashMap<>();
    claims.forEach(
        (peer, of) -> {
          if (of.containsKey(router)) {
            claimsOfPeer.put(peer, of.get(router));
          }
        });
    return claimsOfPeer;
  }

  // ---- within

  private int effectivePriority(RouterOptions options) {
    return Math.max(1, options.priority() - priorityReduction);
  }

  private static VirtualRouterId routerIdOf(Advertisement advertisement) {
    return new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
  }

  /** Puts a router where it stands now, and its two alarms with it. */
  private void apply(RouterSlot slot, Transition transition, List<MastershipAction> actions) {
    VirtualRouterId id = slot.options.router();
    slot.state = transition.state();
    slot.wakeAt = reschedule(wakeTimers, id, slot.wakeAt, slot.state.wakeAt());
    slot.fenceAt =
        reschedule(
            fenceTimers, id, slot.fenceAt, VirtualRouter.fenceTime(slot.options, slot.state));
    actions.addAll(transition.actions());
  }

  private static Timestamp reschedule(
      TreeSet<RouterTimer> timers, VirtualRouterId router, Timestamp from, Timestamp to) {
    if (from != null) {
      timers.remove(new RouterTimer(from, router));
    }
    if (to != null) {
      timers.add(new RouterTimer(to, router));
    }
    return to;
  }
}
