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
 * Determines the amount of the total capacity that this process may use, such that the amounts of
 * all processes never exceed the total, whichever of them are partitioned, suspended, killed or
 * restarted. It does no I/O: time, randomness and messages come from the caller, who calls {@link
 * #update} no later than {@link #nextUpdateAt}, and reads {@link #usableAmount} before each use.
 *
 * <p>Each process may use a small standalone amount without a lease. The rest is divided equally
 * between the members of the view, and may be used only under a lease on that view. A new view
 * enlarges the shares of members, or gives a new member one, only once all leases on earlier views
 * have ended; it reduces shares at once. A member lends what it doesn't need of its equal share to
 * members that need more. A lent amount can't be used here until its capacity lease ends, and that
 * lease ends before the lease on the view under which it was granted. So a process that loses its
 * state has only its standalone amount, and what was lent to a lost member becomes usable here
 * again without a message.
 *
 * <p>Amounts follow demand as far as it is known; a member of unknown demand keeps its equal share.
 */
public final class CapacityLeases {
  /** The agreed view, the lease on it, and the demand of other members. */
  public interface LeaseContext {
    /** The installed view, or null. */
    View view();

    /** This process as a member. */
    Member self();

    /** The header of messages that are sent now. */
    MessageHeader messageHeader();

    /** When the lease on the view ends; null if there is none. */
    Timestamp leaseUntil();

    /** The time after which all leases on earlier views have ended, by any member's clock. */
    TimeSpan maxLeaseDuration();

    /** The largest difference between the rates of two clocks, as a ratio. */
    double maxClockRateRatio();

    /**
     * The demand that another member reported, or null if it is not known. Never called for this
     * process itself.
     */
    Double demand(MemberName member);
  }

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, CapacityLeaseMessage message) {}

  /** An amount that may be used until a time; null means without an end. */
  public record CapacityStep(Timestamp until, long amount) {}

  /** The largest number of requests that wait for their reply. */
  private static final int MAX_PENDING_REQUESTS = 64;

  /** A borrowed amount is renewed once less than this ratio of a lease duration remains. */
  private static final double RENEW_AT_REMAINING_RATIO = 0.4;

  /** The smallest missing amount that is requested, as a ratio of the equal share. */
  private static final double MIN_REQUEST_RATIO = 0.02;

  /** How many rounds a lender that granted less than requested is not asked for more. */
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

  /** Earlier views, under whose equal shares other members may still use capacity. */
  private final List<PreviousView> previousViews = new ArrayList<>();

  /**
   * Until this time it is not known how much other members use, and the equal share of this process
   * can't be used; null if that has never been the case.
   */
  private Timestamp unknownUntil;

  private final Map<Member, List<LentLease>> lent = new HashMap<>();
  private final Map<MemberName, BorrowedLease> borrowed = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<MemberName, Timestamp> exhaustedUntil = new HashMap<>();

  /** The demand of this process. */
  private double demand;

  private Timestamp nextRoundAt;

  /**
   * @param context the view, the lease on it and the demand of others; read at each call
   */
  public CapacityLeases(CapacityOptions options, LeaseContext context, RandomGenerator random) {
    this.options = options;
    this.context = context;
    this.random = random;
  }

  /** Sets the demand of this process, in any unit that all members use. */
  public void setDemand(double demand) {
    this.demand = Math.max(0, demand);
  }

  /** The amount that may be used at the given time. */
  public long usableAmount(Timestamp now) {
    long total = options.standaloneAmount() + (hasLease(now) ? unlentAmount(now) : 0);
    for (BorrowedLease lease : borrowed.values()) {
      total += now.isBefore(lease.until) ? lease.amount : 0;
    }
    return total;
  }

  /**
   * The amounts that may be used from now on if no further message arrives, in falling steps. A
   * reader on another thread can apply them without calling this class.
   */
  public List<CapacityStep> usableSteps(Timestamp now) {
    List<Timestamp> ends = new ArrayList<>();
    if (hasLease(now)) {
      ends.add(context.leaseUntil());
    }
    borrowed.values().stream()
        .filter(lease -> now.isBefore(lease.until))
        .forEach(lease -> ends.add(lease.until));
    ends.sort(Comparator.naturalOrder());
    List<CapacityStep> steps = new ArrayList<>();
    long own = unlentAmount(now);
    for (int i = 0; i < ends.size(); i++) {
      Timestamp end = ends.get(i);
      if (i > 0 && end.equals(ends.get(i - 1))) {
        continue;
      }
      long total =
          options.standaloneAmount()
              + (hasLease(now) && !context.leaseUntil().isBefore(end) ? own : 0);
      for (BorrowedLease lease : borrowed.values()) {
        total += !lease.until.isBefore(end) ? lease.amount : 0;
      }
      steps.add(new CapacityStep(end, total));
    }
    steps.add(new CapacityStep(null, options.standaloneAmount()));
    return steps;
  }

  /**
   * The equal share that this process may use itself or lend: the smallest of the current view and
   * of all earlier views on which leases may not have ended. 0 without a view, or while it is not
   * known how much other members use.
   */
  public long equalShare(Timestamp now) {
    if (currentView == null || unknownUntil != null && now.isBefore(unknownUntil)) {
      return 0;
    }
    long smallest = equalShare;
    for (PreviousView previous : previousViews) {
      smallest = now.isBefore(previous.until) ? Math.min(smallest, previous.equalShare) : smallest;
    }
    return smallest;
  }

  /** The amount that is lent to others. */
  public long lentAmount(Timestamp now) {
    return lent.values().stream().mapToLong(leases -> reservedAmount(leases, now)).sum();
  }

  /** The amount that is borrowed from others. */
  public long borrowedAmount(Timestamp now) {
    return borrowed.values().stream()
        .filter(lease -> now.isBefore(lease.until))
        .mapToLong(BorrowedLease::amount)
        .sum();
  }

  /** When {@link #update} is to be called next. */
  public Timestamp nextUpdateAt(Timestamp now) {
    return nextRoundAt == null || !now.isBefore(nextRoundAt)
        ? now.plus(options.round())
        : nextRoundAt;
  }

  private boolean hasLease(Timestamp now) {
    return context.leaseUntil() != null && now.isBefore(context.leaseUntil());
  }

  /** The equal share without the amounts that are lent. */
  private long unlentAmount(Timestamp now) {
    return Math.max(0, equalShare(now) - lentAmount(now));
  }

  /** The largest of the leases of one borrower, as it uses only one of them at a time. */
  private static long reservedAmount(List<LentLease> leases, Timestamp now) {
    return leases.stream()
        .filter(lease -> now.isBefore(lease.until))
        .mapToLong(LentLease::amount)
        .max()
        .orElse(0);
  }

  /**
   * Applies a change of view, drops leases that have ended, and starts a round if one is due.
   *
   * @return the requests to send
   */
  public List<OutgoingMessage> update(Timestamp now) {
    View view = context.view();
    if (view != currentView) {
      applyView(view, now);
    }
    previousViews.removeIf(previous -> !now.isBefore(previous.until));
    borrowed.values().removeIf(lease -> !now.isBefore(lease.until));
    for (Iterator<List<LentLease>> iterator = lent.values().iterator(); iterator.hasNext(); ) {
      List<LentLease> leases = iterator.next();
      leases.removeIf(lease -> !now.isBefore(lease.until));
      if (leases.isEmpty()) {
        iterator.remove();
      }
    }
    if (currentView == null || nextRoundAt != null && now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a suspension of this process one round is run, and not each that was missed.
    nextRoundAt = now.plus(options.round());
    pending
        .values()
        .removeIf(
            request -> now.since(request.requestedAt).compareTo(context.maxLeaseDuration()) >= 0);
    exhaustedUntil.values().removeIf(until -> !now.isBefore(until));
    return createRequests(now);
  }

  private void applyView(View view, Timestamp now) {
    boolean isSuccessor =
        view != null
            && currentView != null
            && view.id().lineage() == currentView.id().lineage()
            && view.id().number() == currentView.id().number() + 1;
    if (isSuccessor) {
      previousViews.add(new PreviousView(equalShare, now.plus(context.maxLeaseDuration())));
    } else {
      // A new or restarted member, or one that missed a view, does not know how much others use.
      previousViews.clear();
      unknownUntil = now.plus(context.maxLeaseDuration());
    }
    currentView = view;
    equalShare = view == null ? 0 : options.sharedAmount() / view.members().size();
    if (view != null) {
      exhaustedUntil.keySet().removeIf(name -> view.memberNamed(name) == null);
    }
  }

  /**
   * The amount that a member should have, such that all known demand is met in the same proportion;
   * the equal share if the demand of the member is not known.
   */
  private double targetAmount(Double memberDemand, double knownCount, double sum) {
    if (memberDemand == null || sum <= 0) {
      return equalShare;
    }
    return options.minRetainedRatio() * equalShare
        + (1 - options.minRetainedRatio()) * equalShare * knownCount * memberDemand / sum;
  }

  /**
   * The known demand of the members of the view.
   *
   * @param byMember the demand of each other member of which it is known
   * @param knownCount the number of members of known demand, including this process
   * @param sum the sum of their demand, including that of this process
   */
  private record DemandSummary(Map<Member, Double> byMember, double knownCount, double sum) {}

  private DemandSummary knownDemand() {
    Map<Member, Double> byMember = new HashMap<>();
    double sum = demand;
    for (Member member : currentView.members()) {
      Double memberDemand =
          member.name().equals(context.self().name()) ? null : context.demand(member.name());
      if (memberDemand != null) {
        byMember.put(member, memberDemand);
        sum += memberDemand;
      }
    }
    return new DemandSummary(byMember, byMember.size() + 1, sum);
  }

  /**
   * Decides how much to borrow from each member, and returns the requests for it. The total of a
   * member is what it already lends, as far as that is still needed, what pending requests will
   * add, and what new requests ask for. The requests that gain the most come first: many small ones
   * would otherwise use up the limit of a round.
   */
  private List<OutgoingMessage> createRequests(Timestamp now) {
    DemandSummary known = knownDemand();
    double missing = targetAmount(demand, known.knownCount, known.sum) - unlentAmount(now);
    Map<Member, Double> totals = new HashMap<>();
    TimeSpan renewAt = context.maxLeaseDuration().times(RENEW_AT_REMAINING_RATIO);
    for (BorrowedLease lease : borrowed.values()) {
      double needed = Math.max(0, Math.min(missing, lease.amount));
      missing -= needed;
      totals.put(lease.lender, needed);
    }
    for (PendingRequest request : pending.values()) {
      Member from = request.lender;
      double more = Math.max(0, Math.min(missing, request.amount - totals.getOrDefault(from, 0.0)));
      if (isReplyExpected(request, now) && currentView.contains(from.name(), from.incarnation())) {
        missing -= more;
        totals.merge(from, more, Double::sum);
      }
    }
    if (missing >= Math.max(1, equalShare * MIN_REQUEST_RATIO)) {
      Map<Member, Double> spare = new HashMap<>();
      known.byMember.forEach(
          (member, memberDemand) -> {
            double target = targetAmount(memberDemand, known.knownCount, known.sum);
            double left = equalShare - target - totals.getOrDefault(member, 0.0);
            if (left >= 1 && !exhaustedUntil.containsKey(member.name()) && !isAsked(member, now)) {
              spare.put(member, left);
            }
          });
      for (int n = 0; n < options.maxRequestsPerRound() && missing >= 1 && !spare.isEmpty(); n++) {
        Member lender = sampleLender(spare);
        double more = Math.min(missing, spare.remove(lender));
        missing -= more;
        totals.merge(lender, more, Double::sum);
      }
    }
    Map<Member, Double> gains = new HashMap<>();
    totals.forEach(
        (lender, total) -> {
          BorrowedLease lease = borrowed.get(lender.name());
          boolean lasts =
              lease != null
                  && lease.lender.equals(lender)
                  && lease.until.since(now).compareTo(renewAt) >= 0;
          double gain = lasts ? total - lease.amount : total;
          if (gain >= Math.max(1, equalShare * MIN_REQUEST_RATIO) && !isAsked(lender, now)) {
            gains.put(lender, gain);
          }
        });
    return gains.entrySet().stream()
        .sorted(
            Map.Entry.<Member, Double>comparingByValue()
                .reversed()
                .thenComparing(e -> e.getKey().name()))
        .limit(
            Math.max(
                0, Math.min(options.maxRequestsPerRound(), MAX_PENDING_REQUESTS - pending.size())))
        .map(e -> request(e.getKey(), (long) Math.ceil(totals.get(e.getKey())), now))
        .toList();
  }

  /**
   * Whether a reply to this request is still expected. A later reply is accepted as well, but the
   * lender may be asked again.
   */
  private boolean isReplyExpected(PendingRequest request, Timestamp now) {
    return now.since(request.requestedAt).compareTo(options.round().times(1.5)) < 0;
  }

  /** Whether a reply of this member to any request is still expected. */
  private boolean isAsked(Member lender, Timestamp now) {
    return pending.values().stream()
        .anyMatch(request -> request.lender.equals(lender) && isReplyExpected(request, now));
  }

  /**
   * Samples a lender with a probability proportional to its spare amount, so that not all members
   * ask the same one.
   */
  private Member sampleLender(Map<Member, Double> spare) {
    List<Member> members = new ArrayList<>(spare.keySet());
    members.sort(Comparator.comparing(Member::name));
    double remaining =
        random.nextDouble() * spare.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Member member : members) {
      remaining -= spare.get(member);
      if (remaining < 0) {
        return member;
      }
    }
    return members.get(members.size() - 1);
  }

  private OutgoingMessage request(Member lender, long amount, Timestamp now) {
    long id = random.nextLong();
    pending.put(id, new PendingRequest(lender, amount, now));
    return new OutgoingMessage(
        lender.peerAddress(), new LeaseRequest(context.messageHeader(), id, amount));
  }

  /** Handles an authenticated message of a member, and returns the replies to send. */
  public List<OutgoingMessage> receive(CapacityLeaseMessage message, Timestamp now) {
    updateView(now);
    Member from = message.from().member();
    if (currentView == null
        || !currentView.contains(from.name(), from.incarnation())
        || from.name().equals(context.self().name())) {
      return List.of();
    }
    if (message instanceof LeaseRequest leaseRequest) {
      return List.of(lend(from, leaseRequest, now));
    }
    LeaseGrant grant = (LeaseGrant) message;
    PendingRequest request = pending.get(grant.id());
    if (request == null
        || !request.lender.equals(from)
        || grant.amount() < 0
        || grant.amount() > options.totalCapacity()
        || grant.durationUs() < 0
        || grant.durationUs() > context.maxLeaseDuration().us()) {
      return List.of();
    }
    pending.remove(grant.id());
    Timestamp until = request.requestedAt.plus(new TimeSpan(grant.durationUs()));
    BorrowedLease previous = borrowed.get(from.name());
    if (grant.amount() < request.amount) {
      exhaustedUntil.put(
          from.name(), now.plus(options.round().times(EXHAUSTED_LENDER_BACKOFF_ROUNDS)));
    }
    if (grant.amount() > 0
        && now.isBefore(until)
        && (previous == null || !previous.lender.equals(from) || previous.until.isBefore(until))) {
      // Replaces the earlier lease, as the lender reserves only the larger of the two.
      borrowed.put(from.name(), new BorrowedLease(from, grant.amount(), until));
    }
    return List.of();
  }

  /** Applies a change of view, but runs no round. */
  private void updateView(Timestamp now) {
    if (context.view() != currentView) {
      applyView(context.view(), now);
    }
  }

  private OutgoingMessage lend(Member borrower, LeaseRequest request, Timestamp now) {
    DemandSummary known = knownDemand();
    long lentToOthers = 0;
    for (Map.Entry<Member, List<LentLease>> e : lent.entrySet()) {
      lentToOthers += e.getKey().equals(borrower) ? 0 : reservedAmount(e.getValue(), now);
    }
    long lentBefore = lent.containsKey(borrower) ? reservedAmount(lent.get(borrower), now) : 0;
    double spare =
        equalShare(now)
            - lentToOthers
            - Math.ceil(targetAmount(demand, known.knownCount, known.sum));
    // The capacity lease ends before the lease on the view under which it is granted, by
    // every member's clock.
    TimeSpan duration =
        hasLease(now)
            ? context.leaseUntil().since(now).times(1 / (1 + 2 * context.maxClockRateRatio()))
            : TimeSpan.ZERO;
    long amount =
        duration.isPositive()
            ? Math.max(0, Math.min(request.amount(), (long) Math.floor(spare)))
            : 0;
    // The sum of all reserved amounts must not exceed the equal share.
    if (amount > 0 && lentToOthers + Math.max(lentBefore, amount) <= equalShare(now)) {
      lent.computeIfAbsent(borrower, m -> new ArrayList<>())
          .add(
              new LentLease(amount, now.plus(duration.times(1 + 2 * context.maxClockRateRatio()))));
    } else {
      amount = 0;
    }
    return new OutgoingMessage(
        borrower.peerAddress(),
        new LeaseGrant(
            context.messageHeader(), request.id(), amount, amount == 0 ? 0 : duration.us()));
  }
}
