package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.Accepted;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.ViewChange.OutgoingMessage;
import cobaltseam.membership.ViewChange.Transition;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Explores the states that {@link ViewChange} can reach. Messages are delivered in any order,
 * twice, or never, which models loss. Several members propose different changes, and processes
 * restart, with or without their persisted state. The explored invariant: no two processes install
 * different views with the same number.
 */
final class ViewChangeExploration {
  /** How often each event may happen, and the mutant of the protocol to explore. */
  record Bounds(
      int members,
      int proposals,
      int restarts,
      int duplicates,
      boolean hasFolders,
      Mutant mutant) {}

  /** A fault in the protocol that the exploration must detect as a violation. */
  enum Mutant {
    NONE,
    /** The proposer decides after the first acceptance instead of a majority. */
    SMALL_MAJORITY,
    /** A restarted process votes under its former incarnation without its former promises. */
    VOTES_AFTER_RESTART,
    /** A voter discards its accepted change when it makes another promise. */
    FORGETS_ACCEPTED,
    /** A voter accepts a ballot that is lower than the promised one. */
    IGNORES_PROMISE,
    /** A process sends its votes before it persists them, and restarts without them. */
    SENDS_BEFORE_PERSISTED
  }

  private record MessageInFlight(MemberName to, MembershipMessage message) {}

  private record ExploredState(
      List<ViewState> viewStates,
      List<Incarnation> incarnations,
      List<MessageInFlight> inFlight,
      int proposals,
      int restarts,
      int duplicates) {
    ExploredState withInFlight(List<MessageInFlight> messages) {
      return new ExploredState(viewStates, incarnations, messages, proposals, restarts, duplicates);
    }

    ExploredState withoutOneProposal() {
      return new ExploredState(
          viewStates, incarnations, inFlight, proposals - 1, restarts, duplicates);
    }

    ExploredState withoutOneDuplicate() {
      return new ExploredState(
          viewStates, incarnations, inFlight, proposals, restarts, duplicates - 1);
    }
  }

  private final Bounds bounds;
  private final List<Member> members = new ArrayList<>();
  private final View firstView;
  private final Set<ExploredState> visited = new HashSet<>();
  private final int maxStates;
  private final Random random = new Random(7);
  private String violation;

  ViewChangeExploration(Bounds bounds, int maxStates) {
    this.bounds = bounds;
    this.maxStates = maxStates;
    for (int index = 0; index < bounds.members; index++) {
      members.add(member(index, 1));
    }
    firstView = View.of(new ViewId(1, 1), members);
  }

  private static Member member(int index, long incarnation) {
    return new Member(
        new MemberName("m" + index),
        new Incarnation(incarnation),
        InetSocketAddress.createUnresolved("m" + index, 1));
  }

  int stateCount() {
    return visited.size();
  }

  /** Explores until a violation or the bound; returns the first violation, or null. */
  String run() {
    List<ViewState> viewStates = new ArrayList<>();
    List<Incarnation> incarnations = new ArrayList<>();
    for (Member member : members) {
      viewStates.add(ViewState.of(firstView));
      incarnations.add(member.incarnation());
    }
    Deque<ExploredState> frontier = new ArrayDeque<>();
    frontier.add(
        new ExploredState(
            viewStates,
            incarnations,
            List.of(),
            bounds.proposals,
            bounds.restarts,
            bounds.duplicates));
    while (!frontier.isEmpty() && violation == null && visited.size() < maxStates) {
      ExploredState state = frontier.removeLast();
      if (visited.add(state)) {
        check(state);
        // The random order makes the states explored before the bound more varied.
        List<ExploredState> next = new ArrayList<>();
        addSuccessors(state, next);
        Collections.shuffle(next, random);
        frontier.addAll(next);
      }
    }
    return violation;
  }

  private void check(ExploredState state) {
    List<View> views =
        state.viewStates.stream()
            .map(ViewState::view)
            .filter(v -> v != null && v.id().number() == 2)
            .distinct()
            .toList();
    if (views.size() > 1) {
      violation = "two different views with one number: " + views;
    }
  }

  private MessageHeader header(ExploredState state, int index) {
    ViewState viewState = state.viewStates.get(index);
    return new MessageHeader(
        member(index, state.incarnations.get(index).value()),
        0,
        viewState.view() == null ? ViewId.NONE : viewState.view().id(),
        true);
  }

