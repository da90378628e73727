package cobaltseam.emulator;

import cobaltseam.dispatch.Command;
import cobaltseam.dispatch.CommandId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Listing;
import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.OrderKey;
import cobaltseam.dispatch.Outcome;
import cobaltseam.dispatch.Pause;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Span;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Policies to compare the module with: each only picks an engine and sends at once. They keep the
 * rules on repeats, drains, placement and order by the plainest means, hold nothing but what order
 * asks for, and shed only what has failed.
 */
final class Baseline implements Policy {
  /** Which engine, of those that the list has up. */
  enum Choice {
    RANDOM,
    ROUND_ROBIN,
    LEAST_IN_HAND,
    TWO_CHOICES,
    SHORTEST_LATE,
    CLAIRVOYANT
  }

  /** The clairvoyant one waits this many times as long as a command would truly take. */
  private static final double SEEN_AFTER = 4;

  /** And sends only what would be in time were it that much slower. */
  private static final double SLACK = 1.3;

  private static final Span LOOK = new Span(5000);

  private static final class Open {
    Command command;
    Moment taken;
    double density;
    Deployment.Profile profile;
    int sends;
    EngineId out;
    boolean mayHaveRun;
  }

  private final Choice choice;
  private final RandomGenerator chance;
  private final Deployment told;
  private final Map<String, Deployment.Profile> profiles = new HashMap<>();
  private final TreeMap<EngineId, Listing> up = new TreeMap<>();
  private final Map<EngineId, Integer> inHand = new HashMap<>();

  /** What engines reported in hand with their last answer. */
  private final Map<EngineId, Double> reported = new HashMap<>();

  private final Map<CommandId, Open> open = new HashMap<>();
  private final Deque<Open> again = new ArrayDeque<>();

  /**
   * By key of an order profile: commands not over, in the order taken; until when a key rests; and
   * who waits for that.
   */
  private final Map<OrderKey, Deque<Open>> lines = new HashMap<>();

  private final Map<OrderKey, Moment> rests = new HashMap<>();
  private final List<Open> resting = new ArrayList<>();

  /**
   * Held by the clairvoyant one until an engine truly has room: the most benefit for its work
   * first.
   */
  private final TreeSet<Open> held =
      new TreeSet<>(
          Comparator.comparingDouble((Open o) -> -o.density)
              .thenComparing(o -> o.command.id().value()));

  private final Truth truth;
  private List<Listing> list = List.of();
  private int turn;
  private Moment looked;

  /** What is so at engines at this moment, which no dispatcher can know. */
  interface Truth {
    /**
     * How long a microsecond of one thread's work would take for one command more; infinite where
     * nothing would come.
     */
    double pace(EngineId engine);

    /** Whether so many threads more still add work done rather than take from it. */
    boolean hasRoom(EngineId engine, int threads);
  }

  /**
   * @param truth for the clairvoyant one alone
   */
  Baseline(Choice choice, Deployment told, RandomGenerator chance, Truth truth) {
    this.choice = choice;
    this.told = told;
    this.chance = chance;
    this.truth = truth;
    told.profiles().forEach(p -> profiles.put(p.id().value(), p));
    turn = told.number();
  }

  @Override
  public Placement place(Command command, Moment now) {
    Open o = open.get(command.id());
    if (o == null) {
      o = new Open();
      o.command = command;
      o.profile = profiles.get(command.profile().value());
      o.taken = now;
      open.put(command.id(), o);
      if (o.profile.inOrder() && command.key() != null) {
        lines.computeIfAbsent(command.key(), k -> new ArrayDeque<>()).add(o);
      }
    }
    if (o.out != null) {
      return Placement.hold();
    }
    Span left = command.clientTimeout().since(now).minus(told.means().tick().times(2));
    if (left.isPositive() && waits(o, now)) {
      return Placement.hold();
    }
    EngineId engine = left.isPositive() ? pick(o) : null;
    double us = 0;
    if (engine != null && choice == Choice.CLAIRVOYANT) {
      boolean room = truth.hasRoom(engine, o.profile.threads());
      us = truth.pace(engine) * command.work().us() / o.profile.threads();
      Moment target =
          o.taken
              .plus(o.profile.latencyTarget())
              .plus(command.work().times(o.profile.stretch() / o.profile.threads()));
      double least = command.work().us() / (double) o.profile.threads();
      if (!now.plus(new Span(Math.round(Math.min(least, 1e12)))).before(target)) {
        return giveUp(o);
      }
      if (!room || !(us * SLACK < target.since(now).us())) {
        o.density = o.profile.benefit() / Math.max(1, command.work().us());
        held.add(o);
        return Placement.hold();
      }
    }
    if (engine == null) {
      return giveUp(o);
    }
    held.remove(o);
    // The clairvoyant one would also see that an engine has gone, and not wait for it.
    left =
        choice == Choice.CLAIRVOYANT
            ? left.min(new Span(Math.round(SEEN_AFTER * us)).max(o.profile.latencyTarget()))
            : left;
    o.out = engine;
    o.sends++;
    inHand.merge(engine, 1, Integer::sum);
    return Placement.send(engine, left, -1);
  }

  private Placement giveUp(Open o) {
    remove(o);
    return o.mayHaveRun && o.profile.repeat() != Deployment.Repeat.REPLAYABLE
        ? Placement.fail()
        : Placement.shed(told.means().longestComeBack());
  }

