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

/** Parts of a whole, one process at a time, against a ground that the test makes. */
class CapacityLeasesTest {
  private static final CapacityOptions TERMS =
      new CapacityOptions(1000, 0.1, 10, 0.25, new TimeSpan(500_000), 16);
  private static final TimeSpan T = new TimeSpan(2_000_000);
  private static final int ALONE = 10;
  private static final int SETTLED = 900;

  private final TestLeaseContext ground = new TestLeaseContext();
  private final CapacityLeases holdings =
      new CapacityLeases(TERMS, ground, new SplittableRandom(1));

  private static Member member(int index) {
    return new Member(
        new MemberName("n" + index),
        new Incarnation(index + 1),
        new InetSocketAddress("127.0.0.1", 1000 + index));
  }

  private static View view(long number, int... members) {
    List<Member> of = new ArrayList<>();
    for (int m : members) {
      of.add(member(m));
    }
    return new View(new ViewId(7, number), of, null);
  }

  private static MessageHeader teller(int index) {
    return new MessageHeader(member(index), 0, ViewId.NONE, true);
  }

  private static Timestamp at(double seconds) {
    return new Timestamp(Math.round(seconds * 1e6));
  }

  /** What the process is told; it is member 0. */
  private static final class TestLeaseContext implements CapacityLeases.LeaseContext {
    View view;
    Timestamp lease;
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
      return CapacityLeasesTest.teller(0);
    }

    @Override
    public Timestamp leaseUntil() {
      return lease;
    }

    @Override
    public TimeSpan maxLeaseDuration() {
      return T.times(1.002);
    }

    @Override
    public double maxClockRateRatio() {
      return 0.001;
    }

