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
 * Chooses the only successor of a view by a majority of its members, with one instance of
 * single-decree Paxos per view (Lamport, "Paxos Made Simple", 2001). Phase one also asks the voters
 * which members to retain. Each function takes the state of a process and an event, and returns the
 * next state and the messages to send.
 *
 * <p>Voters are identified by name and incarnation. A process that restarts without its folder has
 * another incarnation, which no view contains, so it has no vote until a successor adds it.
 */
final class ViewChange {
  private ViewChange() {}

  /** The state after an event, and the messages to send. */
  record Transition(ViewState state, List<OutgoingMessage> messages) {
    Transition(ViewState state, OutgoingMessage... messages) {
      this(state, List.of(messages));
    }
  }

  /**
   * A message to a member of the view, possibly this process itself; a decision also goes to the
   * added members.
   */
  record OutgoingMessage(Member to, MembershipMessage message) {}

  /**
   * Whether a message is about the installed view, and that view contains its sender under the
   * sender's incarnation.
   */
  static boolean isFromVoter(ViewState state, MessageHeader from, ViewId viewId) {
    return state.view() != null
        && state.view().id().equals(viewId)
        && state.view().contains(from.member().name(), from.member().incarnation());
  }

  /**
   * Starts a proposal, with a ballot above all that this process knows of.
   *
   * @param highestRound the highest round of a ballot that this process has received
   */
  static Transition propose(
      ViewState state, MessageHeader self, ViewDelta change, long highestRound) {
    long promisedRound = state.promised() == null ? 0 : state.promised().round();
    Ballot ballot =
        new Ballot(
            Math.max(highestRound, promisedRound) + 1,
            self.member().name(),
            self.member().incarnation());
    ProposalRound round = new ProposalRound(ballot, change, Map.of(), null, Set.of());
    List<MemberName> removed = change.removed().stream().map(Member::name).toList();
    return new Transition(
        state.withRound(round),
        messagesToAll(state.view(), new Prepare(self, state.view().id(), ballot, removed)));
  }

  private static List<OutgoingMessage> messagesToAll(View view, MembershipMessage message) {
    return view.members().stream().map(m -> new OutgoingMessage(m, message)).toList();
  }

  /**
   * Answers a request of phase one as a voter: a promise, or a rejection if a higher ballot was
   * promised.
   *
   * @param retained of the members to be removed, the ones whose removal this voter votes against
   */
  static Transition receivePrepare(
      ViewState state, MessageHeader self, Prepare request, List<MemberName> retained) {
    Member to = request.from().member();
    if (state.promised() != null && request.ballot().compareTo(state.promised()) < 0) {
      return new Transition(
          state,
          new OutgoingMessage(
              to, new Reject(self, request.viewId(), request.ballot(), state.promised())));
    }
    ViewState next =
        new ViewState(
            state.view(), request.ballot(), state.accepted(), state.value(), state.round());
    return new Transition(
        next,
        new OutgoingMessage(
            to,
            new Promise(
                self,
                request.viewId(),
                request.ballot(),
                state.accepted(),
                state.value(),
                retained)));
  }

  /** Counts a promise as the proposer; phase two starts once the votes on removals suffice. */
  static Transition receivePromise(ViewState state, MessageHeader self, Promise vote) {
    ProposalRound round = state.round();
    if (round == null || !round.ballot().equals(vote.ballot()) || round.chosen() != null) {
      return new Transition(state);
    }
    Map<MemberName, ReceivedPromise> promises = new HashMap<>(round.promises());
    promises.put(
        vote.from().member().name(),
        new ReceivedPromise(vote.accepted(), vote.value(), vote.retained()));
    return startAcceptPhase(
        state.withRound(
            new ProposalRound(round.ballot(), round.proposed(), promises, null, Set.of())),
        self,
        false);
  }

  /**
   * Starts phase two if a majority has promised. If any voter that promised had accepted a change,
   * the accepted change of the highest ballot is proposed again. Otherwise the change of this
   * process is proposed, without the removals that no majority of the view agrees to.
   *
   * @param withoutMissingVotes whether to start phase two without the missing votes, which then
   *     count against removals
   */
  static Transition startAcceptPhase(
      ViewState state, MessageHeader self, boolean withoutMissingVotes) {
    ProposalRound round = state.round();
    int majority = state.view().majority();
    if (round == null || round.chosen() != null || round.promises().size() < majority) {
      return new Transition(state);
    }
    ViewDelta chosen = highestAccepted(round);
    if (chosen == null) {
      chosen = agreedChange(state, withoutMissingVotes);
    }
    if (chosen == null) {
      return new Transition(state);
    }
    if (chosen.isEmpty()) {
      return new Transition(state.withRound(null));
    }
    ProposalRound acceptRound =
        new ProposalRound(round.ballot(), round.proposed(), round.promises(), chosen, Set.of());
    return new Transition(
        state.withRound(acceptRound),
        messagesToAll(state.view(), new Accept(self, state.view().id(), round.ballot(), chosen)));
  }

