package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.Accepted;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.MembershipMessage.Reject;
import cobaltseam.membership.ViewState.ProposalRound;
import cobaltseam.membership.ViewState.ReceivedPromise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the one successor of a view by a majority of it: a single-decree Paxos a view (Lamport,
 * "Paxos Made Simple", 2001), whose first phase also polls who should stay. From a seat and what
 * happens to a seat and what is told then; values only.
 *
 * <p>A vote counts by name and birth. A process that starts anew without its folder has another
 * birth, so no view holds it: it can neither be asked nor counted until a successor takes it in.
 */
final class ViewChange {
  private ViewChange() {}

  /** What follows: the seat then, and what is told to whom. */
  record Step(ViewState seat, List<OutgoingMessage> tells) {
    Step(ViewState seat, OutgoingMessage... tells) {
      this(seat, List.of(tells));
    }
  }

  /** A message to a member of the view, possibly this process itself. */
  record OutgoingMessage(Member to, MembershipMessage message) {}

  /**
   * Whether a message of the choice comes from a process that the seat's view holds, and is of that
   * view.
   */
  static boolean counts(ViewState seat, MessageHeader from, ViewId of) {
    return seat.view() != null
        && seat.view().id().equals(of)
        && seat.view().contains(from.member().name(), from.member().incarnation());
  }

  /** Begins a try with a ballot above all that is known here. */
  static Step propose(ViewState seat, MessageHeader self, ViewDelta wanted, long above) {
    long known = seat.promised() == null ? 0 : seat.promised().round();
    Ballot ballot =
        new Ballot(Math.max(above, known) + 1, self.member().name(), self.member().incarnation());
    ProposalRound round = new ProposalRound(ballot, wanted, Map.of(), null, Set.of());
    List<MemberName> out = wanted.removed().stream().map(Member::name).toList();
    return new Step(
        seat.with(round), toAll(seat.view(), new Prepare(self, seat.view().id(), ballot, out)));
  }

  private static List<OutgoingMessage> toAll(View view, MembershipMessage message) {
    return view.members().stream().map(m -> new OutgoingMessage(m, message)).toList();
  }

  /**
   * A voter's answer to phase one; {@code stay} are those of the named whom it would not take out.
   */
  static Step prepare(ViewState seat, MessageHeader self, Prepare asked, List<MemberName> stay) {
    Member to = asked.from().member();
    if (seat.promised() != null && asked.ballot().compareTo(seat.promised()) < 0) {
      return new Step(
          seat,
          new OutgoingMessage(
              to, new Reject(self, asked.viewId(), asked.ballot(), seat.promised())));
    }
    ViewState then =
        new ViewState(seat.view(), asked.ballot(), seat.accepted(), seat.value(), seat.round());
    return new Step(
        then,
        new OutgoingMessage(
            to,
            new Promise(
                self, asked.viewId(), asked.ballot(), seat.accepted(), seat.value(), stay)));
  }

  /** A promise came to the process that tries; phase two follows once it is known who stays. */
  static Step promised(ViewState seat, MessageHeader self, Promise vote) {
    ProposalRound round = seat.round();
    if (round == null || !round.ballot().equals(vote.ballot()) || round.chosen() != null) {
      return new Step(seat);
    }
    Map<MemberName, ReceivedPromise> promises = new HashMap<>(round.promises());
    promises.put(
        vote.from().member().name(),
        new ReceivedPromise(vote.accepted(), vote.value(), vote.retained()));
    return proceed(
        seat.with(new ProposalRound(round.ballot(), round.wanted(), promises, null, Set.of())),
        self,
        false);
  }

