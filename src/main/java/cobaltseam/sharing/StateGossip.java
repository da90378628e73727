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
 * What the members of a view know of each other. It does no I/O: time, randomness and messages come
 * from the caller, who asks {@link #runRound} no later than {@link #nextRoundAt}.
 *
 * <p>Each member states figures of itself alone, under a rising version. In each round a few
 * others, drawn from the view, are asked for updates that are newer than what is known here.
 * Updates are pulled and not pushed, since then the delay of a message is bounded by this process's
 * own clock: the recorded age is the largest that it can be, however long messages were delayed. A
 * figure that has reached its maximum age is unknown. Figures of members outside the view are
 * dropped.
 *
 * <p>Guards: a reply without a pending request (a replay, a late one) is ignored. Figures of this
 * process itself are ignored, but a higher version number under its own incarnation raises its next
 * one above it (a restart under the same incarnation).
 */
public final class StateGossip {
  /**
   * Bytes of a statement without its figures; with those of a figure without its name it bounds the
   * size of a message.
   */
  private static final int STATEMENT_BYTES = 64;

  private static final int FIGURE_BYTES = 12;
  private static final int KNOWN_VERSION_BYTES = 24;

  /**
   * Requests that wait for their reply: bounds the memory that silent peers can make this process
   * use.
   */
  private static final int MAX_PENDING_REQUESTS = 64;

  private static final long MAX_FIRST_NUMBER = 1L << 40;

  private static final class KnownState {
    FiguresVersion version;
    MemberFigures figures;

    /**
     * The earliest time, by this process's clock, at which its member can have confirmed it last.
     */
    Timestamp confirmedAt;
  }

  private record PendingRequest(MemberName member, Timestamp requestedAt) {}

  /** A message to a member; it may be lost. */
  public record OutgoingMessage(MemberName to, SharingMessage message) {}

  private final MemberName self;
  private Incarnation incarnation;
  private final GossipOptions options;
  private final RandomGenerator random;
  private final Map<MemberName, KnownState> states = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private List<MemberName> others = List.of();

  /** Members not asked yet in this turn: each is asked once before any is asked again. */
  private final List<MemberName> notYetAsked = new ArrayList<>();

  private long versionNumber;
  private MemberFigures ownFigures;
  private Timestamp nextRoundAt;

  /**
   * @param self the name of this member
   * @param now the first round begins within one round from then
   */
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
    // A process restarted under the same incarnation must not state other figures under a version
    // that it used before.
    versionNumber = random.nextLong(MAX_FIRST_NUMBER);
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** Sets the members of the view; the figures of all others are dropped. */
  public void setView(Set<MemberName> members) {
    others = members.stream().filter(m -> !m.equals(self)).sorted().toList();
    states.keySet().retainAll(new HashSet<>(others));
    notYetAsked.retainAll(new HashSet<>(others));
    pending.values().removeIf(o -> !members.contains(o.member()));
  }

  /** Sets the incarnation of this process. */
  public void setIncarnation(Incarnation current) {
    incarnation = current;
  }

  /** The figure of this name that this member states; 0 if it states none. */
  public long ownFigure(String figure) {
    return ownFigures == null ? 0 : ownFigures.byName().getOrDefault(figure, 0L);
  }

  /** Sets the figures that this member states. */
  public void setOwnFigures(MemberFigures figures) {
    ownFigures = figures;
    versionNumber++;
  }

  /** When to ask {@link #runRound} next. */
  public Timestamp nextRoundAt() {
    return nextRoundAt;
  }

  /** Starts a round if one is due, and returns the requests to send. */
  public List<OutgoingMessage> runRound(Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    nextRoundAt = now.plus(options.round());
    pending.values().removeIf(o -> now.since(o.requestedAt()).compareTo(options.maxAge()) >= 0);
    states.values().removeIf(state -> age(state, now).compareTo(options.maxAge()) >= 0);
    List<OutgoingMessage> sends = new ArrayList<>();
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
      sends.add(
          new OutgoingMessage(
              member, new SharingMessage.UpdateRequest(self, id, knownVersions(now))));
    }
    return sends;
  }

  /**
   * The known versions, as many as fit a message; which are left out is drawn, so that none is left
   * out for good.
   */
  private Map<MemberName, SharingMessage.KnownVersion> knownVersions(Timestamp now) {
    List<MemberName> names = new ArrayList<>(states.keySet());
    Map<MemberName, SharingMessage.KnownVersion> known = new HashMap<>();
    known.put(
        self,
        new SharingMessage.KnownVersion(
            new FiguresVersion(incarnation, versionNumber), TimeSpan.ZERO));
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

  /** Handles a message and returns the replies to send. */
  public List<OutgoingMessage> receive(SharingMessage message, Timestamp now) {
    if (!others.contains(message.from())) {
      return List.of();
    }
    if (message instanceof SharingMessage.UpdateRequest request) {
      return answer(request, now);
    }
    learn((SharingMessage.UpdateReply) message, now);
    return List.of();
  }

  private List<OutgoingMessage> answer(SharingMessage.UpdateRequest request, Timestamp now) {
    List<FiguresUpdate> updates = new ArrayList<>();
    if (ownFigures != null) {
      updates.add(
          new FiguresUpdate(
              self, new FiguresVersion(incarnation, versionNumber), ownFigures, TimeSpan.ZERO));
    }
    states.forEach(
        (name, state) ->
            updates.add(new FiguresUpdate(name, state.version, state.figures, age(state, now))));
    List<OutgoingMessage> sends = new ArrayList<>();
    List<FiguresUpdate> newer = new ArrayList<>();
    List<SharingMessage.Reaffirmation> reaffirmations = new ArrayList<>();
    int bytes = 0;
    for (FiguresUpdate statement : updates) {
      SharingMessage.KnownVersion knownVersion = request.known().get(statement.member());
      int comparison =
          knownVersion == null ? -1 : knownVersion.version().compareTo(statement.version());
      // An unchanged figure is reaffirmed only if that extends its life at the requester by a
      // round.
      boolean isYounger =
          comparison == 0
              && statement.age().plus(options.round()).compareTo(knownVersion.age()) < 0;
      if (comparison > 0
          || comparison == 0 && !isYounger
          || statement.age().compareTo(options.maxAge()) >= 0) {
        continue;
      }
      int addedBytes =
          isYounger ? KNOWN_VERSION_BYTES + statement.member().value().length() : bytes(statement);
      if (bytes > 0 && bytes + addedBytes > options.maxMessageBytes()) {
        sends.add(
            new OutgoingMessage(
                request.from(),
                new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
        newer.clear();
        reaffirmations.clear();
        bytes = 0;
      }
      if (isYounger) {
        reaffirmations.add(
            new SharingMessage.Reaffirmation(
                statement.member(), statement.version(), statement.age()));
      } else {
        newer.add(statement);
      }
      bytes += addedBytes;
    }
    if (bytes > 0) {
      sends.add(
          new OutgoingMessage(
              request.from(),
              new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
    }
    return sends;
  }

  private static int bytes(FiguresUpdate statement) {
    return STATEMENT_BYTES
        + statement.member().value().length()
        + statement.figures().byName().keySet().stream()
            .mapToInt(n -> n.length() + FIGURE_BYTES)
            .sum();
  }

  private void learn(SharingMessage.UpdateReply reply, Timestamp now) {
    PendingRequest request = pending.get(reply.id());
    if (request == null || !request.member().equals(reply.from())) {
      return;
    }
    for (FiguresUpdate statement : reply.updates()) {
      if (statement.member().equals(self)) {
        // An earlier process of this incarnation used higher numbers: members that know them would
        // ignore this one.
        if (statement.version().incarnation().equals(incarnation)
            && statement.version().number() > versionNumber) {
          versionNumber = statement.version().number() + 1;
        }
        continue;
      }
      KnownState state = states.get(statement.member());
      if (!others.contains(statement.member())
          || statement.age().us() < 0
          || state != null && state.version.compareTo(statement.version()) >= 0) {
        continue;
      }
      Timestamp from = confirmedAt(request, statement.age());
      if (now.since(from).compareTo(options.maxAge()) < 0) {
        KnownState fresh = new KnownState();
        fresh.version = statement.version();
        fresh.figures = statement.figures();
        fresh.confirmedAt = from;
        states.put(statement.member(), fresh);
      }
    }
    for (SharingMessage.Reaffirmation statement : reply.reaffirmations()) {
      KnownState state = states.get(statement.member());
      if (state != null
          && statement.age().us() >= 0
          && state.version.equals(statement.version())
          && state.confirmedAt.isBefore(confirmedAt(request, statement.age()))) {
        state.confirmedAt = confirmedAt(request, statement.age());
      }
    }
  }

  /**
   * When a figure of the stated age was confirmed at the earliest: the reply was sent after the
   * request, and the sender's clock may run at another rate.
   */
  private Timestamp confirmedAt(PendingRequest request, TimeSpan age) {
    return request.requestedAt().minus(age.times(1 + 2 * options.maxClockRateRatio()));
  }

  private TimeSpan age(KnownState state, Timestamp now) {
    return now.since(state.confirmedAt);
  }

  /** What is known of a member now; null if nothing is, or it has reached its maximum age. */
  public KnownFigures figuresOf(MemberName member, Timestamp now) {
    KnownState state = states.get(member);
    return state == null || age(state, now).compareTo(options.maxAge()) >= 0
        ? null
        : new KnownFigures(state.version, state.figures, age(state, now));
  }

  /**
   * The sum of one figure over the members of which it is known, with the number of members of
   * which it is not: a caller must not take these for zero.
   */
  public FigureSum sum(String figure, Timestamp now) {
    long sum = ownFigures == null ? 0 : ownFigures.byName().getOrDefault(figure, 0L);
    int counted = ownFigures != null && ownFigures.byName().containsKey(figure) ? 1 : 0;
    for (MemberName member : others) {
      KnownFigures state = figuresOf(member, now);
      Long value = state == null ? null : state.figures().byName().get(figure);
      if (value != null) {
        sum += value;
        counted++;
      }
    }
    return new FigureSum(sum, counted, others.size() + 1 - counted);
  }

  /** A sum over members, how many it counts and how many are unknown. */
  public record FigureSum(long sum, int counted, int unknown) {}

  /** The number of other members with known figures; bounded by the view. */
  public int knownMemberCount() {
    return states.size();
  }
}
