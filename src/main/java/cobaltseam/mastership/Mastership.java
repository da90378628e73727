package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.VirtualRouter.Change;
import cobaltseam.vrrp.Advert;
import cobaltseam.vrrp.Refusal;
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
 * <p>Callers ask {@link #due} no later than {@link #wake}, and {@link #admits} before each thing
 * that only an active dispatcher may do; whatever comes after a gap that lets a peer claim is
 * preceded by stepping back.
 */
public final class Mastership {
  /**
   * An unable router stays back for this many down intervals at first, twice as many each time, up
   * to the most.
   */
  private static final int STAYS_BACK = 2;

  private static final int MOST_DOUBLED = 5;

  /** A moment at which a router is to be looked at. */
  private record Alarm(Timestamp at, VirtualRouterId router) implements Comparable<Alarm> {
    @Override
    public int compareTo(Alarm other) {
      int order = at.compareTo(other.at);
      return order != 0 ? order : router.compareTo(other.router);
    }
  }

  /** One virtual router, for as long as it is set. */
  private static final class RouterSlot {
    RouterOptions terms;
    RouterState standing;
    Timestamp wake, fence;

    /** How often in a row it was unable to serve. */
    int unable;
  }

  /** What a peer last said of a virtual router. */
  public record ObservedClaim(int priority, Timestamp heard, TimeSpan interval) {
    /** Until when its sender counts as active without another. */
    Timestamp until() {
      return priority == Advert.RESIGNS
          ? heard
          : heard.plus(interval.times(VirtualRouter.MISSED + 1));
    }
  }

  private final InetAddress self;
  private final TreeMap<VirtualRouterId, RouterSlot> seats = new TreeMap<>();
  private final TreeSet<Alarm> wakes = new TreeSet<>();
  private final TreeSet<Alarm> fences = new TreeSet<>();
  private final Map<InetAddress, Map<VirtualRouterId, ObservedClaim>> claims = new HashMap<>();
  private final TimeSpan longestSend;
  private final TimeSpan listen;
  private final boolean followsIntervals;
  private Set<InetAddress> peers;
  private double elsewhere;
  private int reduction;
  private Timestamp started;

  /**
   * @param self the address that adverts come from
   * @param peers where adverts that count come from
   * @param elsewhere dispatchers that carry traffic and are not of this group
   * @param longestSend after which no send of a former active dispatcher can still hold an engine
   * @param listen how long to listen at least before the first claim
   * @param followsIntervals whether adverts count that tell another interval than ours
   */
  public Mastership(
      InetAddress self,
      Collection<RouterOptions> routers,
      Set<InetAddress> peers,
      double elsewhere,
      TimeSpan longestSend,
      TimeSpan listen,
      boolean followsIntervals) {
    this.self = self;
    this.peers = Set.copyOf(peers);
    this.elsewhere = elsewhere;
    this.longestSend = longestSend;
    this.listen = listen;
    this.followsIntervals = followsIntervals;
    for (RouterOptions t : routers) {
      RouterSlot seat = new RouterSlot();
      seat.terms = t;
      seats.put(t.router(), seat);
    }
  }

  // ---- what happens

  public List<MastershipAction> start(Timestamp now) {
    started = now;
    List<MastershipAction> acts = new ArrayList<>();
    seats
        .values()
        .forEach(
            s -> follow(s, VirtualRouter.start(s.terms, priority(s.terms), listen, now), acts));
    return acts;
  }

  /** Ends every router; active ones resign first. */
  public List<MastershipAction> stop(TransitionReason why, Timestamp now) {
    List<MastershipAction> acts = new ArrayList<>();
    for (RouterSlot s : seats.values()) {
      if (s.standing != null && s.standing.role() != Role.INITIALIZE) {
        follow(s, VirtualRouter.stop(s.terms, s.standing, why, now), acts);
      }
    }
    return acts;
  }

  /** Why an advert does not count here, whoever sent it. */
  public Optional<Refusal> refusal(Advert advert) {
    RouterSlot seat = seats.get(router(advert));
    if (seat == null) {
      return Optional.of(Refusal.UNKNOWN_ROUTER);
    }
    if (!new HashSet<>(seat.terms.addresses()).equals(new HashSet<>(advert.addresses()))) {
      return Optional.of(Refusal.ADDRESSES_DIFFER);
    }
    boolean differs = !VirtualRouter.interval(advert).equals(seat.terms.interval());
    return differs && !followsIntervals ? Optional.of(Refusal.INTERVAL_DIFFERS) : Optional.empty();
  }

  /**
   * An advert that counts has come: see {@link #refusal}, and {@link AdvertFilter} for who may send
   * one.
   */
  public List<MastershipAction> heard(InetAddress sender, Advert advert, Timestamp now) {
    List<MastershipAction> acts = fence(now);
    RouterSlot seat = seats.get(router(advert));
    if (seat == null || seat.standing == null || !peers.contains(sender)) {
      return acts;
    }
    claims
        .computeIfAbsent(sender, s -> new HashMap<>())
        .put(
            seat.terms.router(),
            new ObservedClaim(advert.priority(), now, VirtualRouter.interval(advert)));
    follow(seat, VirtualRouter.heard(seat.terms, seat.standing, self, sender, advert, now), acts);
    return acts;
  }

  /** Whatever is due by now. */
  public List<MastershipAction> due(Timestamp now) {
    List<MastershipAction> acts = fence(now);
    List<Alarm> reached =
        new ArrayList<>(
            wakes.headSet(new Alarm(now, new VirtualRouterId(Integer.MAX_VALUE, true))));
    for (Alarm alarm : reached) {
      RouterSlot seat = seats.get(alarm.router);
      follow(seat, VirtualRouter.due(seat.terms, seat.standing, now), acts);
    }
    return acts;
  }

  /** Steps back from every router whose peers may have claimed meanwhile. */
  public List<MastershipAction> fence(Timestamp now) {
    List<MastershipAction> acts = new ArrayList<>();
    while (!fences.isEmpty() && fences.first().at.isBefore(now)) {
      RouterSlot seat = seats.get(fences.first().router);
      follow(seat, VirtualRouter.fenced(seat.terms, seat.standing, now), acts);
    }
    return acts;
  }

  /** This dispatcher is less able to serve by this many steps of priority; none is ever below 1. */
  public List<MastershipAction> fitness(int steps, Timestamp now) {
    List<MastershipAction> acts = fence(now);
    if (steps != reduction) {
      reduction = steps;
      seats.values().stream()
          .filter(s -> s.standing != null)
          .forEach(
              s ->
                  follow(
                      s,
                      VirtualRouter.priority(s.terms, s.standing, priority(s.terms), now),
                      acts));
    }
    return acts;
  }

  /**
   * It can't serve for a router that it is active for: another is to try, and it stays back for a
   * while.
   */
  public List<MastershipAction> unable(VirtualRouterId router, Timestamp now) {
    List<MastershipAction> acts = fence(now);
    RouterSlot seat = seats.get(router);
    if (seat != null && seat.standing != null) {
      TimeSpan back =
          VirtualRouter.downInterval(seat.standing)
              .times(STAYS_BACK * Math.pow(2, Math.min(seat.unable, MOST_DOUBLED)));
      seat.unable++;
      follow(seat, VirtualRouter.unable(seat.terms, seat.standing, back, now), acts);
    }
    return acts;
  }

  /** It does serve for a router. */
  public void able(VirtualRouterId router) {
    if (seats.containsKey(router)) {
      seats.get(router).unable = 0;
    }
  }

  /** New terms: of routers that stay, that go, and that come. */
  public List<MastershipAction> renewed(
      Collection<RouterOptions> routers,
      Set<InetAddress> newPeers,
      double newElsewhere,
      Timestamp now) {
    List<MastershipAction> acts = fence(now);
    peers = Set.copyOf(newPeers);
    claims.keySet().retainAll(peers);
    elsewhere = newElsewhere;
    Map<VirtualRouterId, RouterOptions> told = new TreeMap<>();
    routers.forEach(t -> told.put(t.router(), t));
    for (VirtualRouterId id : List.copyOf(seats.keySet())) {
      RouterSlot seat = seats.get(id);
      RouterOptions terms = told.remove(id);
      if (terms == null) {
        follow(
            seat,
            VirtualRouter.stop(seat.terms, seat.standing, TransitionReason.REMOVED, now),
            acts);
        seats.remove(id);
      } else if (!terms.equals(seat.terms)) {
        seat.terms = terms;
        follow(seat, VirtualRouter.renewed(terms, seat.standing, priority(terms), now), acts);
      }
    }
    for (RouterOptions t : told.values()) {
      RouterSlot seat = new RouterSlot();
      seat.terms = t;
      seats.put(t.router(), seat);
      follow(seat, VirtualRouter.start(t, priority(t), listen, now), acts);
    }
    claims.values().forEach(c -> c.keySet().retainAll(seats.keySet()));
    return acts;
  }

  // ---- what is asked

  /** When to ask {@link #due} next, or null. */
  public Timestamp wake() {
    return wakes.isEmpty() ? null : wakes.first().at;
  }

  /** Whether traffic of this virtual router may be taken and sent on at this moment. */
  public boolean admits(VirtualRouterId router, Timestamp now) {
    RouterSlot seat = seats.get(router);
    return seat != null
        && seat.standing != null
        && seat.standing.role() == Role.ACTIVE
        && !VirtualRouter.fence(seat.terms, seat.standing).isBefore(now);
  }

  /**
   * Whether any mastership may have passed unnoticed: {@link #fence} is to be asked before anything
   * else.
   */
  public boolean overtaken(Timestamp now) {
    return !fences.isEmpty() && fences.first().at.isBefore(now);
  }

  /** Whether it is active for any virtual router. */
  public boolean isActive() {
    return !fences.isEmpty();
  }

  /**
   * Over how many dispatchers the engines are shared now: those elsewhere, this one, and each peer
   * that is heard as active. A peer no longer heard fades out over the longest time that a send of
   * its can still hold an engine; and so does, after a start, one that was there before and was
   * never heard. In a split each claimant that hears the other leaves it its part; one that hears
   * nothing takes all, so that an engine is given at most its whole figure by each claimant.
   */
  public double dispatchers(Timestamp now) {
    double others = 0;
    for (Map<VirtualRouterId, ObservedClaim> said : claims.values()) {
      double most = 0;
      for (ObservedClaim claim : said.values()) {
        most = Math.max(most, now.isBefore(claim.until()) ? 1 : left(claim.heard(), now));
      }
      others += most;
    }
    boolean alone = peers.isEmpty() || started == null || !claims.isEmpty();
    return elsewhere + 1 + (alone ? others : left(started, now));
  }

  private double left(Timestamp from, Timestamp now) {
    return longestSend.isPositive() ? Math.max(0, 1 - now.since(from).over(longestSend)) : 0;
  }

  public int reduction() {
    return reduction;
  }

  /** Every router, in order. */
  public List<VirtualRouterId> routers() {
    return List.copyOf(seats.keySet());
  }

  public RouterOptions terms(VirtualRouterId router) {
    return seats.get(router).terms;
  }

  /** Where a router stands, or null before the start. */
  public RouterState standing(VirtualRouterId router) {
    return seats.get(router).standing;
  }

  /** What each peer last said of a router. */
  public Map<InetAddress, ObservedClaim> claims(VirtualRouterId router) {
    Map<InetAddress, ObservedClaim> said = new HashMap<>();
    claims.forEach(
        (peer, of) -> {
          if (of.containsKey(router)) {
            said.put(peer, of.get(router));
          }
        });
    return said;
  }

  // ---- within

  private int priority(RouterOptions t) {
    return Math.max(1, t.priority() - reduction);
  }

  private static VirtualRouterId router(Advert advert) {
    return new VirtualRouterId(advert.virtualRouterId(), advert.isIpv6());
  }

  /** Puts a router where it stands now, and its two alarms with it. */
  private void follow(RouterSlot seat, Change change, List<MastershipAction> acts) {
    VirtualRouterId id = seat.terms.router();
    seat.standing = change.standing();
    seat.wake = moved(wakes, id, seat.wake, seat.standing.wake());
    seat.fence = moved(fences, id, seat.fence, VirtualRouter.fence(seat.terms, seat.standing));
    acts.addAll(change.acts());
  }

  private static Timestamp moved(
      TreeSet<Alarm> alarms, VirtualRouterId router, Timestamp from, Timestamp to) {
    if (from != null) {
      alarms.remove(new Alarm(from, router));
    }
    if (to != null) {
      alarms.add(new Alarm(to, router));
    }
    return to;
  }
}
