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
 * #follow} no later than {@link #wake}.
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
    boolean change(long expected, long to);
  }

  /** A datagram to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, RetryBudgetMessage word) {}

  public static final long ONE = 1000;

  /** In how many cells what is left is kept, by when it ends: each is a part of a window. */
  public static final int MOST_CELLS = 32;

  private static final int MOST_OPEN = 8;

  /**
   * Needs are a mean that forgets by half in this part of a window, and what is held covers them
   * for so much of one.
   */
  private static final double FORGETS = 0.25;

  private static final double COVERS = 0.25;

  private static final class BudgetGrant {
    long amount;
    final Timestamp until;

    BudgetGrant(long amount, Timestamp until) {
      this.amount = amount;
      this.until = until;
    }
  }

  private record PendingRequest(Member of, Timestamp at) {}

  private final RetryBudgetOptions terms;
  private final RemainingRetries left;
  private final RandomGenerator chance;

  /**
   * By when they end, soonest first; their sum is what is left and what was spent since it was
   * looked at.
   */
  private final List<BudgetGrant> cells = new ArrayList<>();

  private final Map<Long, PendingRequest> open = new HashMap<>();
  private Timestamp at, next;
  private long firsts, wanted;
  private double earned;

  /** Further sends a second that were wanted lately. */
  private double need;

  public RetryBudget(RetryBudgetOptions terms, RemainingRetries left, RandomGenerator chance) {
    this.terms = terms;
    this.left = left;
    this.chance = chance;
  }

  // ---- what is asked

  /** Further sends a second that were wanted lately. */
  public double need() {
    return need;
  }

  /** What others may ask for, in thousandths of a send. */
  public long spare() {
    return Math.max(0, left.get() - covers());
  }

  private long covers() {
    return Math.round(need * terms.window().us() / 1e6 * COVERS * ONE);
  }

  /** Whether it is to be asked what follows. */
  public boolean isDue(Timestamp now) {
    return next == null || !now.isBefore(next);
  }

  public Timestamp wake(Timestamp now) {
    return next == null || !now.isBefore(next) ? now.plus(terms.exchangeInterval()) : next;
  }

  // ---- what follows

  /**
   * Brings what is left up to this moment, and asks for more where that does not cover what is
   * wanted.
   *
   * @param firstsSent first sends of this process so far
   * @param furtherWanted further sends of it so far, and those that it would have made
   * @param spares what members said that others may ask them for
   */
  public List<OutgoingMessage> follow(
      long firstsSent,
      long furtherWanted,
      Map<MemberName, Long> spares,
      View view,
      MessageHeader self,
      Timestamp now) {
    if (at == null) {
      at = now;
      firsts = firstsSent;
      wanted = furtherWanted;
    }
    TimeSpan since = now.since(at);
    if (since.isPositive()) {
      settle(now);
      earn(firstsSent - firsts, since, now);
      double keep = Math.pow(0.5, since.over(terms.window().times(FORGETS)));
      need = need * keep + (furtherWanted - wanted) * 1e6 / since.us() * (1 - keep);
      firsts = firstsSent;
      wanted = furtherWanted;
      at = now;
    }
    if (next != null && now.isBefore(next)) {
      return List.of();
    }
    next = now.plus(terms.exchangeInterval());
    open.values().removeIf(o -> now.since(o.at).compareTo(terms.window()) >= 0);
    long missing = covers() - left.get();
    return missing < ONE || view == null ? List.of() : beg(missing, spares, view, self, now);
  }

  /** Takes from the cells what was spent since, and from what is left what has ended. */
  private void settle(Timestamp now) {
    while (true) {
      long is = left.get();
      long spent = cells.stream().mapToLong(c -> c.amount).sum() - is;
      // The sooner it ends the sooner it is taken to be spent: nothing lasts longer for it.
      for (BudgetGrant cell : cells) {
        long part = Math.min(spent, cell.amount);
        cell.amount -= part;
        spent -= part;
      }
      long ends = cells.stream().filter(c -> !now.isBefore(c.until)).mapToLong(c -> c.amount).sum();
      if (left.change(is, is - ends)) {
        cells.removeIf(c -> c.amount == 0 || !now.isBefore(c.until));
        return;
      }
    }
  }

  /**
   * What was sent since the last look is taken to have been sent right after it: it may be spent
   * for no longer than a window.
   */
  private void earn(long newFirsts, TimeSpan since, Timestamp now) {
    earned +=
        (newFirsts * terms.ratio()
                + terms.standaloneRate() * Math.min(1, since.over(terms.window())))
            * ONE;
    long whole = (long) earned;
    earned -= whole;
    add(whole, at.plus(terms.window()), now);
  }

  private void add(long amount, Timestamp until, Timestamp now) {
    if (amount <= 0 || !now.isBefore(until)) {
      return;
    }
    // Cells are few: one that ends a little sooner takes what is added.
    TimeSpan near = terms.window().times(1.0 / (MOST_CELLS / 2));
    BudgetGrant into = null;
    for (BudgetGrant cell : cells) {
      if (!until.isBefore(cell.until) && until.since(cell.until).compareTo(near) < 0) {
        into = cell;
      }
    }
    if (into == null) {
      if (cells.size() >= MOST_CELLS) {
        return;
      }
      into = new BudgetGrant(0, until);
      cells.add(into);
      cells.sort(Comparator.comparing((BudgetGrant c) -> c.until));
    }
    into.amount += amount;
    long is = left.get();
    while (!left.change(is, is + amount)) {
      is = left.get();
    }
  }

  private List<OutgoingMessage> beg(
      long missing, Map<MemberName, Long> spares, View view, MessageHeader self, Timestamp now) {
    Member best = null;
    double most = 0;
    for (Member m : view.members()) {
      Long spare = spares.get(m.name());
      boolean other =
          !m.name().equals(self.member().name())
              && spare != null
              && spare >= ONE
              && open.values().stream().noneMatch(o -> o.of.equals(m));
      // By chance, each by what it seems to have left, so that not all ask the same one.
      double draw = other ? spare * chance.nextDouble() : 0;
      if (draw > most) {
        best = m;
        most = draw;
      }
    }
    if (best == null || open.size() >= MOST_OPEN) {
      return List.of();
    }
    long id = chance.nextLong();
    open.put(id, new PendingRequest(best, now));
    return List.of(new OutgoingMessage(best.peerAddress(), new BudgetRequest(self, id, missing)));
  }

  // ---- what comes

  /** What to tell after a word that its carrier found whole, of one that counts. */
  public List<OutgoingMessage> heard(
      RetryBudgetMessage word, View view, MessageHeader self, Timestamp now) {
    Member from = word.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (word instanceof BudgetRequest beg) {
      return List.of(new OutgoingMessage(from.peerAddress(), give(beg, self, now)));
    }
    BudgetTransfer give = (BudgetTransfer) word;
    PendingRequest asked = open.get(give.id());
    if (asked != null && asked.of.equals(from)) {
      open.remove(give.id());
      settle(now);
      for (int i = 0; i < give.amounts().length; i++) {
        long lasts = Math.min(give.lifetimesUs()[i], terms.window().us());
        if (give.amounts()[i] > 0 && give.amounts()[i] < Integer.MAX_VALUE * ONE && lasts > 0) {
          add(give.amounts()[i], asked.at.plus(new TimeSpan(lasts)), now);
        }
      }
    }
    return List.of();
  }

  /**
   * Half of what it can do without at the most, so that two that need it both get some; what lasts
   * longest, as that is of use there.
   */
  private BudgetTransfer give(BudgetRequest beg, MessageHeader self, Timestamp now) {
    settle(now);
    List<Long> amounts = new ArrayList<>();
    List<Long> lasts = new ArrayList<>();
    long may = Math.min(Math.max(0, beg.amount()), spare() / 2);
    for (int i = cells.size() - 1; i >= 0 && may > 0; i--) {
      BudgetGrant cell = cells.get(i);
      // By a clock that runs slower it ends no later there.
      long lastsUs = Math.round(cell.until.since(now).us() * (1 - 2 * terms.maxClockRateRatio()));
      long part = lastsUs <= 0 ? 0 : Math.min(may, cell.amount);
      long is = left.get();
      if (part > 0 && is >= part && left.change(is, is - part)) {
        // Gone from here before it is told; what was spent meanwhile is seen at the next look.
        cell.amount -= part;
        may -= part;
        amounts.add(part);
        lasts.add(lastsUs);
      }
    }
    return new BudgetTransfer(
        self,
        beg.id(),
        amounts.stream().mapToLong(Long::longValue).toArray(),
        lasts.stream().mapToLong(Long::longValue).toArray());
  }
}
