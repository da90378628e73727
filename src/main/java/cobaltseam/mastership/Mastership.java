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
 * Runs the virtual routers of one dispatcher. Received advertisements, timers, the health score and
 * settings changes determine the role of each router. The number of dispatchers that share the
 * engines is derived from the peers that advertise. This class does no I/O: the caller passes the
 * current time and carries out the returned {@link MastershipAction}s. Not thread-safe.
 *
 * <p>The caller must call {@link #onTimer} no later than {@link #nextTimerExpiry}, and {@link
 * #canAdmit} before any operation that only an active router may perform. If the process was
 * suspended for so long that a peer may have become active, every event first returns the affected
 * routers to backup.
 */
public final class Mastership {
  /**
   * A router that is unable to serve stays in backup for this many active down intervals. Each
   * further consecutive failure doubles the number.
   */
  private static final int INITIAL_BACKOFF_DOWN_INTERVALS = 2;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** The expiry of a timer of a virtual router. */
  private record RouterTimer(Timestamp at, VirtualRouterId router)
      implements Comparable<RouterTimer> {
    @Override
    public int compareTo(RouterTimer other) {
      int order = at.compareTo(other.at);
      return order != 0 ? order : router.compareTo(other.router);
    }
  }

  /** A configured virtual router. */
  private static final class RouterEntry {
    RouterOptions options;
    RouterState state;
    Timestamp timerExpiresAt;
    Timestamp fenceDeadline;

    /** How often the router was unable to serve since it last served. */
    int consecutiveFailures;
  }

  /**
   * The last advertisement of a peer for a virtual router.
   *
   * @param interval the advertisement interval of the peer
   */
  public record ReceivedAdvertisement(int priority, Timestamp receivedAt, TimeSpan interval) {
    /** Until when the sender counts as active unless it advertises again. */
    Timestamp expiresAt() {
      return priority == Advertisement.RESIGNATION_PRIORITY
          ? receivedAt
          : receivedAt.plus(interval.times(VirtualRouter.MAX_MISSED_ADVERTISEMENTS + 1));
    }
  }

  private final InetAddress self;
  private final TreeMap<VirtualRouterId, RouterEntry> routerEntries = new TreeMap<>();
  private final TreeSet<RouterTimer> protocolTimers = new TreeSet<>();
  private final TreeSet<RouterTimer> fenceTimers = new TreeSet<>();
  private final Map<InetAddress, Map<VirtualRouterId, ReceivedAdvertisement>>
      receivedAdvertisements = new HashMap<>();
  private final TimeSpan maxAttemptDuration;
  private final TimeSpan minListenPeriod;
  private final boolean acceptsOtherIntervals;
  private Set<InetAddress> peers;
  private double dispatchersElsewhere;
  private int priorityReduction;
  private Timestamp startedAt;

  /**
   * @param self the source address of this dispatcher's advertisements
   * @param peers the addresses that advertisements are accepted from
   * @param dispatchersElsewhere the number of dispatchers outside this group that carry traffic
   * @param maxAttemptDuration the longest time for which an attempt of a formerly active dispatcher
   *     can still use an engine
   * @param minListenPeriod the minimum time to listen after the start before becoming active
   * @param acceptsOtherIntervals whether advertisements are accepted whose interval differs from
   *     the configured one
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
      RouterEntry entry = new RouterEntry();
      entry.options = options;
      routerEntries.put(options.router(), entry);
    }
  }

  // ---- events

  /** Starts every virtual router. */
  public List<MastershipAction> start(Timestamp now) {
    startedAt = now;
    List<MastershipAction> actions = new ArrayList<>();
    routerEntries
        .values()
        .forEach(
            entry ->
                apply(
                    entry,
                    VirtualRouter.start(
                        entry.options, effectivePriority(entry.options), minListenPeriod, now),
                    actions));
    return actions;
  }

  /** Stops every virtual router; active ones resign. */
  public List<MastershipAction> stop(TransitionReason reason, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    for (RouterEntry entry : routerEntries.values()) {
      if (entry.state != null && entry.state.role() != Role.INITIALIZE) {
        apply(entry, VirtualRouter.stop(entry.options, entry.state, reason, now), actions);
      }
    }
    return actions;
  }

  /**
   * Compares an advertisement with the configuration of its virtual router; the sender is not
   * checked.
   *
   * @return why the advertisement is rejected, or empty if it matches the configuration
   */
  public Optional<RejectionReason> rejectionReason(Advertisement advertisement) {
    RouterEntry entry = routerEntries.get(routerIdOf(advertisement));
    if (entry == null) {
      return Optional.of(RejectionReason.UNKNOWN_ROUTER);
    }
    if (!new HashSet<>(entry.options.addresses())
        .equals(new HashSet<>(advertisement.addresses()))) {
      return Optional.of(RejectionReason.ADDRESSES_DIFFER);
    }
    boolean intervalDiffers =
        !VirtualRouter.advertisementInterval(advertisement)
            .equals(entry.options.advertisementInterval());
    return intervalDiffers && !acceptsOtherIntervals
        ? Optional.of(RejectionReason.INTERVAL_DIFFERS)
        : Optional.empty();
  }

  /**
   * An advertisement was received that the {@link AdvertisementFilter} accepts, which includes
   * {@link #rejectionReason}.
   */
  public List<MastershipAction> onAdvertisement(
      InetAddress sender, Advertisement advertisement, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterEntry entry = routerEntries.get(routerIdOf(advertisement));
    if (entry == null || entry.state == null || !peers.contains(sender)) {
      return actions;
    }
    receivedAdvertisements
        .computeIfAbsent(sender, peer -> new HashMap<>())
        .put(
            entry.options.router(),
            new ReceivedAdvertisement(
                advertisement.priority(), now, VirtualRouter.advertisementInterval(advertisement)));
    apply(
        entry,
        VirtualRouter.onAdvertisement(entry.options, entry.state, self, sender, advertisement, now),
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
      RouterEntry entry = routerEntries.get(timer.router);
      apply(entry, VirtualRouter.onTimer(entry.options, entry.state, now), actions);
    }
    return actions;
  }

  /** Returns every virtual router to backup whose fence deadline has passed. */
  public List<MastershipAction> fence(Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    while (!fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now)) {
      RouterEntry entry = routerEntries.get(fenceTimers.first().router);
      apply(entry, VirtualRouter.fenceIfOverdue(entry.options, entry.state, now), actions);
    }
    return actions;
  }

  /** Sets by how much the priority of every virtual router is lowered; it stays at least 1. */
  public List<MastershipAction> setPriorityReduction(int reduction, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    if (reduction != priorityReduction) {
      priorityReduction = reduction;
      routerEntries.values().stream()
          .filter(entry -> entry.state != null)
          .forEach(
              entry ->
                  apply(
                      entry,
                      VirtualRouter.changePriority(
                          entry.options, entry.state, effectivePriority(entry.options), now),
                      actions));
    }
    return actions;
  }

  /**
   * The service address of an active router could not be opened: the router resigns and backs off.
   */
  public List<MastershipAction> onUnableToServe(VirtualRouterId router, Timestamp now) {
    List<MastershipAction> actions = fence(now);
    RouterEntry entry = routerEntries.get(router);
    if (entry != null && entry.state != null) {
      TimeSpan backoff =
          VirtualRouter.activeDownInterval(entry.state)
              .times(
                  INITIAL_BACKOFF_DOWN_INTERVALS
                      * Math.pow(2, Math.min(entry.consecutiveFailures, MAX_BACKOFF_DOUBLINGS)));
      entry.consecutiveFailures++;
      apply(
          entry,
          VirtualRouter.resignUnableToServe(entry.options, entry.state, backoff, now),
          actions);
    }
    return actions;
  }

  /** The service address of a router is open, which resets its backoff. */
  public void onServing(VirtualRouterId router) {
    if (routerEntries.containsKey(router)) {
      routerEntries.get(router).consecutiveFailures = 0;
    }
  }

  /** Applies new settings, in which virtual routers may be changed, removed and added. */
  public List<MastershipAction> reconfigure(
      Collection<RouterOptions> routers,
      Set<InetAddress> newPeers,
      double newDispatchersElsewhere,
      Timestamp now) {
    List<MastershipAction> actions = fence(now);
    peers = Set.copyOf(newPeers);
    receivedAdvertisements.keySet().retainAll(peers);
    dispatchersElsewhere = newDispatchersElsewhere;
    Map<VirtualRouterId, RouterOptions> unmatched = new TreeMap<>();
    routers.forEach(options -> unmatched.put(options.router(), options));
    for (VirtualRouterId id : List.copyOf(routerEntries.keySet())) {
      RouterEntry entry = routerEntries.get(id);
      RouterOptions options = unmatched.remove(id);
      if (options == null) {
        apply(
            entry,
            VirtualRouter.stop(entry.options, entry.state, TransitionReason.REMOVED, now),
            actions);
        routerEntries.remove(id);
      } else if (!options.equals(entry.options)) {
        entry.options = options;
        apply(
            entry,
            VirtualRouter.changeOptions(options, entry.state, effectivePriority(options), now),
            actions);
      }
    }
    for (RouterOptions options : unmatched.values()) {
      RouterEntry entry = new RouterEntry();
      entry.options = options;
      routerEntries.put(options.router(), entry);
      apply(
          entry,
          VirtualRouter.start(options, effectivePriority(options), minListenPeriod, now),
          actions);
    }
    receivedAdvertisements
        .values()
        .forEach(byRouter -> byRouter.keySet().retainAll(routerEntries.keySet()));
    return actions;
  }

  // ---- queries

  /** When to call {@link #onTimer} next, or null if no timer runs. */
  public Timestamp nextTimerExpiry() {
    return protocolTimers.isEmpty() ? null : protocolTimers.first().at;
  }

  /** Whether requests to this virtual router may be admitted and forwarded now. */
  public boolean canAdmit(VirtualRouterId router, Timestamp now) {
    RouterEntry entry = routerEntries.get(router);
    return entry != null
        && entry.state != null
        && entry.state.role() == Role.ACTIVE
        && !VirtualRouter.fenceDeadline(entry.options, entry.state).isBefore(now);
  }

  /**
   * Whether the fence deadline of any virtual router has passed, so that a peer may have become
   * active. In this case {@link #fence} must be called first.
   */
  public boolean isFenceOverdue(Timestamp now) {
    return !fenceTimers.isEmpty() && fenceTimers.first().at.isBefore(now);
  }

  /** Whether this dispatcher is the active router of any virtual router. */
  public boolean isActive() {
    return !fenceTimers.isEmpty();
  }

  /**
   * The number of dispatchers that share the engines now: those outside the group, this one, and
   * each peer that advertises as the active router.
   *
   * <p>A peer whose last advertisement has expired counts with a share that falls linearly from 1
   * at the receipt of this advertisement to 0 after the maximum attempt duration, because its
   * attempts may still use engines. Until the first advertisement is received after a start, a
   * formerly active dispatcher is assumed, whose share falls in the same way from the start on.
   *
   * <p>In a split, an active router that receives the advertisements of another one leaves it its
   * share. An active router that receives none uses the full capacity. Thus each active router
   * sends an engine at most its full capacity.
   */
  public double effectiveDispatcherCount(Timestamp now) {
    double others = 0;
    for (Map<VirtualRouterId, ReceivedAdvertisement> advertisementsOfPeer :
        receivedAdvertisements.values()) {
      double share = 0;
      for (ReceivedAdvertisement advertisement : advertisementsOfPeer.values()) {
        share =
            Math.max(
                share,
                now.isBefore(advertisement.expiresAt())
                    ? 1
                    : remainingShare(advertisement.receivedAt(), now));
      }
      others += share;
    }
    boolean arePeersKnown =
        peers.isEmpty() || startedAt == null || !receivedAdvertisements.isEmpty();
    return dispatchersElsewhere + 1 + (arePeersKnown ? others : remainingShare(startedAt, now));
  }

  /** The share, 1 to 0, of a dispatcher that was last known to be active at this time. */
  private double remainingShare(Timestamp lastActiveAt, Timestamp now) {
    return maxAttemptDuration.isPositive()
        ? Math.max(0, 1 - now.since(lastActiveAt).dividedBy(maxAttemptDuration))
        : 0;
  }

  /** By how much the priority of every virtual router is lowered now. */
  public int priorityReduction() {
    return priorityReduction;
  }

  /** All configured virtual routers, in order. */
  public List<VirtualRouterId> routers() {
    return List.copyOf(routerEntries.keySet());
  }

  /** The configuration of a virtual router. */
  public RouterOptions options(VirtualRouterId router) {
    return routerEntries.get(router).options;
  }

  /** The state of a configured virtual router, or null before the start. */
  public RouterState state(VirtualRouterId router) {
    return routerEntries.get(router).state;
  }

  /** The last advertisement of each peer for a virtual router, by peer. */
  public Map<InetAddress, ReceivedAdvertisement> receivedAdvertisements(VirtualRouterId router) {
    Map<InetAddress, ReceivedAdvertisement> byPeer = new HashMap<>();
    receivedAdvertisements.forEach(
        (peer, byRouter) -> {
          if (byRouter.containsKey(router)) {
            byPeer.put(peer, byRouter.get(router));
          }
        });
    return byPeer;
  }

  // ---- internals

  private int effectivePriority(RouterOptions options) {
    return Math.max(1, options.priority() - priorityReduction);
  }

  private static VirtualRouterId routerIdOf(Advertisement advertisement) {
    return new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6());
  }

  /** Sets the new state of a virtual router, reschedules its two timers, and adds the actions. */
  private void apply(RouterEntry entry, Transition transition, List<MastershipAction> actions) {
    VirtualRouterId id = entry.options.router();
    entry.state = transition.state();
    entry.timerExpiresAt =
        reschedule(protocolTimers, id, entry.timerExpiresAt, entry.state.timerExpiresAt());
    entry.fenceDeadline =
        reschedule(
            fenceTimers,
            id,
            entry.fenceDeadline,
            VirtualRouter.fenceDeadline(entry.options, entry.state));
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
