package cobaltseam.retrybudget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.retrybudget.RetryBudgetMessage.BudgetRequest;
import cobaltseam.retrybudget.RetryBudgetMessage.BudgetTransfer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Further sends capped over a fleet: one purse, and many that messages, kills and pauses come
 * between.
 */
class RetryBudgetTest {
  private static final RetryBudgetOptions TERMS =
      new RetryBudgetOptions(0.1, 0, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001);

  private static Member member(int index, long birth) {
    return new Member(
        new MemberName("n" + index),
        new Incarnation(birth),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static View view(int members) {
    List<Member> of = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      of.add(member(i, 1));
    }
    return new View(new ViewId(1, 1), of, null);
  }

  private static MessageHeader teller(int index) {
    return new MessageHeader(member(index, 1), 0, ViewId.NONE, true);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** A purse and whoever spends from it. */
  private static class Spender {
    final AtomicLong left = new AtomicLong();
    final RetryBudget purse;
    long firsts;
    long wanted;

    Spender(RetryBudgetOptions terms, long seed) {
      purse =
          new RetryBudget(
              terms,
              new RetryBudget.RemainingRetries() {
                @Override
                public long get() {
                  return left.get();
                }

                @Override
                public boolean compareAndSet(long expected, long to) {
                  return left.compareAndSet(expected, to);
                }
              },
              new SplittableRandom(seed));
    }

    boolean spends() {
      wanted++;
      return left.get() >= RetryBudget.UNITS_PER_RETRY
          && left.addAndGet(-RetryBudget.UNITS_PER_RETRY) >= 0;
    }

    List<RetryBudget.OutgoingMessage> update(
        Map<MemberName, Long> spares, int self, double seconds) {
      return purse.update(firsts, wanted, spares, view(3), teller(self), at(seconds));
    }
  }

  @Test
  void firstAttemptsEarnRetriesForOneWindow() {
    Spender one = new Spender(TERMS, 1);
    one.update(Map.of(), 0, 0);
    assertTrue(!one.spends(), "nothing is earned yet");
    one.firsts = 25;
    one.update(Map.of(), 0, 1);
    assertTrue(one.spends() && one.spends() && !one.spends(), "two and a half");
    one.firsts = 30;
    one.update(Map.of(), 0, 2);
    assertTrue(one.spends() && !one.spends(), "the half is kept");
    one.firsts = 130;
    one.update(Map.of(), 0, 3);
    assertEquals(10 * RetryBudget.UNITS_PER_RETRY, one.left.get());
    one.update(Map.of(), 0, 11.9);
    assertEquals(10 * RetryBudget.UNITS_PER_RETRY, one.left.get());
    one.update(Map.of(), 0, 12);
    assertEquals(0, one.left.get(), "a window from the look before they were sent");
  }

  @Test
  void standaloneRateIsEarnedAndNotSavedBeyondAWindow() {
    Spender one =
        new Spender(
            new RetryBudgetOptions(0, 2, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001),
            1);
    for (int ds = 0; ds <= 1000; ds++) {
      one.update(Map.of(), 0, ds / 10.0);
      assertTrue(one.left.get() <= 2 * RetryBudget.UNITS_PER_RETRY, "at " + ds);
    }
    assertTrue(one.left.get() > 1.8 * RetryBudget.UNITS_PER_RETRY, Long.toString(one.left.get()));
  }

  @Test
  void pauseEarnsNoMoreThanOneWindow() {
    Spender one =
        new Spender(
            new RetryBudgetOptions(0, 2, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001),
            1);
    one.update(Map.of(), 0, 0);
    one.update(Map.of(), 0, 500);
    assertTrue(one.left.get() <= 2 * RetryBudget.UNITS_PER_RETRY);
  }

  @Test
  void transferLeavesTheGiverAndCountsOnceForTheReceiver() {
    Spender giver = new Spender(TERMS, 1);
    giver.update(Map.of(), 1, 0);
    giver.firsts = 400;
    giver.update(Map.of(), 1, 1);
    Spender asker = new Spender(TERMS, 2);
    asker.update(Map.of(), 0, 0);
    asker.wanted = 1000;
    List<RetryBudget.OutgoingMessage> asks =
        asker.update(Map.of(new MemberName("n1"), giver.purse.spareUnits()), 0, 1.2);
    BudgetRequest beg = (BudgetRequest) asks.get(0).message();
    BudgetTransfer give =
        (BudgetTransfer) giver.purse.receive(beg, view(3), teller(1), at(1.3)).get(0).message();
    assertEquals(
        20 * RetryBudget.UNITS_PER_RETRY, giver.left.get(), "half of what it can do without");
    asker.purse.receive(give, view(3), teller(0), at(1.4));
    asker.purse.receive(give, view(3), teller(0), at(1.4));
    assertEquals(20 * RetryBudget.UNITS_PER_RETRY, asker.left.get(), "once");
    asker.update(Map.of(), 0, 9.8);
    assertEquals(20 * RetryBudget.UNITS_PER_RETRY, asker.left.get());
    asker.update(Map.of(), 0, 10);
    assertEquals(
        0, asker.left.get(), "it ends there no later than it would have here, by any clock");
  }

  @Test
  void unrequestedOrInvalidTransfersAreIgnored() {
    Spender one = new Spender(TERMS, 1);
    one.update(Map.of(), 0, 0);
    one.wanted = 1000;
    BudgetRequest beg =
        (BudgetRequest) one.update(Map.of(new MemberName("n1"), 50_000L), 0, 1).get(0).message();
    long[] much = {5_000};
    long[] lasts = {9_000_000};
    one.purse.receive(
        new BudgetTransfer(teller(1), beg.id() + 1, much, lasts), view(3), teller(0), at(1.1));
    one.purse.receive(
        new BudgetTransfer(teller(2), beg.id(), much, lasts), view(3), teller(0), at(1.1));
    one.purse.receive(
        new BudgetTransfer(
            new MessageHeader(member(1, 9), 0, ViewId.NONE, true), beg.id(), much, lasts),
        view(3),
        teller(0),
        at(1.1));
    assertEquals(0, one.left.get());
    one.purse.receive(
        new BudgetTransfer(teller(1), beg.id(), new long[] {-5_000}, lasts),
        view(3),
        teller(0),
        at(1.1));
    assertEquals(0, one.left.get());
    assertThrows(
        IllegalArgumentException.class,
        () -> new BudgetTransfer(teller(1), 1, new long[1], new long[2]));
  }

  private record Delivery(double at, int to, long life, RetryBudgetMessage word) {}

  /**
   * What a drawn day came to: the most that further sends were over what their bound was, in any
   * stretch that was looked at.
   */
  private static double runRandomDay(
      long seed, RetryBudgetOptions terms, boolean forgets, boolean doubles) {
    SplittableRandom chance = new SplittableRandom(seed);
    int members = 3 + chance.nextInt(8);
    Spender[] all = new Spender[members];
    double[] rates = new double[members];
    double[] stands = new double[members];
    long[] lives = new long[members];
    for (int i = 0; i < members; i++) {
      all[i] = new Spender(terms, chance.nextLong());
      rates[i] = 1 + 0.001 * (chance.nextDouble() - 0.5);
    }
    View view = view(members);
    PriorityQueue<Delivery> late = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    List<Double> firsts = new ArrayList<>();
    List<Double> further = new ArrayList<>();
    double loss = chance.nextDouble() * 0.4;
    for (int ms = 0; ms < 60_000; ms += 20) {
      double seconds = ms / 1000.0;
      for (int i = 0; i < members; i++) {
        if (chance.nextInt(20_000) == 0) {
          // Killed; it starts anew with nothing.
          all[i] = new Spender(terms, chance.nextLong());
          lives[i]++;
        } else if (chance.nextInt(10_000) == 0) {
          stands[i] = seconds + chance.nextDouble() * 15;
        }
        if (seconds < stands[i]) {
          continue;
        }
        boolean heavy = i == (int) (seconds / 15) % members;
        if (chance.nextInt(heavy ? 1 : 8) == 0) {
          all[i].firsts++;
          firsts.add(seconds);
        }
        if (chance.nextInt(heavy ? 2 : 400) == 0 && all[i].spends()) {
          further.add(seconds);
        }
        Map<MemberName, Long> spares = new HashMap<>();
        for (int o = 0; o < members; o++) {
          spares.put(new MemberName("n" + o), all[o].purse.spareUnits());
        }
        Spender one = all[i];
        for (RetryBudget.OutgoingMessage end :
            one.purse.update(
                one.firsts, one.wanted, spares, view, teller(i), at(seconds * rates[i]))) {
          send(late, end, seconds, loss, doubles, lives, chance);
        }
      }
      while (!late.isEmpty() && late.peek().at <= seconds) {
        Delivery delivery = late.poll();
        if (seconds < stands[delivery.to]) {
          late.add(new Delivery(stands[delivery.to], delivery.to, delivery.life, delivery.word));
        } else {
          for (RetryBudget.OutgoingMessage end :
              all[delivery.to].purse.receive(
                  delivery.word, view, teller(delivery.to), at(seconds * rates[delivery.to]))) {
            send(late, end, seconds, loss, doubles, lives, chance);
          }
        }
      }
    }
    double over = -1e9;
    double window = terms.window().us() / 1e6 * 1.003 + 0.1;
    for (double from = 0; from < 60; from += 2.5) {
      for (double to = from + 2.5; to <= 60; to += 5) {
        double start = from;
        double end = to;
        long sent = further.stream().filter(x -> x >= start && x < end).count();
        double bound =
            terms.retryRatio() * firsts.stream().filter(x -> x >= start - window && x < end).count()
                + terms.standaloneRetriesPerWindow()
                    * members
                    * (end - start + window)
                    / (window - 0.1);
        over = Math.max(over, sent - bound);
      }
    }
    return forgets ? further.size() : over;
  }

  private static void send(
      PriorityQueue<Delivery> late,
      RetryBudget.OutgoingMessage tell,
      double seconds,
      double loss,
      boolean doubles,
      long[] lives,
      SplittableRandom chance) {
    int to = tell.to().getPort() - 1000;
    for (int n = chance.nextDouble() < loss ? 0 : doubles && chance.nextInt(4) == 0 ? 2 : 1;
        n > 0;
        n--) {
      late.add(
          new Delivery(
              seconds + chance.nextDouble() * chance.nextDouble() * 0.4,
              to,
              lives[to],
              tell.message()));
    }
  }

  @Test
  void retriesOfAllMembersNeverExceedWhatTheyEarnedUnderFaults() {
    for (long seed = 1; seed <= 40; seed++) {
      double over = runRandomDay(seed, TERMS, false, true);
      assertTrue(over <= 1e-6, "seed " + seed + ": " + over + " over the bound");
      over =
          runRandomDay(
              seed,
              new RetryBudgetOptions(
                  0.05, 1, new TimeSpan(5_000_000), new TimeSpan(100_000), 0.001),
              false,
              true);
      assertTrue(
          over <= 1e-6, "seed " + seed + " with parts of their own: " + over + " over the bound");
    }
  }

  @Test
  void memberInNeedGetsTransfersOfOthers() {
    double moved = 0;
    double stays = 0;
    for (long seed = 1; seed <= 10; seed++) {
      moved += runRandomDay(seed, TERMS, true, false);
      // Rounds so long that nobody is ever asked.
      stays +=
          runRandomDay(
              seed,
              new RetryBudgetOptions(
                  0.1, 0, new TimeSpan(10_000_000), new TimeSpan(9_999_999), 0.001),
              true,
              false);
    }
    assertTrue(moved > stays, moved + " against " + stays);
  }
}
