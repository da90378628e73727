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
 * The figures that the members of a view know of each other. It does no I/O: time, randomness and
 * messages come from the caller, who calls {@link #runRound} no later than {@link #nextRoundAt}.
 *
 * <p>Each member publishes figures about itself only, under a rising version. In each round a few
 * other members, sampled from the view, are asked for updates that are newer than what is known
 * here. Updates are pulled and not pushed, since then the delay of a message is bounded by this
 * process's own clock: the recorded age is the largest possible one, however long messages were
 * delayed. A figure that has reached its maximum age is unknown. Figures of members outside the
 * view are dropped.
 *
 * <p>A reply without a pending request is ignored, whether it is replayed or late. Figures of this
 * process itself are ignored, but a higher version number under its own incarnation, which an
 * earlier process used before a restart, raises the version number of this process above it.
 */
public final class StateGossip {
  /** The estimated bytes of an update in a message, without its names and figures. */
  private static final int UPDATE_BYTES = 64;

  /** The estimated bytes of a figure in a message, without its name. */
  private static final int FIGURE_BYTES = 12;

  /** The estimated bytes of a known version in a message, without the name of the member. */
  private static final int KNOWN_VERSION_BYTES = 24;

  /**
   * The largest number of requests that wait for their reply; it bounds the memory that silent
   * peers can make this process use.
   */
  private static final int MAX_PENDING_REQUESTS = 64;

  /** The exclusive bound of the randomly generated first version number. */
  private static final long MAX_FIRST_NUMBER = 1L << 40;

  private static final class KnownState {
    FiguresVersion version;
    MemberFigures figures;

    /**
     * The earliest time, by this process's clock, at which the member itself can have confirmed
     * this version last.
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

  /** Members not asked yet in this cycle: each is asked once before any is asked again. */
  private final List<MemberName> notYetAsked = new ArrayList<>();

  private long versionNumber;
  private MemberFigures ownFigures;
  private Timestamp nextRoundAt;

  /**
   * @param self the name of this member
   * @param now the current time; the first round begins within one round from it
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
    // A process restarted under the same incarnation must not publish other figures under a version
    // that an earlier process used.
    versionNumber = random.nextLong(MAX_FIRST_NUMBER);
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** Sets the members of the view; the figures of all others are dropped. */
  public void setView(Set<MemberName> members) {
    others = members.stream().filter(member -> !member.equals(self)).sorted().toList();
    states.keySet().retainAll(new HashSet<>(others));
    notYetAsked.retainAll(new HashSet<>(others));
    pending.values().removeIf(request -> !members.contains(request.member()));
  }

  /** Sets the incarnation of this process. */
  public void setIncarnation(Incarnation current) {
    incarnation = current;
  }

  /** The figure of this name that this member publishes; 0 if it publishes none. */
  public long ownFigure(String name) {
    return ownFigures == null ? 0 : ownFigures.byName().getOrDefault(name, 0L);
  }

  /** Sets the figures that this member publishes, under a new version. */
  public void setOwnFigures(MemberFigures figures) {
    ownFigures = figures;
    versionNumber++;
  }

  /** When {@link #runRound} is to be called next. */
  public Timestamp nextRoundAt() {
    return nextRoundAt;
  }

  /** Starts a round if one is due, and returns the requests to send. */
  public List<OutgoingMessage> runRound(Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a suspension of this process one round is run, and not each that was missed.
    nextRoundAt = now.plus(options.round());
    pending
        .values()
        .removeIf(request -> now.since(request.requestedAt()).compareTo(options.maxAge()) >= 0);
    states.values().removeIf(state -> age(state, now).compareTo(options.maxAge()) >= 0);
    List<OutgoingMessage> requests = new ArrayList<>();
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
      requests.add(
          new OutgoingMessage(
              member, new SharingMessage.UpdateRequest(self, id, knownVersions(now))));
    }
    return requests;
  }

  /**
   * The known versions, as many as fit into a message. The omitted ones are sampled, so that none
   * is omitted permanently.
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
      return createReplies(request, now);
    }
    applyReply((SharingMessage.UpdateReply) message, now);
    return List.of();
  }

  private List<OutgoingMessage> createReplies(SharingMessage.UpdateRequest request, Timestamp now) {
    List<FiguresUpdate> updates = new ArrayList<>();
    if (ownFigures != null) {
      updates.add(
          new FiguresUpdate(
              self, new FiguresVersion(incarnation, versionNumber), ownFigures, TimeSpan.ZERO));
    }
    states.forEach(
        (name, state) ->
            updates.add(new FiguresUpdate(name, state.version, state.figures, age(state, now))));
    List<OutgoingMessage> replies = new ArrayList<>();
    List<FiguresUpdate> newer = new ArrayList<>();
    List<SharingMessage.Reaffirmation> reaffirmations = new ArrayList<>();
    int bytes = 0;
    for (FiguresUpdate update : updates) {
      SharingMessage.KnownVersion knownVersion = request.known().get(update.member());
      int comparison =
          knownVersion == null ? -1 : knownVersion.version().compareTo(update.version());
      // An unchanged version is reaffirmed only if that lets the requester keep it for at least a
      // round longer.
      boolean isReaffirmation =
          comparison == 0 && update.age().plus(options.round()).compareTo(knownVersion.age()) < 0;
      if (comparison > 0
          || comparison == 0 && !isReaffirmation
          || update.age().compareTo(options.maxAge()) >= 0) {
        continue;
      }
      int addedBytes =
          isReaffirmation
              ? KNOWN_VERSION_BYTES + update.member().value().length()
              : estimateBytes(update);
      if (bytes > 0 && bytes + addedBytes > options.maxMessageBytes()) {
        replies.add(
            new OutgoingMessage(
                request.from(),
                new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
        newer.clear();
        reaffirmations.clear();
        bytes = 0;
      }
      if (isReaffirmation) {
        reaffirmations.add(
            new SharingMessage.Reaffirmation(update.member(), update.version(), update.age()));
      } else {
        newer.add(update);
      }
      bytes += addedBytes;
    }
    if (bytes > 0) {
      replies.add(
          new OutgoingMessage(
              request.from(),
              new SharingMessage.UpdateReply(self, request.id(), newer, reaffirmations)));
    }
    return replies;
  }

  private static int estimateBytes(FiguresUpdate update) {
    return UPDATE_BYTES
        + update.member().value().length()
        + update.figures().byName().keySet().stream()
            .mapToInt(name -> name.length() + FIGURE_BYTES)
            .sum();
  }

  private void applyReply(SharingMessage.UpdateReply reply, Timestamp now) {
    PendingRequest request = pending.get(reply.id());
    if (request == null || !request.member().equals(reply.from())) {
      return;
    }
    for (FiguresUpdate update : reply.updates()) {
      if (update.member().equals(self)) {
        // An earlier process of this incarnation used higher numbers. Members that know these would
        // ignore the figures of this process.
        if (update.version().incarnation().equals(incarnation)
            && update.version().number() > versionNumber) {
          versionNumber = update.version().number() + 1;
        }
        continue;
      }
      KnownState state = states.get(update.member());
      if (!others.contains(update.member())
          || update.age().us() < 0
          || state != null && state.version.compareTo(update.version()) >= 0) {
        continue;
      }
      Timestamp confirmedAt = confirmedAt(request, update.age());
      if (now.since(confirmedAt).compareTo(options.maxAge()) < 0) {
        KnownState fresh = new KnownState();
        fresh.version = update.version();
        fresh.figures = update.figures();
        fresh.confirmedAt = confirmedAt;
        states.put(update.member(), fresh);
      }
    }
    for (SharingMessage.Reaffirmation reaffirmation : reply.reaffirmations()) {
      KnownState state = states.get(reaffirmation.member());
      if (state != null
          && reaffirmation.age().us() >= 0
          && state.version.equals(reaffirmation.version())
          && state.confirmedAt.isBefore(confirmedAt(request, reaffirmation.age()))) {
        state.confirmedAt = confirmedAt(request, reaffirmation.age());
      }
    }
  }

  /**
   * The earliest time at which a figure of the reported age was confirmed. It counts from the
   * request, as the reply was sent later, and allows for another rate of the sender's clock.
   */
  private Timestamp confirmedAt(PendingRequest request, TimeSpan age) {
    return request.requestedAt().minus(age.times(1 + 2 * options.maxClockRateRatio()));
  }

  private TimeSpan age(KnownState state, Timestamp now) {
    return now.since(state.confirmedAt);
  }

  /** The figures that are known of another member; null if none are, or if they are too old. */
  public KnownFigures figuresOf(MemberName member, Timestamp now) {
    KnownState state = states.get(member);
    return state == null || age(state, now).compareTo(options.maxAge()) >= 0
        ? null
        : new KnownFigures(state.version, state.figures, age(state, now));
  }

  /**
   * The sum of one figure over the members of which it is known. The result also holds the number
   * of members of which it is unknown, as a caller must not take these for zero.
   */
  public FigureSum sum(String name, Timestamp now) {
    long sum = ownFigures == null ? 0 : ownFigures.byName().getOrDefault(name, 0L);
    int counted = ownFigures != null && ownFigures.byName().containsKey(name) ? 1 : 0;
    for (MemberName member : others) {
      KnownFigures known = figuresOf(member, now);
      Long value = known == null ? null : known.figures().byName().get(name);
      if (value != null) {
        sum += value;
        counted++;
      }
    }
    return new FigureSum(sum, counted, others.size() + 1 - counted);
  }

  /**
   * A sum over members.
   *
   * @param counted the number of members that the sum includes
   * @param unknown the number of members of which the figure is unknown
   */
  public record FigureSum(long sum, int counted, int unknown) {}

  /** The number of other members with known figures; bounded by the view. */
  public int knownMemberCount() {
    return states.size();
  }
}
