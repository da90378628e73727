package cobaltseam.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.capacity.LoadReportMessage.ReportsReply;
import cobaltseam.capacity.LoadReportMessage.ReportsRequest;
import cobaltseam.capacity.LoadReports.LoadReport;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What engines told, among members that a test joins. */
class LoadReportsTest {
  private static final LoadReports.LoadReportOptions TERMS =
      new LoadReports.LoadReportOptions(new TimeSpan(100_000), 1, new TimeSpan(3_000_000), 0.001);
  private static final EngineId E = new EngineId(7);

  private static Member member(int index) {
    return new Member(
        new MemberName(String.format("n%03d", index)),
        new Incarnation(1),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static MessageHeader teller(int index) {
    return new MessageHeader(member(index), 0, ViewId.NONE, true);
  }

  private static View view(int members) {
    List<Member> of = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      of.add(member(i));
    }
    return new View(new ViewId(1, 1), of, null);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** The id of an ask that member 0 has out. */
  private static long asked(LoadReports reports, double seconds) {
    for (double t = seconds; t < seconds + 5; t += 0.1) {
      List<LoadReports.OutgoingMessage> tells = reports.runRound(view(2), teller(0), at(t));
      if (!tells.isEmpty()) {
        return ((ReportsRequest) tells.get(0).message()).id();
      }
    }
    throw new AssertionError("nothing is asked");
  }

  private static ReportsReply table(int from, long id, int inHand, int ageMs) {
    return new ReportsReply(
        teller(from), id, new long[] {E.value()}, new int[] {inHand}, new int[] {ageMs});
  }

  @Test
  void latestReportCountsAndIsPassedOnOnce() {
    LoadReports reports = new LoadReports(TERMS, new SplittableRandom(1), at(0));
    reports.addLocalReport(new LoadReport(E, 4, at(9.9)));
    assertEquals(List.of(), reports.takeReceivedReports(), "what was told here is no news");
    long id = asked(reports, 10);
    reports.receive(table(1, id, 9, 500), view(2), teller(0), at(10.6));
    assertEquals(List.of(), reports.takeReceivedReports(), "older than what is known");
    id = asked(reports, 11);
    reports.receive(table(1, id, 9, 1), view(2), teller(0), at(12));
    List<LoadReport> news = reports.takeReceivedReports();
    assertEquals(9, news.get(0).inFlight());
    assertTrue(
        news.get(0).measuredAt().isBefore(at(12)),
        "its age counts from the ask, not from the answer");
    assertEquals(List.of(), reports.takeReceivedReports());
  }

  @Test
  void unrequestedOrInvalidRepliesAreIgnored() {
    LoadReports reports = new LoadReports(TERMS, new SplittableRandom(1), at(0));
    long id = asked(reports, 10);
    reports.receive(table(1, id + 1, 9, 1), view(2), teller(0), at(10.1));
    reports.receive(table(5, id, 9, 1), view(2), teller(0), at(10.1));
    reports.receive(table(0, id, 9, 1), view(2), teller(0), at(10.1));
    reports.receive(table(1, id, -1, 1), view(2), teller(0), at(10.1));
    assertEquals(0, reports.reportCount());
    reports.receive(table(1, id, 9, 1), view(2), teller(0), at(10.1));
    assertEquals(0, reports.reportCount(), "an answer counts once, though it was nonsense");
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReportsReply(teller(1), 1, new long[2], new int[1], new int[2]));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new ReportsReply(
                teller(1),
                1,
                new long[LoadReports.MAX_ENGINES + 1],
                new int[LoadReports.MAX_ENGINES + 1],
                new int[LoadReports.MAX_ENGINES + 1]));
  }

  @Test
  void expiredReportsAreIgnored() {
    LoadReports reports = new LoadReports(TERMS, new SplittableRandom(1), at(0));
    long id = asked(reports, 10);
    reports.receive(table(1, id, 9, 3100), view(2), teller(0), at(10.1));
    reports.receive(table(1, asked(reports, 11), 9, -4), view(2), teller(0), at(11.1));
    assertEquals(0, reports.reportCount());
    reports.addLocalReport(new LoadReport(E, 4, at(12)));
    reports.runRound(view(2), teller(0), at(15.1));
    assertEquals(0, reports.reportCount());
  }

  private record Delivery(double at, int to, LoadReportMessage word) {}

  @Test
  void reportsReachAHundredMembersAndAgesAreNeverUnderstated() {
    View view = view(100);
    SplittableRandom chance = new SplittableRandom(3);
    List<LoadReports> all = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      all.add(new LoadReports(TERMS, chance.split(), at(0)));
    }
    Map<Integer, Double> toldAt = new HashMap<>();
    PriorityQueue<Delivery> late = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    double ages = 0;
    int looks = 0;
    for (int ms = 0; ms < 6000; ms += 10) {
      double seconds = 1 + ms / 1000.0;
      if (ms % 50 == 0) {
        // Each time another member is told another figure.
        int figure = ms / 50;
        toldAt.put(figure, seconds);
        all.get(chance.nextInt(100)).addLocalReport(new LoadReport(E, figure, at(seconds)));
      }
      for (int i = 0; i < 100; i++) {
        for (LoadReports.OutgoingMessage tell : all.get(i).runRound(view, teller(i), at(seconds))) {
          send(late, tell, seconds, chance);
        }
      }
      while (!late.isEmpty() && late.peek().at <= seconds) {
        Delivery delivery = late.poll();
        for (LoadReports.OutgoingMessage tell :
            all.get(delivery.to).receive(delivery.word, view, teller(delivery.to), at(seconds))) {
          send(late, tell, seconds, chance);
        }
      }
      for (int i = 0; i < 100; i++) {
        for (LoadReport news : all.get(i).takeReceivedReports()) {
          assertTrue(
              news.measuredAt().us() <= toldAt.get((int) news.inFlight()) * 1e6,
              "told as younger than it is");
          if (ms > 2000) {
            ages += seconds - news.measuredAt().us() / 1e6;
            looks++;
          }
        }
      }
    }
    assertTrue(looks > 100 * 10, "each hears some a second: " + looks);
    assertTrue(
        ages / looks < 1,
        "in rounds of 0.1 s news is younger than a second at the mean: " + ages / looks);
  }

  /** A datagram may be lost, late or doubled. */
  private static void send(
      PriorityQueue<Delivery> late,
      LoadReports.OutgoingMessage tell,
      double seconds,
      SplittableRandom chance) {
    for (int n = chance.nextInt(10) == 0 ? 0 : chance.nextInt(10) == 0 ? 2 : 1; n > 0; n--) {
      late.add(
          new Delivery(
              seconds + chance.nextDouble() * chance.nextDouble() * 0.2,
              tell.to().getPort() - 1000,
              tell.message()));
    }
  }
}
