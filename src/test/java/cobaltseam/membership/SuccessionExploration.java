package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.Accepted;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.ViewChange.OutgoingMessage;
import cobaltseam.membership.ViewChange.Step;
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
 * Every state that the choice of a successor can come to, on the real rules: messages come in any
 * order, never, or twice; several propose, each something else; processes start anew without
 * memory. A message that stays in the air for good is one that was lost. No two sets may ever be
 * held under one number.
 */
final class SuccessionExploration {
  /** What may happen, and how often; and what is done wrong on purpose, to see that it is found. */
  record Bounds(
      int members, int proposals, int restarts, int doubles, boolean folders, Mutant mutant) {}

  enum Mutant {
    NONE,
    /** A majority is counted over one member fewer. */
    SMALL_MAJORITY,
    /** A process that starts anew votes as its former self, with nothing promised. */
    VOTES_AFTER_RESTART,
    /** A voter forgets what it accepted when it promises anew. */
    FORGETS_ACCEPTED,
    /** A voter accepts below what it promised. */
    IGNORES_PROMISE,
    /** A process goes on from a folder that was not written before its promise was told. */
    TELLS_BEFORE_IT_IS_KEPT
  }

  private record Flying(MemberName to, MembershipMessage message) {}

  private record World(
      List<ViewState> seats,
      List<Incarnation> births,
      List<Flying> flying,
      int proposals,
      int restarts,
      int doubles) {}

  private final Bounds bounds;
  private final List<Member> members = new ArrayList<>();
  private final View first;
  private final Set<World> seen = new HashSet<>();
  private final int most;
  private final Random chance = new Random(7);
  private String broken;

  SuccessionExploration(Bounds bounds, int most) {
    this.bounds = bounds;
    this.most = most;
    for (int i = 0; i < bounds.members; i++) {
      members.add(member(i, 1));
    }
    first = View.of(new ViewId(1, 1), members);
  }

  private static Member member(int i, long birth) {
    return new Member(
        new MemberName("m" + i),
        new Incarnation(birth),
        InetSocketAddress.createUnresolved("m" + i, 1));
  }

  int states() {
    return seen.size();
  }

  /** What broke first, or null. */
  String run() {
    List<ViewState> seats = new ArrayList<>();
    List<Incarnation> births = new ArrayList<>();
    for (Member m : members) {
      seats.add(ViewState.of(first));
      births.add(m.incarnation());
    }
    Deque<World> open = new ArrayDeque<>();
    open.add(
        new World(seats, births, List.of(), bounds.proposals, bounds.restarts, bounds.doubles));
    while (!open.isEmpty() && broken == null && seen.size() < most) {
      World w = open.removeLast();
      if (seen.add(w)) {
        check(w);
        // Drawn, so that what is looked at before the bound is of all kinds.
        List<World> then = new ArrayList<>();
        next(w, then);
        Collections.shuffle(then, chance);
        open.addAll(then);
      }
    }
    return broken;
  }

  private void check(World w) {
    List<View> held =
        w.seats.stream()
            .map(ViewState::view)
            .filter(v -> v != null && v.id().number() == 2)
            .distinct()
            .toList();
    if (held.size() > 1) {
      broken = "two sets under one number: " + held;
    }
  }

  private MessageHeader teller(World w, int i) {
    ViewState seat = w.seats.get(i);
    return new MessageHeader(
        member(i, w.births.get(i).value()),
        0,
        seat.view() == null ? ViewId.NONE : seat.view().id(),
        true);
  }

  private void next(World w, List<World> open) {
    for (int i = 0; i < members.size(); i++) {
      ViewState seat = w.seats.get(i);
      boolean holds = seat.view() != null && seat.view().equals(first);
      if (holds && w.proposals > 0 && seat.round() == null) {
        // Each wants another one out, so that what is chosen tells who chose it.
        ViewDelta change = new ViewDelta(List.of(members.get((i + 1) % members.size())), List.of());
        Step step = ViewChange.propose(seat, teller(w, i), change, w.proposals);
        open.add(
            with(
                new World(w.seats, w.births, w.flying, w.proposals - 1, w.restarts, w.doubles),
                i,
                step));
      }
      if (w.restarts > 0) {
        boolean asBefore = bounds.folders || bounds.mutant == Mutant.VOTES_AFTER_RESTART;
        List<ViewState> seats = new ArrayList<>(w.seats);
        // From a folder, all but its own try is there again.
        ViewState kept =
            bounds.mutant == Mutant.TELLS_BEFORE_IT_IS_KEPT
                ? seat.view() == null ? seat : ViewState.of(seat.view())
                : seat.with((ViewState.ProposalRound) null);
        seats.set(
            i,
            bounds.folders
                ? kept
                : asBefore ? ViewState.of(first) : new ViewState(null, null, null, null, null));
        List<Incarnation> births = new ArrayList<>(w.births);
        births.set(i, asBefore ? births.get(i) : new Incarnation(births.get(i).value() + 1));
        open.add(new World(seats, births, w.flying, w.proposals, w.restarts - 1, w.doubles));
      }
    }
    for (int f = 0; f < w.flying.size(); f++) {
      List<Flying> rest = new ArrayList<>(w.flying);
      Flying come = rest.remove(f);
      open.add(heard(new World(w.seats, w.births, rest, w.proposals, w.restarts, w.doubles), come));
      if (w.doubles > 0) {
        open.add(
            heard(
                new World(w.seats, w.births, w.flying, w.proposals, w.restarts, w.doubles - 1),
                come));
      }
    }
  }

