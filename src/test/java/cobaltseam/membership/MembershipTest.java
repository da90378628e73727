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

/**
 * Membership of a few processes whose messages arrive immediately: duplicate names, incarnations
 * across restarts, the bound on known peers, and leaving.
 */
class MembershipTest {
  private static final TimeSpan PERIOD = new TimeSpan(1_000_000);

  private final Map<InetSocketAddress, Membership> members = new HashMap<>();
  private final List<MembershipAction.EventRecorded> events = new ArrayList<>();
  private Timestamp now = new Timestamp(1_000_000);

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  /** Starts a member; an earlier one at the same port receives no more messages. */
  private Membership startMember(String name, long incarnation, int port, int... seeds) {
    List<InetSocketAddress> seedAddresses =
        java.util.Arrays.stream(seeds).mapToObj(MembershipTest::address).toList();
    MembershipOptions options =
        new MembershipOptions(
            PERIOD, 2, 3, List.of(new MemberName("a")), seedAddresses, new TimeSpan(3_000_000));
    Membership member =
        new Membership(
            options,
            new Member(new MemberName(name), new Incarnation(incarnation), address(port)),
            new SplittableRandom(port));
    members.put(address(port), member);
    deliver(member.start(now));
    return member;
  }

  /** Delivers each message immediately; a message to an address without a member is lost. */
  private void deliver(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send && members.containsKey(send.to())) {
        deliver(members.get(send.to()).receive(send.message(), now));
      } else if (action instanceof MembershipAction.EventRecorded event) {
        events.add(event);
      }
    }
  }

  /** Advances the time and calls the timer of each member when it is due. */
  private void advance(double periods) {
    Timestamp until = now.plus(PERIOD.times(periods));
    while (now.isBefore(until)) {
      now = now.plus(PERIOD.times(0.125));
      for (Membership member : List.copyOf(members.values())) {
        if (member.nextWakeup(now) != null
            && !now.isBefore(member.nextWakeup(now.minus(PERIOD.times(0.125))))) {
          deliver(member.onTimer(now));
        }
      }
    }
  }

  private boolean isRecorded(MembershipAction.MembershipEvent event) {
    return events.stream().anyMatch(e -> e.event() == event);
  }

  @Test
  void secondProcessWithSameNameIsRejectedAndRecordsNameTaken() {
    Membership first = startMember("a", 1, 1);
    Membership second = startMember("b", 2, 2, 1);
    advance(15);
    assertEquals(2, first.view().members().size());
    Membership duplicate = startMember("b", 9, 3, 1);
    advance(20);
    assertTrue(isRecorded(MembershipAction.MembershipEvent.NAME_TAKEN));
    assertNull(duplicate.view(), "a process with a name in use must not be added to a view");
    assertTrue(
        first.view().contains(second.self().name(), second.self().incarnation()),
        "the live member must remain in the view: " + first.view());
    members.remove(address(2));
    advance(60);
    assertTrue(
        first.view().contains(duplicate.self().name(), duplicate.self().incarnation()),
        "a process must be admitted once the former one of its name is dead: " + first.view());
  }

  @Test
  void restartWithEarlierClockTakesHigherIncarnation() {
    Membership first = startMember("a", 1_000, 1);
    startMember("b", 5_000, 2, 1);
    advance(15);
    members.remove(address(2));
    Membership restarted = startMember("b", 10, 2, 1);
    advance(40);
    assertTrue(
        restarted.self().incarnation().value() > 5_000,
        "incarnation " + restarted.self().incarnation());
    assertTrue(
        first.view().contains(restarted.self().name(), restarted.self().incarnation()),
        first.view().toString());
  }

  @Test
  void lateMessageOfFormerIncarnationIsIgnored() {
    Membership first = startMember("a", 1, 1);
    Membership former = startMember("b", 2, 2, 1);
    advance(15);
    members.remove(address(2));
    Membership later = startMember("b", 3, 2, 1);
    advance(20);
    View view = first.view();
    assertTrue(view.contains(later.self().name(), later.self().incarnation()));
    MembershipMessage.MessageHeader formerHeader =
        new MembershipMessage.MessageHeader(
            former.self(), 50, former.view() == null ? ViewId.NONE : former.view().id(), true);
    deliver(
        first.receive(
            new MembershipMessage.StatePart(
                formerHeader,
                List.of(
                    new MemberUpdate(later.self(), 99, MemberCondition.DEAD, former.self().name())),
                false),
            now));
    advance(5);
    assertEquals(view, first.view());
  }

  @Test
  void knownPeersAreBounded() {
    Membership first = startMember("a", 1, 1);
    Member reporter = new Member(new MemberName("reporter"), new Incarnation(1), address(9));
    for (int i = 0; i < 6000; i += 20) {
      List<MemberUpdate> updates = new ArrayList<>();
      for (int index = i; index < i + 20; index++) {
        updates.add(
            new MemberUpdate(
                new Member(
                    new MemberName("x" + index), new Incarnation(1), address(10_000 + index)),
                0,
                MemberCondition.ALIVE,
                reporter.name()));
      }
      first.receive(
          new MembershipMessage.StatePart(
              new MembershipMessage.MessageHeader(reporter, 0, ViewId.NONE, false), updates, true),
          now);
    }
    assertTrue(
        first.memberStatuses().size() <= 4096, "known peers: " + first.memberStatuses().size());
  }

  @Test
  void leavingMemberIsNotSuspected() {
    Membership first = startMember("a", 1, 1);
    Membership second = startMember("b", 2, 2, 1);
    Membership third = startMember("c", 3, 3, 1);
    advance(20);
    assertEquals(3, first.view().members().size());
    events.clear();
    deliver(third.leave(now));
    members.remove(address(3));
    advance(4);
    assertEquals(2, first.view().members().size());
    assertEquals(first.view(), second.view());
    assertFalse(isRecorded(MembershipAction.MembershipEvent.SUSPECTED));
  }

  private static MembershipAction.Persist lastWrite(List<MembershipAction> actions) {
    return actions.stream()
        .filter(MembershipAction.Persist.class::isInstance)
        .map(MembershipAction.Persist.class::cast)
        .reduce((earlier, later) -> later)
        .orElse(null);
  }

  private static boolean installsView(List<MembershipAction> actions) {
    return actions.stream().anyMatch(MembershipAction.ViewInstalled.class::isInstance);
  }

  /** Runs a single bootstrap member until it requests a write, and returns that. */
  private MembershipAction.Persist advanceToWrite(Membership member) {
    for (int i = 0; i < 1000; i++) {
      now = now.plus(PERIOD.times(0.125));
      List<MembershipAction> actions = member.onTimer(now);
      assertFalse(installsView(actions), "a view was installed before it was written");
      if (lastWrite(actions) != null) {
        return lastWrite(actions);
      }
    }
    throw new AssertionError("no write was requested");
  }

  private Membership startMemberWithFolder() {
    MembershipOptions options =
        new MembershipOptions(
            PERIOD, 2, 3, List.of(new MemberName("a")), List.of(), new TimeSpan(3_000_000));
    Member self = new Member(new MemberName("a"), new Incarnation(1), address(1));
    return Membership.withFolder(options, self, null, new SplittableRandom(1));
  }

  /**
   * Guards against a member that stores nothing any more, though its folder can be written again.
   */
  @Test
  void stateIsWrittenAgainOnceTheOutageOfTheFolderEnds() {
    Membership member = startMemberWithFolder();
    MembershipAction.Persist first = lastWrite(member.start(now));
    member.onStateWritten(first.number());
    MembershipAction.Persist failed = advanceToWrite(member);
    List<MembershipAction> atOutage = member.onStateWriteFailed("full", now);
    assertNull(lastWrite(atOutage), "a state that is outdated at once must not be written");
    assertFalse(member.isPersistent());

    List<MembershipAction> atRecovery = member.onStateWritten(failed.number());
    assertTrue(member.isPersistent());
    MembershipAction.Persist current = lastWrite(atRecovery);
    assertEquals(member.self(), current.state().self());
    assertTrue(current.number() > failed.number());
  }

  /** Guards against messages that depend on a state which is only about to be written. */
  @Test
  void viewIsInstalledOnceItIsWrittenAfterAnOutageOfTheFolder() {
    Membership member = startMemberWithFolder();
    MembershipAction.Persist first = lastWrite(member.start(now));
    member.onStateWriteFailed("full", now);
    MembershipAction.Persist current = lastWrite(member.onStateWritten(first.number()));
    MembershipAction.Persist newer = advanceToWrite(member);
    assertTrue(newer.number() > current.number());
    List<MembershipAction> actions = List.of();
    for (MembershipAction.Persist write = newer; !installsView(actions); ) {
      actions = member.onStateWritten(write.number());
      if (!installsView(actions)) {
        write = advanceToWrite(member);
      }
    }
    assertTrue(member.view().contains(member.self().name(), member.self().incarnation()));
  }
}
