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
 * How many retries this process may make, such that the retries for each first attempt stay under a
 * set ratio over the whole fleet, whichever members are partitioned, paused, killed or restarted.
 * It does no I/O: time, randomness and messages come from the caller, who calls {@link #update} no
 * later than {@link #nextUpdateAt}.
 *
 * <p>Each first attempt earns a part of a retry, which may be spent for one window, here or at the
 * member that it was transferred to. A transfer is taken from the budget here before it is sent,
 * and is lost if its message is lost. So no view and no lease is needed: nothing is in two budgets
 * at once, and a process that loses its state holds nothing. In addition each process earns a small
 * amount as time passes.
 *
 * <p>Amounts are thousandths of a retry. The event loop takes retries from the remaining ones
 * directly, without a wait; this class sees that at its next step.
 */
public final class RetryBudget {
  /** The remaining retries, in thousandths; shared with the event loop, which takes from them. */
  public interface RemainingRetries {
    /** The remaining retries, in thousandths. */
    long get();

    /**
     * Sets the remaining retries if they are as expected; false, without a change, if they are not.
     */
    boolean compareAndSet(long expected, long to);
  }

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, RetryBudgetMessage message) {}

  /** One retry, in the units of all amounts. */
  public static final long UNITS_PER_RETRY = 1000;

  /** The largest number of grants that are kept apart by when they end. */
  public static final int MAX_GRANTS = 32;

  private static final int MAX_PENDING_REQUESTS = 8;

  /** The half-life of the average need, in windows. */
  private static final double NEED_HALF_LIFE_WINDOWS = 0.25;

  /** For so many windows the need is kept in reserve and not transferred. */
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
   * Sorted by their end, soonest first. Their sum is the remaining retries and those spent since
   * the last step.
   */
  private final List<BudgetGrant> grants = new ArrayList<>();

  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private Timestamp updatedAt;
  private Timestamp nextExchangeAt;
  private long firstAttempts;
  private long wantedRetries;
  private double earnedFraction;

  /** The average number of retries per second that were wanted lately. */
  private double neededPerSecond;

  /**
   * @param remaining nothing else but this and the event loop changes it
   */
  public RetryBudget(
      RetryBudgetOptions options, RemainingRetries remaining, RandomGenerator random) {
    this.options = options;
    this.remaining = remaining;
    this.random = random;
  }

  // ---- what is asked

  /** The average number of retries per second that were wanted lately. */
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

  // ---- what follows

  /**
   * Brings the budget up to this time, and requests more of another member if the remaining retries
   * do not cover the need.
   *
   * @param firstAttemptsSoFar first attempts of this process so far
   * @param wantedRetriesSoFar its retries so far, and those that it would have made
   * @param spares the amount that others may request of each member
   */
  public List<OutgoingMessage> update(
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
      double decay = Math.pow(0.5, since.dividedBy(options.window().times(NEED_HALF_LIFE_WINDOWS)));
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

  /** Takes from the grants what was spent, and from the remaining retries what has expired. */
  private void settle(Timestamp now) {
    while (true) {
      long current = remaining.get();
      long spent = grants.stream().mapToLong(c -> c.amount).sum() - current;
      // The grant that ends soonest is taken to be spent first, so that none lasts longer for it.
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
   * First attempts since the last step are taken to have been made right after it, so that what
   * they earn is spent within one window.
   */
  private void earn(long newFirstAttempts, TimeSpan since, Timestamp now) {
    earnedFraction +=
        (newFirstAttempts * options.retryRatio()
                + options.standaloneRetriesPerWindow()
                    * Math.min(1, since.dividedBy(options.window())))
            * UNITS_PER_RETRY;
    long earnedUnits = (long) earnedFraction;
    earnedFraction -= earnedUnits;
    add(earnedUnits, updatedAt.plus(options.window()), now);
  }

  private void add(long amount, Timestamp until, Timestamp now) {
    if (amount <= 0 || !now.isBefore(until)) {
      return;
    }
    // There are few grants: one that ends a little sooner takes what is added.
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
      // Drawn with a chance by the spare amount, so that not all members ask the same one.
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

  /** Handles an authenticated message of a member, and returns the replies to send. */
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
   * Transfers at most half of the spare amount, so that two members in need both get some, and of
   * it what lasts longest.
   */
  private BudgetTransfer transferUnits(BudgetRequest request, MessageHeader self, Timestamp now) {
    settle(now);
    List<Long> amounts = new ArrayList<>();
    List<Long> lifetimesUs = new ArrayList<>();
    long allowed = Math.min(Math.max(0, request.amount()), spareUnits() / 2);
    for (int i = grants.size() - 1; i >= 0 && allowed > 0; i--) {
      BudgetGrant grant = grants.get(i);
      // Shortened so that it ends no later there, by a slower clock.
      long lifetimeUs =
          Math.round(grant.until.since(now).us() * (1 - 2 * options.maxClockRateRatio()));
      long part = lifetimeUs <= 0 ? 0 : Math.min(allowed, grant.amount);
      long current = remaining.get();
      if (part > 0 && current >= part && remaining.compareAndSet(current, current - part)) {
        // Taken from here before it is sent; what was spent meanwhile is seen at the next step.
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