  private void remove(Open o) {
    open.remove(o.command.id());
    again.remove(o);
    held.remove(o);
    Deque<Open> line = o.command.key() == null ? null : lines.get(o.command.key());
    if (line != null && line.remove(o) && line.isEmpty()) {
      lines.remove(o.command.key());
    } else if (line != null
        && !line.isEmpty()
        && line.peek().out == null
        && !again.contains(line.peek())) {
      again.add(line.peek());
    }
  }

  /** Whether one in order has to wait for an earlier one of its key, or for the key to rest. */
  private boolean waits(Open o, Moment now) {
    Deque<Open> line =
        o.profile.inOrder() && o.command.key() != null ? lines.get(o.command.key()) : null;
    if (line == null) {
      return false;
    }
    Moment rest = rests.get(o.command.key());
    if (rest != null && !now.before(rest)) {
      rests.remove(o.command.key());
      rest = null;
    }
    if (line.peek() == o && rest != null && !resting.contains(o)) {
      resting.add(o);
    }
    return line.peek() != o || rest != null;
  }

  private EngineId pick(Open o) {
    List<Listing> to =
        o.profile.locations() == null
            ? list
            : list.stream().filter(l -> o.profile.locations().contains(l.location())).toList();
    if (to.isEmpty()) {
      return null;
    }
    return switch (choice) {
      case RANDOM -> to.get(chance.nextInt(to.size())).engine();
      case ROUND_ROBIN -> to.get(Math.floorMod(turn++, to.size())).engine();
      case LEAST_IN_HAND -> least(to, this::inHand);
      case TWO_CHOICES ->
          least(
              List.of(to.get(chance.nextInt(to.size())), to.get(chance.nextInt(to.size()))),
              this::inHand);
      case SHORTEST_LATE -> least(to, e -> reported.getOrDefault(e, 0.0) + inHand(e));
      case CLAIRVOYANT ->
          least(
              to,
              e ->
                  truth.hasRoom(e, o.profile.threads()) ? truth.pace(e) : Double.POSITIVE_INFINITY);
    };
  }

  private double inHand(EngineId engine) {
    return inHand.getOrDefault(engine, 0);
  }

  private EngineId least(List<Listing> of, ToDoubleFunction<EngineId> figure) {
    EngineId best = null;
    double least = Double.POSITIVE_INFINITY;
    int from = chance.nextInt(of.size());
    for (int i = 0; i < of.size(); i++) {
      EngineId engine = of.get((from + i) % of.size()).engine();
      double value = figure.applyAsDouble(engine);
      if (best == null || value < least) {
        best = engine;
        least = value;
      }
    }
    return best;
  }

  @Override
  public Placement after(Outcome outcome, Moment now) {
    Open o = open.get(outcome.command());
    if (o == null || o.out == null) {
      return Placement.hold();
    }
    inHand.merge(o.out, -1, Integer::sum);
    if (outcome.inHand() >= 0) {
      reported.put(o.out, outcome.inHand());
    }
    o.out = null;
    Outcome.Ending ending = outcome.ending();
    o.mayHaveRun |= !ending.neverRan();
    if (o.profile.inOrder()
        && o.command.key() != null
        && (ending == Outcome.Ending.TIMED_OUT
            || ending == Outcome.Ending.CUT
            || ending == Outcome.Ending.CANCELLED)) {
      rests.put(o.command.key(), now.plus(told.rules().keyRest()).plus(told.means().tick()));
    }
    if (outcome.over() || ending == Outcome.Ending.ANSWERED) {
      remove(o);
      return Placement.hold();
    }
    boolean repeats = o.profile.repeat() == Deployment.Repeat.REPLAYABLE || !o.mayHaveRun;
    if (!repeats
        || o.sends >= told.means().mostSends()
        || told.rules().furtherFree() != null
        || o.profile.inOrder()) {
      return giveUp(o);
    }
    again.add(o);
    return Placement.hold();
  }

  @Override
  public Pause pause(Moment now) {
    Open o = again.poll();
    if (o != null) {
      return Pause.ask(o.command);
    }
    Span wait = null;
    for (Open r : List.copyOf(resting)) {
      Moment until = rests.get(r.command.key());
      if (!open.containsKey(r.command.id()) || until == null || !now.before(until)) {
        resting.remove(r);
        if (open.containsKey(r.command.id())) {
          return Pause.ask(r.command);
        }
      } else {
        wait = wait == null ? until.since(now) : wait.min(until.since(now));
      }
    }
    // Held ones are looked at once each tick.
    if (!held.isEmpty() && (looked == null || !now.before(looked.plus(LOOK)))) {
      looked = now;
      again.addAll(held);
      return Pause.ask(again.poll().command);
    }
    return Pause.until(held.isEmpty() ? wait : wait == null ? LOOK : wait.min(LOOK));
  }

  @Override
  public void listed(List<Listing> lines, boolean whole, Moment now) {
    if (whole) {
      up.clear();
    }
    for (Listing line : lines) {
      if (line.standing() == Listing.Standing.UP) {
        up.put(line.engine(), line);
      } else {
        up.remove(line.engine());
      }
    }
    list = new ArrayList<>(up.values());
  }

  @Override
  public void progressed(CommandId command, int send, double share, Moment now) {
    // None of them listens.
    return;
  }

  @Override
  public void departed(CommandId command, Moment now) {
    Open o = open.get(command);
    if (o != null && o.out == null) {
      remove(o);
    }
  }
}