  private void addSuccessors(ExploredState state, List<ExploredState> successors) {
    for (int index = 0; index < members.size(); index++) {
      ViewState viewState = state.viewStates.get(index);
      boolean hasInstalledFirstView =
          viewState.view() != null && viewState.view().equals(firstView);
      if (hasInstalledFirstView && state.proposals > 0 && viewState.round() == null) {
        successors.add(propose(state, index));
      }
      if (state.restarts > 0) {
        successors.add(restart(state, index));
      }
    }
    for (int position = 0; position < state.inFlight.size(); position++) {
      List<MessageInFlight> remaining = new ArrayList<>(state.inFlight);
      MessageInFlight delivered = remaining.remove(position);
      successors.add(deliver(state.withInFlight(remaining), delivered));
      if (state.duplicates > 0) {
        successors.add(deliver(state.withoutOneDuplicate(), delivered));
      }
    }
  }

  private ExploredState propose(ExploredState state, int index) {
    // Each member proposes to remove a different member, so a chosen change shows its proposer.
    Member removed = members.get((index + 1) % members.size());
    ViewDelta change = new ViewDelta(List.of(removed), List.of());
    Transition transition =
        ViewChange.propose(
            state.viewStates.get(index), header(state, index), change, state.proposals);
    return apply(state.withoutOneProposal(), index, transition);
  }

  private ExploredState restart(ExploredState state, int index) {
    boolean keepsIncarnation = bounds.hasFolders || bounds.mutant == Mutant.VOTES_AFTER_RESTART;
    ViewState restarted = keepsIncarnation ? ViewState.of(firstView) : ViewState.NONE;
    if (bounds.hasFolders) {
      restarted = persisted(state.viewStates.get(index));
    }
    List<ViewState> viewStates = new ArrayList<>(state.viewStates);
    viewStates.set(index, restarted);
    List<Incarnation> incarnations = new ArrayList<>(state.incarnations);
    if (!keepsIncarnation) {
      incarnations.set(index, new Incarnation(incarnations.get(index).value() + 1));
    }
    return new ExploredState(
        viewStates,
        incarnations,
        state.inFlight,
        state.proposals,
        state.restarts - 1,
        state.duplicates);
  }

  /** The state that a folder restores: all but the proposal of the process. */
  private ViewState persisted(ViewState viewState) {
    if (bounds.mutant != Mutant.SENDS_BEFORE_PERSISTED) {
      return viewState.withRound(null);
    }
    return viewState.view() == null ? viewState : ViewState.of(viewState.view());
  }

  private ExploredState deliver(ExploredState state, MessageInFlight delivered) {
    int index = Integer.parseInt(delivered.to.value().substring(1));
    ViewState viewState = state.viewStates.get(index);
    MembershipMessage message = delivered.message;
    MessageHeader self = header(state, index);
    if (message instanceof Decided decided) {
      if (viewState.view() != null && viewState.view().id().equals(decided.viewId())) {
        View next = viewState.view().apply(decided.value());
        boolean isMember = next.contains(self.member().name(), self.member().incarnation());
        return apply(state, index, new Transition(isMember ? ViewState.of(next) : ViewState.NONE));
      }
      return state;
    }
    ViewId viewId =
        message instanceof Prepare prepare
            ? prepare.viewId()
            : message instanceof Promise promise
                ? promise.viewId()
                : message instanceof Accept accept
                    ? accept.viewId()
                    : message instanceof Accepted accepted
                        ? accepted.viewId()
                        : ((MembershipMessage.Reject) message).viewId();
    boolean isMember =
        viewState.view() != null
            && viewState.view().contains(self.member().name(), self.member().incarnation());
    if (!isMember || !ViewChange.isFromVoter(viewState, message.from(), viewId)) {
      return state;
    }
    if (message instanceof Prepare prepare) {
      ViewState voter =
          bounds.mutant == Mutant.FORGETS_ACCEPTED
              ? new ViewState(viewState.view(), viewState.promised(), null, null, viewState.round())
              : viewState;
      return apply(state, index, ViewChange.receivePrepare(voter, self, prepare, List.of()));
    } else if (message instanceof Promise promise) {
      return apply(state, index, ViewChange.receivePromise(viewState, self, promise));
    } else if (message instanceof Accept accept) {
      ViewState voter =
          bounds.mutant == Mutant.IGNORES_PROMISE
              ? new ViewState(
                  viewState.view(),
                  null,
                  viewState.accepted(),
                  viewState.value(),
                  viewState.round())
              : viewState;
      return apply(state, index, ViewChange.receiveAccept(voter, self, accept));
    } else if (message instanceof Accepted accepted) {
      return apply(state, index, deliverAccepted(viewState, self, accepted));
    }
    return apply(state, index, new Transition(viewState.withRound(null)));
  }

