package cobaltseam.retrybudget;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import cobaltseam.retrybudget.RetryBudgetMessage.BudgetRequest;
import cobaltseam.retrybudget.RetryBudgetMessage.BudgetTransfer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What this process may yet spend on further sends, such that all sends over first sends stay under
 * a set figure over the whole fleet, whatever part of it is cut off, stands still, is killed or
 * starts anew. It does no I/O: moments, chance and messages come from the caller, who asks {@link
 * #follow} no later than {@link #nextFollowAt}.
 *
 * <p>Each first send earns a part of a further one, which may be spent for one window, here or at
 * the member that it was given to. What is given is gone here before it is told; what is lost on
 * the way is lost. So no view and no lease is needed: nothing is spent twice since nothing is in
 * two purses, and whoever forgets holds nothing. Beside it each process earns a small figure as
 * time passes.
 *
 * <p>Amounts are thousandths of a send. What is spent is taken from what is left by whoever sends,
 * without a wait; this only learns of it.
 */
public final class RetryBudget {
  /** What is left, shared with whoever sends: it takes from it, and nobody else does but this. */
  public interface RemainingRetries {
    long get();

    /**
     * Adds to it, or takes from it; false if by now it is not what was expected, and nothing is
     * done.
     */
    boolean compareAndSet(long expected, long to);
  }

  /** A datagram to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, RetryBudgetMessage message) {}

  public static final long UNITS_PER_RETRY = 1000;

  /** In how many cells what is left is kept, by when it ends: each is a part of a window. */
  public static final int MAX_GRANTS = 32;

  private static final int MAX_PENDING_REQUESTS = 8;

  /**
   * Needs are a mean that forgets by half in this part of a window, and what is held covers them
   * for so much of one.
   */
  private static final double NEED_HALF_LIFE_WINDOWS = 0.25;

  private static final double RESERVE_WINDOWS = 0.25;

  private static final class BudgetGrant {
    long amount;
    final Timestamp until;

    BudgetGrant(long amount, Timestamp until) {
      this.amount = amount;
      this.until = until;
    }
  }

  private record PendingRequest(Member member, Timestamp requestedAt) {}

  private final RetryBudgetOptions options;
  private final RemainingRetries remaining;
  private final RandomGenerator random;

  /**
   * By when they end, soonest first; their sum is what is left and what was spent since it was
   * looked at.
   */
  private final List<BudgetGrant> grants = new ArrayList<>();

  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private Timestamp updatedAt, nextExchangeAt;
  private long firstAttempts, wantedRetries;
  private double earnedFraction;

  /** Further sends a second that were wanted lately. */
  private double neededPerSecond;

  public RetryBudget(
      RetryBudgetOptions options, RemainingRetries remaining, RandomGenerator random) {
    this.options = options;
    this.remaining = remaining;
    this.random = random;
  }

  // ---- what is asked

  /** Further sends a second that were wanted lately. */
  public double neededPerSecond() {
    return neededPerSecond;
  }

  /** What others may ask for, in thousandths of a send. */
  public long spareUnits() {
    return Math.max(0, remaining.get() - reserveUnits());
  }

  private long reserveUnits() {
    return Math.round(
        neededPerSecond * options.window().us() / 1e6 * RESERVE_WINDOWS * UNITS_PER_RETRY);
  }

  /** Whether it is to be asked what follows. */
  public boolean isDue(Timestamp now) {
    return nextExchangeAt == null || !now.isBefore(nextExchangeAt);
  }

  public Timestamp nextFollowAt(Timestamp now) {
    return nextExchangeAt == null || !now.isBefore(nextExchangeAt)
        ? now.plus(options.exchangeInterval())
        : nextExchangeAt;
  }

  // ---- what follows

  /**
   * Brings what is left up to this moment, and asks for more where that does not cover what is
   * wanted.
   *
   * @param firstAttemptsSoFar first sends of this process so far
   * @param wantedRetriesSoFar further sends of it so far, and those that it would have made
   * @param spares what members said that others may ask them for
   */
  public List<OutgoingMessage> follow(
      long firstAttemptsSoFar,
      long wantedRetriesSoFar,
      Map<MemberName, Long> spares,
      View view,
      MessageHeader self,
      Timestamp now) {
    if (updatedAt == null) {
      updatedAt = now;
      firstAttempts = firstAttemptsSoFar;
      wantedRetries = wantedRetriesSoFar;
    }
    TimeSpan since = now.since(updatedAt);
    if (since.isPositive()) {
      settle(now);
      earn(firstAttemptsSoFar - firstAttempts, since, now);
      double decay = Math.pow(0.5, since.over(options.window().times(NEED_HALF_LIFE_WINDOWS)));
      neededPerSecond =
          neededPerSecond * decay
              + (wantedRetriesSoFar - wantedRetries) * 1e6 / since.us() * (1 - decay);
      firstAttempts = firstAttemptsSoFar;
      wantedRetries = wantedRetriesSoFar;
      updatedAt = now;
    }
    if (nextExchangeAt != null && now.isBefore(nextExchangeAt)) {
      return List.of();
    }
    nextExchangeAt = now.plus(options.exchangeInterval());
    pending.values().removeIf(o -> now.since(o.requestedAt).compareTo(options.window()) >= 0);
    long missing = reserveUnits() - remaining.get();
    return missing < UNITS_PER_RETRY || view == null
        ? List.of()
        : requestUnits(missing, spares, view, self, now);
  }

  /** Takes from the cells what was spent since, and from what is left what has ended. */
  private void settle(Timestamp now) {
    while (true) {
      long current = remaining.get();
      long spent = grants.stream().mapToLong(c -> c.amount).sum() - current;
      // The sooner it ends the sooner it is taken to be spent: nothing lasts longer for it.
      for (BudgetGrant grant : grants) {
        long part = Math.min(spent, grant.amount);
        grant.amount -= part;
        spent -= part;
      }
      long expired =
          grants.stream().filter(c -> !now.isBefore(c.until)).mapToLong(c -> c.amount).sum();
      if (remaining.compareAndSet(current, current - expired)) {
        grants.removeIf(c -> c.amount == 0 || !now.isBefore(c.until));
        return;
      }
    }
  }

  /**
   * What was sent since the last look is taken to have been sent right after it: it may be spent
   * for no longer than a window.
   */
  private void earn(long newFirstAttempts, TimeSpan since, Timestamp now) {
    earnedFraction +=
        (newFirstAttempts * options.ratio()
                + options.standaloneRate() * Math.min(1, since.over(options.window())))
            * UNITS_PER_RETRY;
    long earnedUnits = (long) earnedFraction;
    earnedFraction -= earnedUnits;
    add(earnedUnits, updatedAt.plus(options.window()), now);
  }

  private void add(long amount, Timestamp until, Timestamp now) {
    if (amount <= 0 || !now.isBefore(until)) {
      return;
    }
    // Cells are few: one that ends a little sooner takes what is added.
    TimeSpan near = options.window().times(1.0 / (MAX_GRANTS / 2));
    BudgetGrant into = null;
    for (BudgetGrant grant : grants) {
      if (!until.isBefore(grant.until) && until.since(grant.until).compareTo(near) < 0) {
        into = grant;
      }
    }
    if (into == null) {
      if (grants.size() >= MAX_GRANTS) {
        return;
      }
      into = new BudgetGrant(0, until);
      grants.add(into);
      grants.sort(Comparator.comparing((BudgetGrant c) -> c.until));
    }
    into.amount += amount;
    long current = remaining.get();
    while (!remaining.compareAndSet(current, current + amount)) {
      current = remaining.get();
    }
  }

  private List<OutgoingMessage> requestUnits(
      long missing, Map<MemberName, Long> spares, View view, MessageHeader self, Timestamp now) {
    Member best = null;
    double most = 0;
    for (Member member : view.members()) {
      Long spare = spares.get(member.name());
      boolean other =
          !member.name().equals(self.member().name())
              && spare != null
              && spare >= UNITS_PER_RETRY
              && pending.values().stream().noneMatch(o -> o.member.equals(member));
      // By chance, each by what it seems to have left, so that not all ask the same one.
      double draw = other ? spare * random.nextDouble() : 0;
      if (draw > most) {
        best = member;
        most = draw;
      }
    }
    if (best == null || pending.size() >= MAX_PENDING_REQUESTS) {
      return List.of();
    }
    long id = random.nextLong();
    pending.put(id, new PendingRequest(best, now));
    return List.of(new OutgoingMessage(best.peerAddress(), new BudgetRequest(self, id, missing)));
  }

  // ---- what comes

  /** What to tell after a word that its carrier found whole, of one that counts. */
  public List<OutgoingMessage> receive(
      RetryBudgetMessage message, View view, MessageHeader self, Timestamp now) {
    Member from = message.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (message instanceof BudgetRequest request) {
      return List.of(new OutgoingMessage(from.peerAddress(), transferUnits(request, self, now)));
    }
    BudgetTransfer transfer = (BudgetTransfer) message;
    PendingRequest asked = pending.get(transfer.id());
    if (asked != null && asked.member.equals(from)) {
      pending.remove(transfer.id());
      settle(now);
      for (int i = 0; i < transfer.amounts().length; i++) {
        long lifetimeUs = Math.min(transfer.lifetimesUs()[i], options.window().us());
        if (transfer.amounts()[i] > 0
            && transfer.amounts()[i] < Integer.MAX_VALUE * UNITS_PER_RETRY
            && lifetimeUs > 0) {
          add(transfer.amounts()[i], asked.requestedAt.plus(new TimeSpan(lifetimeUs)), now);
        }
      }
    }
    return List.of();
  }

  /**
   * Half of what it can do without at the most, so that two that need it both get some; what lasts
   * longest, as that is of use there.
   */
  private BudgetTransfer transferUnits(BudgetRequest request, MessageHeader self, Timestamp now) {
    settle(now);
    List<Long> amounts = new ArrayList<>();
    List<Long> lifetimesUs = new ArrayList<>();
    long allowed = Math.min(Math.max(0, request.amount()), spareUnits() / 2);
    for (int i = grants.size() - 1; i >= 0 && allowed > 0; i--) {
      BudgetGrant grant = grants.get(i);
      // By a clock that runs slower it ends no later there.
      long lifetimeUs =
          Math.round(grant.until.since(now).us() * (1 - 2 * options.maxClockRateRatio()));
      long part = lifetimeUs <= 0 ? 0 : Math.min(allowed, grant.amount);
      long current = remaining.get();
      if (part > 0 && current >= part && remaining.compareAndSet(current, current - part)) {
        // Gone from here before it is told; what was spent meanwhile is seen at the next look.
        grant.amount -= part;
        allowed -= part;
        amounts.add(part);
        lifetimesUs.add(lifetimeUs);
      }
    }
    return new BudgetTransfer(
        self,
        request.id(),
        amounts.stream().mapToLong(Long::longValue).toArray(),
        lifetimesUs.stream().mapToLong(Long::longValue).toArray());
  }
}
