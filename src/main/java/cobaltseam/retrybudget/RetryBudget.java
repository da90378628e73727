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
 * Determines how many retries this process may make, such that the ratio of retries to first
 * attempts stays below a set limit over the whole fleet, whichever members are partitioned,
 * suspended, killed or restarted. It does no I/O: time, randomness and messages come from the
 * caller, who calls {@link #update} no later than {@link #nextUpdateAt}.
 *
 * <p>Each first attempt earns a fraction of a retry, which may be spent within one window, here or
 * at the member that it was transferred to. A transfer is taken from the budget here before it is
 * sent, and is lost if its message is lost. So the limit needs neither a lease nor an agreed view:
 * no amount is in two budgets at once, and a process that loses its state loses its budget. In
 * addition each process earns a small amount as time passes.
 *
 * <p>Amounts are thousandths of a retry. The event loop takes retries from the remaining ones
 * directly, without waiting for this class, which accounts for them at its next update.
 */
public final class RetryBudget {
  /** The remaining retries, in thousandths; shared with the event loop, which spends them. */
  public interface RemainingRetries {
    /** The remaining retries, in thousandths. */
    long get();

    /**
     * Sets the remaining retries if they are as expected; otherwise changes nothing and returns
     * false.
     */
    boolean compareAndSet(long expected, long updated);
  }

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, RetryBudgetMessage message) {}

  /** One retry, in the units of all amounts. */
  public static final long UNITS_PER_RETRY = 1000;

  /** The largest number of grants that are kept separately by the time at which they end. */
  public static final int MAX_GRANTS = 32;

  private static final int MAX_PENDING_REQUESTS = 8;

  /** The half-life of the average need, in windows. */
  private static final double NEED_HALF_LIFE_WINDOWS = 0.25;

  /** The number of windows whose need is kept in reserve and not transferred. */
  private static final double RESERVE_WINDOWS = 0.25;

  /** An amount that may be spent until a time. */
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
   * Sorted by their end, soonest first. Their sum is that of the remaining retries and of those
   * spent since the last update.
   */
  private final List<BudgetGrant> grants = new ArrayList<>();

  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private Timestamp updatedAt;
  private Timestamp nextExchangeAt;
  private long firstAttempts;
  private long neededRetries;

  /** What was earned but is less than one unit. */
  private double earnedFraction;

  /** The decaying average of the retries per second that this process needs. */
  private double neededPerSecond;

  /**
   * @param remaining the remaining retries; only this object and the event loop change them
   */
  public RetryBudget(
      RetryBudgetOptions options, RemainingRetries remaining, RandomGenerator random) {
    this.options = options;
    this.remaining = remaining;
    this.random = random;
  }

  /**
   * The decaying average of the retries per second that this process needs: those that it makes and
   * those that it would make if the budget allowed them.
   */
  public double neededPerSecond() {
    return neededPerSecond;
  }

  /** The amount that other members may request, in thousandths of a retry. */
  public long spareUnits() {
    return Math.max(0, remaining.get() - reserveUnits());
  }

  private long reserveUnits() {
    return Math.round(
        neededPerSecond * options.window().us() / 1e6 * RESERVE_WINDOWS * UNITS_PER_RETRY);
  }

  /** Whether {@link #update} is due. */
  public boolean isDue(Timestamp now) {
    return nextExchangeAt == null || !now.isBefore(nextExchangeAt);
  }

  /** When {@link #update} is to be called next. */
  public Timestamp nextUpdateAt(Timestamp now) {
    return nextExchangeAt == null || !now.isBefore(nextExchangeAt)
        ? now.plus(options.exchangeInterval())
        : nextExchangeAt;
  }

  /**
   * Accounts for what was earned and spent since the last update. If an exchange is due and the
   * remaining retries do not cover the need, also requests more from another member.
   *
   * @param firstAttemptsSoFar the first attempts of this process so far
   * @param neededRetriesSoFar its retries so far, including those that the budget denied
   * @param spareUnits the amount that may be requested from each member, as far as it is known
   * @param view the installed view, or null
   * @return the requests to send
   */
  public List<OutgoingMessage> update(
      long firstAttemptsSoFar,
      long neededRetriesSoFar,
      Map<MemberName, Long> spareUnits,
      View view,
      MessageHeader self,
      Timestamp now) {
    if (updatedAt == null) {
      updatedAt = now;
      firstAttempts = firstAttemptsSoFar;
      neededRetries = neededRetriesSoFar;
    }
    TimeSpan elapsed = now.since(updatedAt);
    if (elapsed.isPositive()) {
      settle(now);
      earn(firstAttemptsSoFar - firstAttempts, elapsed, now);
      double decay =
          Math.pow(0.5, elapsed.dividedBy(options.window().times(NEED_HALF_LIFE_WINDOWS)));
      neededPerSecond =
          neededPerSecond * decay
              + (neededRetriesSoFar - neededRetries) * 1e6 / elapsed.us() * (1 - decay);
      firstAttempts = firstAttemptsSoFar;
      neededRetries = neededRetriesSoFar;
      updatedAt = now;
    }
    if (nextExchangeAt != null && now.isBefore(nextExchangeAt)) {
      return List.of();
    }
    nextExchangeAt = now.plus(options.exchangeInterval());
    pending
        .values()
        .removeIf(request -> now.since(request.requestedAt).compareTo(options.window()) >= 0);
    long missing = reserveUnits() - remaining.get();
    return missing < UNITS_PER_RETRY || view == null
        ? List.of()
        : requestUnits(missing, spareUnits, view, self, now);
  }

  /** Subtracts spent retries from the grants, and expired grants from the remaining retries. */
  private void settle(Timestamp now) {
    while (true) {
      long current = remaining.get();
      long spent = grants.stream().mapToLong(grant -> grant.amount).sum() - current;
      // The grant that ends soonest counts as spent first. So spending extends no grant.
      for (BudgetGrant grant : grants) {
        long subtracted = Math.min(spent, grant.amount);
        grant.amount -= subtracted;
        spent -= subtracted;
      }
      long expired =
          grants.stream()
              .filter(grant -> !now.isBefore(grant.until))
              .mapToLong(grant -> grant.amount)
              .sum();
      if (remaining.compareAndSet(current, current - expired)) {
        grants.removeIf(grant -> grant.amount == 0 || !now.isBefore(grant.until));
        return;
      }
    }
  }

  /**
   * Adds what was earned since the last update. First attempts since then count as made right after
   * it, so that what they earn is spent within one window.
   */
  private void earn(long newFirstAttempts, TimeSpan elapsed, Timestamp now) {
    earnedFraction +=
        (newFirstAttempts * options.retryRatio()
                + options.standaloneRetriesPerWindow()
                    * Math.min(1, elapsed.dividedBy(options.window())))
            * UNITS_PER_RETRY;
    long earnedUnits = (long) earnedFraction;
    earnedFraction -= earnedUnits;
    add(earnedUnits, updatedAt.plus(options.window()), now);
  }

  private void add(long amount, Timestamp until, Timestamp now) {
    if (amount <= 0 || !now.isBefore(until)) {
      return;
    }
    // Few grants are kept: the amount is added to one that ends a little sooner, if there is one.
    TimeSpan maxDifference = options.window().times(1.0 / (MAX_GRANTS / 2));
    BudgetGrant target = null;
    for (BudgetGrant grant : grants) {
      if (!until.isBefore(grant.until) && until.since(grant.until).compareTo(maxDifference) < 0) {
        target = grant;
      }
    }
    if (target == null) {
      if (grants.size() >= MAX_GRANTS) {
        return;
      }
      target = new BudgetGrant(0, until);
      grants.add(target);
      grants.sort(Comparator.comparing((BudgetGrant grant) -> grant.until));
    }
    target.amount += amount;
    long current = remaining.get();
    while (!remaining.compareAndSet(current, current + amount)) {
      current = remaining.get();
    }
  }

  private List<OutgoingMessage> requestUnits(
      long missing,
      Map<MemberName, Long> spareUnits,
      View view,
      MessageHeader self,
      Timestamp now) {
    Member lender = null;
    double largestWeight = 0;
    for (Member member : view.members()) {
      Long spare = spareUnits.get(member.name());
      boolean canBeAsked =
          !member.name().equals(self.member().name())
              && spare != null
              && spare >= UNITS_PER_RETRY
              && pending.values().stream().noneMatch(request -> request.member.equals(member));
      // Sampled with a preference for large spare amounts, so that not all members ask the same
      // one.
      double weight = canBeAsked ? spare * random.nextDouble() : 0;
      if (weight > largestWeight) {
        lender = member;
        largestWeight = weight;
      }
    }
    if (lender == null || pending.size() >= MAX_PENDING_REQUESTS) {
      return List.of();
    }
    long id = random.nextLong();
    pending.put(id, new PendingRequest(lender, now));
    return List.of(new OutgoingMessage(lender.peerAddress(), new BudgetRequest(self, id, missing)));
  }

  /** Handles an authenticated message of a member, and returns the replies to send. */
  public List<OutgoingMessage> receive(
      RetryBudgetMessage message, View view, MessageHeader self, Timestamp now) {
    Member from = message.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (message instanceof BudgetRequest budgetRequest) {
      return List.of(
          new OutgoingMessage(from.peerAddress(), transferUnits(budgetRequest, self, now)));
    }
    BudgetTransfer transfer = (BudgetTransfer) message;
    PendingRequest request = pending.get(transfer.id());
    if (request != null && request.member.equals(from)) {
      pending.remove(transfer.id());
      settle(now);
      for (int i = 0; i < transfer.amounts().length; i++) {
        long lifetimeUs = Math.min(transfer.lifetimesUs()[i], options.window().us());
        if (transfer.amounts()[i] > 0
            && transfer.amounts()[i] < Integer.MAX_VALUE * UNITS_PER_RETRY
            && lifetimeUs > 0) {
          add(transfer.amounts()[i], request.requestedAt.plus(new TimeSpan(lifetimeUs)), now);
        }
      }
    }
    return List.of();
  }

  /**
   * Transfers at most half of the spare amount, so that two members in need both get some. Grants
   * that end last are transferred first.
   */
  private BudgetTransfer transferUnits(BudgetRequest request, MessageHeader self, Timestamp now) {
    settle(now);
    List<Long> amounts = new ArrayList<>();
    List<Long> lifetimesUs = new ArrayList<>();
    long allowed = Math.min(Math.max(0, request.amount()), spareUnits() / 2);
    for (int i = grants.size() - 1; i >= 0 && allowed > 0; i--) {
      BudgetGrant grant = grants.get(i);
      // Shortened, so that the grant ends no later at a receiver with a slower clock.
      long lifetimeUs =
          Math.round(grant.until.since(now).us() * (1 - 2 * options.maxClockRateRatio()));
      long transferred = lifetimeUs <= 0 ? 0 : Math.min(allowed, grant.amount);
      long current = remaining.get();
      if (transferred > 0
          && current >= transferred
          && remaining.compareAndSet(current, current - transferred)) {
        // Subtracted before it is sent. Retries spent meanwhile are settled at the next update.
        grant.amount -= transferred;
        allowed -= transferred;
        amounts.add(transferred);
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
