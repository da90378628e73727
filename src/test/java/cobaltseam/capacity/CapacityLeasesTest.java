package cobaltseam.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.capacity.CapacityLeaseMessage.LeaseGrant;
import cobaltseam.capacity.CapacityLeaseMessage.LeaseRequest;
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
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the capacity leases of one process; the test sets its view, lease and known demand. */
class CapacityLeasesTest {
  private static final CapacityOptions OPTIONS =
      new CapacityOptions(1000, 0.1, 10, 0.25, new TimeSpan(500_000), 16);
  private static final TimeSpan LEASE_DURATION = new TimeSpan(2_000_000);
  private static final int STANDALONE = 10;
  private static final int SHARED = 900;

  private final TestLeaseContext context = new TestLeaseContext();
  private final CapacityLeases leases =
      new CapacityLeases(OPTIONS, context, new SplittableRandom(1));

  private static Member member(int index) {
    return new Member(
        new MemberName("n" + index),
        new Incarnation(index + 1),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static View view(long number, int... members) {
    List<Member> viewMembers = new ArrayList<>();
    for (int index : members) {
      viewMembers.add(member(index));
    }
    return new View(new ViewId(7, number), viewMembers, null);
  }

  private static MessageHeader header(int index) {
    return new MessageHeader(member(index), 0, ViewId.NONE, true);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** The view, the lease and the known demand of the process under test, which is member 0. */
  private static final class TestLeaseContext implements CapacityLeases.LeaseContext {
    View view;
    Timestamp leaseUntil;
    final Map<MemberName, Double> demand = new HashMap<>();

    @Override
    public View view() {
      return view;
    }

    @Override
    public Member self() {
      return member(0);
    }

    @Override
    public MessageHeader messageHeader() {
      return CapacityLeasesTest.header(0);
    }

    @Override
    public Timestamp leaseUntil() {
      return leaseUntil;
    }

    @Override
    public TimeSpan maxLeaseDuration() {
      return LEASE_DURATION.times(1.002);
    }

    @Override
    public double maxClockRateRatio() {
      return 0.001;
    }

    @Override
    public Double demand(MemberName member) {
      return demand.get(member);
    }
  }

  /**
   * Installs a view at time 0, so that all earlier leases have ended by about second 2, and sets
   * the end of the lease on it.
   */
  private void installSettledView(View view, double leaseEndSeconds) {
    context.view = view;
    leases.update(at(0));
    context.leaseUntil = at(leaseEndSeconds);
  }

  @Test
  void withoutViewOrLeaseOnlyTheStandaloneAmountIsUsable() {
    assertEquals(STANDALONE, leases.usableAmount(at(0)));
    context.view = view(1, 0, 1, 2);
    leases.update(at(0));
    assertEquals(
        STANDALONE,
        leases.usableAmount(at(60)),
        "no majority has confirmed that the view is the newest");
    context.leaseUntil = at(61);
    assertEquals(STANDALONE + SHARED / 3, leases.usableAmount(at(60)));
    assertEquals(
        STANDALONE,
        leases.usableAmount(at(61)),
        "the equal share is usable no longer than the lease lasts");
  }

  @Test
  void newMemberHasNoShareUntilAllEarlierLeasesHaveEnded() {
    context.view = view(4, 0, 1, 2);
    context.leaseUntil = at(9);
    leases.update(at(1));
    assertEquals(STANDALONE, leases.usableAmount(at(3.003)));
    assertEquals(STANDALONE + SHARED / 3, leases.usableAmount(at(3.005)));
  }

  @Test
  void shareShrinksAtOnceAndGrowsAfterAllEarlierLeasesHaveEnded() {
    installSettledView(view(1, 0, 1, 2), 60);
    context.view = view(2, 0, 1, 2, 3, 4);
    leases.update(at(10));
    assertEquals(
        STANDALONE + SHARED / 5,
        leases.usableAmount(at(10)),
        "others may use their share of the larger view");
    context.view = view(3, 0, 1);
    leases.update(at(20));
    assertEquals(
        STANDALONE + SHARED / 5,
        leases.usableAmount(at(22)),
        "removed members may still use their share");
    assertEquals(STANDALONE + SHARED / 2, leases.usableAmount(at(22.01)));
  }

  @Test
  void memberThatMissedAViewHasNoShareUntilLeasesHaveEnded() {
    installSettledView(view(1, 0, 1, 2), 60);
    context.view = view(3, 0, 1, 2);
    leases.update(at(10));
    assertEquals(STANDALONE, leases.usableAmount(at(11)));
    context.view = null;
    leases.update(at(20));
    assertEquals(STANDALONE, leases.usableAmount(at(20)));
    context.view = view(4, 0, 1, 2);
    leases.update(at(21));
    assertEquals(STANDALONE, leases.usableAmount(at(22)));
  }

  private LeaseGrant requestLease(int borrower, long amount, double seconds) {
    List<CapacityLeases.OutgoingMessage> replies =
        leases.receive(new LeaseRequest(header(borrower), 99, amount), at(seconds));
    assertEquals(1, replies.size());
    return (LeaseGrant) replies.get(0).message();
  }

  @Test
  void lentCapacityIsUnusableUntilItEndsBeforeTheLease() {
    installSettledView(view(1, 0, 1, 2), 11);
    context.demand.put(new MemberName("n1"), 9.0);
    leases.setDemand(0);
    // The process has no demand, so it retains a quarter of its equal share.
    LeaseGrant grant = requestLease(1, 1000, 10);
    assertEquals(225, grant.amount());
    assertTrue(
        10_000_000 + grant.durationUs() * 1.001 < 11_000_000,
        "it ends before the lease on the view, even by a slower clock");
    assertEquals(STANDALONE + 75, leases.usableAmount(at(10)));
    context.leaseUntil = at(20);
    assertEquals(STANDALONE + 75, leases.usableAmount(at(10.99)));
    assertEquals(
        STANDALONE + 300, leases.usableAmount(at(11)), "it is usable again without a message");
  }

  @Test
  void twoBorrowersGetNoMoreThanTheLenderHas() {
    installSettledView(view(1, 0, 1, 2), 60);
    context.demand.put(new MemberName("n1"), 9.0);
    context.demand.put(new MemberName("n2"), 9.0);
    assertEquals(150, requestLease(1, 150, 10).amount());
    assertEquals(75, requestLease(2, 150, 10).amount());
    assertEquals(
        0,
        requestLease(2, 150, 10).amount() - 75,
        "a repeated request gets the same grant, and no second one");
    assertEquals(0, requestLease(1, 0, 10).amount());
    assertEquals(STANDALONE + 75, leases.usableAmount(at(10)));
  }

  @Test
  void nothingIsLentWithoutALease() {
    installSettledView(view(1, 0, 1, 2), 60);
    context.demand.put(new MemberName("n1"), 9.0);
    context.leaseUntil = at(9);
    assertEquals(0, requestLease(1, 100, 10).amount());
    assertEquals(
        List.of(),
        leases.receive(new LeaseRequest(header(5), 1, 100), at(10)),
        "nothing is lent to a process outside the view");
    MessageHeader otherIncarnation =
        new MessageHeader(
            new Member(new MemberName("n1"), new Incarnation(999), member(1).peerAddress()),
            0,
            ViewId.NONE,
            true);
    assertEquals(
        List.of(),
        leases.receive(new LeaseRequest(otherIncarnation, 1, 100), at(10)),
        "nothing is lent to another incarnation of a member");
  }

  private LeaseRequest nextRequest(double seconds) {
    List<CapacityLeases.OutgoingMessage> requests = leases.update(at(seconds));
    assertEquals(1, requests.size(), requests.toString());
    return (LeaseRequest) requests.get(0).message();
  }

  @Test
  void borrowedCapacityCountsOnceAndFromTheRequest() {
    installSettledView(view(1, 0, 1), 60);
    leases.setDemand(9);
    context.demand.put(new MemberName("n1"), 0.0);
    LeaseRequest request = nextRequest(10);
    assertTrue(request.amount() > 300, request.toString());
    LeaseGrant grant = new LeaseGrant(header(1), request.id(), 300, 1_500_000);
    leases.receive(grant, at(10.4));
    assertEquals(STANDALONE + 450 + 300, leases.usableAmount(at(10.4)));
    leases.receive(grant, at(10.5));
    assertEquals(
        STANDALONE + 450 + 300, leases.usableAmount(at(10.5)), "a duplicated grant counts once");
    assertEquals(
        STANDALONE + 450,
        leases.usableAmount(at(11.5)),
        "1.5 s from the request, not from the reply");
    List<CapacityLeases.CapacityStep> steps = leases.usableSteps(at(10.5));
    assertEquals(
        List.of(
            new CapacityLeases.CapacityStep(at(11.5), 760),
            new CapacityLeases.CapacityStep(at(60), 460),
            new CapacityLeases.CapacityStep(null, 10)),
        steps);
  }

  @Test
  void unrequestedOrInvalidGrantsAreIgnored() {
    installSettledView(view(1, 0, 1), 60);
    leases.setDemand(9);
    context.demand.put(new MemberName("n1"), 0.0);
    LeaseRequest request = nextRequest(10);
    leases.receive(new LeaseGrant(header(1), request.id() + 1, 300, 1_500_000), at(10.1));
    leases.receive(new LeaseGrant(header(1), request.id(), 1_000_000, 1_500_000), at(10.1));
    leases.receive(new LeaseGrant(header(1), request.id(), 300, 60_000_000), at(10.1));
    leases.receive(new LeaseGrant(header(1), request.id(), -300, 1_500_000), at(10.1));
    assertEquals(STANDALONE + 450, leases.usableAmount(at(10.1)));
  }

  @Test
  void laterGrantOfALenderReplacesTheEarlierOne() {
    installSettledView(view(1, 0, 1), 60);
    leases.setDemand(9);
    context.demand.put(new MemberName("n1"), 0.0);
    leases.receive(new LeaseGrant(header(1), nextRequest(10).id(), 300, 1_500_000), at(10.1));
    LeaseRequest renewal = nextRequest(11);
    leases.receive(new LeaseGrant(header(1), renewal.id(), 100, 1_500_000), at(11.1));
    assertEquals(
        STANDALONE + 450 + 100,
        leases.usableAmount(at(11.1)),
        "the later grant replaces the earlier one");
  }

  @Test
  void membersOfUnknownDemandAreNotAsked() {
    installSettledView(view(1, 0, 1, 2), 60);
    leases.setDemand(9);
    assertEquals(List.of(), leases.update(at(10)));
    context.demand.put(new MemberName("n2"), 1.0);
    assertEquals(member(2).peerAddress(), leases.update(at(11)).get(0).to());
  }

  @Test
  void demandIsADecayingAverageWithTheStatedHalfLife() {
    DemandEstimate demand = new DemandEstimate(new TimeSpan(1_000_000));
    assertEquals(0, demand.update(0, at(0)));
    assertEquals(
        50,
        demand.update(50, at(1)),
        1e-9,
        "the first interval alone determines the rate, without a bias towards zero");
    for (int seconds = 2; seconds < 30; seconds++) {
      demand.update(50 * seconds, at(seconds));
    }
    double sum = 50 * 29;
    assertEquals(25, demand.update(sum, at(30)), 1e-6);
    assertEquals(12.5, demand.update(sum, at(31)), 1e-6);
  }
}
