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
 * All virtual routers of one dispatcher: which ones it is active for, how advertisements, time, the
 * health score and new settings change that, and over how many dispatchers the engines are shared.
 * It does no I/O: the caller passes the time in and carries out the {@link MastershipAction}s that
 * are returned. Not thread-safe.
 *
 * <p>The caller must call {@link #onTimer} no later than {@link #nextTimerExpiry}, and {@link
 * #canAdmit} before anything that only an active dispatcher may do. After a pause of the process in
 * which a peer may have become active, every event first makes the routers concerned step back to
 * backup.
 */
public final class Mastership {
  /**
   * A router that is unable to serve stays in backup for this many active down intervals, and twice
   * as many after each further failure in a row.
   */
  private static final int INITIAL_BACKOFF_DOWN_INTERVALS = 2;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** When a timer of a router expires. */
  private record RouterTimer(Timestamp at, VirtualRouterId router)
      implements Comparable<RouterTimer> {
    @Override
    public int compareTo(RouterTimer other) {
      int order = at.compareTo(other.at);
      return order != 0 ? order : router.compareTo(other.router);
    }
  }

  /** One virtual router, for as long as it is configured. */
  private static final class RouterEntry {
    RouterOptions options;
    RouterState state;
    Timestamp timerExpiresAt;
    Timestamp fenceAt;

    /** How often it was unable to serve since it last served. */
    int consecutiveFailures;
  }

  /** The last advertisement of a peer for a virtual router. */
  public record ReceivedAdvertisement(int priority, Timestamp receivedAt, TimeSpan interval) {
    /** Until when its sender is taken for active if it sends no other advertisement. */
    Timestamp expiresAt() {
      return priority == Advertisement.RESIGNATION_PRIORITY
          ? receivedAt
          : receivedAt.plus(interval.times(VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 1));
    }
  }

  private final InetAddress self;
  private final TreeMap<VirtualRouterId, RouterEntry> slots = new TreeMap<>();
  private final TreeSet<RouterTimer> protocolTimers = new TreeSet<>();
  private final TreeSet<RouterTimer> fenceTimers = new TreeSet<>();
  private final Map<InetAddress, Map<VirtualRouterId, ReceivedAdvertisement>> claims =
      new HashMap<>();
  private final TimeSpan maxAttemptDuration;
  private final TimeSpan minListenPeriod;
  private final boolean acceptsOtherIntervals;
  private Set<InetAddress> peers;
  private double dispatchersElsewhere;
  private int priorityReduction;
  private Timestamp startedAt;

  /**
   * @param self the address that our advertisements come from
   * @param peers the addresses that advertisements are accepted from
   * @param dispatchersElsewhere dispatchers that carry traffic outside this group
   * @param maxAttemptDuration after which no attempt of a former active dispatcher can still use an
   *     engine
   * @param minListenPeriod for how long to listen at least before becoming active
   * @param acceptsOtherIntervals whether advertisements with another interval than ours are
   *     accepted
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
      RouterEntry slot = new RouterEntry();
      slot.options = options;
      slots.put(options.router(), slot);
    }
  }

  // ---- events

  /** Starts every router. */
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

  /** Stops every router; active ones resign first. */
  public List<MastershipAction> stop(TransitionReason reason, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    for (RouterEntry s : slots.values()) {
      if (s.state != null && s.state.role() != Role.INITIALIZE) {
        apply(s, VirtualRouter.stop(s.options, s.state, reason, now), actions);
      }
    }
    return actions;
  }

  /** Why an advertisement is rejected here, whoever sent it, or nothing. */
  public Optional<RejectionReason> rejectionReason(Advertisement advertisement) {
    RouterEntry slot = slots.get(routerIdOf(advertisement));
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
   * An advertisement was received that passes {@link #rejectionReason} and the {@link
   * AdvertisementFilter}.
   */
  public List<MastershipAction> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterEntry slot = slots.get(routerIdOf(advertisement));
    if (slot == null || slot.state == null || !peers.contains(sender)) {
      return actions;
    }
    claims
        .computeIfAbsent(sender, s -> new HashMap<>())
        .put(
            slot.options.router(),
            new ReceivedAdvertisement(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    apply(
        slot,
        VirtualRouter.onAdvertisement(slot.options, slot.state, self, sender, advertisement, now),
        actions);
    return actions;
  }

  /** Runs all timers that have expired by now. */
  public List<MastershipAction> onTimer(Timestamp now) {
    List<MastershipAction> actions = fence(now);
    List<RouterTimer> expired =
        new ArrayList<>(
            protocolTimers.headSet(
                new RouterTimer(now, new VirtualRouterId(Integer.MAX_VALUE, true))));
    for (RouterTimer timer : expired) {
      RouterEntry slot = slots.get(timer.router);
      apply(slot, VirtualRouter.onTimer(slot.options, slot.state, now), actions);
    }
    return actions;
  }

  /** Steps back to backup in every router whose peers may have become active meanwhile. */
  public List<MastershipAction> fence(Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    while (!fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now)) {
      RouterEntry slot = slots.get(fenceTimers.first().router);
      apply(slot, VirtualRouter.fenceIfOverdue(slot.options, slot.state, now), actions);
    }
    return actions;
  }

  /** Lowers the priority of every router by this many steps, but to no less than 1. */
  public List<MastershipAction> setPriorityReduction(int steps, Timestamp now) {
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

  /** The service address of an active router can't be opened: it resigns and backs off. */
  public List<MastershipAction> onUnableToServe(VirtualRouterId router, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterEntry slot = slots.get(router);
    if (slot != null && slot.state != null) {
      TimeSpan backoff =
          VirtualRouter.activeDownInterval(slot.state)
              .times(
                  INITIAL_BACKOFF_DOWN_INTERVALS
                      * Math.pow(2, Math.min(slot.consecutiveFailures, MAX_BACKOFF_DOUBLINGS)));
      slot.consecutiveFailures++;
      apply(
          slot, VirtualRouter.resignUnableToServe(slot.options, slot.state, backoff, now), actions);
    }
    return actions;
  }

  /** The service address of a router is open: its next failure counts as the first one. */
  public void onServing(VirtualRouterId router) {
    if (slots.containsKey(router)) {
      slots.get(router).consecutiveFailures = 0;
    }
  }

  /** Replaces the settings: routers may change, be removed and be added. */
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
      RouterEntry slot = slots.get(id);
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
      RouterEntry slot = new RouterEntry();
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

  // ---- queries

  /** When to call {@link #onTimer} next, or null. */
  public Timestamp nextTimerExpiry() {
    return protocolTimers.isEmpty() ? null : protocolTimers.first().at;
  }

  /** Whether requests of this virtual router may be admitted and forwarded now. */
  public boolean canAdmit(VirtualRouterId router, Timestamp now) {
    RouterEntry slot = slots.get(router);
    return slot != null
        && slot.state != null
        && slot.state.role() == Role.ACTIVE
        && !VirtualRouter.fenceDeadline(slot.options, slot.state).isBefore(now);
  }

  /** Whether a peer may have become active unnoticed: then {@link #fence} must be called first. */
  public boolean isFenceOverdue(Timestamp now) {
    return !fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now);
  }

  /** Whether this dispatcher is active for any virtual router. */
  public boolean isActive() {
    return !fenceTimers.isEmpty();
  }

  /**
   * Over how many dispatchers the engines are shared now: those outside the group, this one, and
   * each peer that advertises as active. A peer whose claims expired fades out over the longest
   * time that one of its attempts can still use an engine; so does, after a start, a former active
   * dispatcher that was never received. In a split each claimant that receives the other one leaves
   * it its share; one that receives nothing uses all capacity, so that each claimant gives an
   * engine at most its full capacity.
   */
  public double effectiveDispatcherCount(Timestamp now) {
    double others = 0;
    for (Map<VirtualRouterId, ReceivedAdvertisement> claimsOfPeer : claims.values()) {
      double share = 0;
      for (ReceivedAdvertisement claim : claimsOfPeer.values()) {
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
        ? Math.max(0, 1 - now.since(from).dividedBy(maxAttemptDuration))
        : 0;
  }

  /** By how many steps the priority of every router is lowered now. */
  public int priorityReduction() {
    return priorityReduction;
  }

  /** All configured routers, in order. */
  public List<VirtualRouterId> routers() {
    return List.copyOf(slots.keySet());
  }

  /** The settings of a configured router. */
  public RouterOptions options(VirtualRouterId router) {
    return slots.get(router).options;
  }

  /** The state of a configured router, or null before the start. */
  public RouterState state(VirtualRouterId router) {
    return slots.get(router).state;
  }

  /** The last advertisement of each peer for a router. */
  public Map<InetAddress, ReceivedAdvertisement> receivedAdvertisements(VirtualRouterId router) {
    Map<InetAddress, ReceivedAdvertisement> claimsOfPeer = new HashMap<>();
    claims.forEach(
        (peer, of) -> {
          if (of.containsKey(router)) {
            claimsOfPeer.put(peer, of.get(router));
          }
        });
    return claimsOfPeer;
  }

  // ---- internals

  private int effectivePriority(RouterOptions options) {
    return Math.max(1, options.priority() - priorityReduction);
  }

  private static VirtualRouterId routerIdOf(Advertisement advertisement) {
    return new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
  }

  /** Sets the new state of a router, reschedules its two timers, and adds the actions. */
  private void apply(RouterEntry slot, Transition transition, List<MastershipAction> actions) {
    VirtualRouterId id = slot.options.router();
    slot.state = transition.state();
    slot.timerExpiresAt =
        reschedule(protocolTimers, id, slot.timerExpiresAt, slot.state.timerExpiresAt());
    slot.fenceAt =
        reschedule(
            fenceTimers, id, slot.fenceAt, VirtualRouter.fenceDeadline(slot.options, slot.state));
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