  /**
   * Goes on to phase two where a majority promised. What any of them had accepted must be proposed
   * again, the one of the highest ballot. Else what is wanted is, less all whom a majority of the
   * view does not agree to take out.
   *
   * @param now whether to go on without the votes that have not come, which count as for staying
   */
  static Step proceed(ViewState seat, MessageHeader self, boolean now) {
    ProposalRound round = seat.round();
    int majority = seat.view().majority();
    if (round == null || round.chosen() != null || round.promises().size() < majority) {
      return new Step(seat);
    }
    ViewDelta chosen = null;
    Ballot highest = null;
    for (ReceivedPromise vote : round.promises().values()) {
      if (vote.accepted() != null && (highest == null || vote.accepted().compareTo(highest) > 0)) {
        highest = vote.accepted();
        chosen = vote.value();
      }
    }
    if (chosen == null) {
      List<Member> out = new ArrayList<>();
      for (Member m : round.wanted().removed()) {
        int agree = 0;
        for (ReceivedPromise vote : round.promises().values()) {
          agree += vote.stay().contains(m.name()) ? 0 : 1;
        }
        int open = seat.view().members().size() - round.promises().size();
        if (agree >= majority) {
          out.add(m);
        } else if (!now && agree + open >= majority) {
          return new Step(seat);
        }
      }
      // Who comes in under a name that stays would hold it twice.
      List<Member> in =
          round.wanted().added().stream()
              .filter(
                  m ->
                      seat.view().of(m.name()) == null
                          || out.stream().anyMatch(o -> o.name().equals(m.name())))
              .toList();
      // Against the edition that it follows: where another came first it is void.
      boolean next =
          round.wanted().configuration() != null
              && round.wanted().configuration().number()
                  == ConfigurationVersion.number(seat.view().configuration()) + 1;
      chosen = new ViewDelta(out, in, next ? round.wanted().configuration() : null);
    }
    if (chosen.isEmpty()) {
      return new Step(seat.with((ProposalRound) null));
    }
    ProposalRound accepting =
        new ProposalRound(round.ballot(), round.wanted(), round.promises(), chosen, Set.of());
    return new Step(
        seat.with(accepting),
        toAll(seat.view(), new Accept(self, seat.view().id(), round.ballot(), chosen)));
  }

  /** The same again to those whose answer is missing: a datagram may be lost. */
  static Step again(ViewState seat, MessageHeader self) {
    ProposalRound round = seat.round();
    MembershipMessage message =
        round.chosen() == null
            ? new Prepare(
                self,
                seat.view().id(),
                round.ballot(),
                round.wanted().removed().stream().map(Member::name).toList())
            : new Accept(self, seat.view().id(), round.ballot(), round.chosen());
    Set<MemberName> came = round.chosen() == null ? round.promises().keySet() : round.accepts();
    return new Step(
        seat,
        toAll(seat.view(), message).stream().filter(t -> !came.contains(t.to().name())).toList());
  }

  /** A voter's answer to phase two. */
  static Step accept(ViewState seat, MessageHeader self, Accept asked) {
    Member to = asked.from().member();
    if (seat.promised() != null && asked.ballot().compareTo(seat.promised()) < 0) {
      return new Step(
          seat,
          new OutgoingMessage(
              to, new Reject(self, asked.viewId(), asked.ballot(), seat.promised())));
    }
    ViewState then =
        new ViewState(seat.view(), asked.ballot(), asked.ballot(), asked.value(), seat.round());
    return new Step(
        then, new OutgoingMessage(to, new Accepted(self, asked.viewId(), asked.ballot())));
  }

  /** An acceptance came to the process that tries; a majority of them decides. */
  static Step accepted(ViewState seat, MessageHeader self, Accepted vote) {
    ProposalRound round = seat.round();
    if (round == null || round.chosen() == null || !round.ballot().equals(vote.ballot())) {
      return new Step(seat);
    }
    Set<MemberName> accepts = new HashSet<>(round.accepts());
    accepts.add(vote.from().member().name());
    ProposalRound counted =
        new ProposalRound(
            round.ballot(), round.wanted(), round.promises(), round.chosen(), accepts);
    if (accepts.size() < seat.view().majority()) {
      return new Step(seat.with(counted));
    }
    View next = seat.view().apply(round.chosen());
    List<OutgoingMessage> tells = new ArrayList<>();
    Decided decided = new Decided(self, seat.view().id(), round.chosen());
    // Those taken out hear of it too, where they can.
    seat.view().members().forEach(m -> tells.add(new OutgoingMessage(m, decided)));
    round.chosen().added().forEach(m -> tells.add(new OutgoingMessage(m, decided)));
    return new Step(ViewState.of(next), tells);
  }
}
