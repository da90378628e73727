package cobaltseam.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.SuccessionExploration.Bounds;
import cobaltseam.membership.SuccessionExploration.Mutant;
import cobaltseam.membership.ViewChange.Step;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The choice of a view's one successor. */
class SuccessionTest {
  private static final int MOST_STATES = 150_000;

  private static Member member(String name, long birth) {
    return new Member(
        new MemberName(name), new Incarnation(birth), InetSocketAddress.createUnresolved(name, 1));
  }

  private static final View VIEW =
      View.of(
          new ViewId(7, 3),
          List.of(member("a", 1), member("b", 1), member("c", 1), member("d", 1), member("e", 1)));

  private static MessageHeader teller(String name) {
    return new MessageHeader(member(name, 1), 0, VIEW.id(), true);
  }

  private static Promise promise(
      String from, Ballot ballot, Ballot accepted, ViewDelta value, String... stay) {
    return new Promise(
        teller(from),
        VIEW.id(),
        ballot,
        accepted,
        value,
        java.util.Arrays.stream(stay).map(MemberName::new).toList());
  }

  @Test
  void noTwoSetsUnderOneNumberWhateverIsLostDoubledOrForgotten() {
    for (boolean folders : new boolean[] {false, true}) {
      SuccessionExploration two =
          new SuccessionExploration(new Bounds(3, 2, 1, 0, folders, Mutant.NONE), MOST_STATES);
      assertNull(two.run());
      assertTrue(two.states() > 10_000, "states " + two.states());
    }
  }

  @ParameterizedTest
  @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void eachMistakeIsFound(Mutant mutant) {
    assertNotNull(
        new SuccessionExploration(
                new Bounds(3, 2, 1, 0, mutant == Mutant.TELLS_BEFORE_IT_IS_KEPT, mutant),
                MOST_STATES)
            .run(),
        mutant + " was not found");
  }

  @Test
  void nobodyIsTakenOutWithoutAMajorityThatAgrees() {
    ViewDelta wanted = new ViewDelta(List.of(member("d", 1), member("e", 1)), List.of());
    Step tried = ViewChange.propose(ViewState.of(VIEW), teller("a"), wanted, 0);
    Ballot ballot = tried.seat().round().ballot();
    ViewState seat =
        ViewChange.promised(tried.seat(), teller("a"), promise("a", ballot, null, null)).seat();
    seat = ViewChange.promised(seat, teller("a"), promise("b", ballot, null, null, "e")).seat();
    Step third = ViewChange.promised(seat, teller("a"), promise("c", ballot, null, null, "e"));
    assertNull(
        third.seat().round().chosen(),
        "three promises: two say that e stays, and two votes are out");
    Step late = ViewChange.proceed(third.seat(), teller("a"), true);
    assertEquals(
        new ViewDelta(List.of(member("d", 1)), List.of()),
        late.seat().round().chosen(),
        "without them e stays");
  }

  @Test
  void whoComesInUnderANameThatStaysDoesNot() {
    ViewDelta wanted =
        new ViewDelta(List.of(member("e", 1)), List.of(member("e", 2), member("f", 1)));
    Step tried = ViewChange.propose(ViewState.of(VIEW), teller("a"), wanted, 0);
    ViewState seat = tried.seat();
    for (String voter : List.of("a", "b", "c")) {
      seat =
          ViewChange.promised(
                  seat, teller("a"), promise(voter, seat.round().ballot(), null, null, "e"))
              .seat();
    }
    assertEquals(new ViewDelta(List.of(), List.of(member("f", 1))), seat.round().chosen());
  }

  @Test
  void whatAMajorityMayHaveAcceptedIsProposedAgain() {
    ViewDelta old = new ViewDelta(List.of(member("b", 1)), List.of());
    ViewDelta newer = new ViewDelta(List.of(member("c", 1)), List.of());
    Step tried =
        ViewChange.propose(
            ViewState.of(VIEW), teller("a"), new ViewDelta(List.of(member("e", 1)), List.of()), 9);
    ViewState seat = tried.seat();
    Ballot ballot = seat.round().ballot();
    Ballot low = new Ballot(3, new MemberName("d"), new Incarnation(1));
    Ballot high = new Ballot(4, new MemberName("b"), new Incarnation(1));
    seat = ViewChange.promised(seat, teller("a"), promise("a", ballot, null, null)).seat();
    seat = ViewChange.promised(seat, teller("a"), promise("b", ballot, low, old)).seat();
    seat = ViewChange.promised(seat, teller("a"), promise("c", ballot, high, newer, "e")).seat();
    assertEquals(
        newer,
        seat.round().chosen(),
        "the value of the highest ballot, whoever says that somebody stays");
  }

  @Test
  void aVoterKeepsToItsPromiseAndTellsWhich() {
    Ballot high = new Ballot(5, new MemberName("b"), new Incarnation(1));
    Ballot low = new Ballot(4, new MemberName("c"), new Incarnation(1));
    Step promised =
        ViewChange.prepare(
            ViewState.of(VIEW),
            teller("a"),
            new Prepare(teller("b"), VIEW.id(), high, List.of()),
            List.of());
    Step refused =
        ViewChange.accept(
            promised.seat(),
            teller("a"),
            new Accept(
                teller("c"), VIEW.id(), low, new ViewDelta(List.of(member("e", 1)), List.of())));
    assertEquals(promised.seat(), refused.seat());
    assertEquals(high, ((MembershipMessage.Reject) refused.tells().get(0).message()).promised());
  }

  @Test
  void aVoteOfAnotherBirthOrViewDoesNotCount() {
    assertTrue(ViewChange.counts(ViewState.of(VIEW), teller("b"), VIEW.id()));
    MessageHeader anew = new MessageHeader(member("b", 2), 0, VIEW.id(), true);
    assertTrue(!ViewChange.counts(ViewState.of(VIEW), anew, VIEW.id()), "it started anew");
    assertTrue(
        !ViewChange.counts(ViewState.of(VIEW), teller("f"), VIEW.id()), "it is not in the view");
    assertTrue(
        !ViewChange.counts(ViewState.of(VIEW), teller("b"), new ViewId(7, 2)),
        "it speaks of an older view");
    assertTrue(
        !ViewChange.counts(ViewState.of(VIEW), teller("b"), new ViewId(8, 3)),
        "it speaks of another line");
  }
}