  private Transition deliverAccepted(ViewState viewState, MessageHeader self, Accepted accepted) {
    boolean decidesEarly =
        bounds.mutant == Mutant.SMALL_MAJORITY
            && viewState.round() != null
            && viewState.round().chosen() != null
            && viewState.round().ballot().equals(accepted.ballot());
    return decidesEarly
        ? new Transition(ViewState.of(viewState.view().apply(viewState.round().chosen())))
        : ViewChange.receiveAccepted(viewState, self, accepted);
  }

  /**
   * Applies a transition of one process. Messages to that process are delivered at once; all others
   * are in flight.
   */
  private ExploredState apply(ExploredState state, int index, Transition transition) {
    List<ViewState> viewStates = new ArrayList<>(state.viewStates);
    ViewState next = transition.state();
    boolean isRemoved =
        next.view() != null
            && !next.view().contains(new MemberName("m" + index), state.incarnations.get(index));
    viewStates.set(index, isRemoved ? ViewState.NONE : next);
    if (isRemoved) {
      // The process decided its own removal; the other processes must install the same view.
      View decided = next.view();
      if (viewStates.stream()
          .anyMatch(
              s ->
                  s.view() != null
                      && s.view().id().equals(decided.id())
                      && !s.view().equals(decided))) {
        violation =
            "two different views with one number, one decided by a process that it removes: "
                + decided;
      }
    }
    List<MessageInFlight> inFlight = new ArrayList<>(state.inFlight);
    ExploredState result =
        new ExploredState(
            viewStates,
            state.incarnations,
            inFlight,
            state.proposals,
            state.restarts,
            state.duplicates);
    for (OutgoingMessage message : transition.messages()) {
      MessageInFlight sent = new MessageInFlight(message.to().name(), message.message());
      if (message.to().name().value().equals("m" + index)) {
        result = deliver(result.withInFlight(List.copyOf(inFlight)), sent);
        inFlight = new ArrayList<>(result.inFlight);
      } else {
        inFlight.add(sent);
      }
      result = result.withInFlight(inFlight);
    }
    return result.withInFlight(sorted(result.inFlight));
  }

  private static List<MessageInFlight> sorted(List<MessageInFlight> inFlight) {
    // Sorted, since states that differ only in the order of messages in flight are equivalent.
    return inFlight.stream()
        .sorted(java.util.Comparator.comparing(MessageInFlight::toString))
        .toList();
  }

  /**
   * Prints a line of the table in docs/measures-membership.md for each argument. An argument has
   * the number of members, proposals, restarts and duplicates, the bound of states, and 1 if
   * processes have folders, separated by commas.
   */
  public static void main(String[] args) {
    for (String arg : args) {
      int[] parameters =
          java.util.Arrays.stream(arg.split(",")).mapToInt(Integer::parseInt).toArray();
      ViewChangeExploration exploration =
          new ViewChangeExploration(
              new Bounds(
                  parameters[0],
                  parameters[1],
                  parameters[2],
                  parameters[3],
                  parameters[5] == 1,
                  Mutant.NONE),
              parameters[4]);
      String violation = exploration.run();
      System.out.printf(
          "| %d | %d | %d%s | %d | %d%s | %s |%n",
          parameters[0],
          parameters[1],
          parameters[2],
          parameters[5] == 1 ? " with folders" : "",
          parameters[3],
          exploration.stateCount(),
          exploration.stateCount() >= parameters[4] ? " (bound)" : ", all",
          violation == null ? "none" : violation);
    }
  }
}
