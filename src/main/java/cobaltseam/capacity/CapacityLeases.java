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
 * Which part of a whole this process may use, such that the parts of all never come to more than
 * the whole, whatever part of them is cut off, stands still, is killed or starts anew. It does no
 * I/O: moments, chance and messages come from the caller, who asks {@link #follow} no later than
 * {@link #nextFollowAt}, and reads {@link #usable} before each use.
 *
 * <p>A small part is each process's own whatever it knows. The rest is divided evenly over the
 * members of the view, and used only under a lease on that view. A new view makes parts larger, or
 * gives a newcomer one, only once all leases on those before have ended; it makes them smaller at
 * once. Of its even part a member lends what others need more: what is lent is gone here until the
 * loan ends, and a loan ends before the lease under which it was given. So whoever forgets holds
 * nothing, and what was lent to one that is lost comes back by itself.
 *
 * <p>Who needs more: parts follow demand, as far as it is known; of whom it is not known keeps an
 * even part.
 */
public final class CapacityLeases {
  /** What this hangs on: the agreed view, and whether it may be acted on. */
  public interface LeaseContext {
    /** The view that is held, or null. */
    View view();

    Member self();

    MessageHeader teller();

    /** Until when a majority's word counts that the view is the newest; null if it does not. */
    Timestamp leaseUntil();

    /** After so long all leases on earlier views have ended, by any clock. */
    TimeSpan outlasts();

    /** By which part the rates of two clocks differ at most. */
    double clockRates();

    /**
     * What a member said that it needs, or null if that is not known; of this process itself it is
     * not asked.
     */
    Double demand(MemberName of);
  }

  /** A datagram to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, CapacityLeaseMessage word) {}

  /** Up to this moment so much may be used; an end that is null never comes. */
  public record CapacityStep(Timestamp until, long amount) {}

  /** So many asks wait for their answer at the most. */
  private static final int MAX_PENDING_REQUESTS = 64;

  /** A loan is asked for again once less than this part of a lease is left of it. */
  private static final double RENEW_AT_REMAINING_RATIO = 0.4;

  /** What is missing is asked for from this part of an even part on. */
  private static final double MIN_REQUEST_RATIO = 0.02;

  /** Whoever lent less than it was asked for is asked for no more for so many rounds. */
  private static final int EXHAUSTED_LENDER_BACKOFF_ROUNDS = 4;

  private record PreviousView(long evenPart, Timestamp until) {}

  private record LentLease(long amount, Timestamp until) {}

  private record BorrowedLease(Member lender, long amount, Timestamp until) {}

  private record PendingRequest(Member lender, long amount, Timestamp requestedAt) {}

  private final CapacityOptions options;
  private final LeaseContext context;
  private final RandomGenerator random;
  private View currentView;
  private long evenPart;

  /** Even parts of views before, which others may use yet. */
  private final List<PreviousView> previousViews = new ArrayList<>();

  /** Until then what others use is not known here, and nothing is held of the view. */
  private Timestamp unknownUntil;

  private final Map<Member, List<LentLease>> lent = new HashMap<>();
  private final Map<MemberName, BorrowedLease> borrowed = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<MemberName, Timestamp> exhaustedUntil = new HashMap<>();
  private double demand;
  private Timestamp nextRoundAt;

  public CapacityLeases(CapacityOptions options, LeaseContext context, RandomGenerator random) {
    this.options = options;
    this.context = context;
    this.random = random;
  }

  // ---- what is asked

  /** What this process needs, in any measure that all members use. */
  public void needs(double demand) {
    this.demand = Math.max(0, demand);
  }

  /** What may be used at this moment. */
  public long usable(Timestamp now) {
    long all = options.alonePart() + (hasLease(now) ? ownPart(now) : 0);
    for (BorrowedLease in : borrowed.values()) {
      all += now.isBefore(in.until) ? in.amount : 0;
    }
    return all;
  }

  /**
   * What may be used from now on if nothing more is heard, in steps down: for a reader that must
   * not ask this process's thread.
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
          options.alonePart() + (hasLease(now) && !context.leaseUntil().isBefore(end) ? own : 0);
      for (BorrowedLease in : borrowed.values()) {
        all += !in.until.isBefore(end) ? in.amount : 0;
      }
      steps.add(new CapacityStep(end, all));
    }
    steps.add(new CapacityStep(null, options.alonePart()));
    return steps;
  }

  /** The even part of the view that this process may divide between itself and others. */
  public long evenPart(Timestamp now) {
    if (currentView == null || unknownUntil != null && now.isBefore(unknownUntil)) {
      return 0;
    }
    long least = evenPart;
    for (PreviousView e : previousViews) {
      least = now.isBefore(e.until) ? Math.min(least, e.evenPart) : least;
    }
    return least;
  }

  /** What is lent out. */
  public long lentAmount(Timestamp now) {
    return lent.values().stream().mapToLong(outs -> reservedAmount(outs, now)).sum();
  }

  /** What is borrowed. */
  public long borrowedAmount(Timestamp now) {
    return borrowed.values().stream()
        .filter(in -> now.isBefore(in.until))
        .mapToLong(BorrowedLease::amount)
        .sum();
  }

  /** When {@link #follow} is to be asked again. */
  public Timestamp nextFollowAt(Timestamp now) {
    return nextRoundAt == null || !now.isBefore(nextRoundAt)
        ? now.plus(options.round())
        : nextRoundAt;
  }

  private boolean hasLease(Timestamp now) {
    return context.leaseUntil() != null && now.isBefore(context.leaseUntil());
  }

  private long ownPart(Timestamp now) {
    return Math.max(0, evenPart(now) - lentAmount(now));
  }

  /** The borrower uses one of these at a time, and never two. */
  private static long reservedAmount(List<LentLease> outs, Timestamp now) {
    return outs.stream()
        .filter(o -> now.isBefore(o.until))
        .mapToLong(LentLease::amount)
        .max()
        .orElse(0);
  }

  // ---- what follows

  /** What follows from the view, from time and from what is needed. */
  public List<OutgoingMessage> follow(Timestamp now) {
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
    pending.values().removeIf(o -> now.since(o.requestedAt).compareTo(context.outlasts()) >= 0);
    exhaustedUntil.values().removeIf(until -> !now.isBefore(until));
    return asks(now);
  }

  private void followView(View view, Timestamp now) {
    boolean follows =
        view != null
            && currentView != null
            && view.id().lineage() == currentView.id().lineage()
            && view.id().number() == currentView.id().number() + 1;
    if (follows) {
      previousViews.add(new PreviousView(evenPart, now.plus(context.outlasts())));
    } else {
      // A newcomer, one that started anew, or one that missed a view: what others use is not known
      // here.
      previousViews.clear();
      unknownUntil = now.plus(context.outlasts());
    }
    currentView = view;
    evenPart = view == null ? 0 : options.dividedAmount() / view.members().size();
    if (view != null) {
      exhaustedUntil.keySet().removeIf(n -> view.of(n) == null);
    }
  }

  /**
   * The part that a member should have, where all that is known of demand is met alike; the even
   * part where it is not known.
   */
  private double target(Double needs, double known, double sum) {
    if (needs == null || sum <= 0) {
      return evenPart;
    }
    return options.floor() * evenPart + (1 - options.floor()) * evenPart * known * needs / sum;
  }

  /**
   * What is known of needs: of those of the view, how many they are with this process, and their
   * sum.
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

  private List<OutgoingMessage> asks(Timestamp now) {
    DemandSummary needs = needs();
    // Of whom how much is to be lent in all: as before, as far as that is needed yet, and as what
    // is on its way says.
    double missing = target(demand, needs.knownCount, needs.sum) - ownPart(now);
    Map<Member, Double> wanted = new HashMap<>();
    TimeSpan soon = context.outlasts().times(RENEW_AT_REMAINING_RATIO);
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
    if (missing >= Math.max(1, evenPart * MIN_REQUEST_RATIO)) {
      Map<Member, Double> spare = new HashMap<>();
      needs.byMember.forEach(
          (m, need) -> {
            double left =
                evenPart - target(need, needs.knownCount, needs.sum) - wanted.getOrDefault(m, 0.0);
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
    // What brings most goes first: crumbs of many lenders would else take all asks of a round.
    Map<Member, Double> brings = new HashMap<>();
    wanted.forEach(
        (m, amount) -> {
          BorrowedLease in = borrowed.get(m.name());
          boolean lasts =
              in != null && in.lender.equals(m) && in.until.since(now).compareTo(soon) >= 0;
          double more = lasts ? amount - in.amount : amount;
          if (more >= Math.max(1, evenPart * MIN_REQUEST_RATIO) && !isAsked(m, now)) {
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

  /**
   * An answer is not given up before its message is too late to count, but after two rounds it is
   * asked again.
   */
  private boolean isWaitedFor(PendingRequest request, Timestamp now) {
    return now.since(request.requestedAt).compareTo(options.round().times(1.5)) < 0;
  }

  private boolean isAsked(Member of, Timestamp now) {
    return pending.values().stream().anyMatch(o -> o.lender.equals(of) && isWaitedFor(o, now));
  }

  /** By chance, each by what it seems to have left, so that not all ask the same one. */
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
    return new OutgoingMessage(of.peerAddress(), new LeaseRequest(context.teller(), id, amount));
  }

  // ---- what comes

  /** What to tell after a word that its carrier found whole, of one that counts. */
  public List<OutgoingMessage> heard(CapacityLeaseMessage message, Timestamp now) {
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
        || grant.amount() > options.whole()
        || grant.durationUs() < 0
        || grant.durationUs() > context.outlasts().us()) {
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
      // In place of what it lent before: it holds only the larger one back for this process.
      borrowed.put(from.name(), new BorrowedLease(from, grant.amount(), until));
    }
    return List.of();
  }

  /** Brings the view up to now without asking for anything. */
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
    double free = evenPart(now) - others - Math.ceil(target(demand, needs.knownCount, needs.sum));
    // The loan ends before the lease under which it is given, by whichever clock.
    TimeSpan lasts =
        hasLease(now)
            ? context.leaseUntil().since(now).times(1 / (1 + 2 * context.clockRates()))
            : TimeSpan.ZERO;
    long amount =
        lasts.isPositive() ? Math.max(0, Math.min(asked.amount(), (long) Math.floor(free))) : 0;
    // What it holds back for this one already is no more than its even part.
    if (amount > 0 && others + Math.max(before, amount) <= evenPart(now)) {
      lent.computeIfAbsent(to, m -> new ArrayList<>())
          .add(new LentLease(amount, now.plus(lasts.times(1 + 2 * context.clockRates()))));
    } else {
      amount = 0;
    }
    return new OutgoingMessage(
        to.peerAddress(),
        new LeaseGrant(context.teller(), asked.id(), amount, amount == 0 ? 0 : lasts.us()));
  }
}
