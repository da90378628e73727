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

/** Tests the exchange of load reports, between members that the test connects. */
class LoadReportsTest {
  private static final LoadReports.LoadReportOptions OPTIONS =
      new LoadReports.LoadReportOptions(new TimeSpan(100_000), 1, new TimeSpan(3_000_000), 0.001);
  private static final EngineId ENGINE = new EngineId(7);

  private static Member member(int index) {
    return new Member(
        new MemberName(String.format("n%03d", index)),
        new Incarnation(1),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static MessageHeader header(int index) {
    return new MessageHeader(member(index), 0, ViewId.NONE, true);
  }

  private static View view(int members) {
    List<Member> viewMembers = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      viewMembers.add(member(i));
    }
    return new View(new ViewId(1, 1), viewMembers, null);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** Runs rounds of member 0 until one makes a request, and returns the id of that request. */
  private static long nextRequestId(LoadReports reports, double seconds) {
    for (double time = seconds; time < seconds + 5; time += 0.1) {
      List<LoadReports.OutgoingMessage> requests = reports.runRound(view(2), header(0), at(time));
      if (!requests.isEmpty()) {
        return ((ReportsRequest) requests.get(0).message()).id();
      }
    }
    throw new AssertionError("no request was made");
  }

  private static ReportsReply reply(int from, long id, int inFlight, int ageMs) {
    return new ReportsReply(
        header(from), id, new long[] {ENGINE.value()}, new int[] {inFlight}, new int[] {ageMs});
  }

  @Test
  void latestReportCountsAndIsPassedOnOnce() {
    LoadReports reports = new LoadReports(OPTIONS, new SplittableRandom(1), at(0));
    reports.addLocalReport(new LoadReport(ENGINE, 4, at(9.9)));
    assertEquals(
        List.of(),
        reports.takeReceivedReports(),
        "a report made to this dispatcher is not a received one");
    long id = nextRequestId(reports, 10);
    reports.receive(reply(1, id, 9, 500), view(2), header(0), at(10.6));
    assertEquals(
        List.of(), reports.takeReceivedReports(), "the report is older than the known one");
    id = nextRequestId(reports, 11);
    reports.receive(reply(1, id, 9, 1), view(2), header(0), at(12));
    List<LoadReport> received = reports.takeReceivedReports();
    assertEquals(9, received.get(0).inFlight());
    assertTrue(
        received.get(0).measuredAt().isBefore(at(12)),
        "its age counts from the request, not from the reply");
    assertEquals(List.of(), reports.takeReceivedReports());
  }

  @Test
  void unrequestedOrInvalidRepliesAreIgnored() {
    LoadReports reports = new LoadReports(OPTIONS, new SplittableRandom(1), at(0));
    long id = nextRequestId(reports, 10);
    reports.receive(reply(1, id + 1, 9, 1), view(2), header(0), at(10.1));
    reports.receive(reply(5, id, 9, 1), view(2), header(0), at(10.1));
    reports.receive(reply(0, id, 9, 1), view(2), header(0), at(10.1));
    reports.receive(reply(1, id, -1, 1), view(2), header(0), at(10.1));
    assertEquals(0, reports.reportCount());
    reports.receive(reply(1, id, 9, 1), view(2), header(0), at(10.1));
    assertEquals(
        0,
        reports.reportCount(),
        "only one reply to a request is accepted, even if the first one was invalid");
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReportsReply(header(1), 1, new long[2], new int[1], new int[2]));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new ReportsReply(
                header(1),
                1,
                new long[LoadReports.MAX_ENGINES + 1],
                new int[LoadReports.MAX_ENGINES + 1],
                new int[LoadReports.MAX_ENGINES + 1]));
  }

  @Test
  void expiredReportsAreIgnored() {
    LoadReports reports = new LoadReports(OPTIONS, new SplittableRandom(1), at(0));
    long id = nextRequestId(reports, 10);
    reports.receive(reply(1, id, 9, 3100), view(2), header(0), at(10.1));
    reports.receive(reply(1, nextRequestId(reports, 11), 9, -4), view(2), header(0), at(11.1));
    assertEquals(0, reports.reportCount());
    reports.addLocalReport(new LoadReport(ENGINE, 4, at(12)));
    reports.runRound(view(2), header(0), at(15.1));
    assertEquals(0, reports.reportCount());
  }

  private record Delivery(double atSeconds, int to, LoadReportMessage message) {}

  @Test
  void reportsReachAHundredMembersAndAgesAreNeverUnderstated() {
    View view = view(100);
    SplittableRandom random = new SplittableRandom(3);
    List<LoadReports> all = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      all.add(new LoadReports(OPTIONS, random.split(), at(0)));
    }
    Map<Integer, Double> reportedAt = new HashMap<>();
    PriorityQueue<Delivery> inTransit =
        new PriorityQueue<>((a, b) -> Double.compare(a.atSeconds, b.atSeconds));
    double totalAge = 0;
    int receivedCount = 0;
    for (int ms = 0; ms < 6000; ms += 10) {
      double seconds = 1 + ms / 1000.0;
      if (ms % 50 == 0) {
        // Each time a random member gets a report with a new number of requests in flight.
        int inFlight = ms / 50;
        reportedAt.put(inFlight, seconds);
        all.get(random.nextInt(100)).addLocalReport(new LoadReport(ENGINE, inFlight, at(seconds)));
      }
      for (int i = 0; i < 100; i++) {
        for (LoadReports.OutgoingMessage request :
            all.get(i).runRound(view, header(i), at(seconds))) {
          send(inTransit, request, seconds, random);
        }
      }
      while (!inTransit.isEmpty() && inTransit.peek().atSeconds <= seconds) {
        Delivery delivery = inTransit.poll();
        for (LoadReports.OutgoingMessage reply :
            all.get(delivery.to)
                .receive(delivery.message, view, header(delivery.to), at(seconds))) {
          send(inTransit, reply, seconds, random);
        }
      }
      for (int i = 0; i < 100; i++) {
        for (LoadReport received : all.get(i).takeReceivedReports()) {
          assertTrue(
              received.measuredAt().us() <= reportedAt.get((int) received.inFlight()) * 1e6,
              "the report seems newer than it is");
          if (ms > 2000) {
            totalAge += seconds - received.measuredAt().us() / 1e6;
            receivedCount++;
          }
        }
      }
    }
    assertTrue(receivedCount > 100 * 10, "each member receives some per second: " + receivedCount);
    assertTrue(
        totalAge / receivedCount < 1,
        "in rounds of 0.1 s the mean age of received reports is below a second: "
            + totalAge / receivedCount);
  }

  /** Sends a datagram, which may be lost, delayed or duplicated. */
  private static void send(
      PriorityQueue<Delivery> inTransit,
      LoadReports.OutgoingMessage message,
      double seconds,
      SplittableRandom random) {
    for (int copies = random.nextInt(10) == 0 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
        copies > 0;
        copies--) {
      inTransit.add(
          new Delivery(
              seconds + random.nextDouble() * random.nextDouble() * 0.2,
              message.to().getPort() - 1000,
              message.message()));
    }
  }
}
