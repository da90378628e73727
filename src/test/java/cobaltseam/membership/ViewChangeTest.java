package cobaltseam.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.ViewChange.Transition;
import cobaltseam.membership.ViewChangeExploration.Bounds;
import cobaltseam.membership.ViewChangeExploration.Mutant;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how the members of a view choose its only successor. */
class ViewChangeTest {
  private static final int MAX_STATES = 150_000;

  private static Member member(String name, long incarnation) {
    return new Member(
        new MemberName(name),
        new Incarnation(incarnation),
        InetSocketAddress.createUnresolved(name, 1));
  }

  private static final View VIEW =
      View.of(
          new ViewId(7, 3),
          List.of(member("a", 1), member("b", 1), member("c", 1), member("d", 1), member("e", 1)));

  private static MessageHeader header(String name) {
    return new MessageHeader(member(name, 1), 0, VIEW.id(), true);
  }

  private static Promise promise(
      String from, Ballot ballot, Ballot accepted, ViewDelta value, String... retained) {
    return new Promise(
        header(from),
        VIEW.id(),
        ballot,
        accepted,
        value,
        java.util.Arrays.stream(retained).map(MemberName::new).toList());
  }

  @Test
  void explorationFindsNoDifferentViewsWithSameNumber() {
    for (boolean hasFolders : new boolean[] {false, true}) {
      ViewChangeExploration exploration =
          new ViewChangeExploration(new Bounds(3, 2, 1, 0, hasFolders, Mutant.NONE), MAX_STATES);
      assertNull(exploration.run());
      assertTrue(exploration.stateCount() > 10_000, "explored states: " + exploration.stateCount());
    }
  }

  @ParameterizedTest
  @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void explorationDetectsEachMutant(Mutant mutant) {
    assertNotNull(
        new ViewChangeExploration(
                new Bounds(3, 2, 1, 0, mutant == Mutant.SENDS_BEFORE_PERSISTED, mutant), MAX_STATES)
            .run(),
        mutant + " was not detected");
  }

  @Test
  void removalNeedsAgreementOfMajority() {
    ViewDelta wanted = new ViewDelta(List.of(member("d", 1), member("e", 1)), List.of());
    Transition proposal = ViewChange.propose(ViewState.of(VIEW), header("a"), wanted, 0);
    Ballot ballot = proposal.state().round().ballot();
    ViewState state =
        ViewChange.receivePromise(proposal.state(), header("a"), promise("a", ballot, null, null))
            .state();
    state =
        ViewChange.receivePromise(state, header("a"), promise("b", ballot, null, null, "e"))
            .state();
    Transition afterThirdPromise =
        ViewChange.receivePromise(state, header("a"), promise("c", ballot, null, null, "e"));
    assertNull(
        afterThirdPromise.state().round().chosen(),
        "two of three promises retain e, and two votes are missing");
    Transition afterVoteTimeout =
        ViewChange.startAcceptPhase(afterThirdPromise.state(), header("a"), true);
    assertEquals(
        new ViewDelta(List.of(member("d", 1)), List.of()),
        afterVoteTimeout.state().round().chosen(),
        "without the missing votes e is retained");
  }

  @Test
  void memberIsNotAddedUnderRetainedName() {
    ViewDelta wanted =
        new ViewDelta(List.of(member("e", 1)), List.of(member("e", 2), member("f", 1)));
    Transition proposal = ViewChange.propose(ViewState.of(VIEW), header("a"), wanted, 0);
    ViewState state = proposal.state();
    for (String voter : List.of("a", "b", "c")) {
      state =
          ViewChange.receivePromise(
                  state, header("a"), promise(voter, state.round().ballot(), null, null, "e"))
              .state();
    }
    assertEquals(new ViewDelta(List.of(), List.of(member("f", 1))), state.round().chosen());
  }

  @Test
  void acceptedChangeOfHighestBallotIsProposedAgain() {
    ViewDelta lowerChange = new ViewDelta(List.of(member("b", 1)), List.of());
    ViewDelta higherChange = new ViewDelta(List.of(member("c", 1)), List.of());
    Transition proposal =
        ViewChange.propose(
            ViewState.of(VIEW), header("a"), new ViewDelta(List.of(member("e", 1)), List.of()), 9);
    ViewState state = proposal.state();
    Ballot ballot = state.round().ballot();
    Ballot low = new Ballot(3, new MemberName("d"), new Incarnation(1));
    Ballot high = new Ballot(4, new MemberName("b"), new Incarnation(1));
    state = ViewChange.receivePromise(state, header("a"), promise("a", ballot, null, null)).state();
    state =
        ViewChange.receivePromise(state, header("a"), promise("b", ballot, low, lowerChange))
            .state();
    state =
        ViewChange.receivePromise(state, header("a"), promise("c", ballot, high, higherChange, "e"))
            .state();
    assertEquals(
        higherChange,
        state.round().chosen(),
        "the accepted change of the highest ballot, whichever members are retained");
  }

  @Test
  void voterRejectsLowerBallotAndReportsPromisedBallot() {
    Ballot high = new Ballot(5, new MemberName("b"), new Incarnation(1));
    Ballot low = new Ballot(4, new MemberName("c"), new Incarnation(1));
    Transition promised =
        ViewChange.receivePrepare(
            ViewState.of(VIEW),
            header("a"),
            new Prepare(header("b"), VIEW.id(), high, List.of()),
            List.of());
    Transition rejected =
        ViewChange.receiveAccept(
            promised.state(),
            header("a"),
            new Accept(
                header("c"), VIEW.id(), low, new ViewDelta(List.of(member("e", 1)), List.of())));
    assertEquals(promised.state(), rejected.state());
    assertEquals(
        high, ((MembershipMessage.Reject) rejected.messages().get(0).message()).promised());
  }

  @Test
  void voteOfOtherIncarnationOrViewDoesNotCount() {
    assertTrue(ViewChange.isFromVoter(ViewState.of(VIEW), header("b"), VIEW.id()));
    MessageHeader restarted = new MessageHeader(member("b", 2), 0, VIEW.id(), true);
    assertTrue(
        !ViewChange.isFromVoter(ViewState.of(VIEW), restarted, VIEW.id()),
        "the sender has another incarnation");
    assertTrue(
        !ViewChange.isFromVoter(ViewState.of(VIEW), header("f"), VIEW.id()),
        "the sender is not in the view");
    assertTrue(
        !ViewChange.isFromVoter(ViewState.of(VIEW), header("b"), new ViewId(7, 2)),
        "the message is about an earlier view");
    assertTrue(
        !ViewChange.isFromVoter(ViewState.of(VIEW), header("b"), new ViewId(8, 3)),
        "the message is about another lineage");
  }
}