    @Override
    public Double demand(MemberName of) {
      return demand.get(of);
    }
  }

  /** The process holds a view of so many for long enough, and the lease up to a moment. */
  private void settled(View view, double leaseUntil) {
    ground.view = view;
    holdings.update(at(0));
    ground.lease = at(leaseUntil);
  }

  @Test
  void withoutViewOrLeaseOnlyTheStandalonePartIsUsable() {
    assertEquals(ALONE, holdings.usableAmount(at(0)));
    ground.view = view(1, 0, 1, 2);
    holdings.update(at(0));
    assertEquals(ALONE, holdings.usableAmount(at(60)), "no majority said that it is the newest");
    ground.lease = at(61);
    assertEquals(ALONE + SETTLED / 3, holdings.usableAmount(at(60)));
    assertEquals(
        ALONE,
        holdings.usableAmount(at(61)),
        "it ends with the lease, whatever is asked in between");
  }

  @Test
  void newMemberHasNoPartUntilAllEarlierLeasesHaveEnded() {
    ground.view = view(4, 0, 1, 2);
    ground.lease = at(9);
    holdings.update(at(1));
    assertEquals(ALONE, holdings.usableAmount(at(3.003)));
    assertEquals(ALONE + SETTLED / 3, holdings.usableAmount(at(3.005)));
  }

  @Test
  void partShrinksAtOnceAndGrowsAfterAllEarlierLeasesHaveEnded() {
    settled(view(1, 0, 1, 2), 60);
    ground.view = view(2, 0, 1, 2, 3, 4);
    holdings.update(at(10));
    assertEquals(
        ALONE + SETTLED / 5,
        holdings.usableAmount(at(10)),
        "others may hold their part of the larger view");
    ground.view = view(3, 0, 1);
    holdings.update(at(20));
    assertEquals(
        ALONE + SETTLED / 5, holdings.usableAmount(at(22)), "those taken out may hold theirs yet");
    assertEquals(ALONE + SETTLED / 2, holdings.usableAmount(at(22.01)));
  }

  @Test
  void memberThatMissedAViewHasNoPartUntilLeasesHaveEnded() {
    settled(view(1, 0, 1, 2), 60);
    ground.view = view(3, 0, 1, 2);
    holdings.update(at(10));
    assertEquals(ALONE, holdings.usableAmount(at(11)));
    ground.view = null;
    holdings.update(at(20));
    assertEquals(ALONE, holdings.usableAmount(at(20)));
    ground.view = view(4, 0, 1, 2);
    holdings.update(at(21));
    assertEquals(ALONE, holdings.usableAmount(at(22)));
  }

  private LeaseGrant asked(int by, long amount, double seconds) {
    List<CapacityLeases.OutgoingMessage> tells =
        holdings.receive(new LeaseRequest(teller(by), 99, amount), at(seconds));
    assertEquals(1, tells.size());
    return (LeaseGrant) tells.get(0).message();
  }

  @Test
  void lentCapacityIsUnusableUntilItEndsBeforeTheLease() {
    settled(view(1, 0, 1, 2), 11);
    ground.demand.put(new MemberName("n1"), 9.0);
    holdings.setDemand(0);
    // Its target is a quarter of its even part, as it needs nothing.
    LeaseGrant lent = asked(1, 1000, 10);
    assertEquals(225, lent.amount());
    assertTrue(
        10_000_000 + lent.durationUs() * 1.001 < 11_000_000,
        "by a clock that runs slower it ends before the lease");
    assertEquals(ALONE + 75, holdings.usableAmount(at(10)));
    ground.lease = at(20);
    assertEquals(ALONE + 75, holdings.usableAmount(at(10.99)));
    assertEquals(ALONE + 300, holdings.usableAmount(at(11)), "it comes back by itself");
  }

  @Test
  void twoBorrowersGetNoMoreThanTheLenderHas() {
    settled(view(1, 0, 1, 2), 60);
    ground.demand.put(new MemberName("n1"), 9.0);
    ground.demand.put(new MemberName("n2"), 9.0);
    assertEquals(150, asked(1, 150, 10).amount());
    assertEquals(75, asked(2, 150, 10).amount());
    assertEquals(
        0,
        asked(2, 150, 10).amount() - 75,
        "asked again, the same is said, and not lent once more");
    assertEquals(0, asked(1, 0, 10).amount());
    assertEquals(ALONE + 75, holdings.usableAmount(at(10)));
  }

  @Test
  void nothingIsLentWithoutALease() {
    settled(view(1, 0, 1, 2), 60);
    ground.demand.put(new MemberName("n1"), 9.0);
    ground.lease = at(9);
    assertEquals(0, asked(1, 100, 10).amount());
    assertEquals(
        List.of(),
        holdings.receive(new LeaseRequest(teller(5), 1, 100), at(10)),
        "nor anything to one outside the view");
    MessageHeader former =
        new MessageHeader(
            new Member(new MemberName("n1"), new Incarnation(999), member(1).peerAddress()),
            0,
            ViewId.NONE,
            true);
    assertEquals(
        List.of(),
        holdings.receive(new LeaseRequest(former, 1, 100), at(10)),
        "nor to another process of its name");
  }

  private LeaseRequest borrows(double seconds) {
    List<CapacityLeases.OutgoingMessage> tells = holdings.update(at(seconds));
    assertEquals(1, tells.size(), tells.toString());
    return (LeaseRequest) tells.get(0).message();
  }

  @Test
  void borrowedCapacityCountsOnceAndFromTheRequest() {
    settled(view(1, 0, 1), 60);
    holdings.setDemand(9);
    ground.demand.put(new MemberName("n1"), 0.0);
    LeaseRequest borrow = borrows(10);
    assertTrue(borrow.amount() > 300, borrow.toString());
    LeaseGrant lent = new LeaseGrant(teller(1), borrow.id(), 300, 1_500_000);
    holdings.receive(lent, at(10.4));
    assertEquals(ALONE + 450 + 300, holdings.usableAmount(at(10.4)));
    holdings.receive(lent, at(10.5));
    assertEquals(
        ALONE + 450 + 300,
        holdings.usableAmount(at(10.5)),
        "a message that comes twice counts once");
    assertEquals(
        ALONE + 450, holdings.usableAmount(at(11.5)), "1.5 s from the ask, not from the answer");
    List<CapacityLeases.CapacityStep> steps = holdings.usableSteps(at(10.5));
    assertEquals(
        List.of(
            new CapacityLeases.CapacityStep(at(11.5), 760),
            new CapacityLeases.CapacityStep(at(60), 460),
            new CapacityLeases.CapacityStep(null, 10)),
        steps);
  }

  @Test
  void unrequestedOrInvalidGrantsAreIgnored() {
    settled(view(1, 0, 1), 60);
    holdings.setDemand(9);
    ground.demand.put(new MemberName("n1"), 0.0);
    LeaseRequest borrow = borrows(10);
    holdings.receive(new LeaseGrant(teller(1), borrow.id() + 1, 300, 1_500_000), at(10.1));
    holdings.receive(new LeaseGrant(teller(1), borrow.id(), 1_000_000, 1_500_000), at(10.1));
    holdings.receive(new LeaseGrant(teller(1), borrow.id(), 300, 60_000_000), at(10.1));
    holdings.receive(new LeaseGrant(teller(1), borrow.id(), -300, 1_500_000), at(10.1));
    assertEquals(ALONE + 450, holdings.usableAmount(at(10.1)));
  }

  @Test
  void laterGrantOfALenderReplacesTheEarlierOne() {
    settled(view(1, 0, 1), 60);
    holdings.setDemand(9);
    ground.demand.put(new MemberName("n1"), 0.0);
    holdings.receive(new LeaseGrant(teller(1), borrows(10).id(), 300, 1_500_000), at(10.1));
    LeaseRequest again = borrows(11);
    holdings.receive(new LeaseGrant(teller(1), again.id(), 100, 1_500_000), at(11.1));
    assertEquals(ALONE + 450 + 100, holdings.usableAmount(at(11.1)), "never both");
  }

  @Test
  void membersOfUnknownDemandAreNotAsked() {
    settled(view(1, 0, 1, 2), 60);
    holdings.setDemand(9);
    assertEquals(List.of(), holdings.update(at(10)));
    ground.demand.put(new MemberName("n2"), 1.0);
    assertEquals(member(2).peerAddress(), holdings.update(at(11)).get(0).to());
  }

  @Test
  void demandIsADecayingAverageWithTheStatedHalfLife() {
    DemandEstimate demand = new DemandEstimate(new TimeSpan(1_000_000));
    assertEquals(0, demand.update(0, at(0)));
    assertEquals(50, demand.update(50, at(1)), 1e-9, "it knows its rate by the first second alone");
    for (int seconds = 2; seconds < 30; seconds++) {
      demand.update(50 * seconds, at(seconds));
    }
    double sum = 50 * 29;
    assertEquals(25, demand.update(sum, at(30)), 1e-6);
    assertEquals(12.5, demand.update(sum, at(31)), 1e-6);
  }
}
