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
 * {@link #wake}, and reads {@link #usable} before each use.
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
  private static final int MOST_OPEN = 64;

  /** A loan is asked for again once less than this part of a lease is left of it. */
  private static final double RENEW_AT = 0.4;

  /** What is missing is asked for from this part of an even part on. */
  private static final double NOTABLE = 0.02;

  /** Whoever lent less than it was asked for is asked for no more for so many rounds. */
  private static final int SPARES = 4;

  private record PreviousView(long base, Timestamp until) {}

  private record LentLease(long amount, Timestamp until) {}

  private record BorrowedLease(Member of, long amount, Timestamp until) {}

  private record PendingRequest(Member of, long amount, Timestamp at) {}

  private final CapacityOptions terms;
  private final LeaseContext ground;
  private final RandomGenerator chance;
  private View held;
  private long base;

  /** Even parts of views before, which others may use yet. */
  private final List<PreviousView> earlier = new ArrayList<>();

  /** Until then what others use is not known here, and nothing is held of the view. */
  private Timestamp freshUntil;

  private final Map<Member, List<LentLease>> lent = new HashMap<>();
  private final Map<MemberName, BorrowedLease> borrowed = new TreeMap<>();
  private final Map<Long, PendingRequest> open = new HashMap<>();
  private final Map<MemberName, Timestamp> dry = new HashMap<>();
  private double demand;
  private Timestamp next;

  public CapacityLeases(CapacityOptions terms, LeaseContext ground, RandomGenerator chance) {
    this.terms = terms;
    this.ground = ground;
    this.chance = chance;
  }

  // ---- what is asked

  /** What this process needs, in any measure that all members use. */
  public void needs(double demand) {
    this.demand = Math.max(0, demand);
  }

  /** What may be used at this moment. */
  public long usable(Timestamp now) {
    long all = terms.alonePart() + (leased(now) ? own(now) : 0);
    for (BorrowedLease in : borrowed.values()) {
      all += now.isBefore(in.until) ? in.amount : 0;
    }
    return all;
  }

  /**
   * What may be used from now on if nothing more is heard, in steps down: for a reader that must
   * not ask this process's thread.
   */
  public List<CapacityStep> steps(Timestamp now) {
    List<Timestamp> ends = new ArrayList<>();
    if (leased(now)) {
      ends.add(ground.leaseUntil());
    }
    borrowed.values().stream()
        .filter(in -> now.isBefore(in.until))
        .forEach(in -> ends.add(in.until));
    ends.sort(Comparator.naturalOrder());
    List<CapacityStep> steps = new ArrayList<>();
    long own = own(now);
    for (int i = 0; i < ends.size(); i++) {
      Timestamp end = ends.get(i);
      if (i > 0 && end.equals(ends.get(i - 1))) {
        continue;
      }
      long all = terms.alonePart() + (leased(now) && !ground.leaseUntil().isBefore(end) ? own : 0);
      for (BorrowedLease in : borrowed.values()) {
        all += !in.until.isBefore(end) ? in.amount : 0;
      }
      steps.add(new CapacityStep(end, all));
    }
    steps.add(new CapacityStep(null, terms.alonePart()));
    return steps;
  }

  /** The even part of the view that this process may divide between itself and others. */
  public long even(Timestamp now) {
    if (held == null || freshUntil != null && now.isBefore(freshUntil)) {
      return 0;
    }
    long least = base;
    for (PreviousView e : earlier) {
      least = now.isBefore(e.until) ? Math.min(least, e.base) : least;
    }
    return least;
  }

  /** What is lent out. */
  public long lentOut(Timestamp now) {
    return lent.values().stream().mapToLong(outs -> reserved(outs, now)).sum();
  }

  /** What is borrowed. */
  public long borrowed(Timestamp now) {
    return borrowed.values().stream()
        .filter(in -> now.isBefore(in.until))
        .mapToLong(BorrowedLease::amount)
        .sum();
  }

  /** When {@link #follow} is to be asked again. */
  public Timestamp wake(Timestamp now) {
    return next == null || !now.isBefore(next) ? now.plus(terms.round()) : next;
  }

  private boolean leased(Timestamp now) {
    return ground.leaseUntil() != null && now.isBefore(ground.leaseUntil());
  }

  private long own(Timestamp now) {
    return Math.max(0, even(now) - lentOut(now));
  }

  /** The borrower uses one of these at a time, and never two. */
  private static long reserved(List<LentLease> outs, Timestamp now) {
    return outs.stream()
        .filter(o -> now.isBefore(o.until))
        .mapToLong(LentLease::amount)
        .max()
        .orElse(0);
  }

  // ---- what follows

  /** What follows from the view, from time and from what is needed. */
  public List<OutgoingMessage> follow(Timestamp now) {
    View view = ground.view();
    if (view != held) {
      viewed(view, now);
    }
    earlier.removeIf(e -> !now.isBefore(e.until));
    borrowed.values().removeIf(in -> !now.isBefore(in.until));
    for (Iterator<List<LentLease>> each = lent.values().iterator(); each.hasNext(); ) {
      List<LentLease> outs = each.next();
      outs.removeIf(o -> !now.isBefore(o.until));
      if (outs.isEmpty()) {
        each.remove();
      }
    }
    if (held == null || next != null && now.isBefore(next)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    next = now.plus(terms.round());
    open.values().removeIf(o -> now.since(o.at).compareTo(ground.outlasts()) >= 0);
    dry.values().removeIf(until -> !now.isBefore(until));
    return asks(now);
  }

  private void viewed(View view, Timestamp now) {
    boolean follows =
        view != null
            && held != null
            && view.id().lineage() == held.id().lineage()
            && view.id().number() == held.id().number() + 1;
    if (follows) {
      earlier.add(new PreviousView(base, now.plus(ground.outlasts())));
    } else {
      // A newcomer, one that started anew, or one that missed a view: what others use is not known
      // here.
      earlier.clear();
      freshUntil = now.plus(ground.outlasts());
    }
    held = view;
    base = view == null ? 0 : terms.settled() / view.members().size();
    if (view != null) {
      dry.keySet().removeIf(n -> view.of(n) == null);
    }
  }

  /**
   * The part that a member should have, where all that is known of demand is met alike; the even
   * part where it is not known.
   */
  private double target(Double needs, double known, double sum) {
    if (needs == null || sum <= 0) {
      return base;
    }
    return terms.floor() * base + (1 - terms.floor()) * base * known * needs / sum;
  }

  /**
   * What is known of needs: of those of the view, how many they are with this process, and their
   * sum.
   */
  private record DemandSummary(Map<Member, Double> of, double known, double sum) {}

  private DemandSummary needs() {
    Map<Member, Double> of = new HashMap<>();
    double sum = demand;
    for (Member m : held.members()) {
      Double needs = m.name().equals(ground.self().name()) ? null : ground.demand(m.name());
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
    double missing = target(demand, needs.known, needs.sum) - own(now);
    Map<Member, Double> wanted = new HashMap<>();
    TimeSpan soon = ground.outlasts().times(RENEW_AT);
    for (BorrowedLease in : borrowed.values()) {
      double keeps = Math.max(0, Math.min(missing, in.amount));
      missing -= keeps;
      wanted.put(in.of, keeps);
    }
    for (PendingRequest o : open.values()) {
      double more = Math.max(0, Math.min(missing, o.amount - wanted.getOrDefault(o.of, 0.0)));
      if (isWaitedFor(o, now) && held.contains(o.of.name(), o.of.incarnation())) {
        missing -= more;
        wanted.merge(o.of, more, Double::sum);
      }
    }
    if (missing >= Math.max(1, base * NOTABLE)) {
      Map<Member, Double> spare = new HashMap<>();
      needs.of.forEach(
          (m, need) -> {
            double left = base - target(need, needs.known, needs.sum) - wanted.getOrDefault(m, 0.0);
            if (left >= 1 && !dry.containsKey(m.name()) && !isAsked(m, now)) {
              spare.put(m, left);
            }
          });
      for (int n = 0; n < terms.asks() && missing >= 1 && !spare.isEmpty(); n++) {
        Member of = drawn(spare);
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
          boolean lasts = in != null && in.of.equals(m) && in.until.since(now).compareTo(soon) >= 0;
          double more = lasts ? amount - in.amount : amount;
          if (more >= Math.max(1, base * NOTABLE) && !isAsked(m, now)) {
            brings.put(m, more);
          }
        });
    return brings.entrySet().stream()
        .sorted(
            Map.Entry.<Member, Double>comparingByValue()
                .reversed()
                .thenComparing(e -> e.getKey().name()))
        .limit(Math.max(0, Math.min(terms.asks(), MOST_OPEN - open.size())))
        .map(e -> ask(e.getKey(), (long) Math.ceil(wanted.get(e.getKey())), now))
        .toList();
  }

  /**
   * An answer is not given up before its message is too late to count, but after two rounds it is
   * asked again.
   */
  private boolean isWaitedFor(PendingRequest o, Timestamp now) {
    return now.since(o.at).compareTo(terms.round().times(1.5)) < 0;
  }

  private boolean isAsked(Member of, Timestamp now) {
    return open.values().stream().anyMatch(o -> o.of.equals(of) && isWaitedFor(o, now));
  }

  /** By chance, each by what it seems to have left, so that not all ask the same one. */
  private Member drawn(Map<Member, Double> spare) {
    List<Member> members = new ArrayList<>(spare.keySet());
    members.sort(Comparator.comparing(Member::name));
    double at =
        chance.nextDouble() * spare.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Member m : members) {
      at -= spare.get(m);
      if (at < 0) {
        return m;
      }
    }
    return members.get(members.size() - 1);
  }

  private OutgoingMessage ask(Member of, long amount, Timestamp now) {
    long id = chance.nextLong();
    open.put(id, new PendingRequest(of, amount, now));
    return new OutgoingMessage(of.peerAddress(), new LeaseRequest(ground.teller(), id, amount));
  }

  // ---- what comes

  /** What to tell after a word that its carrier found whole, of one that counts. */
  public List<OutgoingMessage> heard(CapacityLeaseMessage word, Timestamp now) {
    follow0(now);
    Member from = word.from().member();
    if (held == null
        || !held.contains(from.name(), from.incarnation())
        || from.name().equals(ground.self().name())) {
      return List.of();
    }
    if (word instanceof LeaseRequest b) {
      return List.of(lend(from, b, now));
    }
    LeaseGrant l = (LeaseGrant) word;
    PendingRequest asked = open.get(l.id());
    if (asked == null
        || !asked.of.equals(from)
        || l.amount() < 0
        || l.amount() > terms.whole()
        || l.durationUs() < 0
        || l.durationUs() > ground.outlasts().us()) {
      return List.of();
    }
    open.remove(l.id());
    Timestamp until = asked.at.plus(new TimeSpan(l.durationUs()));
    BorrowedLease before = borrowed.get(from.name());
    if (l.amount() < asked.amount) {
      dry.put(from.name(), now.plus(terms.round().times(SPARES)));
    }
    if (l.amount() > 0
        && now.isBefore(until)
        && (before == null || !before.of.equals(from) || before.until.isBefore(until))) {
      // In place of what it lent before: it holds only the larger one back for this process.
      borrowed.put(from.name(), new BorrowedLease(from, l.amount(), until));
    }
    return List.of();
  }

  /** Brings the view up to now without asking for anything. */
  private void follow0(Timestamp now) {
    if (ground.view() != held) {
      viewed(ground.view(), now);
    }
  }

  private OutgoingMessage lend(Member to, LeaseRequest asked, Timestamp now) {
    DemandSummary needs = needs();
    long others = 0;
    for (Map.Entry<Member, List<LentLease>> e : lent.entrySet()) {
      others += e.getKey().equals(to) ? 0 : reserved(e.getValue(), now);
    }
    long before = lent.containsKey(to) ? reserved(lent.get(to), now) : 0;
    double free = even(now) - others - Math.ceil(target(demand, needs.known, needs.sum));
    // The loan ends before the lease under which it is given, by whichever clock.
    TimeSpan lasts =
        leased(now)
            ? ground.leaseUntil().since(now).times(1 / (1 + 2 * ground.clockRates()))
            : TimeSpan.ZERO;
    long amount =
        lasts.isPositive() ? Math.max(0, Math.min(asked.amount(), (long) Math.floor(free))) : 0;
    // What it holds back for this one already is no more than its even part.
    if (amount > 0 && others + Math.max(before, amount) <= even(now)) {
      lent.computeIfAbsent(to, m -> new ArrayList<>())
          .add(new LentLease(amount, now.plus(lasts.times(1 + 2 * ground.clockRates()))));
    } else {
      amount = 0;
    }
    return new OutgoingMessage(
        to.peerAddress(),
        new LeaseGrant(ground.teller(), asked.id(), amount, amount == 0 ? 0 : lasts.us()));
  }
}