  private World heard(World w, Flying come) {
    int i = Integer.parseInt(come.to.value().substring(1));
    ViewState seat = w.seats.get(i);
    MembershipMessage message = come.message;
    MessageHeader self = teller(w, i);
    if (message instanceof Decided d) {
      if (seat.view() != null && seat.view().id().equals(d.viewId())) {
        View next = seat.view().apply(d.value());
        boolean in = next.contains(self.member().name(), self.member().incarnation());
        return with(
            w, i, new Step(in ? ViewState.of(next) : new ViewState(null, null, null, null, null)));
      }
      return w;
    }
    ViewId of =
        message instanceof Prepare p
            ? p.viewId()
            : message instanceof Promise p
                ? p.viewId()
                : message instanceof Accept a
                    ? a.viewId()
                    : message instanceof Accepted a
                        ? a.viewId()
                        : ((MembershipMessage.Reject) message).viewId();
    boolean ours =
        seat.view() != null
            && seat.view().contains(self.member().name(), self.member().incarnation());
    if (!ours || !ViewChange.counts(seat, message.from(), of)) {
      return w;
    }
    if (message instanceof Prepare p) {
      ViewState voter =
          bounds.mutant == Mutant.FORGETS_ACCEPTED
              ? new ViewState(seat.view(), seat.promised(), null, null, seat.round())
              : seat;
      return with(w, i, ViewChange.prepare(voter, self, p, List.of()));
    } else if (message instanceof Promise p) {
      return with(w, i, ViewChange.promised(seat, self, p));
    } else if (message instanceof Accept a) {
      ViewState voter =
          bounds.mutant == Mutant.IGNORES_PROMISE
              ? new ViewState(seat.view(), null, seat.accepted(), seat.value(), seat.round())
              : seat;
      return with(w, i, ViewChange.accept(voter, self, a));
    } else if (message instanceof Accepted a) {
      return with(w, i, counted(seat, self, a));
    }
    return with(w, i, new Step(seat.with((ViewState.ProposalRound) null)));
  }

  private Step counted(ViewState seat, MessageHeader self, Accepted a) {
    boolean early =
        bounds.mutant == Mutant.SMALL_MAJORITY
            && seat.round() != null
            && seat.round().chosen() != null
            && seat.round().ballot().equals(a.ballot());
    return early
        ? new Step(ViewState.of(seat.view().apply(seat.round().chosen())))
        : ViewChange.accepted(seat, self, a);
  }

  /** What a step leaves; what it says to itself is heard at once. Decisions fly too. */
  private World with(World w, int i, Step step) {
    List<ViewState> seats = new ArrayList<>(w.seats);
    ViewState then = step.seat();
    boolean out =
        then.view() != null && !then.view().contains(new MemberName("m" + i), w.births.get(i));
    seats.set(i, out ? new ViewState(null, null, null, null, null) : then);
    if (out) {
      // It decided that it is out itself; others must still come to the same.
      View decided = then.view();
      if (seats.stream()
          .anyMatch(
              s ->
                  s.view() != null
                      && s.view().id().equals(decided.id())
                      && !s.view().equals(decided))) {
        broken = "two sets under one number, one by a process that took itself out: " + decided;
      }
    }
    List<Flying> flying = new ArrayList<>(w.flying);
    World world = new World(seats, w.births, flying, w.proposals, w.restarts, w.doubles);
    for (OutgoingMessage tell : step.tells()) {
      if (tell.to().name().value().equals("m" + i)) {
        World before =
            new World(
                world.seats,
                world.births,
                List.copyOf(flying),
                world.proposals,
                world.restarts,
                world.doubles);
        world = heard(before, new Flying(tell.to().name(), tell.message()));
        flying = new ArrayList<>(world.flying);
      } else {
        flying.add(new Flying(tell.to().name(), tell.message()));
      }
      world =
          new World(
              world.seats, world.births, flying, world.proposals, world.restarts, world.doubles);
    }
    return new World(
        world.seats,
        world.births,
        sorted(world.flying),
        world.proposals,
        world.restarts,
        world.doubles);
  }

  private static List<Flying> sorted(List<Flying> flying) {
    // In no order that matters: worlds that differ in it alone are one.
    return flying.stream().sorted(java.util.Comparator.comparing(Flying::toString)).toList();
  }

  /**
   * A line of the table in docs/measures-membership.md for each row of arguments: members,
   * proposals, restarts, doubles, bound, folders.
   */
  public static void main(String[] args) {
    for (String arg : args) {
      int[] n = java.util.Arrays.stream(arg.split(",")).mapToInt(Integer::parseInt).toArray();
      SuccessionExploration e =
          new SuccessionExploration(
              new Bounds(n[0], n[1], n[2], n[3], n[5] == 1, Mutant.NONE), n[4]);
      String broken = e.run();
      System.out.printf(
          "| %d | %d | %d%s | %d | %d%s | %s |%n",
          n[0],
          n[1],
          n[2],
          n[5] == 1 ? " with folders" : "",
          n[3],
          e.states(),
          e.states() >= n[4] ? " (bound)" : ", all",
          broken == null ? "none" : broken);
    }
  }
}
