package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.MemberName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * What the members of a view know of each other. It does no I/O: moments, chance and messages come
 * from the caller, who asks {@link #due} no later than {@link #wake}.
 *
 * <p>Each member says figures of itself alone, under a version that rises. They spread by asking:
 * each round a few others, drawn from the view, are asked for what is newer than what is held here.
 * Asked for and not told unasked, since then the time a message took is bounded by this process's
 * own clock: the age held is the oldest that it can be, however long messages were delayed. A
 * figure that has reached its end is unknown. What is told of one outside the view is not kept.
 *
 * <p>Guards: an answer nobody waits for teaches nothing (a replay, a late one); of oneself nothing
 * is believed, but a higher number under the own birth makes the own next one higher still (a
 * process started anew under the same birth).
 */
public final class StateGossip {
  /**
   * Bytes of a statement beside its figures, and of one figure beside its name: what a message's
   * bound counts.
   */
  private static final int STATEMENT_BYTES = 64;

  private static final int FIGURE_BYTES = 12;
  private static final int KNOWN_BYTES = 24;

  /**
   * So many asks wait for their answer at the most: what peers that stay silent make this process
   * hold is bounded.
   */
  private static final int MOST_OPEN = 64;

  private static final long MOST_FIRST = 1L << 40;

  private static final class Held {
    Version version;
    MemberFigures figures;

    /**
     * The earliest moment, by this process's clock, at which its member can have stood by it last.
     */
    Timestamp saidFrom;
  }

  private record Open(MemberName of, Timestamp at) {}

  /** One message and whom it is for. */
  public record Send(MemberName to, SharingMessage message) {}

  private final MemberName self;
  private Incarnation birth;
  private final GossipOptions terms;
  private final RandomGenerator chance;
  private final Map<MemberName, Held> held = new TreeMap<>();
  private final Map<Long, Open> open = new HashMap<>();
  private List<MemberName> others = List.of();

  /** Those of the view not asked yet in this turn: each is asked once before any is asked again. */
  private final List<MemberName> turn = new ArrayList<>();

  private long number;
  private MemberFigures own;
  private Timestamp next;

  public StateGossip(
      MemberName self,
      Incarnation birth,
      GossipOptions terms,
      RandomGenerator chance,
      Timestamp now) {
    this.self = self;
    this.birth = birth;
    this.terms = terms;
    this.chance = chance;
    // A process started anew under its birth must not say other figures under a version that it
    // gave before.
    number = chance.nextLong(MOST_FIRST);
    next = now.plus(terms.round().times(chance.nextDouble()));
  }

  /** The members of the view now. Of one that is not in it nothing is known any more. */
  public void view(Set<MemberName> members) {
    others = members.stream().filter(m -> !m.equals(self)).sorted().toList();
    held.keySet().retainAll(new HashSet<>(others));
    turn.retainAll(new HashSet<>(others));
    open.values().removeIf(o -> !members.contains(o.of()));
  }

  /** This process is another member from now on. */
  public void born(Incarnation anew) {
    birth = anew;
  }

  /** What this member says of itself under this name; 0 if it does not. */
  public long own(String figure) {
    return own == null ? 0 : own.byName().getOrDefault(figure, 0L);
  }

  /** What this member says of itself from now on. */
  public void say(MemberFigures figures) {
    own = figures;
    number++;
  }

  /** When to ask {@link #due} next. */
  public Timestamp wake() {
    return next;
  }

  /** What to send now. */
  public List<Send> due(Timestamp now) {
    if (now.isBefore(next)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    next = now.plus(terms.round());
    open.values().removeIf(o -> now.since(o.at()).compareTo(terms.end()) >= 0);
    held.values().removeIf(h -> age(h, now).compareTo(terms.end()) >= 0);
    List<Send> sends = new ArrayList<>();
    for (int i = 0; i < Math.min(terms.asked(), others.size()) && open.size() < MOST_OPEN; i++) {
      if (turn.isEmpty()) {
        turn.addAll(others);
      }
      MemberName of = turn.remove(chance.nextInt(turn.size()));
      long id = chance.nextLong();
      open.put(id, new Open(of, now));
      sends.add(new Send(of, new SharingMessage.UpdateRequest(self, id, has(now))));
    }
    return sends;
  }

  /**
   * What is held, as much as a message holds; what is left out is drawn, so that nothing is for
   * good.
   */
  private Map<MemberName, SharingMessage.KnownVersion> has(Timestamp now) {
    List<MemberName> names = new ArrayList<>(held.keySet());
    Map<MemberName, SharingMessage.KnownVersion> known = new HashMap<>();
    known.put(self, new SharingMessage.KnownVersion(new Version(birth, number), TimeSpan.ZERO));
    int bytes = 0;
    while (!names.isEmpty()) {
      MemberName name = names.remove(chance.nextInt(names.size()));
      bytes += KNOWN_BYTES + name.value().length();
      if (bytes > terms.mostBytes()) {
        break;
      }
      Held h = held.get(name);
      known.put(name, new SharingMessage.KnownVersion(h.version, age(h, now)));
    }
    return known;
  }

  /** What to send after a message. */
  public List<Send> heard(SharingMessage message, Timestamp now) {
    if (!others.contains(message.from())) {
      return List.of();
    }
    if (message instanceof SharingMessage.UpdateRequest ask) {
      return answer(ask, now);
    }
    learn((SharingMessage.UpdateReply) message, now);
    return List.of();
  }

  private List<Send> answer(SharingMessage.UpdateRequest ask, Timestamp now) {
    List<Statement> mine = new ArrayList<>();
    if (own != null) {
      mine.add(new Statement(self, new Version(birth, number), own, TimeSpan.ZERO));
    }
    held.forEach((name, h) -> mine.add(new Statement(name, h.version, h.figures, age(h, now))));
    List<Send> sends = new ArrayList<>();
    List<Statement> newer = new ArrayList<>();
    List<SharingMessage.Reaffirmation> standing = new ArrayList<>();
    int bytes = 0;
    for (Statement s : mine) {
      SharingMessage.KnownVersion has = ask.known().get(s.member());
      int by = has == null ? -1 : has.version().compareTo(s.version());
      // A figure that is the same is told as such only where that adds a round to its life there.
      boolean younger = by == 0 && s.age().plus(terms.round()).compareTo(has.age()) < 0;
      if (by > 0 || by == 0 && !younger || s.age().compareTo(terms.end()) >= 0) {
        continue;
      }
      int more = younger ? KNOWN_BYTES + s.member().value().length() : bytes(s);
      if (bytes > 0 && bytes + more > terms.mostBytes()) {
        sends.add(
            new Send(ask.from(), new SharingMessage.UpdateReply(self, ask.id(), newer, standing)));
        newer.clear();
        standing.clear();
        bytes = 0;
      }
      if (younger) {
        standing.add(new SharingMessage.Reaffirmation(s.member(), s.version(), s.age()));
      } else {
        newer.add(s);
      }
      bytes += more;
    }
    if (bytes > 0) {
      sends.add(
          new Send(ask.from(), new SharingMessage.UpdateReply(self, ask.id(), newer, standing)));
    }
    return sends;
  }

  private static int bytes(Statement s) {
    return STATEMENT_BYTES
        + s.member().value().length()
        + s.figures().byName().keySet().stream().mapToInt(n -> n.length() + FIGURE_BYTES).sum();
  }

  private void learn(SharingMessage.UpdateReply newer, Timestamp now) {
    Open asked = open.get(newer.id());
    if (asked == null || !asked.of().equals(newer.from())) {
      return;
    }
    for (Statement s : newer.statements()) {
      if (s.member().equals(self)) {
        // A former process of this birth said more: whoever holds that would not believe this one.
        if (s.version().incarnation().equals(birth) && s.version().number() > number) {
          number = s.version().number() + 1;
        }
        continue;
      }
      Held h = held.get(s.member());
      if (!others.contains(s.member())
          || s.age().us() < 0
          || h != null && h.version.compareTo(s.version()) >= 0) {
        continue;
      }
      Timestamp from = from(asked, s.age());
      if (now.since(from).compareTo(terms.end()) < 0) {
        Held fresh = new Held();
        fresh.version = s.version();
        fresh.figures = s.figures();
        fresh.saidFrom = from;
        held.put(s.member(), fresh);
      }
    }
    for (SharingMessage.Reaffirmation s : newer.standing()) {
      Held h = held.get(s.member());
      if (h != null
          && s.age().us() >= 0
          && h.version.equals(s.version())
          && h.saidFrom.isBefore(from(asked, s.age()))) {
        h.saidFrom = from(asked, s.age());
      }
    }
  }

  /**
   * It left its teller after it was asked for: by then it was as old as told at the most, by a
   * clock of another rate.
   */
  private Timestamp from(Open asked, TimeSpan age) {
    return asked.at().minus(age.times(1 + 2 * terms.drift()));
  }

  private TimeSpan age(Held h, Timestamp now) {
    return now.since(h.saidFrom);
  }

  /** What is known of a member now; null if nothing is, or it has reached its end. */
  public KnownFigures known(MemberName of, Timestamp now) {
    Held h = held.get(of);
    return h == null || age(h, now).compareTo(terms.end()) >= 0
        ? null
        : new KnownFigures(h.version, h.figures, age(h, now));
  }

  /**
   * The sum of one figure over those of whom it is known, how many that are, and of how many it is
   * not: of a sum that leaves some out nobody may believe that they have nothing.
   */
  public Sum sum(String figure, Timestamp now) {
    long sum = own == null ? 0 : own.byName().getOrDefault(figure, 0L);
    int counted = own != null && own.byName().containsKey(figure) ? 1 : 0;
    for (MemberName m : others) {
      KnownFigures k = known(m, now);
      Long said = k == null ? null : k.figures().byName().get(figure);
      if (said != null) {
        sum += said;
        counted++;
      }
    }
    return new Sum(sum, counted, others.size() + 1 - counted);
  }

  /** A sum over members, how many it counts and how many are unknown. */
  public record Sum(long sum, int counted, int unknown) {}

  /** Statements held of others: bounded by the view. */
  public int size() {
    return held.size();
  }
}