  /** The accepted change with the highest ballot among the promises; null if there is none. */
  private static ViewDelta highestAccepted(ProposalRound round) {
    ViewDelta value = null;
    Ballot highest = null;
    for (ReceivedPromise vote : round.promises().values()) {
      if (vote.accepted() != null && (highest == null || vote.accepted().compareTo(highest) > 0)) {
        highest = vote.accepted();
        value = vote.value();
      }
    }
    return value;
  }

  /**
   * The part of the proposed change that a majority agrees to; null while more votes are needed.
   */
  private static ViewDelta agreedChange(ViewState state, boolean withoutMissingVotes) {
    ViewDelta proposed = state.round().proposed();
    List<Member> removed = agreedRemovals(state, withoutMissingVotes);
    if (removed == null) {
      return null;
    }
    // Adding a member under the name of a retained member would make the name occur twice.
    List<Member> added =
        proposed.added().stream()
            .filter(
                m ->
                    state.view().memberNamed(m.name()) == null
                        || removed.stream().anyMatch(r -> r.name().equals(m.name())))
            .toList();
    // A version is proposed as the successor of a certain version. If another version has taken
    // that place, the proposed version is dropped.
    ConfigurationVersion version = proposed.configuration();
    boolean isNextVersion =
        version != null
            && version.number() == ConfigurationVersion.numberOf(state.view().configuration()) + 1;
    return new ViewDelta(removed, added, isNextVersion ? version : null);
  }

  /** The removals that a majority agrees to; null while missing votes could still add one. */
  private static List<Member> agreedRemovals(ViewState state, boolean withoutMissingVotes) {
    ProposalRound round = state.round();
    int majority = state.view().majority();
    int missingVotes = state.view().members().size() - round.promises().size();
    List<Member> removed = new ArrayList<>();
    for (Member member : round.proposed().removed()) {
      int agreeing = 0;
      for (ReceivedPromise vote : round.promises().values()) {
        agreeing += vote.retained().contains(member.name()) ? 0 : 1;
      }
      if (agreeing >= majority) {
        removed.add(member);
      } else if (!withoutMissingVotes && agreeing + missingVotes >= majority) {
        return null;
      }
    }
    return removed;
  }

  /** Repeats the request of the current phase to the members that have not answered. */
  static Transition resendUnanswered(ViewState state, MessageHeader self) {
    ProposalRound round = state.round();
    MembershipMessage message =
        round.chosen() == null
            ? new Prepare(
                self,
                state.view().id(),
                round.ballot(),
                round.proposed().removed().stream().map(Member::name).toList())
            : new Accept(self, state.view().id(), round.ballot(), round.chosen());
    Set<MemberName> answered =
        round.chosen() == null ? round.promises().keySet() : round.acceptedBy();
    return new Transition(
        state,
        messagesToAll(state.view(), message).stream()
            .filter(m -> !answered.contains(m.to().name()))
            .toList());
  }

  /** Answers a request of phase two as a voter: an acceptance, or a rejection. */
  static Transition receiveAccept(ViewState state, MessageHeader self, Accept request) {
    Member to = request.from().member();
    if (state.promised() != null && request.ballot().compareTo(state.promised()) < 0) {
      return new Transition(
          state,
          new OutgoingMessage(
              to, new Reject(self, request.viewId(), request.ballot(), state.promised())));
    }
    ViewState next =
        new ViewState(
            state.view(), request.ballot(), request.ballot(), request.value(), state.round());
    return new Transition(
        next, new OutgoingMessage(to, new Accepted(self, request.viewId(), request.ballot())));
  }

  /** Counts an acceptance as the proposer; acceptances by a majority decide the change. */
  static Transition receiveAccepted(ViewState state, MessageHeader self, Accepted vote) {
    ProposalRound round = state.round();
    if (round == null || round.chosen() == null || !round.ballot().equals(vote.ballot())) {
      return new Transition(state);
    }
    Set<MemberName> acceptedBy = new HashSet<>(round.acceptedBy());
    acceptedBy.add(vote.from().member().name());
    ProposalRound updatedRound =
        new ProposalRound(
            round.ballot(), round.proposed(), round.promises(), round.chosen(), acceptedBy);
    if (acceptedBy.size() < state.view().majority()) {
      return new Transition(state.withRound(updatedRound));
    }
    View next = state.view().apply(round.chosen());
    List<OutgoingMessage> messages = new ArrayList<>();
    Decided decided = new Decided(self, state.view().id(), round.chosen());
    // Removed members receive the decision as well.
    state.view().members().forEach(m -> messages.add(new OutgoingMessage(m, decided)));
    round.chosen().added().forEach(m -> messages.add(new OutgoingMessage(m, decided)));
    return new Transition(ViewState.of(next), messages);
  }
}
