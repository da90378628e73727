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
 * Tests the retry budget: of one process, and of a fleet whose messages are lost, delayed and
 * duplicated and whose processes are killed and suspended.
 */
class RetryBudgetTest {
  private static final RetryBudgetOptions OPTIONS =
      new RetryBudgetOptions(0.1, 0, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001);

  private static Member member(int index, long incarnation) {
    return new Member(
        new MemberName("n" + index),
        new Incarnation(incarnation),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static View view(int members) {
    List<Member> viewMembers = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      viewMembers.add(member(i, 1));
    }
    return new View(new ViewId(1, 1), viewMembers, null);
  }

  private static MessageHeader header(int index) {
    return new MessageHeader(member(index, 1), 0, ViewId.NONE, true);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** A process with a retry budget that spends from it. */
  private static class BudgetProcess {
    final AtomicLong remaining = new AtomicLong();
    final RetryBudget budget;
    long firstAttempts;
    long neededRetries;

    BudgetProcess(RetryBudgetOptions options, long seed) {
      budget =
          new RetryBudget(
              options,
              new RetryBudget.RemainingRetries() {
                @Override
                public long get() {
                  return remaining.get();
                }

                @Override
                public boolean compareAndSet(long expected, long updated) {
                  return remaining.compareAndSet(expected, updated);
                }
              },
              new SplittableRandom(seed));
    }

    boolean trySpendRetry() {
      neededRetries++;
      return remaining.get() >= RetryBudget.UNITS_PER_RETRY
          && remaining.addAndGet(-RetryBudget.UNITS_PER_RETRY) >= 0;
    }

    List<RetryBudget.OutgoingMessage> update(
        Map<MemberName, Long> spareUnits, int self, double seconds) {
      return budget.update(
          firstAttempts, neededRetries, spareUnits, view(3), header(self), at(seconds));
    }
  }

  @Test
  void firstAttemptsEarnRetriesForOneWindow() {
    BudgetProcess process = new BudgetProcess(OPTIONS, 1);
    process.update(Map.of(), 0, 0);
    assertTrue(!process.trySpendRetry(), "nothing is earned yet");
    process.firstAttempts = 25;
    process.update(Map.of(), 0, 1);
    assertTrue(
        process.trySpendRetry() && process.trySpendRetry() && !process.trySpendRetry(),
        "25 first attempts earn two and a half retries");
    process.firstAttempts = 30;
    process.update(Map.of(), 0, 2);
    assertTrue(
        process.trySpendRetry() && !process.trySpendRetry(), "the fraction of a retry is kept");
    process.firstAttempts = 130;
    process.update(Map.of(), 0, 3);
    assertEquals(10 * RetryBudget.UNITS_PER_RETRY, process.remaining.get());
    process.update(Map.of(), 0, 11.9);
    assertEquals(10 * RetryBudget.UNITS_PER_RETRY, process.remaining.get());
    process.update(Map.of(), 0, 12);
    assertEquals(
        0, process.remaining.get(), "the window begins at the update before the first attempts");
  }

  @Test
  void standaloneRateIsEarnedAndNotSavedBeyondAWindow() {
    BudgetProcess process =
        new BudgetProcess(
            new RetryBudgetOptions(0, 2, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001),
            1);
    for (int ds = 0; ds <= 1000; ds++) {
      process.update(Map.of(), 0, ds / 10.0);
      assertTrue(process.remaining.get() <= 2 * RetryBudget.UNITS_PER_RETRY, "at " + ds);
    }
    assertTrue(
        process.remaining.get() > 1.8 * RetryBudget.UNITS_PER_RETRY,
        Long.toString(process.remaining.get()));
  }

  @Test
  void suspensionEarnsNoMoreThanOneWindow() {
    BudgetProcess process =
        new BudgetProcess(
            new RetryBudgetOptions(0, 2, new TimeSpan(10_000_000), new TimeSpan(100_000), 0.001),
            1);
    process.update(Map.of(), 0, 0);
    process.update(Map.of(), 0, 500);
    assertTrue(process.remaining.get() <= 2 * RetryBudget.UNITS_PER_RETRY);
  }

  @Test
  void transferLeavesTheGiverAndCountsOnceForTheReceiver() {
    BudgetProcess giver = new BudgetProcess(OPTIONS, 1);
    giver.update(Map.of(), 1, 0);
    giver.firstAttempts = 400;
    giver.update(Map.of(), 1, 1);
    BudgetProcess receiver = new BudgetProcess(OPTIONS, 2);
    receiver.update(Map.of(), 0, 0);
    receiver.neededRetries = 1000;
    List<RetryBudget.OutgoingMessage> requests =
        receiver.update(Map.of(new MemberName("n1"), giver.budget.spareUnits()), 0, 1.2);
    BudgetRequest request = (BudgetRequest) requests.get(0).message();
    BudgetTransfer transfer =
        (BudgetTransfer)
            giver.budget.receive(request, view(3), header(1), at(1.3)).get(0).message();
    assertEquals(
        20 * RetryBudget.UNITS_PER_RETRY, giver.remaining.get(), "half of the spare amount");
    receiver.budget.receive(transfer, view(3), header(0), at(1.4));
    receiver.budget.receive(transfer, view(3), header(0), at(1.4));
    assertEquals(
        20 * RetryBudget.UNITS_PER_RETRY,
        receiver.remaining.get(),
        "a duplicated transfer counts once");
    receiver.update(Map.of(), 0, 9.8);
    assertEquals(20 * RetryBudget.UNITS_PER_RETRY, receiver.remaining.get());
    receiver.update(Map.of(), 0, 10);
    assertEquals(
        0,
        receiver.remaining.get(),
        "it ends no later at the receiver than at the giver, by any clock");
  }

  @Test
  void unrequestedOrInvalidTransfersAreIgnored() {
    BudgetProcess process = new BudgetProcess(OPTIONS, 1);
    process.update(Map.of(), 0, 0);
    process.neededRetries = 1000;
    BudgetRequest request =
        (BudgetRequest)
            process.update(Map.of(new MemberName("n1"), 50_000L), 0, 1).get(0).message();
    long[] amounts = {5_000};
    long[] lifetimesUs = {9_000_000};
    process.budget.receive(
        new BudgetTransfer(header(1), request.id() + 1, amounts, lifetimesUs),
        view(3),
        header(0),
        at(1.1));
    process.budget.receive(
        new BudgetTransfer(header(2), request.id(), amounts, lifetimesUs),
        view(3),
        header(0),
        at(1.1));
    process.budget.receive(
        new BudgetTransfer(
            new MessageHeader(member(1, 9), 0, ViewId.NONE, true),
            request.id(),
            amounts,
            lifetimesUs),
        view(3),
        header(0),
        at(1.1));
    assertEquals(0, process.remaining.get());
    process.budget.receive(
        new BudgetTransfer(header(1), request.id(), new long[] {-5_000}, lifetimesUs),
        view(3),
        header(0),
        at(1.1));
    assertEquals(0, process.remaining.get());
    assertThrows(
        IllegalArgumentException.class,
        () -> new BudgetTransfer(header(1), 1, new long[1], new long[2]));
  }

  private record Delivery(double atSeconds, int to, long restarts, RetryBudgetMessage message) {}

  /**
   * Runs a fleet for a minute of virtual time with randomly generated load and faults.
   *
   * @param countsRetries whether to return the number of retries instead
   * @param duplicates whether the network duplicates messages
   * @return the largest amount by which the retries of all members exceeded their bound in any of
   *     the intervals that are checked; negative if they stayed below it
   */
  private static double runRandomFaults(
      long seed, RetryBudgetOptions options, boolean countsRetries, boolean duplicates) {
    SplittableRandom random = new SplittableRandom(seed);
    int members = 3 + random.nextInt(8);
    BudgetProcess[] all = new BudgetProcess[members];
    double[] clockRates = new double[members];
    double[] suspendedUntil = new double[members];
    long[] restarts = new long[members];
    for (int i = 0; i < members; i++) {
      all[i] = new BudgetProcess(options, random.nextLong());
      clockRates[i] = 1 + 0.001 * (random.nextDouble() - 0.5);
    }
    View view = view(members);
    PriorityQueue<Delivery> inTransit =
        new PriorityQueue<>((a, b) -> Double.compare(a.atSeconds, b.atSeconds));
    List<Double> firstAttempts = new ArrayList<>();
    List<Double> retries = new ArrayList<>();
    double loss = random.nextDouble() * 0.4;
    for (int ms = 0; ms < 60_000; ms += 20) {
      double seconds = ms / 1000.0;
      for (int i = 0; i < members; i++) {
        if (random.nextInt(20_000) == 0) {
          // The process is killed and restarts with an empty budget.
          all[i] = new BudgetProcess(options, random.nextLong());
          restarts[i]++;
        } else if (random.nextInt(10_000) == 0) {
          suspendedUntil[i] = seconds + random.nextDouble() * 15;
        }
        if (seconds < suspendedUntil[i]) {
          continue;
        }
        boolean isOverloaded = i == (int) (seconds / 15) % members;
        if (random.nextInt(isOverloaded ? 1 : 8) == 0) {
          all[i].firstAttempts++;
          firstAttempts.add(seconds);
        }
        if (random.nextInt(isOverloaded ? 2 : 400) == 0 && all[i].trySpendRetry()) {
          retries.add(seconds);
        }
        Map<MemberName, Long> spareUnits = new HashMap<>();
        for (int other = 0; other < members; other++) {
          spareUnits.put(new MemberName("n" + other), all[other].budget.spareUnits());
        }
        BudgetProcess process = all[i];
        for (RetryBudget.OutgoingMessage request :
            process.budget.update(
                process.firstAttempts,
                process.neededRetries,
                spareUnits,
                view,
                header(i),
                at(seconds * clockRates[i]))) {
          send(inTransit, request, seconds, loss, duplicates, restarts, random);
        }
      }
      while (!inTransit.isEmpty() && inTransit.peek().atSeconds <= seconds) {
        Delivery delivery = inTransit.poll();
        if (seconds < suspendedUntil[delivery.to]) {
          inTransit.add(
              new Delivery(
                  suspendedUntil[delivery.to], delivery.to, delivery.restarts, delivery.message));
        } else {
          for (RetryBudget.OutgoingMessage reply :
              all[delivery.to].budget.receive(
                  delivery.message,
                  view,
                  header(delivery.to),
                  at(seconds * clockRates[delivery.to]))) {
            send(inTransit, reply, seconds, loss, duplicates, restarts, random);
          }
        }
      }
    }
    double largestExcess = -1e9;
    double window = options.window().us() / 1e6 * 1.003 + 0.1;
    for (double from = 0; from < 60; from += 2.5) {
      for (double to = from + 2.5; to <= 60; to += 5) {
        double start = from;
        double end = to;
        long sent = retries.stream().filter(time -> time >= start && time < end).count();
        double bound =
            options.retryRatio()
                    * firstAttempts.stream()
                        .filter(time -> time >= start - window && time < end)
                        .count()
                + options.standaloneRetriesPerWindow()
                    * members
                    * (end - start + window)
                    / (window - 0.1);
        largestExcess = Math.max(largestExcess, sent - bound);
      }
    }
    return countsRetries ? retries.size() : largestExcess;
  }

  private static void send(
      PriorityQueue<Delivery> inTransit,
      RetryBudget.OutgoingMessage message,
      double seconds,
      double loss,
      boolean duplicates,
      long[] restarts,
      SplittableRandom random) {
    int to = message.to().getPort() - 1000;
    for (int copies = random.nextDouble() < loss ? 0 : duplicates && random.nextInt(4) == 0 ? 2 : 1;
        copies > 0;
        copies--) {
      inTransit.add(
          new Delivery(
              seconds + random.nextDouble() * random.nextDouble() * 0.4,
              to,
              restarts[to],
              message.message()));
    }
  }

  @Test
  void retriesOfAllMembersNeverExceedWhatTheyEarnedUnderFaults() {
    for (long seed = 1; seed <= 40; seed++) {
      double excess = runRandomFaults(seed, OPTIONS, false, true);
      assertTrue(excess <= 1e-6, "seed " + seed + ": " + excess + " above the bound");
      excess =
          runRandomFaults(
              seed,
              new RetryBudgetOptions(
                  0.05, 1, new TimeSpan(5_000_000), new TimeSpan(100_000), 0.001),
              false,
              true);
      assertTrue(
          excess <= 1e-6,
          "seed " + seed + " with standalone retries: " + excess + " above the bound");
    }
  }

  @Test
  void memberInNeedGetsTransfersOfOthers() {
    double withTransfers = 0;
    double withoutTransfers = 0;
    for (long seed = 1; seed <= 10; seed++) {
      withTransfers += runRandomFaults(seed, OPTIONS, true, false);
      // The exchange interval is so long that a member makes one request in 10 s at most.
      withoutTransfers +=
          runRandomFaults(
              seed,
              new RetryBudgetOptions(
                  0.1, 0, new TimeSpan(10_000_000), new TimeSpan(9_999_999), 0.001),
              true,
              false);
    }
    assertTrue(
        withTransfers > withoutTransfers,
        withTransfers + " retries with transfers, " + withoutTransfers + " without");
  }
}
