package cobaltseam.membership;

import cobaltseam.membership.Message.Accept;
import cobaltseam.membership.Message.Accepted;
import cobaltseam.membership.Message.Decided;
import cobaltseam.membership.Message.Prepare;
import cobaltseam.membership.Message.Promise;
import cobaltseam.membership.Message.Refuse;
import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Seat.Round;
import cobaltseam.membership.Seat.Vote;
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
final class Succession {
  private Succession() {}

  /** What follows: the seat then, and what is told to whom. */
  record Step(Seat seat, List<Tell> tells) {
    Step(Seat seat, Tell... tells) {
      this(seat, List.of(tells));
    }
  }

  /** A message to a member of the view, possibly this process itself. */
  record Tell(Member to, Message message) {}

  /**
   * Whether a message of the choice comes from a process that the seat's view holds, and is of that
   * view.
   */
  static boolean counts(Seat seat, Teller from, ViewId of) {
    return seat.view() != null
        && seat.view().id().equals(of)
        && seat.view().holds(from.member().name(), from.member().birth());
  }

  /** Begins a try with a ballot above all that is known here. */
  static Step propose(Seat seat, Teller self, Change wanted, long above) {
    long known = seat.promised() == null ? 0 : seat.promised().round();
    Ballot ballot =
        new Ballot(Math.max(above, known) + 1, self.member().name(), self.member().birth());
    Round round = new Round(ballot, wanted, Map.of(), null, Set.of());
    List<MemberName> out = wanted.out().stream().map(Member::name).toList();
    return new Step(
        seat.with(round), toAll(seat.view(), new Prepare(self, seat.view().id(), ballot, out)));
  }

  private static List<Tell> toAll(View view, Message message) {
    return view.members().stream().map(m -> new Tell(m, message)).toList();
  }

  /**
   * A voter's answer to phase one; {@code stay} are those of the named whom it would not take out.
   */
  static Step prepare(Seat seat, Teller self, Prepare asked, List<MemberName> stay) {
    Member to = asked.from().member();
    if (seat.promised() != null && asked.ballot().compareTo(seat.promised()) < 0) {
      return new Step(
          seat, new Tell(to, new Refuse(self, asked.of(), asked.ballot(), seat.promised())));
    }
    Seat then = new Seat(seat.view(), asked.ballot(), seat.accepted(), seat.value(), seat.round());
    return new Step(
        then,
        new Tell(
            to,
            new Promise(self, asked.of(), asked.ballot(), seat.accepted(), seat.value(), stay)));
  }

  /** A promise came to the process that tries; phase two follows once it is known who stays. */
  static Step promised(Seat seat, Teller self, Promise vote) {
    Round round = seat.round();
    if (round == null || !round.ballot().equals(vote.ballot()) || round.chosen() != null) {
      return new Step(seat);
    }
    Map<MemberName, Vote> promises = new HashMap<>(round.promises());
    promises.put(vote.from().member().name(), new Vote(vote.accepted(), vote.value(), vote.stay()));
    return proceed(
        seat.with(new Round(round.ballot(), round.wanted(), promises, null, Set.of())),
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
  static Step proceed(Seat seat, Teller self, boolean now) {
    Round round = seat.round();
    int majority = seat.view().majority();
    if (round == null || round.chosen() != null || round.promises().size() < majority) {
      return new Step(seat);
    }
    Change chosen = null;
    Ballot highest = null;
    for (Vote vote : round.promises().values()) {
      if (vote.accepted() != null && (highest == null || vote.accepted().compareTo(highest) > 0)) {
        highest = vote.accepted();
        chosen = vote.value();
      }
    }
    if (chosen == null) {
      List<Member> out = new ArrayList<>();
      for (Member m : round.wanted().out()) {
        int agree = 0;
        for (Vote vote : round.promises().values()) {
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
          round.wanted().in().stream()
              .filter(
                  m ->
                      seat.view().of(m.name()) == null
                          || out.stream().anyMatch(o -> o.name().equals(m.name())))
              .toList();
      // Against the edition that it follows: where another came first it is void.
      boolean next =
          round.wanted().edition() != null
              && round.wanted().edition().number() == Edition.number(seat.view().edition()) + 1;
      chosen = new Change(out, in, next ? round.wanted().edition() : null);
    }
    if (chosen.isEmpty()) {
      return new Step(seat.with((Round) null));
    }
    Round accepting = new Round(round.ballot(), round.wanted(), round.promises(), chosen, Set.of());
    return new Step(
        seat.with(accepting),
        toAll(seat.view(), new Accept(self, seat.view().id(), round.ballot(), chosen)));
  }

  /** The same again to those whose answer is missing: a datagram may be lost. */
  static Step again(Seat seat, Teller self) {
    Round round = seat.round();
    Message message =
        round.chosen() == null
            ? new Prepare(
                self,
                seat.view().id(),
                round.ballot(),
                round.wanted().out().stream().map(Member::name).toList())
            : new Accept(self, seat.view().id(), round.ballot(), round.chosen());
    Set<MemberName> came = round.chosen() == null ? round.promises().keySet() : round.accepts();
    return new Step(
        seat,
        toAll(seat.view(), message).stream().filter(t -> !came.contains(t.to().name())).toList());
  }

  /** A voter's answer to phase two. */
  static Step accept(Seat seat, Teller self, Accept asked) {
    Member to = asked.from().member();
    if (seat.promised() != null && asked.ballot().compareTo(seat.promised()) < 0) {
      return new Step(
          seat, new Tell(to, new Refuse(self, asked.of(), asked.ballot(), seat.promised())));
    }
    Seat then = new Seat(seat.view(), asked.ballot(), asked.ballot(), asked.value(), seat.round());
    return new Step(then, new Tell(to, new Accepted(self, asked.of(), asked.ballot())));
  }

  /** An acceptance came to the process that tries; a majority of them decides. */
  static Step accepted(Seat seat, Teller self, Accepted vote) {
    Round round = seat.round();
    if (round == null || round.chosen() == null || !round.ballot().equals(vote.ballot())) {
      return new Step(seat);
    }
    Set<MemberName> accepts = new HashSet<>(round.accepts());
    accepts.add(vote.from().member().name());
    Round counted =
        new Round(round.ballot(), round.wanted(), round.promises(), round.chosen(), accepts);
    if (accepts.size() < seat.view().majority()) {
      return new Step(seat.with(counted));
    }
    View next = seat.view().with(round.chosen());
    List<Tell> tells = new ArrayList<>();
    Decided decided = new Decided(self, seat.view().id(), round.chosen());
    // Those taken out hear of it too, where they can.
    seat.view().members().forEach(m -> tells.add(new Tell(m, decided)));
    round.chosen().in().forEach(m -> tells.add(new Tell(m, decided)));
    return new Step(Seat.of(next), tells);
  }
}
