package cobaltseam.capacity;

import cobaltseam.capacity.CapacityLeaseMessage.LeaseGrant;
import cobaltseam.capacity.CapacityLeaseMessage.LeaseRequest;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Which amount of a whole this process may use, such that the amounts of all processes never exceed
 * the whole, whichever of them are partitioned, paused, killed or restarted. It does no I/O: time,
 * randomness and messages come from the caller, who calls {@link #update} no later than {@link
 * #nextUpdateAt}, and reads {@link #usableAmount} before each use.
 *
 * <p>A small standalone part is each process's own without a lease. The rest is divided evenly over
 * the members of the view, and used only under a lease on that view. A new view enlarges parts, or
 * gives a new member one, only once all leases on earlier views have ended; it shrinks them at
 * once. Of its even part a member lends what others need more: a lent amount can't be used here
 * until its lease ends, and it ends before the lease on the view under which it was granted. So a
 * process that loses its state holds nothing, and what was lent to a lost member comes back by
 * itself.
 *
 * <p>Parts follow demand as far as it is known; a member of unknown demand keeps its even part.
 */
public final class CapacityLeases {
  /** What this depends on: the agreed view, and whether it may be acted on. */
  public interface LeaseContext {
    /** The view that is held, or null. */
    View view();

    /** This process as a member. */
    Member self();

    /** The header of messages that are sent now. */
    MessageHeader messageHeader();

    /** Until when the lease on the view lasts; null if there is none. */
    Timestamp leaseUntil();

    /** The time after which all leases on earlier views have ended, by any clock. */
    TimeSpan maxLeaseDuration();

    /** The largest difference between the rates of two clocks, as a ratio. */
    double maxClockRateRatio();

    /**
     * The demand that a member stated, or null if it is not known; not called for this process
     * itself.
     */
    Double demand(MemberName of);
  }

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, CapacityLeaseMessage message) {}

  /** An amount that may be used until a time; null for no end. */
  public record CapacityStep(Timestamp until, long amount) {}

  /** Requests that wait for their reply. */
  private static final int MAX_PENDING_REQUESTS = 64;

  /** A borrowed amount is renewed once less than this part of a lease is left of it. */
  private static final double RENEW_AT_REMAINING_RATIO = 0.4;

  /** The smallest missing amount that is requested, as a part of the even part. */
  private static final double MIN_REQUEST_RATIO = 0.02;

  /** A lender that granted less than requested is not asked for more for so many rounds. */
  private static final int EXHAUSTED_LENDER_BACKOFF_ROUNDS = 4;

  private record PreviousView(long equalShare, Timestamp until) {}

  private record LentLease(long amount, Timestamp until) {}

  private record BorrowedLease(Member lender, long amount, Timestamp until) {}

  private record PendingRequest(Member lender, long amount, Timestamp requestedAt) {}

  private final CapacityOptions options;
  private final LeaseContext context;
  private final RandomGenerator random;
  private View currentView;
  private long equalShare;

  /** The even parts of earlier views, which other members may still use. */
  private final List<PreviousView> previousViews = new ArrayList<>();

  /** Until then it is not known what others use, and the even part can't be used. */
  private Timestamp unknownUntil;

  private final Map<Member, List<LentLease>> lent = new HashMap<>();
  private final Map<MemberName, BorrowedLease> borrowed = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<MemberName, Timestamp> exhaustedUntil = new HashMap<>();
  private double demand;
  private Timestamp nextRoundAt;

  /**
   * @param context what this depends on; read at each call
   */
  public CapacityLeases(CapacityOptions options, LeaseContext context, RandomGenerator random) {
    this.options = options;
    this.context = context;
    this.random = random;
  }

  // ---- what is asked

  /** Sets the demand of this process, in any unit that all members use. */
  public void setDemand(double demand) {
    this.demand = Math.max(0, demand);
  }

  /** The amount that may be used at this time. */
  public long usableAmount(Timestamp now) {
    long all = options.standaloneAmount() + (hasLease(now) ? ownPart(now) : 0);
    for (BorrowedLease in : borrowed.values()) {
      all += now.isBefore(in.until) ? in.amount : 0;
    }
    return all;
  }

  /**
   * The amounts that may be used from now on if no further message arrives, in falling steps: for a
   * reader on another thread.
   */
  public List<CapacityStep> usableSteps(Timestamp now) {
    List<Timestamp> ends = new ArrayList<>();
    if (hasLease(now)) {
      ends.add(context.leaseUntil());
    }
    borrowed.values().stream()
        .filter(in -> now.isBefore(in.until))
        .forEach(in -> ends.add(in.until));
    ends.sort(Comparator.naturalOrder());
    List<CapacityStep> steps = new ArrayList<>();
    long own = ownPart(now);
    for (int i = 0; i < ends.size(); i++) {
      Timestamp end = ends.get(i);
      if (i > 0 && end.equals(ends.get(i - 1))) {
        continue;
      }
      long all =
          options.standaloneAmount()
              + (hasLease(now) && !context.leaseUntil().isBefore(end) ? own : 0);
      for (BorrowedLease in : borrowed.values()) {
        all += !in.until.isBefore(end) ? in.amount : 0;
      }
      steps.add(new CapacityStep(end, all));
    }
    steps.add(new CapacityStep(null, options.standaloneAmount()));
    return steps;
  }

  /** The even part that this process may use itself or lend. */
  public long equalShare(Timestamp now) {
    if (currentView == null || unknownUntil != null && now.isBefore(unknownUntil)) {
      return 0;
    }
    long least = equalShare;
    for (PreviousView e : previousViews) {
      least = now.isBefore(e.until) ? Math.min(least, e.equalShare) : least;
    }
    return least;
  }

  /** The amount that is lent to others. */
  public long lentAmount(Timestamp now) {
    return lent.values().stream().mapToLong(outs -> reservedAmount(outs, now)).sum();
  }

  /** The amount that is borrowed from others. */
  public long borrowedAmount(Timestamp now) {
    return borrowed.values().stream()
        .filter(in -> now.isBefore(in.until))
        .mapToLong(BorrowedLease::amount)
        .sum();
  }

  /** When {@link #update} is to be asked again. */
  public Timestamp nextUpdateAt(Timestamp now) {
    return nextRoundAt == null || !now.isBefore(nextRoundAt)
        ? now.plus(options.round())
        : nextRoundAt;
  }

  private boolean hasLease(Timestamp now) {
    return context.leaseUntil() != null && now.isBefore(context.leaseUntil());
  }

  private long ownPart(Timestamp now) {
    return Math.max(0, equalShare(now) - lentAmount(now));
  }

  /** The largest of the leases of one borrower, as it uses only one of them at a time. */
  private static long reservedAmount(List<LentLease> outs, Timestamp now) {
    return outs.stream()
        .filter(o -> now.isBefore(o.until))
        .mapToLong(LentLease::amount)
        .max()
        .orElse(0);
  }

  // ---- what follows

  /** Follows the view, the time and the demand, and returns the requests to send. */
  public List<OutgoingMessage> update(Timestamp now) {
    View view = context.view();
    if (view != currentView) {
      followView(view, now);
    }
    previousViews.removeIf(e -> !now.isBefore(e.until));
    borrowed.values().removeIf(in -> !now.isBefore(in.until));
    for (Iterator<List<LentLease>> each = lent.values().iterator(); each.hasNext(); ) {
      List<LentLease> outs = each.next();
      outs.removeIf(o -> !now.isBefore(o.until));
      if (outs.isEmpty()) {
        each.remove();
      }
    }
    if (currentView == null || nextRoundAt != null && now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    nextRoundAt = now.plus(options.round());
    pending
        .values()
        .removeIf(o -> now.since(o.requestedAt).compareTo(context.maxLeaseDuration()) >= 0);
    exhaustedUntil.values().removeIf(until -> !now.isBefore(until));
    return createRequests(now);
  }

  private void followView(View view, Timestamp now) {
    boolean follows =
        view != null
            && currentView != null
            && view.id().lineage() == currentView.id().lineage()
            && view.id().number() == currentView.id().number() + 1;
    if (follows) {
      previousViews.add(new PreviousView(equalShare, now.plus(context.maxLeaseDuration())));
    } else {
      // A new or restarted member, or one that missed a view, does not know what others use.
      previousViews.clear();
      unknownUntil = now.plus(context.maxLeaseDuration());
    }
    currentView = view;
    equalShare = view == null ? 0 : options.sharedAmount() / view.members().size();
    if (view != null) {
      exhaustedUntil.keySet().removeIf(n -> view.memberNamed(n) == null);
    }
  }

  /**
   * The amount that a member should have so that all known demand is met alike; the even part if
   * its demand is not known.
   */
  private double target(Double needs, double known, double sum) {
    if (needs == null || sum <= 0) {
      return equalShare;
    }
    return options.minRetainedRatio() * equalShare
        + (1 - options.minRetainedRatio()) * equalShare * known * needs / sum;
  }

  /**
   * The known demand of the members of the view.
   *
   * @param byMember the demand of each other member of which it is known
   * @param knownCount how many members are known, with this process
   * @param sum the sum of their demand, with that of this process
   */
  private record DemandSummary(Map<Member, Double> byMember, double knownCount, double sum) {}

  private DemandSummary needs() {
    Map<Member, Double> of = new HashMap<>();
    double sum = demand;
    for (Member m : currentView.members()) {
      Double needs = m.name().equals(context.self().name()) ? null : context.demand(m.name());
      if (needs != null) {
        of.put(m, needs);
        sum += needs;
      }
    }
    return new DemandSummary(of, of.size() + 1, sum);
  }

  /**
   * Decides how much to borrow from each member, and returns the requests for it. The total of a
   * member is what it already lends, as far as that is still needed, what pending requests will
   * add, and what new requests ask for. The requests that gain the most come first: many small ones
   * would otherwise use up the limit of a round.
   */
  private List<OutgoingMessage> createRequests(Timestamp now) {
    DemandSummary needs = needs();
    double missing = target(demand, needs.knownCount, needs.sum) - ownPart(now);
    Map<Member, Double> wanted = new HashMap<>();
    TimeSpan soon = context.maxLeaseDuration().times(RENEW_AT_REMAINING_RATIO);
    for (BorrowedLease in : borrowed.values()) {
      double keeps = Math.max(0, Math.min(missing, in.amount));
      missing -= keeps;
      wanted.put(in.lender, keeps);
    }
    for (PendingRequest o : pending.values()) {
      double more = Math.max(0, Math.min(missing, o.amount - wanted.getOrDefault(o.lender, 0.0)));
      if (isWaitedFor(o, now) && currentView.contains(o.lender.name(), o.lender.incarnation())) {
        missing -= more;
        wanted.merge(o.lender, more, Double::sum);
      }
    }
    if (missing >= Math.max(1, equalShare * MIN_REQUEST_RATIO)) {
      Map<Member, Double> spare = new HashMap<>();
      needs.byMember.forEach(
          (m, need) -> {
            double left =
                equalShare
                    - target(need, needs.knownCount, needs.sum)
                    - wanted.getOrDefault(m, 0.0);
            if (left >= 1 && !exhaustedUntil.containsKey(m.name()) && !isAsked(m, now)) {
              spare.put(m, left);
            }
          });
      for (int n = 0; n < options.maxRequestsPerRound() && missing >= 1 && !spare.isEmpty(); n++) {
        Member of = drawLender(spare);
        double more = Math.min(missing, spare.remove(of));
        missing -= more;
        wanted.merge(of, more, Double::sum);
      }
    }
    Map<Member, Double> brings = new HashMap<>();
    wanted.forEach(
        (m, amount) -> {
          BorrowedLease in = borrowed.get(m.name());
          boolean lasts =
              in != null && in.lender.equals(m) && in.until.since(now).compareTo(soon) >= 0;
          double more = lasts ? amount - in.amount : amount;
          if (more >= Math.max(1, equalShare * MIN_REQUEST_RATIO) && !isAsked(m, now)) {
            brings.put(m, more);
          }
        });
    return brings.entrySet().stream()
        .sorted(
            Map.Entry.<Member, Double>comparingByValue()
                .reversed()
                .thenComparing(e -> e.getKey().name()))
        .limit(
            Math.max(
                0, Math.min(options.maxRequestsPerRound(), MAX_PENDING_REQUESTS - pending.size())))
        .map(e -> request(e.getKey(), (long) Math.ceil(wanted.get(e.getKey())), now))
        .toList();
  }

  /** Whether a reply is still expected. A later one counts, but the lender may be asked again. */
  private boolean isWaitedFor(PendingRequest request, Timestamp now) {
    return now.since(request.requestedAt).compareTo(options.round().times(1.5)) < 0;
  }

  private boolean isAsked(Member of, Timestamp now) {
    return pending.values().stream().anyMatch(o -> o.lender.equals(of) && isWaitedFor(o, now));
  }

  /** Draws a lender with a chance by its spare amount, so that not all members ask the same one. */
  private Member drawLender(Map<Member, Double> spare) {
    List<Member> members = new ArrayList<>(spare.keySet());
    members.sort(Comparator.comparing(Member::name));
    double at =
        random.nextDouble() * spare.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Member m : members) {
      at -= spare.get(m);
      if (at < 0) {
        return m;
      }
    }
    return members.get(members.size() - 1);
  }

  private OutgoingMessage request(Member of, long amount, Timestamp now) {
    long id = random.nextLong();
    pending.put(id, new PendingRequest(of, amount, now));
    return new OutgoingMessage(
        of.peerAddress(), new LeaseRequest(context.messageHeader(), id, amount));
  }

  // ---- what comes

  /** Handles an authenticated message of a member, and returns the replies to send. */
  public List<OutgoingMessage> receive(CapacityLeaseMessage message, Timestamp now) {
    followCurrentView(now);
    Member from = message.from().member();
    if (currentView == null
        || !currentView.contains(from.name(), from.incarnation())
        || from.name().equals(context.self().name())) {
      return List.of();
    }
    if (message instanceof LeaseRequest request) {
      return List.of(lend(from, request, now));
    }
    LeaseGrant grant = (LeaseGrant) message;
    PendingRequest asked = pending.get(grant.id());
    if (asked == null
        || !asked.lender.equals(from)
        || grant.amount() < 0
        || grant.amount() > options.totalCapacity()
        || grant.durationUs() < 0
        || grant.durationUs() > context.maxLeaseDuration().us()) {
      return List.of();
    }
    pending.remove(grant.id());
    Timestamp until = asked.requestedAt.plus(new TimeSpan(grant.durationUs()));
    BorrowedLease before = borrowed.get(from.name());
    if (grant.amount() < asked.amount) {
      exhaustedUntil.put(
          from.name(), now.plus(options.round().times(EXHAUSTED_LENDER_BACKOFF_ROUNDS)));
    }
    if (grant.amount() > 0
        && now.isBefore(until)
        && (before == null || !before.lender.equals(from) || before.until.isBefore(until))) {
      // Replaces the earlier lease: the lender reserves only the larger of the two.
      borrowed.put(from.name(), new BorrowedLease(from, grant.amount(), until));
    }
    return List.of();
  }

  /** Follows the current view without making requests. */
  private void followCurrentView(Timestamp now) {
    if (context.view() != currentView) {
      followView(context.view(), now);
    }
  }

  private OutgoingMessage lend(Member to, LeaseRequest asked, Timestamp now) {
    DemandSummary needs = needs();
    long others = 0;
    for (Map.Entry<Member, List<LentLease>> e : lent.entrySet()) {
      others += e.getKey().equals(to) ? 0 : reservedAmount(e.getValue(), now);
    }
    long before = lent.containsKey(to) ? reservedAmount(lent.get(to), now) : 0;
    double free = equalShare(now) - others - Math.ceil(target(demand, needs.knownCount, needs.sum));
    // It ends before the lease on the view under which it is granted, by any clock.
    TimeSpan lasts =
        hasLease(now)
            ? context.leaseUntil().since(now).times(1 / (1 + 2 * context.maxClockRateRatio()))
            : TimeSpan.ZERO;
    long amount =
        lasts.isPositive() ? Math.max(0, Math.min(asked.amount(), (long) Math.floor(free))) : 0;
    // The sum of all reserved amounts must not exceed the even part.
    if (amount > 0 && others + Math.max(before, amount) <= equalShare(now)) {
      lent.computeIfAbsent(to, m -> new ArrayList<>())
          .add(new LentLease(amount, now.plus(lasts.times(1 + 2 * context.maxClockRateRatio()))));
    } else {
      amount = 0;
    }
    return new OutgoingMessage(
        to.peerAddress(),
        new LeaseGrant(context.messageHeader(), asked.id(), amount, amount == 0 ? 0 : lasts.us()));
  }
}
