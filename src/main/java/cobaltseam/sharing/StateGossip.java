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
 * from the caller, who asks {@link #due} no later than {@link #nextRoundAt}.
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
  private static final int KNOWN_VERSION_BYTES = 24;

  /**
   * So many asks wait for their answer at the most: what peers that stay silent make this process
   * hold is bounded.
   */
  private static final int MAX_PENDING_REQUESTS = 64;

  private static final long MAX_FIRST_NUMBER = 1L << 40;

  private static final class KnownState {
    Version version;
    MemberFigures figures;

    /**
     * The earliest moment, by this process's clock, at which its member can have stood by it last.
     */
    Timestamp confirmedAt;
  }

  private record PendingRequest(MemberName member, Timestamp requestedAt) {}

  /** One message and whom it is for. */
  public record Send(MemberName to, SharingMessage message) {}

  private final MemberName self;
  private Incarnation incarnation;
  private final GossipOptions options;
  private final RandomGenerator random;
  private final Map<MemberName, KnownState> states = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private List<MemberName> others = List.of();

  /** Those of the view not asked yet in this turn: each is asked once before any is asked again. */
  private final List<MemberName> notYetAsked = new ArrayList<>();

  private long versionNumber;
  private MemberFigures ownFigures;
  private Timestamp nextRoundAt;

  public StateGossip(
      MemberName self,
      Incarnation incarnation,
      GossipOptions options,
      RandomGenerator random,
      Timestamp now) {
    this.self = self;
    this.incarnation = incarnation;
    this.options = options;
    this.random = random;
    // A process started anew under its birth must not say other figures under a version that it
    // gave before.
    versionNumber = random.nextLong(MAX_FIRST_NUMBER);
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** The members of the view now. Of one that is not in it nothing is known any more. */
  public void view(Set<MemberName> members) {
    others = members.stream().filter(m -> !m.equals(self)).sorted().toList();
    states.keySet().retainAll(new HashSet<>(others));
    notYetAsked.retainAll(new HashSet<>(others));
    pending.values().removeIf(o -> !members.contains(o.member()));
  }

  /** This process is another member from now on. */
  public void setIncarnation(Incarnation current) {
    incarnation = current;
  }

  /** What this member says of itself under this name; 0 if it does not. */
  public long ownFigure(String figure) {
    return ownFigures == null ? 0 : ownFigures.byName().getOrDefault(figure, 0L);
  }

  /** What this member says of itself from now on. */
  public void say(MemberFigures figures) {
    ownFigures = figures;
    versionNumber++;
  }

  /** When to ask {@link #due} next. */
  public Timestamp nextRoundAt() {
    return nextRoundAt;
  }

  /** What to send now. */
  public List<Send> due(Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    nextRoundAt = now.plus(options.round());
    pending.values().removeIf(o -> now.since(o.requestedAt()).compareTo(options.maxAge()) >= 0);
    states.values().removeIf(state -> age(state, now).compareTo(options.maxAge()) >= 0);
    List<Send> sends = new ArrayList<>();
    for (int i = 0;
        i < Math.min(options.requestsPerRound(), others.size())
            && pending.size() < MAX_PENDING_REQUESTS;
        i++) {
      if (notYetAsked.isEmpty()) {
        notYetAsked.addAll(others);
      }
      MemberName member = notYetAsked.remove(random.nextInt(notYetAsked.size()));
      long id = random.nextLong();
      pending.put(id, new PendingRequest(member, now));
      sends.add(new Send(member, new SharingMessage.UpdateRequest(self, id, knownVersions(now))));
    }
    return sends;
  }

  /**
   * What is held, as much as a message holds; what is left out is drawn, so that nothing is for
   * good.
   */
  private Map<MemberName, SharingMessage.KnownVersion> knownVersions(Timestamp now) {
    List<MemberName> names = new ArrayList<>(states.keySet());
    Map<MemberName, SharingMessage.KnownVersion> known = new HashMap<>();
    known.put(
        self,
        new SharingMessage.KnownVersion(new Version(incarnation, versionNumber), TimeSpan.ZERO));
    int bytes = 0;
    while (!names.isEmpty()) {
      MemberName name = names.remove(random.nextInt(names.size()));
      bytes += KNOWN_VERSION_BYTES + name.value().length();
      if (bytes > options.maxMessageBytes()) {
        break;
      }
      KnownState state = states.get(name);
      known.put(name, new SharingMessage.KnownVersion(state.version, age(state, now)));
    }
    return known;
  }

  /** What to send after a message. */
  public List<Send> heard(SharingMessage message, Timestamp now) {
    if (!others.contains(message.from())) {
      return List.of();
    }
    if (message instanceof SharingMessage.UpdateRequest request) {
      return answer(request, now);
    }
    learn((SharingMessage.UpdateReply) message, now);
    return List.of();
  }

  private List<Send> answer(SharingMessage.UpdateRequest request, Timestamp now) {
    List<Statement> statements = new ArrayList<>();
    if (ownFigures != null) {
      statements.add(
          new Statement(self, new Version(incarnation, versionNumber), ownFigures, TimeSpan.ZERO));
    }
    states.forEach(
        (name, state) ->
            statements.add(new Statement(name, state.version, state.figures, age(state, now))));
    List<Send> sends = new ArrayList<>();
    List<Statement> newer = new ArrayList<>();
    List<SharingMessage.Reaffirmation> reaffirmations = new ArrayList<>();
    int bytes = 0;
    for (Statement s : statements) {
      SharingMessage.KnownVersion knownVersion = request.known().get(s.member());
      int comparison = knownVersion == null ? -1 : knownVersion.version().compareTo(s.version());
      // A figure that is the same is told as such only where that adds a round to its life there.
      boolean isYounger =
          comparison == 0 && s.age().plus(options.round()).compareTo(knownVersion.age()) < 0;
      if (comparison > 0
          || comparison == 0 && !isYounger
          || s.age().compareTo(options.maxAge()) >= 0) {
        continue;
      }
      int addedBytes = isYounger ? KNOWN_VERSION_BYTES + s.member().value().length() : bytes(s);
      if (bytes > 0 && bytes + addedBytes > options.maxMessageBytes()) {
        sends.add(
            new Send(
                request.from(),
                new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
        newer.clear();
        reaffirmations.clear();
        bytes = 0;
      }
      if (isYounger) {
        reaffirmations.add(new SharingMessage.Reaffirmation(s.member(), s.version(), s.age()));
      } else {
        newer.add(s);
      }
      bytes += addedBytes;
    }
    if (bytes > 0) {
      sends.add(
          new Send(
              request.from(),
              new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
    }
    return sends;
  }

  private static int bytes(Statement s) {
    return STATEMENT_BYTES
        + s.member().value().length()
        + s.figures().byName().keySet().stream().mapToInt(n -> n.length() + FIGURE_BYTES).sum();
  }

  private void learn(SharingMessage.UpdateReply reply, Timestamp now) {
    PendingRequest request = pending.get(reply.id());
    if (request == null || !request.member().equals(reply.from())) {
      return;
    }
    for (Statement s : reply.statements()) {
      if (s.member().equals(self)) {
        // A former process of this birth said more: whoever holds that would not believe this one.
        if (s.version().incarnation().equals(incarnation) && s.version().number() > versionNumber) {
          versionNumber = s.version().number() + 1;
        }
        continue;
      }
      KnownState state = states.get(s.member());
      if (!others.contains(s.member())
          || s.age().us() < 0
          || state != null && state.version.compareTo(s.version()) >= 0) {
        continue;
      }
      Timestamp from = confirmedAt(request, s.age());
      if (now.since(from).compareTo(options.maxAge()) < 0) {
        KnownState fresh = new KnownState();
        fresh.version = s.version();
        fresh.figures = s.figures();
        fresh.confirmedAt = from;
        states.put(s.member(), fresh);
      }
    }
    for (SharingMessage.Reaffirmation s : reply.standing()) {
      KnownState state = states.get(s.member());
      if (state != null
          && s.age().us() >= 0
          && state.version.equals(s.version())
          && state.confirmedAt.isBefore(confirmedAt(request, s.age()))) {
        state.confirmedAt = confirmedAt(request, s.age());
      }
    }
  }

  /**
   * It left its teller after it was asked for: by then it was as old as told at the most, by a
   * clock of another rate.
   */
  private Timestamp confirmedAt(PendingRequest request, TimeSpan age) {
    return request.requestedAt().minus(age.times(1 + 2 * options.maxClockRateRatio()));
  }

  private TimeSpan age(KnownState state, Timestamp now) {
    return now.since(state.confirmedAt);
  }

  /** What is known of a member now; null if nothing is, or it has reached its end. */
  public KnownFigures known(MemberName member, Timestamp now) {
    KnownState state = states.get(member);
    return state == null || age(state, now).compareTo(options.maxAge()) >= 0
        ? null
        : new KnownFigures(state.version, state.figures, age(state, now));
  }

  /**
   * The sum of one figure over those of whom it is known, how many that are, and of how many it is
   * not: of a sum that leaves some out nobody may believe that they have nothing.
   */
  public Sum sum(String figure, Timestamp now) {
    long sum = ownFigures == null ? 0 : ownFigures.byName().getOrDefault(figure, 0L);
    int counted = ownFigures != null && ownFigures.byName().containsKey(figure) ? 1 : 0;
    for (MemberName member : others) {
      KnownFigures state = known(member, now);
      Long value = state == null ? null : state.figures().byName().get(figure);
      if (value != null) {
        sum += value;
        counted++;
      }
    }
    return new Sum(sum, counted, others.size() + 1 - counted);
  }

  /** A sum over members, how many it counts and how many are unknown. */
  public record Sum(long sum, int counted, int unknown) {}

  /** Statements held of others: bounded by the view. */
  public int size() {
    return states.size();
  }
}
