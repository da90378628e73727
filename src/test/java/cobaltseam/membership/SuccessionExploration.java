package cobaltseam.membership;

import cobaltseam.membership.Message.Accept;
import cobaltseam.membership.Message.Accepted;
import cobaltseam.membership.Message.Decided;
import cobaltseam.membership.Message.Prepare;
import cobaltseam.membership.Message.Promise;
import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Succession.Step;
import cobaltseam.membership.Succession.Tell;
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

  private record Flying(MemberName to, Message message) {}

  private record World(
      List<Seat> seats,
      List<Birth> births,
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
        new MemberName("m" + i), new Birth(birth), InetSocketAddress.createUnresolved("m" + i, 1));
  }

  int states() {
    return seen.size();
  }

  /** What broke first, or null. */
  String run() {
    List<Seat> seats = new ArrayList<>();
    List<Birth> births = new ArrayList<>();
    for (Member m : members) {
      seats.add(Seat.of(first));
      births.add(m.birth());
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
            .map(Seat::view)
            .filter(v -> v != null && v.id().number() == 2)
            .distinct()
            .toList();
    if (held.size() > 1) {
      broken = "two sets under one number: " + held;
    }
  }

  private Teller teller(World w, int i) {
    Seat seat = w.seats.get(i);
    return new Teller(
        member(i, w.births.get(i).value()),
        0,
        seat.view() == null ? ViewId.NONE : seat.view().id(),
        true);
  }

  private void next(World w, List<World> open) {
    for (int i = 0; i < members.size(); i++) {
      Seat seat = w.seats.get(i);
      boolean holds = seat.view() != null && seat.view().equals(first);
      if (holds && w.proposals > 0 && seat.round() == null) {
        // Each wants another one out, so that what is chosen tells who chose it.
        Change change = new Change(List.of(members.get((i + 1) % members.size())), List.of());
        Step step = Succession.propose(seat, teller(w, i), change, w.proposals);
        open.add(
            with(
                new World(w.seats, w.births, w.flying, w.proposals - 1, w.restarts, w.doubles),
                i,
                step));
      }
      if (w.restarts > 0) {
        boolean asBefore = bounds.folders || bounds.mutant == Mutant.VOTES_AFTER_RESTART;
        List<Seat> seats = new ArrayList<>(w.seats);
        // From a folder, all but its own try is there again.
        Seat kept =
            bounds.mutant == Mutant.TELLS_BEFORE_IT_IS_KEPT
                ? seat.view() == null ? seat : Seat.of(seat.view())
                : seat.with((Seat.Round) null);
        seats.set(
            i,
            bounds.folders
                ? kept
                : asBefore ? Seat.of(first) : new Seat(null, null, null, null, null));
        List<Birth> births = new ArrayList<>(w.births);
        births.set(i, asBefore ? births.get(i) : new Birth(births.get(i).value() + 1));
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
    Seat seat = w.seats.get(i);
    Message message = come.message;
    Teller self = teller(w, i);
    if (message instanceof Decided d) {
      if (seat.view() != null && seat.view().id().equals(d.of())) {
        View next = seat.view().with(d.value());
        boolean in = next.holds(self.member().name(), self.member().birth());
        return with(w, i, new Step(in ? Seat.of(next) : new Seat(null, null, null, null, null)));
      }
      return w;
    }
    ViewId of =
        message instanceof Prepare p
            ? p.of()
            : message instanceof Promise p
                ? p.of()
                : message instanceof Accept a
                    ? a.of()
                    : message instanceof Accepted a ? a.of() : ((Message.Refuse) message).of();
    boolean ours =
        seat.view() != null && seat.view().holds(self.member().name(), self.member().birth());
    if (!ours || !Succession.counts(seat, message.from(), of)) {
      return w;
    }
    if (message instanceof Prepare p) {
      Seat voter =
          bounds.mutant == Mutant.FORGETS_ACCEPTED
              ? new Seat(seat.view(), seat.promised(), null, null, seat.round())
              : seat;
      return with(w, i, Succession.prepare(voter, self, p, List.of()));
    } else if (message instanceof Promise p) {
      return with(w, i, Succession.promised(seat, self, p));
    } else if (message instanceof Accept a) {
      Seat voter =
          bounds.mutant == Mutant.IGNORES_PROMISE
              ? new Seat(seat.view(), null, seat.accepted(), seat.value(), seat.round())
              : seat;
      return with(w, i, Succession.accept(voter, self, a));
    } else if (message instanceof Accepted a) {
      return with(w, i, counted(seat, self, a));
    }
    return with(w, i, new Step(seat.with((Seat.Round) null)));
  }

  private Step counted(Seat seat, Teller self, Accepted a) {
    boolean early =
        bounds.mutant == Mutant.SMALL_MAJORITY
            && seat.round() != null
            && seat.round().chosen() != null
            && seat.round().ballot().equals(a.ballot());
    return early
        ? new Step(Seat.of(seat.view().with(seat.round().chosen())))
        : Succession.accepted(seat, self, a);
  }

  /** What a step leaves; what it says to itself is heard at once. Decisions fly too. */
  private World with(World w, int i, Step step) {
    List<Seat> seats = new ArrayList<>(w.seats);
    Seat then = step.seat();
    boolean out =
        then.view() != null && !then.view().holds(new MemberName("m" + i), w.births.get(i));
    seats.set(i, out ? new Seat(null, null, null, null, null) : then);
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
    for (Tell tell : step.tells()) {
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
