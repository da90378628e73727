package cobaltseam.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Names, births and bounds, between a few members that hear each other at once. */
class MembershipTest {
  private static final TimeSpan PERIOD = new TimeSpan(1_000_000);

  private final Map<InetSocketAddress, Membership> at = new HashMap<>();
  private final List<MembershipAction.EventRecorded> noted = new ArrayList<>();
  private Timestamp now = new Timestamp(1_000_000);

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  private Membership member(String name, long birth, int port, int... seeds) {
    List<InetSocketAddress> of =
        java.util.Arrays.stream(seeds).mapToObj(MembershipTest::address).toList();
    MembershipOptions terms =
        new MembershipOptions(
            PERIOD, 2, 3, List.of(new MemberName("a")), of, new TimeSpan(3_000_000));
    Membership m =
        new Membership(
            terms,
            new Member(new MemberName(name), new Incarnation(birth), address(port)),
            new SplittableRandom(port));
    at.put(address(port), m);
    carry(m.start(now));
    return m;
  }

  /** Each message is heard at once; what nobody has an address for is lost. */
  private void carry(List<MembershipAction> acts) {
    for (MembershipAction act : acts) {
      if (act instanceof MembershipAction.Send tell && at.containsKey(tell.to())) {
        carry(at.get(tell.to()).heard(tell.message(), now));
      } else if (act instanceof MembershipAction.EventRecorded n) {
        noted.add(n);
      }
    }
  }

  private void pass(double periods) {
    Timestamp until = now.plus(PERIOD.times(periods));
    while (now.isBefore(until)) {
      now = now.plus(PERIOD.times(0.125));
      for (Membership m : List.copyOf(at.values())) {
        if (m.wake(now) != null && !now.isBefore(m.wake(now.minus(PERIOD.times(0.125))))) {
          carry(m.due(now));
        }
      }
    }
  }

  private boolean isNoted(MembershipAction.MembershipEvent event) {
    return noted.stream().anyMatch(n -> n.event() == event);
  }

  @Test
  void theSecondOfOneNameIsRefusedAndSaysSo() {
    Membership a = member("a", 1, 1);
    Membership b = member("b", 2, 2, 1);
    pass(15);
    assertEquals(2, a.view().members().size());
    Membership second = member("b", 9, 3, 1);
    pass(20);
    assertTrue(isNoted(MembershipAction.MembershipEvent.NAME_TAKEN));
    assertNull(second.view(), "it is not taken in");
    assertTrue(
        a.view().contains(b.self().name(), b.self().incarnation()),
        "the one that lives stays: " + a.view());
    at.remove(address(2));
    pass(60);
    assertTrue(
        a.view().contains(second.self().name(), second.self().incarnation()),
        "once the first is dead the name is free: " + a.view());
  }

  @Test
  void aProcessWhoseClockWentBackIsTheLaterOneAllTheSame() {
    Membership a = member("a", 1_000, 1);
    member("b", 5_000, 2, 1);
    pass(15);
    at.remove(address(2));
    Membership anew = member("b", 10, 2, 1);
    pass(40);
    assertTrue(anew.self().incarnation().value() > 5_000, "birth " + anew.self().incarnation());
    assertTrue(
        a.view().contains(anew.self().name(), anew.self().incarnation()), a.view().toString());
  }

  @Test
  void lateWordsOfAFormerProcessChangeNothing() {
    Membership a = member("a", 1, 1);
    Membership former = member("b", 2, 2, 1);
    pass(15);
    at.remove(address(2));
    Membership later = member("b", 3, 2, 1);
    pass(20);
    View view = a.view();
    assertTrue(view.contains(later.self().name(), later.self().incarnation()));
    MembershipMessage.MessageHeader old =
        new MembershipMessage.MessageHeader(
            former.self(), 50, former.view() == null ? ViewId.NONE : former.view().id(), true);
    carry(
        a.heard(
            new MembershipMessage.StatePart(
                old,
                List.of(
                    new MemberUpdate(later.self(), 99, MemberCondition.DEAD, former.self().name())),
                false),
            now));
    pass(5);
    assertEquals(view, a.view());
  }

  @Test
  void namesWithoutEndAreNotKept() {
    Membership a = member("a", 1, 1);
    Member liar = new Member(new MemberName("liar"), new Incarnation(1), address(9));
    for (int i = 0; i < 6000; i += 20) {
      List<MemberUpdate> news = new ArrayList<>();
      for (int n = i; n < i + 20; n++) {
        news.add(
            new MemberUpdate(
                new Member(new MemberName("x" + n), new Incarnation(1), address(10_000 + n)),
                0,
                MemberCondition.ALIVE,
                liar.name()));
      }
      a.heard(
          new MembershipMessage.StatePart(
              new MembershipMessage.MessageHeader(liar, 0, ViewId.NONE, false), news, true),
          now);
    }
    assertTrue(a.seen().size() <= 4096, "holds " + a.seen().size());
  }

  @Test
  void whoLeavesIsNotSuspected() {
    Membership a = member("a", 1, 1);
    Membership b = member("b", 2, 2, 1);
    Membership c = member("c", 3, 3, 1);
    pass(20);
    assertEquals(3, a.view().members().size());
    noted.clear();
    carry(c.leave(now));
    at.remove(address(3));
    pass(4);
    assertEquals(2, a.view().members().size());
    assertEquals(a.view(), b.view());
    assertFalse(isNoted(MembershipAction.MembershipEvent.SUSPECTED));
  }
}
