package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.Accepted;
import cobaltseam.membership.MembershipMessage.BootstrapConsent;
import cobaltseam.membership.MembershipMessage.BootstrapRequest;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.MembershipMessage.Reject;
import cobaltseam.membership.MembershipMessage.ViewPart;
import cobaltseam.membership.MembershipMessage.ViewRequest;
import cobaltseam.membership.ViewChange.Step;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * One process among those of its fleet: the second layer, agreed views, over the first, {@link
 * FailureDetector}. It does no I/O: moments, chance and messages come from the caller, who asks
 * {@link #due} no later than {@link #wake}.
 *
 * <p>A view follows only from its predecessor, by a majority of it ({@link ViewChange}). Whoever of
 * a view comes first among those that seem alive proposes the next one, once what it would change
 * has settled; if nothing comes of it, the next in order does. Each voter says who should stay, and
 * nobody is taken out without a majority that agrees.
 */
public final class Membership {
  /** No change of a view is larger, so that it fits a datagram. */
  private static final int MOST_OUT = 128;

  private static final int MOST_IN = 64;
  private static final int MOST_VIEW_PART = 48;
  private static final int MOST_VIEW = 4096;

  /**
   * Periods: until what is wanted counts as settled, at most, and by which each next one in order
   * waits longer.
   */
  private static final double SETTLE = 0.5;

  private static final double SETTLE_MOST = 6;
  private static final double NEXT_AFTER = 2;
  private static final double TRY_FOR = 0.5;
  private static final double AGAIN = 0.125;
  private static final double GIVES_UP = 2;
  private static final int TOLD_AGAIN = 2;

  /**
   * One that is taken in again waits for so many periods, twice as many each time, up to the most
   * doublings.
   */
  private static final double STABLE = 1;

  private static final double BACK_AFTER = 10;
  private static final int MOST_DOUBLED = 6;

  /** Rounds in which a founder listens for a view before it founds one. */
  private static final int LISTENS = 3;

  /** A process heard within so many periods stays, whatever is said of it. */
  private static final double HEARD_WITHIN = 1.5;

  /** Periods after a majority came back in which nobody is taken out. */
  private static final double HEALS = 8;

  private static final double SPLIT_FROM = 3;
  private static final int MOST_REMOVALS = 4096;

  /**
   * Lines that a process may have left; each is a founding, and beyond it none is joined until the
   * next start.
   */
  private static final int MOST_LINES = 64;

  /** Messages held back while the folder is written; more are lost, as any datagram may be. */
  private static final int MOST_WITHHELD = 4096;

  /**
   * An operator founds anew only if for so many times what is borne nothing was heard of those that
   * are missing.
   */
  private static final double SILENT_FOR = 3;

  private record Removal(int times, Timestamp at) {}

  /** A view that comes in parts. */
  private static final class IncomingView {
    ViewId id;
    int size;
    ConfigurationVersion edition;
    final List<Member> members = new ArrayList<>();
  }

  private final MembershipOptions terms;
  private final RandomGenerator chance;
  private final List<MembershipAction> acts = new ArrayList<>();
  private final FailureDetector suspicion;
  private ViewState seat = new ViewState(null, null, null, null, null);

  /**
   * Who was taken out, by name and birth: how often, so that a flapping one comes back ever later.
   */
  private final Map<Member, Removal> removals = new LinkedHashMap<>();

  /** Processes taken out whose sends may still hold engines, until when. */
  private final Map<Member, Timestamp> lingering = new HashMap<>();

  private ViewDelta wanted = ViewDelta.NONE;
  private Timestamp wantedSince,
      settledFrom,
      triedAt,
      confirmFrom,
      started,
      viewSince,
      asked,
      roundSince,
      againAt;

  /** After a higher ballot or a round that came to nothing, it rests until then. */
  private Timestamp restsUntil = new Timestamp(0);

  /** Not before then does it call the whole view again. */
  private Timestamp callsFrom = new Timestamp(0);

  private IncomingView coming;

  /** Who told of a later view, until it is held here. */
  private MessageHeader ahead;

  /** What this process decided, while it is told again. */
  private List<ViewChange.OutgoingMessage> decided;

  private int decidedLeft;

  /**
   * Of each line that was given up here, the number of its view then: that and those before it are
   * not taken again from one who still holds them, since what was promised in them is forgotten.
   */
  private final Map<Long, Long> left = new HashMap<>();

  /** Lines known to have ended, and the view that has no successor. */
  private final Map<Long, Long> ended = new HashMap<>();

  /**
   * The view that this process was taken out by, until another holds it or that one is known to
   * have ended.
   */
  private View takenOutBy;

  /**
   * Nobody at all is heard; since when there is no majority; and when one last came back after a
   * while.
   */
  private boolean unheard;

  private Timestamp minoritySince, healedAt;
  private boolean leaving;
  private long highestRound;
  // founding
  private long attempt;
  private List<Member> founding;
  private final Set<MemberName> consents = new HashSet<>();
  private Incarnation vowedTo;
  private long vowedAttempt;

  // the lasting folder
  private record DeferredAction(long number, MembershipAction act) {}

  private boolean lasting;

  /**
   * A process that goes on from its folder votes only once a majority was heard, of whom one may
   * know that the folder is old.
   */
  private boolean resumed;

  private long starts;
  private PersistentState kept;
  private long keeps, stored;
  private final Deque<DeferredAction> withheld = new ArrayDeque<>();

  /**
   * How many of the members of the view seem alive, as of what; it is asked for at every message.
   */
  private View countedOf;

  private long countedAt = -1;
  private int aliveCount;

  /** What this process would have the next view hold, or null. */
  private ConfigurationVersion offered;

  private Predicate<ConfigurationVersion> hasDocument = e -> true;
  private Function<ConfigurationVersion, byte[]> documentOf = e -> null;

  /**
   * A process with a lasting folder; {@code former} is what that holds, or null if it is new or was
   * another's.
   */
  public static Membership lasting(
      MembershipOptions terms, Member self, PersistentState former, RandomGenerator chance) {
    boolean same =
        former != null
            && former.self().name().equals(self.name())
            && former.self().peerAddress().equals(self.peerAddress());
    Member as = same ? former.self() : self;
    if (former != null && !same && former.self().name().equals(self.name())) {
      as =
          new Member(
              self.name(),
              new Incarnation(
                  Math.max(self.incarnation().value(), former.self().incarnation().value() + 1)),
              self.peerAddress());
    }
    Membership m = new Membership(terms, as, chance);
    m.lasting = true;
    m.starts = same ? former.starts() + 1 : 1;
    m.suspicion.resume(m.starts);
    if (same) {
      m.seat = former.seat();
      m.vowedTo = former.consentedTo();
      m.vowedAttempt = former.consentedAttempt();
      m.left.putAll(former.leftLineages());
      m.ended.putAll(former.endedLineages());
      m.resumed = former.view() != null;
    }
    return m;
  }

  public Membership(MembershipOptions terms, Member self, RandomGenerator chance) {
    this.terms = terms;
    this.chance = chance;
    suspicion =
        new FailureDetector(
            terms,
            self,
            chance,
            new DetectorOutput() {
              @Override
              public void send(InetSocketAddress to, MembershipMessage message) {
                acts.add(new MembershipAction.Send(to, message));
              }

              @Override
              public void recordEvent(MembershipEvent event, MemberName who, String detail) {
                acts.add(new MembershipAction.EventRecorded(event, who, detail));
              }
            });
  }

  // ---- what is asked

  public Member self() {
    return suspicion.self();
  }

  /** The last agreed view known here, or null. */
  public View view() {
    return seat.view();
  }

  /** What may be made of it at this moment; a caller that stood still asks {@link #due} first. */
  public QuorumState standing() {
    if (seat.view() == null) {
      return QuorumState.NONE;
    }
    if (confirmFrom != null) {
      return QuorumState.UNSURE;
    }
    if (unheard && seat.view().members().size() > 1) {
      return QuorumState.MINORITY;
    }
    return alive() >= seat.view().majority() ? QuorumState.MAJORITY : QuorumState.MINORITY;
  }

  private int alive() {
    if (countedOf != seat.view() || countedAt != suspicion.version()) {
      countedOf = seat.view();
      countedAt = suspicion.version();
      aliveCount = 0;
      for (Member m : seat.view().members()) {
        aliveCount += suspicion.isAlive(m) ? 1 : 0;
      }
    }
    return aliveCount;
  }

  /** Whether all that are known are of the view and seem alive, and the view holds nobody else. */
  private boolean isWhole() {
    int members = seat.view().members().size();
    return alive() == members && suspicion.peers().size() == members - 1;
  }

  /**
   * Over how many dispatchers the engines are to be shared: those of the view, and those taken out
   * of it whose sends may still hold engines. It goes up at once, and down only then. Zero where
   * there is no view.
   */
  public int carriers(Timestamp now) {
    lingering.values().removeIf(until -> !now.isBefore(until));
    return seat.view() == null ? 0 : seat.view().members().size() + lingering.size();
  }

  /** When {@link #carriers} may next go down; null if not by itself. */
  public Timestamp carriersFallAt() {
    return lingering.values().stream().min(Timestamp::compareTo).orElse(null);
  }

  /** How a member seems from here, for operators. */
  public record MemberStatus(
      Member member,
      long incarnation,
      MemberCondition condition,
      Timestamp since,
      Timestamp heard,
      TimeSpan roundTrip,
      List<MemberName> by) {}

  public List<MemberStatus> seen() {
    return suspicion.peers().stream()
        .map(
            p ->
                new MemberStatus(
                    p.member(),
                    p.statusVersion(),
                    p.condition(),
                    p.conditionSince(),
                    p.lastHeardAt(),
                    p.roundTrip(),
                    p.suspectedBy().stream().sorted().toList()))
        .toList();
  }

  /** From 0 for well, how badly this process itself seems to run. */
  public int health() {
    return suspicion.healthScore();
  }

  public Timestamp viewSince() {
    return viewSince;
  }

  /** A pause below this takes nobody out. */
  public TimeSpan bears() {
    return suspicion.minSuspicionTimeout();
  }

  /** Whether what is promised outlives this process. */
  public boolean isLasting() {
    return lasting;
  }

  ViewState seat() {
    return seat;
  }

  // ---- from the start to the end

  public List<MembershipAction> start(Timestamp now) {
    started = now;
    suspicion.start(now);
    if (seat.view() != null) {
      // From the folder: a member as before, once it has heard from a majority.
      viewSince = now;
      suspicion.addMembers(seat.view().members(), now);
      suspicion.reportView(seat.view().id(), false);
      confirmFrom = now;
      suspicion.checkAll(seat.view().members(), now);
    }
    tellEnded();
    return done();
  }

  /** Tells others that it leaves; from then on it takes part in nothing. */
  public List<MembershipAction> leave(Timestamp now) {
    if (!leaving) {
      suspicion.leave();
      leaving = true;
    }
    return done();
  }

  /** When it is to be asked again; null once it has left. */
  public Timestamp wake(Timestamp now) {
    if (leaving) {
      return null;
    }
    Timestamp next = suspicion.nextWakeup(now);
    Timestamp soon = now.plus(terms.healthCheckInterval().times(0.125));
    boolean pending =
        seat.round() != null || wantedSince != null || ahead != null || decided != null;
    return pending && soon.isBefore(next) ? soon : next;
  }

  private List<MembershipAction> done() {
    if (lasting) {
      keep();
    }
    List<MembershipAction> what = List.copyOf(acts);
    acts.clear();
    return what;
  }

  // ---- the lasting folder

  /** What others may build on waits until it is on disk; how members seem does not. */
  private void keep() {
    boolean same =
        kept != null
            && kept.view() == seat.view()
            && kept.promised() == seat.promised()
            && kept.accepted() == seat.accepted()
            && kept.acceptedDelta() == seat.value()
            && kept.self() == self()
            && kept.consentedTo() == vowedTo
            && kept.consentedAttempt() == vowedAttempt
            && kept.leftLineages().equals(left)
            && kept.endedLineages().equals(ended);
    if (!same) {
      kept =
          new PersistentState(
              self(),
              starts,
              seat.view(),
              seat.promised(),
              seat.accepted(),
              seat.value(),
              vowedTo,
              vowedAttempt,
              left,
              ended,
              Stream.of(accepted(), seat.view() == null ? null : seat.view().configuration())
                  .filter(Objects::nonNull)
                  .map(documentOf)
                  .filter(Objects::nonNull)
                  .distinct()
                  .toList());
      keeps++;
    }
    if (keeps > stored) {
      acts.removeIf(
          a -> {
            boolean waits =
                a instanceof MembershipAction.ViewInstalled
                    || a instanceof MembershipAction.Send t && t.message().mustOutliveProcess();
            if (waits
                && (a instanceof MembershipAction.ViewInstalled
                    || withheld.size() < MOST_WITHHELD)) {
              withheld.add(new DeferredAction(keeps, a));
            }
            return waits;
          });
    }
    if (!same) {
      acts.add(0, new MembershipAction.Persist(keeps, kept));
    }
  }

  /** The folder holds what was given under this number; what waited for it follows. */
  public List<MembershipAction> kept(long number) {
    stored = Math.max(stored, number);
    List<MembershipAction> what = new ArrayList<>();
    while (!withheld.isEmpty() && withheld.peek().number <= stored) {
      MembershipAction act = withheld.poll().act;
      // This process may be another member by now.
      boolean others =
          act instanceof MembershipAction.ViewInstalled i
              && i.view() != null
              && !i.view().contains(self().name(), self().incarnation());
      if (!others) {
        what.add(act);
      }
    }
    return what;
  }

  /**
   * The folder can't be written. What waited for it was told to nobody; this process goes on as
   * another member that has none, and the folder holds all that was ever told by the one that it
   * was.
   */
  public List<MembershipAction> notKept(String why, Timestamp now) {
    if (lasting) {
      lasting = false;
      withheld.clear();
      acts.add(new MembershipAction.EventRecorded(MembershipEvent.FOLDER_LOST, self().name(), why));
      suspicion.startNewIncarnation();
      if (seat.view() != null) {
        leaveLine(MembershipEvent.LINE_LEFT, "its folder is lost", now);
      }
    }
    return done();
  }

  // ---- time

  public List<MembershipAction> due(Timestamp now) {
    if (leaving) {
      return done();
    }
    Member before = suspicion.self();
    TimeSpan late = suspicion.onTimer(now);
    if (late.isPositive() && seat.view() != null) {
      // Whoever stood still may have been taken out meanwhile: it hears from a majority before it
      // acts as a member.
      confirmFrom = now;
      acts.add(
          new MembershipAction.EventRecorded(
              MembershipEvent.STOOD_STILL, before.name(), late.us() / 1000 + " ms"));
      suspicion.checkAll(seat.view().members(), now);
    }
    follow(now);
    return done();
  }

  /** What follows from what is known now. */
  private void follow(Timestamp now) {
    if (offered != null && seat.view() != null && !isNext(offered)) {
      offered = null;
    }
    confirm(now);
    abandonDead(now);
    unheard = suspicion.isIsolated(now);
    if (seat.view() == null || standing() == QuorumState.MAJORITY) {
      boolean split =
          minoritySince != null
              && now.since(minoritySince).compareTo(terms.healthCheckInterval().times(SPLIT_FROM))
                  > 0;
      healedAt = split ? now : healedAt;
      minoritySince = null;
    } else if (minoritySince == null) {
      minoritySince = now;
    }
    if (seat.view() != null) {
      suspicion.reportView(seat.view().id(), standing() == QuorumState.MAJORITY);
    }
    if (seat.view() == null) {
      found(now);
    } else {
      if (ahead != null
          && now.since(asked).compareTo(terms.healthCheckInterval().times(AGAIN)) >= 0) {
        askAhead(now);
      }
      if (seat.round() != null && !now.isBefore(againAt)) {
        againAt = now.plus(terms.healthCheckInterval().times(AGAIN));
        boolean late = now.since(roundSince).compareTo(patience()) >= 0;
        take(ViewChange.proceed(seat, teller(), late), now);
        if (seat.round() != null) {
          take(ViewChange.again(seat, teller()), now);
        }
      }
      if (decided != null && !now.isBefore(againAt)) {
        // Twice more, ever later, to all: a datagram may be lost, and whoever lacks it acts on an
        // older view.
        decided.forEach(
            t -> acts.add(new MembershipAction.Send(t.to().peerAddress(), t.message())));
        againAt = now.plus(terms.healthCheckInterval().times(SETTLE));
        decided = --decidedLeft > 0 ? decided : null;
      }
      if (suspicion.hasSuspects() && !now.isBefore(callsFrom) && rank() == 0) {
        // What fell silent together is found together: one change for a rack, not one for each of
        // it.
        callsFrom = now.plus(terms.healthCheckInterval().times(SETTLE_MOST));
        suspicion.checkAll(seat.view().members(), now);
      }
      consider(now);
    }
  }

  private TimeSpan patience() {
    return terms.healthCheckInterval().times(TRY_FOR);
  }

  private void confirm(Timestamp now) {
    if (confirmFrom == null || seat.view() == null) {
      confirmFrom = null;
      return;
    }
    int heard = 1;
    for (Member m : seat.view().members()) {
      Peer p = suspicion.peer(m.name());
      boolean spoke =
          p != null
              && p.lastHeardAt() != null
              && !p.lastHeardAt().isBefore(confirmFrom)
              && p.member().incarnation().equals(m.incarnation());
      heard += spoke && !p.viewId().isAfter(seat.view().id()) ? 1 : 0;
    }
    if (heard >= seat.view().majority()) {
      confirmFrom = null;
      if (resumed) {
        resumed = false;
        viewSince = now;
        acts.add(new MembershipAction.ViewInstalled(seat.view()));
      }
    }
  }

  // ---- the next view

  /**
   * Proposes the next view, where this process is the one to do so and what it wants has settled.
   */
  private void consider(Timestamp now) {
    ViewDelta change = standing() == QuorumState.MAJORITY ? change(now) : ViewDelta.NONE;
    // What was accepted here may have been chosen by a process that could tell nobody: it has to be
    // brought to its end.
    boolean unfinished = seat.accepted() != null && standing() == QuorumState.MAJORITY;
    if (change.isEmpty()
        && !unfinished
        && !(isNext(offered) && standing() == QuorumState.MAJORITY)) {
      wanted = change;
      wantedSince = null;
      return;
    }
    TimeSpan period = terms.healthCheckInterval();
    if (wantedSince == null) {
      wantedSince = now;
      settledFrom = now.plus(period.times(SETTLE));
    }
    if (!change.equals(wanted)) {
      wanted = change;
      settledFrom = now.plus(period.times(SETTLE));
    }
    // Those that others suspect already may soon be part of it: one change for all that fell silent
    // together.
    boolean more = seat.view().members().stream().anyMatch(this::isConfirmedSuspect);
    boolean edits = isNext(offered) && !unfinished;
    boolean unsettled = now.isBefore(settledFrom) || more;
    Timestamp turn = wantedSince.plus(period.times(NEXT_AFTER * rank()));
    boolean waits =
        now.isBefore(turn) || unsettled && now.isBefore(turn.plus(period.times(SETTLE_MOST)));
    boolean tries =
        seat.round() != null && now.since(roundSince).compareTo(period.times(GIVES_UP)) < 0;
    if ((!waits || edits) && !tries && !now.isBefore(restsUntil)) {
      roundSince = now;
      againAt = now.plus(period.times(AGAIN));
      // An edition waits for no turn: whoever has one proposes it, and takes along what it would
      // have proposed now.
      ViewDelta what =
          edits
              ? new ViewDelta(
                  waits ? List.of() : wanted.removed(), waits ? List.of() : wanted.added(), offered)
              : wanted;
      take(ViewChange.propose(seat, teller(), what, highestRound), now);
    }
  }

  private boolean isNext(ConfigurationVersion edition) {
    return edition != null
        && edition.number() == ConfigurationVersion.number(seat.view().configuration()) + 1;
  }

  /**
   * Whether a document is here is asked before its edition is accepted, so that a chosen one is
   * held by a majority; until then this process answers nothing. Without this any is accepted.
   *
   * @param of the document of an edition, or null if it is not here: what is kept in the folder
   *     beside the vote
   */
  public void accepts(
      Predicate<ConfigurationVersion> has, Function<ConfigurationVersion, byte[]> of) {
    hasDocument = has;
    documentOf = of;
  }

  /** The edition that this process accepted for the next view, or null. */
  public ConfigurationVersion accepted() {
    return seat.accepted() == null || seat.value() == null ? null : seat.value().configuration();
  }

  /** Proposes no edition any more; one that is on its way may be chosen yet. */
  public void withdraw() {
    offered = null;
  }

  /** Has this process propose an edition, until it or another one under its number is held. */
  public List<MembershipAction> offer(ConfigurationVersion edition, Timestamp now) {
    offered = edition;
    if (!leaving && seat.view() != null) {
      consider(now);
    }
    return done();
  }

  /**
   * Whether nothing is on its way here that would follow the view: a majority that says so shows
   * that at this moment it had no successor yet.
   */
  public boolean isNewest() {
    return seat.view() != null
        && seat.accepted() == null
        && !resumed
        && seat.view().contains(self().name(), self().incarnation());
  }

  /** Whether all members of the view have told of it, or of a later one. */
  public boolean isHeldByAll() {
    for (Member m : seat.view().members()) {
      Peer p = suspicion.peer(m.name());
      boolean holds =
          m.name().equals(self().name())
              || p != null
                  && p.member().incarnation().equals(m.incarnation())
                  && (p.viewId().equals(seat.view().id()) || p.viewId().isAfter(seat.view().id()));
      if (!holds) {
        return false;
      }
    }
    return true;
  }

  /** A process of another part has spoken: false if what it says does not count. */
  public boolean spoke(PeerMessage spoken, Timestamp now) {
    if (leaving || suspicion.isQuiet(now) || !suspicion.acceptSender(spoken.from(), now)) {
      return false;
    }
    behind(spoken.from(), now);
    return true;
  }

  private boolean isConfirmedSuspect(Member m) {
    Peer p = suspicion.peer(m.name());
    return p != null
        && p.condition() == MemberCondition.SUSPECT
        && p.suspectedBy().size() > 1
        && p.member().incarnation().equals(m.incarnation());
  }

  /** How many come before this process among those of the view that seem alive. */
  private int rank() {
    int rank = 0;
    List<Member> members = seat.view().members();
    for (int i = 0; i < members.size(); i++) {
      Member m = members.get((int) ((i + seat.view().id().number()) % members.size()));
      if (m.name().equals(self().name())) {
        return rank;
      }
      rank += suspicion.isAlive(m) ? 1 : 0;
    }
    return rank;
  }

  private ViewDelta change(Timestamp now) {
    if (isWhole()) {
      return ViewDelta.NONE;
    }
    List<Member> out = new ArrayList<>();
    List<Member> in = new ArrayList<>();
    View view = seat.view();
    for (Member m : view.members()) {
      Peer p = suspicion.peer(m.name());
      if (m.name().equals(self().name())) {
        continue;
      }
      // Guards against a split that heals in parts: those that come back last are given time to say
      // so.
      boolean rests =
          healedAt != null
              && now.since(healedAt).compareTo(terms.healthCheckInterval().times(HEALS)) < 0;
      boolean gone =
          p != null
              && (p.condition().compareTo(MemberCondition.DEAD) >= 0 && !rests
                  || !p.member().incarnation().equals(m.incarnation()));
      if (gone && out.size() < MOST_OUT) {
        out.add(m);
      }
    }
    for (Peer p : suspicion.peers()) {
      Member there = view.of(p.member().name());
      boolean free =
          there == null
              || out.contains(there) && !there.incarnation().equals(p.member().incarnation());
      if (free
          && p.condition() == MemberCondition.ALIVE
          && mayComeIn(p, now)
          && in.size() < MOST_IN
          && view.members().size() - out.size() + in.size() < MOST_VIEW) {
        in.add(p.member());
      }
    }
    return new ViewDelta(out, in);
  }

  private boolean mayComeIn(Peer p, Timestamp now) {
    // Who holds a view of another line does not follow ours until it has left that.
    if (p.viewId().lineage() != 0 && p.viewId().lineage() != seat.view().id().lineage()) {
      return false;
    }
    Removal removal = removals.get(p.member());
    TimeSpan waits =
        removal == null
            ? terms.healthCheckInterval().times(STABLE)
            : terms
                .healthCheckInterval()
                .times(BACK_AFTER * (1 << Math.min(MOST_DOUBLED, removal.times - 1)));
    return now.since(p.conditionSince()).compareTo(waits) >= 0;
  }

  /** Of those named, whom this process would not take out. */
  private List<MemberName> stay(List<MemberName> named, Timestamp now) {
    List<MemberName> stay = new ArrayList<>();
    for (MemberName name : named) {
      Member m = seat.view().of(name);
      Peer p = suspicion.peer(name);
      boolean same = m != null && p != null && p.member().incarnation().equals(m.incarnation());
      boolean heard =
          same
              && p.lastHeardAt() != null
              && now.since(p.lastHeardAt())
                      .compareTo(terms.healthCheckInterval().times(HEARD_WITHIN))
                  < 0;
      if (m != null
          && (name.equals(self().name())
              || same
                  && p.condition() != MemberCondition.LEFT
                  && (p.condition() == MemberCondition.ALIVE || heard))) {
        stay.add(name);
      }
    }
    return stay;
  }

  public MessageHeader teller() {
    return suspicion.header();
  }

  /** The seat is what a step made of it, and what it says is told; to itself at once. */
  private void take(Step step, Timestamp now) {
    View before = seat.view();
    seat = step.seat();
    boolean out =
        seat.view() != before && !seat.view().contains(self().name(), self().incarnation());
    if (out) {
      // What it had to propose was an earlier choice, and that took this process out.
      step.tells()
          .forEach(t -> acts.add(new MembershipAction.Send(t.to().peerAddress(), t.message())));
      takenOutBy = seat.view();
      seat = ViewState.of(before);
      leaveLine(MembershipEvent.TAKEN_OUT, "by view " + takenOutBy.id(), now);
      return;
    }
    if (seat.view() != before) {
      installed(before, now);
    }
    if (seat.view() != before && !step.tells().isEmpty()) {
      decided = step.tells().stream().filter(t -> !t.to().name().equals(self().name())).toList();
      decidedLeft = TOLD_AGAIN;
      againAt = now.plus(terms.healthCheckInterval().times(AGAIN));
    }
    for (ViewChange.OutgoingMessage tell : step.tells()) {
      if (tell.to().name().equals(self().name())) {
        choice(tell.message(), now);
      } else {
        acts.add(new MembershipAction.Send(tell.to().peerAddress(), tell.message()));
      }
    }
  }

  private void installed(View before, Timestamp now) {
    View view = seat.view();
    wanted = ViewDelta.NONE;
    wantedSince = null;
    triedAt = null;
    coming = null;
    founding = null;
    ahead = null;
    decided = null;
    viewSince = now;
    resumed = false;
    suspicion.reportView(
        view == null ? ViewId.NONE : view.id(), standing() == QuorumState.MAJORITY);
    if (view == null) {
      confirmFrom = null;
      acts.add(new MembershipAction.ViewInstalled(null));
      return;
    }
    suspicion.addMembers(view.members(), now);
    takenOutBy = null;
    if (before != null && before.id().lineage() == view.id().lineage()) {
      for (Member m : before.members()) {
        if (!view.contains(m.name(), m.incarnation())) {
          lingering.put(m, now.plus(terms.maxSendDelay()));
          Removal old = removals.remove(m);
          removals.put(m, new Removal(old == null ? 1 : old.times + 1, now));
        }
      }
      while (removals.size() > MOST_REMOVALS) {
        removals.remove(removals.keySet().iterator().next());
      }
    }
    view.members().forEach(m -> lingering.remove(m));
    acts.add(new MembershipAction.ViewInstalled(view));
  }

  private void leaveLine(MembershipEvent why, String detail, Timestamp now) {
    acts.add(new MembershipAction.EventRecorded(why, self().name(), detail));
    View before = seat.view();
    left.merge(before.id().lineage(), before.id().number(), Math::max);
    seat = new ViewState(null, null, null, null, null);
    installed(before, now);
  }

  /**
   * A view whose majority has started anew can never have a successor: what they promised is
   * forgotten.
   */
  private void abandonDead(Timestamp now) {
    View view = seat.view();
    if (view == null) {
      if (takenOutBy != null && isDead(takenOutBy)) {
        ends(takenOutBy.id());
        takenOutBy = null;
      }
      return;
    }
    boolean notOurs = !view.contains(self().name(), self().incarnation());
    if (notOurs) {
      leaveLine(
          MembershipEvent.LINE_LEFT,
          "view " + view.id() + " holds a former process of this name",
          now);
    } else if (!isWhole() && isDead(view)) {
      ends(view.id());
      leaveLine(
          MembershipEvent.LINE_LEFT,
          "most members of view " + view.id() + " have started anew",
          now);
    }
  }

  /**
   * Whether so many of a view's members have started anew without memory that it can have no
   * successor.
   */
  private boolean isDead(View view) {
    int replaced = 0;
    for (Member m : view.members()) {
      Peer p = suspicion.peer(m.name());
      boolean self = m.name().equals(self().name());
      replaced +=
          self
              ? m.incarnation().equals(self().incarnation()) ? 0 : 1
              : p != null && p.member().incarnation().compareTo(m.incarnation()) > 0 ? 1 : 0;
    }
    return view.members().size() - replaced < view.majority();
  }

  /**
   * Remembers, and from now on tells, that a line has ended: whoever it took out need not wait for
   * it.
   */
  private void ends(ViewId last) {
    Long known = ended.get(last.lineage());
    if (last.lineage() == 0
        || known != null && known >= last.number()
        || known == null && ended.size() >= MOST_LINES) {
      return;
    }
    ended.put(last.lineage(), last.number());
    acts.add(
        new MembershipAction.EventRecorded(
            MembershipEvent.LINE_ENDED, self().name(), "view " + last + " has no successor"));
    tellEnded();
  }

  /**
   * Guards against one that was not told of the last views of its line and waits for members that
   * have left it.
   */
  private void leaveEnded(Timestamp now) {
    View view = seat.view();
    if (view != null
        && hasEnded(view.id())
        && (ended.get(view.id().lineage()) > view.id().number()
            || standing() == QuorumState.MINORITY)) {
      leaveLine(MembershipEvent.LINE_LEFT, "it has ended", now);
    }
  }

  private void tellEnded() {
    ended.keySet().stream()
        .max(Long::compare)
        .ifPresent(line -> suspicion.reportEndedView(new ViewId(line, ended.get(line))));
  }

  private boolean hasEnded(ViewId id) {
    Long last = ended.get(id.lineage());
    return last != null && id.number() <= last;
  }

  /**
   * Two lines may live where all founders forgot at once, cut off from the rest, or an operator
   * founded one anew. A process leaves its own for the elder of two that both have their majority,
   * and for any that has one where its own has none.
   */
  private void otherLine(MessageHeader from, Timestamp now) {
    if (seat.view() != null
        && from.seesMajority()
        && from.view().lineage() != 0
        && from.view().lineage() != seat.view().id().lineage()
        && mayTake(from.view())
        && (from.view().lineage() < seat.view().id().lineage()
            || standing() == QuorumState.MINORITY)) {
      leaveLine(MembershipEvent.LINE_LEFT, "for the line of view " + from.view(), now);
    }
  }

  // ---- founding

  /**
   * Founds the first view: the first of the founders asks all the others for consent to just these
   * processes, and each consents to one attempt of one process. So a line begins once, or with
   * nobody left who held it.
   */
  private void found(Timestamp now) {
    List<MemberName> founders = terms.bootstrapMembers();
    if (founders.isEmpty()
        || !founders.get(0).equals(self().name())
        || leaving
        || suspicion.isQuiet(now)
        || now.since(started).compareTo(terms.healthCheckInterval().times(LISTENS)) < 0
        || heardOfView()) {
      return;
    }
    if (left.containsKey(self().incarnation().value())) {
      // The line that it founded has died; a line begins with a birth, so another one needs
      // another.
      suspicion.startNewIncarnation();
    }
    List<Member> all = new ArrayList<>();
    for (MemberName name : founders) {
      Peer p = suspicion.peer(name);
      if (name.equals(self().name())) {
        all.add(self());
      } else if (p != null && p.condition() == MemberCondition.ALIVE && p.lastHeardAt() != null) {
        all.add(p.member());
      }
    }
    if (all.size() < founders.size()) {
      return;
    }
    if (!all.equals(founding)) {
      founding = all;
      attempt++;
      consents.clear();
      consents.add(self().name());
    } else if (triedAt != null && now.since(triedAt).compareTo(patience()) < 0) {
      return;
    }
    triedAt = now;
    all.stream()
        .filter(m -> !consents.contains(m.name()))
        .forEach(
            m ->
                acts.add(
                    new MembershipAction.Send(
                        m.peerAddress(), new BootstrapRequest(teller(), attempt, founding))));
    founded(now);
  }

  private void founded(Timestamp now) {
    if (founding == null || consents.size() < founding.size()) {
      return;
    }
    View first = View.of(new ViewId(self().incarnation().value(), 1), founding);
    seat = ViewState.of(first);
    installed(null, now);
    first.members().stream().filter(m -> !m.equals(self())).forEach(m -> part(m, 0));
  }

  /**
   * Whether a view may be held somewhere: by a process that told of one, however dead it seems, or
   * by those that took this one out. Only a later process of its name shows that a former one holds
   * nothing any more, or one who saw the line end.
   */
  private boolean heardOfView() {
    return takenOutBy != null && !hasEnded(takenOutBy.id())
        || suspicion.peers().stream()
            .anyMatch(p -> !p.viewId().equals(ViewId.NONE) && !hasEnded(p.viewId()));
  }

  /**
   * An operator says that the majority of this view is gone for good: this process founds another
   * line, alone, and whoever else is left of the view comes to it. If the old majority lives after
   * all, its line is the elder and wins.
   *
   * @return what follows; among it why not, if the old majority may live
   */
  public List<MembershipAction> foundAnew(ViewId said, Timestamp now) {
    View view = seat.view();
    TimeSpan silent = bears().times(SILENT_FOR);
    String no =
        view == null || !view.id().equals(said)
            ? "it holds view " + (view == null ? "none" : view.id())
            : standing() != QuorumState.MINORITY
                ? "it stands " + standing().label()
                : minoritySince == null || now.since(minoritySince).compareTo(silent) < 0
                    ? "a majority was there less than " + silent.us() / 1000 + " ms ago"
                    : missing(view, silent, now);
    if (no != null) {
      acts.add(
          new MembershipAction.EventRecorded(
              MembershipEvent.NOT_FOUNDED_ANEW, self().name(), "view " + said + ": " + no));
      return done();
    }
    acts.add(
        new MembershipAction.EventRecorded(
            MembershipEvent.FOUNDED_ANEW, self().name(), "in place of view " + said));
    ends(said);
    leaveLine(MembershipEvent.LINE_LEFT, "an operator ended the line", now);
    suspicion.startNewIncarnation();
    seat = ViewState.of(View.of(new ViewId(self().incarnation().value(), 1), List.of(self())));
    installed(null, now);
    return done();
  }

  /** One that is missing from the view and may live yet, in words; null if there is none. */
  private String missing(View view, TimeSpan silent, Timestamp now) {
    for (Member m : view.members()) {
      Peer p = suspicion.peer(m.name());
      boolean here = m.name().equals(self().name()) || suspicion.isAlive(m);
      boolean gone =
          p != null
              && (p.condition().compareTo(MemberCondition.DEAD) >= 0
                  || !p.member().incarnation().equals(m.incarnation()))
              && (p.lastHeardAt() == null
                  || now.since(p.lastHeardAt()).compareTo(silent) >= 0
                  || !p.member().incarnation().equals(m.incarnation()));
      if (!here && !gone) {
        return m.name() + " may live";
      }
    }
    return null;
  }

  private void asked(BootstrapRequest found) {
    Member by = found.from().member();
    List<MemberName> names = found.members().stream().map(Member::name).sorted().toList();
    if (seat.view() != null
        || heardOfView()
        || !names.equals(terms.bootstrapMembers())
        || !by.name().equals(names.get(0))
        || !found.members().contains(self())) {
      return;
    }
    int order = vowedTo == null ? 1 : by.incarnation().compareTo(vowedTo);
    if (order > 0 || order == 0 && found.attempt() >= vowedAttempt) {
      vowedTo = by.incarnation();
      vowedAttempt = found.attempt();
      acts.add(
          new MembershipAction.Send(
              by.peerAddress(), new BootstrapConsent(teller(), found.attempt())));
    }
  }

  // ---- what comes

  /** A message that its carrier found whole, of this fleet and sealed as it should be. */
  public List<MembershipAction> heard(MembershipMessage message, Timestamp now) {
    if (leaving) {
      return done();
    }
    MessageHeader from = message.from();
    if (!suspicion.isQuiet(now)
        || message instanceof MembershipMessage.StatePart
        || message instanceof MembershipMessage.NameTaken) {
      if (suspicion.acceptSender(from, now)) {
        suspicion.receive(message, now);
        ends(from.endedView());
        long ahead =
            resumed && from.view().isAfter(seat.view().id())
                ? from.view().number() - seat.view().id().number()
                : 0;
        if (ahead > 1 || ahead == 1 && seat.accepted() == null) {
          // Guards against a folder copied back from an earlier time: what was promised since is
          // not in it. One that had
          // accepted a successor is of the last moment before it.
          acts.add(
              new MembershipAction.EventRecorded(
                  MembershipEvent.FOLDER_OLD,
                  self().name(),
                  "view " + seat.view().id() + ", a peer holds " + from.view()));
          suspicion.startNewIncarnation();
          leaveLine(MembershipEvent.LINE_LEFT, "its folder may be an old one", now);
        }
        leaveEnded(now);
        otherLine(from, now);
        behind(from, now);
        choice(message, now);
        if (confirmFrom != null) {
          confirm(now);
        }
      }
    }
    return done();
  }

  /** Whoever tells of a later view, or of any where none is known here, is asked for it. */
  private void behind(MessageHeader from, Timestamp now) {
    boolean none = seat.view() == null;
    boolean later = none ? mayTake(from.view()) : from.view().isAfter(seat.view().id());
    boolean rests =
        asked != null
            && now.since(asked).compareTo(terms.healthCheckInterval().times(none ? 1 : AGAIN)) < 0;
    if (later) {
      ahead = from;
    }
    if (later && !rests) {
      askAhead(now);
    }
  }

  private void askAhead(Timestamp now) {
    asked = now;
    acts.add(
        new MembershipAction.Send(
            ahead.member().peerAddress(), new ViewRequest(teller(), ahead.view(), 0)));
  }

  private void choice(MembershipMessage message, Timestamp now) {
    MessageHeader from = message.from();
    if (message instanceof Prepare m && counted(m.viewId(), from, m.ballot())) {
      take(ViewChange.prepare(seat, teller(), m, stay(m.removed(), now)), now);
    } else if (message instanceof Promise m && counted(m.viewId(), from, null)) {
      take(ViewChange.promised(seat, teller(), m), now);
    } else if (message instanceof Reject m && counted(m.viewId(), from, m.promised())) {
      if (seat.round() != null && seat.round().ballot().equals(m.ballot())) {
        seat = seat.with((ViewState.ProposalRound) null);
        restsUntil = now.plus(terms.healthCheckInterval().times(chance.nextDouble()));
      }
    } else if (message instanceof Accept m
        && counted(m.viewId(), from, m.ballot())
        && (m.value().configuration() == null || hasDocument.test(m.value().configuration()))) {
      take(ViewChange.accept(seat, teller(), m), now);
    } else if (message instanceof Accepted m && counted(m.viewId(), from, null)) {
      take(ViewChange.accepted(seat, teller(), m), now);
    } else if (message instanceof Decided m) {
      decided(m, now);
    } else if (message instanceof ViewRequest m && seat.view() != null) {
      part(from.member(), m.viewId().equals(seat.view().id()) ? m.index() : 0);
    } else if (message instanceof ViewPart m) {
      parts(m, now);
    } else if (message instanceof BootstrapRequest m) {
      asked(m);
    } else if (message instanceof BootstrapConsent m
        && founding != null
        && m.attempt() == attempt
        && founding.contains(from.member())) {
      consents.add(from.member().name());
      founded(now);
    }
  }

  private boolean counted(ViewId of, MessageHeader from, Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, Math.min(ballot.round(), Long.MAX_VALUE / 2));
    }
    // One that was taken for another birth by itself holds no seat.
    return !resumed
        && ViewChange.counts(seat, from, of)
        && seat.view().contains(self().name(), self().incarnation());
  }

  private void decided(Decided m, Timestamp now) {
    if (seat.view() != null && seat.view().id().equals(m.viewId())) {
      follows(seat.view().apply(m.value()), now);
    } else if (seat.view() == null && m.value().added().contains(self())) {
      acts.add(
          new MembershipAction.Send(
              m.from().member().peerAddress(), new ViewRequest(teller(), m.viewId().next(), 0)));
    }
  }

  /** A later view of our line, or the first one here. */
  private void follows(View next, Timestamp now) {
    View before = seat.view();
    if (next.contains(self().name(), self().incarnation())) {
      seat = ViewState.of(next);
      installed(before, now);
    } else if (before != null) {
      takenOutBy = next;
      leaveLine(MembershipEvent.TAKEN_OUT, "by view " + next.id(), now);
    }
  }

  private void part(Member to, int index) {
    View view = seat.view();
    int from = Math.max(0, Math.min(index, view.members().size()));
    int until = Math.min(view.members().size(), from + MOST_VIEW_PART);
    acts.add(
        new MembershipAction.Send(
            to.peerAddress(),
            new ViewPart(
                teller(),
                view.id(),
                from,
                view.members().size(),
                view.members().subList(from, until),
                view.configuration())));
  }

  private void parts(ViewPart m, Timestamp now) {
    boolean known =
        seat.view() != null ? !m.viewId().isAfter(seat.view().id()) : !mayTake(m.viewId());
    if (known || m.size() > MOST_VIEW || m.members().isEmpty()) {
      return;
    }
    if (coming == null || !coming.id.equals(m.viewId()) || m.index() == 0) {
      coming = new IncomingView();
      coming.id = m.viewId();
      coming.size = m.size();
      coming.edition = m.configuration();
    }
    if (coming.members.size() != m.index()) {
      return;
    }
    coming.members.addAll(m.members());
    if (coming.members.size() < coming.size) {
      acts.add(
          new MembershipAction.Send(
              m.from().member().peerAddress(),
              new ViewRequest(teller(), coming.id, coming.members.size())));
      return;
    }
    View whole = View.of(coming.id, coming.members, coming.edition);
    coming = null;
    if (seat.view() != null || whole.contains(self().name(), self().incarnation())) {
      follows(whole, now);
    }
  }

  private boolean mayTake(ViewId id) {
    Long given = left.get(id.lineage());
    return id.lineage() != 0 && (given == null ? left.size() < MOST_LINES : id.number() > given);
  }

  /** So many processes, by how they seem. */
  public Map<MemberCondition, Integer> counts() {
    return new TreeMap<>(suspicion.countByCondition());
  }
}
